// Units of time and work.
//
// Time inside the decisions is monotonic time in microseconds since an arbitrary start; it counts
// the time that the machine is suspended. It is a type of its own, so that no wall-clock value can
// slip in: wall clocks step, and a lease that is measured with one would not survive the step.
//
// This header is public. Its names follow the compatibility promise in docs/reference.md.
#pragma once

#include <chrono>
#include <cstdint>

namespace seamarch {

// The clock of the decisions. It has no `now()`: the caller always passes the time in.
struct DecisionClock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<DecisionClock>;
    static constexpr bool is_steady = true;
};

using Duration = DecisionClock::duration;
using TimePoint = DecisionClock::time_point;

// Returns `duration` in seconds as a floating-point number.
inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Returns `duration` in whole milliseconds, rounded toward zero.
inline std::int64_t toMillis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// Returns the duration of `seconds` seconds, rounded toward zero to a microsecond.
inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

// A number of model tokens.
using Tokens = std::uint64_t;

} // namespace seamarch
