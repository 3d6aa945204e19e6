// The wall clock in Unix milliseconds, the form of the time in callers' keys. The decision code
// never reads it; callers pass the time in.
#pragma once

#include <chrono>

namespace seamarch {

// Returns the time since the Unix epoch.
inline std::chrono::milliseconds wallClockNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace seamarch
