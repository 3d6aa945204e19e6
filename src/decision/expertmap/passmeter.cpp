#include "decision/expertmap/passmeter.h"

#include <algorithm>

namespace seamarch {

void PassMeter::record(std::uint64_t step, double cost, TimePoint at)
{
    const bool restarted = startedAt_ == TimePoint{} || step < startStep_;
    if (!restarted && at - startedAt_ < window_) {
        return;
    }
    if (!restarted && step > startStep_) {
        forecast_.record((at - startedAt_) / static_cast<Duration::rep>(step - startStep_),
                         std::min(cost, startCost_));
        lastStartedAt_ = startedAt_;
    }
    startStep_ = step;
    startedAt_ = at;
    startCost_ = cost;
}

void PassMeter::restart()
{
    startedAt_ = {};
    forecast_.clear();
}

Duration PassMeter::timeSince(TimePoint changedAt, double cost) const
{
    const Duration measured = forecast_.lastMeasured();
    return lastStartedAt_ < changedAt ? std::min(measured, forecast_.evenTimeScaledTo(cost))
                                      : measured;
}

} // namespace seamarch
