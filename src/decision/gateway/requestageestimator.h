// How long ago the caller of a request first asked, from the time that it says it still waits.
//
// Callers that come back after a refusal state what is left of their time. What a first try states
// is not told anywhere, but it is a figure of the caller's program: the same ones come again and
// again, while what is left after a refusal is a different number each time. So a time that makes
// up a part of all that were stated counts as that of a first try, and any other is measured
// against the next longer such time. Where no time repeats, every request counts as a first try.
//
// Pure and single-threaded; one object for each route.
#pragma once

#include "seamarch/units.h"

#include <cstdint>
#include <map>

namespace seamarch {

class RequestAgeEstimator
{
public:
    // Notes what a caller states, and returns how long ago it first asked.
    Duration estimateAge(Duration deadline);

private:
    void recordSample(Duration deadline);
    bool isInitialDeadline(std::uint32_t count) const;

    std::map<Duration, std::uint32_t> counts_; // By stated time.
    std::uint32_t total_ = 0;
};

} // namespace seamarch
