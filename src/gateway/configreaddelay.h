// The delay between two configurations that a process reads.
//
// Reading a large configuration occupies a gateway's small share of a processor for tens of
// milliseconds, during which it forwards no stream events. When configurations follow each other
// quickly only the last one matters, so a process waits between two of them, longer after a larger
// one, and skips most of them.
#pragma once

#include "seamarch/units.h"

#include <algorithm>
#include <cstddef>

namespace seamarch {

// Returns how long to wait after reading a configuration of `bytes`. Reading takes 25 us per
// kilobyte on a full core (measured: 261 kB in 6.6 ms), so 0.1 ms on a quarter of a core; the delay
// keeps it to a tenth of the time at most. The upper bound keeps the propagation of a configuration
// through two processes well within the two seconds in which it must take effect.
inline Duration configReadDelay(std::size_t bytes)
{
    constexpr std::size_t kKilobyte = 1000;
    constexpr Duration kDelayPerKilobyte = std::chrono::milliseconds(1);
    constexpr Duration kMaxDelay = std::chrono::milliseconds(250);
    const auto kilobytes = static_cast<Duration::rep>(bytes / kKilobyte);
    return std::min(kDelayPerKilobyte * kilobytes, kMaxDelay);
}

} // namespace seamarch
