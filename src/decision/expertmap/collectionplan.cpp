#include "decision/expertmap/collectionplan.h"

#include <algorithm>
#include <cmath>

namespace seamarch {
namespace {

// Bytes of one report on the wire with its frame: some twenty words of a message.
constexpr double kReportBytes = 400.0;
// The shares of the link. Orders keep what is left, because they are urgent and come in bursts.
constexpr double kReportShare = 0.25;
constexpr double kCountsShare = 0.35;
// Asking more often than about once a pass tells nothing new.
constexpr Duration kMinInterval = std::chrono::milliseconds(100);
// Demand may shift every few seconds: two rounds, which confirm a shift, take half a second.
constexpr Duration kMaxCountsInterval = std::chrono::milliseconds(250);
// A round of fewer ranks says too little; on a link that does not carry these, rounds come later.
constexpr std::uint32_t kMinSampledRanks = 8;
// What a question and its answer take beside the link: two processes' turns and the way.
constexpr Duration kRoundTripTime = std::chrono::milliseconds(40);
// A report counts for two gaps and the time in which an agent that is late may still answer.
constexpr Duration kLateAnswerAllowance = std::chrono::milliseconds(500);
// The answers of a round share the link with reports and orders.
constexpr double kRoundSlack = 1.5;

Duration transferTime(double bytes, double bytesPerSecond)
{
    return bytesPerSecond > 0.0 ? fromSeconds(bytes / bytesPerSecond) : Duration{};
}

} // namespace

CollectionPlan planCollection(const CollectionInputs &inputs)
{
    const auto ranks = static_cast<double>(inputs.ranks);
    const auto bytes = static_cast<double>(std::max<std::uint64_t>(1, inputs.countsBytes));
    const double countsRate = inputs.linkBytesPerSecond * kCountsShare;
    CollectionPlan plan;
    plan.reportInterval = std::max(
        kMinInterval, transferTime(ranks * kReportBytes, inputs.linkBytesPerSecond * kReportShare));
    plan.reportTtl = 2 * plan.reportInterval + kLateAnswerAllowance;
    const Duration allRanksTime = transferTime(ranks * bytes, countsRate);
    const Duration minRanksTime =
        transferTime(std::min(ranks, double{kMinSampledRanks}) * bytes, countsRate);
    plan.countsInterval =
        std::max(std::clamp(allRanksTime, kMinInterval, kMaxCountsInterval), minRanksTime);
    const double fittingRanks = std::floor(toSeconds(plan.countsInterval) * countsRate / bytes);
    plan.sampledRanks = static_cast<std::uint32_t>(
        std::clamp(fittingRanks, std::min(ranks, double{kMinSampledRanks}), ranks));
    plan.roundWindow =
        std::max(kRoundTripTime,
                 transferTime(plan.sampledRanks * bytes * kRoundSlack, inputs.linkBytesPerSecond));
    return plan;
}

} // namespace seamarch
