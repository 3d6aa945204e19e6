// Units of time and work.
//
// The decision code uses monotonic time in microseconds since an arbitrary start, including the
// time that the machine is suspended. It has a type of its own, so that a wall-clock value cannot
// be passed by mistake: wall clocks can step, and a lease measured with one would not survive a
// step.
//
// This header is public. Its names follow the compatibility promise in docs/reference.md.
#pragma once

#include <chrono>
#include <cstdint>

namespace seamarch {

// The clock of the decision code. It has no `now()`: the caller always passes the time in.
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

// Returns `duration` in seconds.
inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Returns `duration` in whole milliseconds, rounded toward zero.
inline std::int64_t toMillis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// Returns `seconds` as a duration, rounded toward zero to whole microseconds.
inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

// A number of tokens of a model's prompt or answer.
using Tokens = std::uint64_t;

} // namespace seamarch
