// Measures the time of a group's passes by the steps that its ranks report, and forecasts it for
// other costs of a pass (see PassForecast).
//
// Performs no I/O; not thread-safe.
#pragma once

#include "decision/expertmap/passforecast.h"

#include <cstdint>

namespace seamarch {

class PassMeter
{
public:
    // `window` is the time over which passes are counted.
    explicit PassMeter(Duration window)
        : window_(window)
    {}

    // Records that `step` was the highest step reported for the time `at`, and the relative cost of
    // a pass then.
    void record(std::uint64_t step, double cost, TimePoint at);
    // Discards all measurements, because the group has formed anew.
    void restart();
    const PassForecast &forecast() const { return forecast_; }
    // Returns the pass time with the map in use: the last measured one, or the one expected at
    // `cost` if the map was changed at `changedAt`, after that measurement had started. Zero if
    // unknown.
    Duration timeSince(TimePoint changedAt, double cost) const;

private:
    Duration window_;
    std::uint64_t startStep_ = 0; // Of the measurement in progress.
    TimePoint startedAt_{};
    double startCost_ = 1.0;
    TimePoint lastStartedAt_{}; // When the last completed measurement started.
    PassForecast forecast_;
};

} // namespace seamarch
