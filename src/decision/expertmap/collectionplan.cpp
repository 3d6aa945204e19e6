#include "decision/expertmap/collectionplan.h"

#include <algorithm>
#include <cmath>

namespace seamarch {
namespace {

// Size of one report on the wire including its frame: a message of about twenty words.
constexpr double kReportBytes = 400.0;
// Shares of the link. The rest is reserved for orders, which are urgent and arrive in bursts.
constexpr double kReportShare = 0.25;
constexpr double kCountsShare = 0.35;
// Polling more often than about once per pass yields no new information.
constexpr Duration kMinInterval = std::chrono::milliseconds(100);
// Demand may shift every few seconds, and a shift is confirmed by two rounds: half a second.
constexpr Duration kMaxCountsInterval = std::chrono::milliseconds(250);
// A sample of fewer ranks is too noisy. If the link cannot carry this many at the maximum interval,
// the interval grows.
constexpr std::uint32_t kMinSampledRanks = 8;
// With this many ranks, rounds are frequent rather than larger: their sample tells shifts from
// noise (see the header), and every round sooner shortens the time that streams run with a skewed
// map.
constexpr std::uint32_t kSufficientRanks = 16;
// Round-trip time without the transfer: scheduling of two processes and network latency.
constexpr Duration kRoundTripTime = std::chrono::milliseconds(40);
// A report expires after two intervals plus this allowance for an agent that answers late.
constexpr Duration kLateAnswerAllowance = std::chrono::milliseconds(500);
// Factor on the transfer time of a round, because its answers share the link with reports and
// orders.
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
    plan.reportTimeToLive = 2 * plan.reportInterval + kLateAnswerAllowance;
    const Duration sufficientRanksTime =
        transferTime(std::min(ranks, double{kSufficientRanks}) * bytes, countsRate);
    const Duration minRanksTime =
        transferTime(std::min(ranks, double{kMinSampledRanks}) * bytes, countsRate);
    plan.countsInterval =
        std::max(std::clamp(sufficientRanksTime, kMinInterval, kMaxCountsInterval), minRanksTime);
    const double fittingRanks = std::floor(toSeconds(plan.countsInterval) * countsRate / bytes);
    plan.sampledRanks = static_cast<std::uint32_t>(
        std::clamp(fittingRanks, std::min(ranks, double{kMinSampledRanks}), ranks));
    plan.roundWindow =
        std::max(kRoundTripTime,
                 transferTime(plan.sampledRanks * bytes * kRoundSlack, inputs.linkBytesPerSecond));
    return plan;
}

} // namespace seamarch
