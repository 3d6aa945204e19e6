// Estimates how long ago the caller of a request sent it first, from the deadline that it states.
//
// Callers that retry after a rejection state their remaining time. The initial deadline is not
// transmitted, but it is a constant of the caller's program: the same values are stated again and
// again, while the remaining time of a retry differs each time. So a deadline that makes up a
// minimum share of all stated ones counts as an initial deadline, and any other is compared with
// the next longer initial deadline. If no deadline repeats, every request counts as a first try.
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
    // Records a stated deadline and returns the estimated time since the caller's first try; zero
    // for a first try.
    Duration estimateAge(Duration deadline);

private:
    void recordSample(Duration deadline);
    bool isInitialDeadline(std::uint32_t count) const;

    std::map<Duration, std::uint32_t> counts_; // Requests by stated deadline.
    std::uint32_t total_ = 0;
};

} // namespace seamarch
