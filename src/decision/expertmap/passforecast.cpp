#include "decision/expertmap/passforecast.h"

#include <algorithm>

namespace seamarch {

void PassForecast::record(Duration passTime, double relativeCost)
{
    lastMeasured_ = passTime;
    evenTimes_.push_back(fromSeconds(toSeconds(passTime) / std::max(1.0, relativeCost)));
    if (evenTimes_.size() > kMaxMeasurements) {
        evenTimes_.pop_front();
    }
}

Duration PassForecast::evenTimeScaledTo(double relativeCost) const
{
    if (evenTimes_.empty()) {
        return {};
    }
    const Duration even = *std::min_element(evenTimes_.begin(), evenTimes_.end());
    return fromSeconds(toSeconds(even) * std::max(1.0, relativeCost));
}

Duration PassForecast::expectedAt(double relativeCost) const
{
    return std::max(lastMeasured_, evenTimeScaledTo(relativeCost));
}

void PassForecast::clear()
{
    *this = PassForecast();
}

} // namespace seamarch
