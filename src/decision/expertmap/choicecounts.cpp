#include "decision/expertmap/choicecounts.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace seamarch {
namespace {

constexpr double kMaxQuantized = std::numeric_limits<std::uint8_t>::max();

// Returns the choices between `earlier` and `later`. Returns an empty vector if the sizes differ or
// a count has decreased because the engine has restarted.
std::vector<std::uint64_t> countDelta(const std::vector<std::uint64_t> &earlier,
                                      const std::vector<std::uint64_t> &later)
{
    if (earlier.size() != later.size()) {
        return {};
    }
    std::vector<std::uint64_t> chosen(later.size());
    for (std::size_t index = 0; index < later.size(); ++index) {
        if (later[index] < earlier[index]) {
            return {};
        }
        chosen[index] = later[index] - earlier[index];
    }
    return chosen;
}

void quantize(const std::vector<std::uint64_t> &chosen, ChoiceCounts &counts)
{
    counts.quantized.reserve(chosen.size());
    for (std::size_t begin = 0; begin < chosen.size(); begin += ChoiceCounts::kBlockSize) {
        const std::size_t end = std::min(begin + ChoiceCounts::kBlockSize, chosen.size());
        std::uint64_t maxCount = 1;
        for (std::size_t index = begin; index < end; ++index) {
            maxCount = std::max(maxCount, chosen[index]);
        }
        const double scale = std::max(1.0, static_cast<double>(maxCount) / kMaxQuantized);
        counts.scales.push_back(static_cast<float>(scale));
        for (std::size_t index = begin; index < end; ++index) {
            const double quantized = std::round(static_cast<double>(chosen[index]) / scale);
            counts.quantized.push_back(
                static_cast<std::uint8_t>(std::min(quantized, kMaxQuantized)));
        }
    }
}

} // namespace

std::vector<double> decodeChoices(const ChoiceCounts &counts)
{
    const std::size_t blocks =
        (counts.quantized.size() + ChoiceCounts::kBlockSize - 1) / ChoiceCounts::kBlockSize;
    if (counts.since == 0 || counts.scales.size() != blocks) {
        return {};
    }
    std::vector<double> choices;
    choices.reserve(counts.quantized.size());
    for (std::size_t index = 0; index < counts.quantized.size(); ++index) {
        choices.push_back(counts.quantized[index]
                          * static_cast<double>(counts.scales[index / ChoiceCounts::kBlockSize]));
    }
    return choices;
}

ChoiceCounts ChoiceCountHistory::record(std::vector<std::uint64_t> counts, std::uint64_t since)
{
    ChoiceCounts result;
    result.snapshotId = nextSnapshotId_++;
    const auto found =
        std::find_if(snapshots_.begin(), snapshots_.end(),
                     [since](const Snapshot &snapshot) { return snapshot.snapshotId == since; });
    if (since != 0 && found != snapshots_.end()) {
        const std::vector<std::uint64_t> chosen = countDelta(found->counts, counts);
        if (!chosen.empty()) {
            result.since = since;
            quantize(chosen, result);
        }
    }
    snapshots_.push_back({result.snapshotId, std::move(counts)});
    if (snapshots_.size() > kMaxSnapshots) {
        snapshots_.pop_front();
    }
    return result;
}

} // namespace seamarch
