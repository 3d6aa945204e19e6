#include "decision/gateway/requestageestimator.h"

#include <algorithm>

namespace seamarch {
namespace {

// A time counts as that of a first try from this part of all stated ones on, and when it has come
// several times: in a second of refusals most requests may be second tries, each with a time of its
// own.
constexpr std::uint32_t kMinShareDivisor = 20;
constexpr std::uint32_t kMinCount = 3;
// Bounds the memory, and lets old habits fade.
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
