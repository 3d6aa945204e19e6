// The wall clock, in the form that callers' keys carry it. Decisions never read it themselves.
#pragma once

#include <chrono>

namespace seamarch {

// Returns milliseconds since the Unix epoch.
inline std::chrono::milliseconds wallClockNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace seamarch
