// Computes how often the decider of a group polls its ranks for reports, and how many ranks it
// polls for counts of chosen experts, so that the answers fit the decider's link at any group size.
//
// Reports are small and needed from every rank. Counts take one byte per expert and may be sampled,
// because the requests of any rank are a sample of the same demand. With k ranks of m streams each,
// the share q of a topic among all streams is estimated with a standard error of
// sqrt(q * (1 - q) / (k * m)), and the share p of an expert among n counted choices with a relative
// error of sqrt((1 - p) / (p * n)). Sixteen ranks with six streams each estimate a topic share of
// 1/9 within 0.03, and 40,000 choices among 258 experts estimate each expert within 0.08, the skew
// at which placements count as even. The planner measures the remaining noise and derives its
// threshold for false alarms from it.
//
// Reports and counts each have a share of the link and orders have the rest, so that none of them
// waits long behind another.
//
// Pure functions.
#pragma once

#include "seamarch/units.h"

#include <cstdint>

namespace seamarch {

// The size of a group and the bandwidth of its decider's link.
struct CollectionInputs
{
    std::uint32_t ranks = 0;       // Number of ranks in the group.
    std::uint64_t countsBytes = 0; // Size of one rank's counts on the wire.
    double linkBytesPerSecond = 0; // Bandwidth of the decider's own link.
};

// Poll intervals and sample size for the reports and counts of a group.
struct CollectionPlan
{
    Duration reportInterval{};      // Between two reports of one rank.
    Duration reportTimeToLive{};    // How long a report counts as current.
    Duration countsInterval{};      // Between two rounds of counts.
    std::uint32_t sampledRanks = 0; // Number of ranks polled in a round of counts.
    Duration roundWindow{};         // Time within which all answers of a round arrive.
};

// Returns the plan for a group. With zero ranks, all intervals have their minimum and no rank is
// sampled.
CollectionPlan planCollection(const CollectionInputs &inputs);

} // namespace seamarch
