// Expected pass time of a group of ranks whose load has just changed.
//
// A change of the expert map takes effect some passes ahead, and the number of passes follows from
// the time that the orders take. Right after a shift of demand or the slow-down of a rank, passes
// take several times as long as the last measured ones. Counted in such passes, the change would
// take effect seconds late, while every stream of the group misses its gap target.
//
// The relative cost of a pass is its time divided by that of a pass whose load is spread evenly
// over healthy ranks. The time of such an even pass is the smallest that the last measurements
// imply. A measurement during which the cost changed is recorded with the lower cost, because a
// time that is too large does not affect the smallest one.
//
// Performs no I/O; not thread-safe.
#pragma once

#include "seamarch/units.h"

#include <cstddef>
#include <deque>

namespace seamarch {

// Forecasts pass times from recent measurements and the relative cost of a pass.
class PassForecast
{
public:
    // Records a measured pass time and the relative cost of a pass during the measurement.
    void record(Duration passTime, double relativeCost);
    // Returns the pass time expected at `relativeCost`, which is not less than the last measured
    // one. Zero without a measurement.
    Duration expectedAt(double relativeCost) const;
    // Returns the pass time expected at `relativeCost` by the measurements alone; zero if unknown.
    Duration evenTimeScaledTo(double relativeCost) const;
    // Returns the last measured pass time, or zero.
    Duration lastMeasured() const { return lastMeasured_; }
    // Discards all measurements.
    void clear();

private:
    // The measurements that are kept: three seconds or more, which includes a time of even load
    // between two shifts of demand.
    static constexpr std::size_t kMaxMeasurements = 8;

    std::deque<Duration> evenTimes_; // Implied times of a pass with a relative cost of 1.
    Duration lastMeasured_{};
};

} // namespace seamarch
