// How soon a process reads the next configuration.
//
// Reading a large one takes a gateway's small share of a processor for tens of milliseconds, in
// which it passes on no event of any stream. When configurations come in quick succession only the
// last counts, so a process rests between two of them, longer after a larger one, and is spared
// most.
#pragma once

#include "seamarch/units.h"

#include <algorithm>
#include <cstddef>

namespace seamarch {

// Returns how long to rest after a configuration of `bytes`. Reading takes 25 us a kilobyte on a
// whole core (261 kB in 6.6 ms, measured), 0.1 ms on a quarter of one: at most a tenth of the time
// goes to it. The bound keeps a configuration that passes through two processes well inside the two
// seconds in which it must be in force.
inline Duration configReadDelay(std::size_t bytes)
{
    constexpr std::size_t kKilobyte = 1000;
    constexpr Duration kDelayPerKilobyte = std::chrono::milliseconds(1);
    constexpr Duration kMaxDelay = std::chrono::milliseconds(250);
    const auto kilobytes = static_cast<Duration::rep>(bytes / kKilobyte);
    return std::min(kDelayPerKilobyte * kilobytes, kMaxDelay);
}

} // namespace seamarch
