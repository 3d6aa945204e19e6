// How often the decider of a group asks its ranks for reports, and how many of them for counts of
// chosen experts, so that the answers fit its link whatever the size of the group.
//
// A report is small and wanted of every rank. Counts take a byte an expert, and need not come from
// every rank: the requests of any rank are a sample of the same demand. Of k ranks with m streams
// each, a topic with the part q of all streams is seen with a standard error of
// sqrt(q * (1 - q) / (k * m)), and an expert with the part p of n counted choices with a relative
// error of sqrt((1 - p) / (p * n)). Sixteen ranks with six streams see a topic of a ninth within
// 0.03, and 40,000 choices among 258 experts see each within 0.08, the skew at which placements
// count as even. What noise is left is learned by the planner, which bounds false alarms by it.
//
// Reports and counts have a share of the link each, and orders keep the rest, so none of them waits
// behind another for long.
//
// Pure functions.
#pragma once

#include "seamarch/units.h"

#include <cstdint>

namespace seamarch {

struct CollectionInputs
{
    std::uint32_t ranks = 0;       // Of the group.
    std::uint64_t countsBytes = 0; // Of the counts of one rank, on the wire.
    double linkBytesPerSecond = 0; // Of the decider's own link.
};

struct CollectionPlan
{
    Duration reportInterval{};      // Between two reports of one rank.
    Duration reportTtl{};           // How long a report counts as current.
    Duration countsInterval{};      // Between two rounds of counts.
    std::uint32_t sampledRanks = 0; // How many ranks a round of counts asks.
    Duration roundWindow{};         // Within which all answers of a round have come.
};

// Returns the plan for a group. Without ranks, the plan is that of the smallest group.
CollectionPlan planCollection(const CollectionInputs &inputs);

} // namespace seamarch
