#include "decision/gateway/requestageestimator.h"

#include <algorithm>

namespace seamarch {
namespace {

// A deadline counts as an initial one if at least 1/kMinShareDivisor of all requests, and no fewer
// than kMinCount, state it. The share is small because during a second of rejections most requests
// may be retries, each with a deadline of its own.
constexpr std::uint32_t kMinShareDivisor = 20;
constexpr std::uint32_t kMinCount = 3;
// Limits the memory; beyond it all counts are halved, so that values no longer in use fade out.
constexpr std::size_t kMaxDeadlines = 200;

} // namespace

bool RequestAgeEstimator::isInitialDeadline(std::uint32_t count) const
{
    return count >= kMinCount && count >= total_ / kMinShareDivisor;
}

void RequestAgeEstimator::recordSample(Duration deadline)
{
    ++counts_[deadline];
    ++total_;
    if (counts_.size() <= kMaxDeadlines) {
        return;
    }
    total_ = 0;
    for (auto &[time, count] : counts_) {
        count /= 2;
        total_ += count;
    }
    std::erase_if(counts_, [](const auto &entry) { return entry.second == 0; });
}

Duration RequestAgeEstimator::estimateAge(Duration deadline)
{
    recordSample(deadline);
    const auto first =
        std::find_if(counts_.lower_bound(deadline), counts_.end(),
                     [this](const auto &entry) { return isInitialDeadline(entry.second); });
    return first == counts_.end() ? Duration{} : first->first - deadline;
}

} // namespace seamarch
