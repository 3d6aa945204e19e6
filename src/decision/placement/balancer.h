// Places the experts of one layer on the ranks of a group.
//
// A placement gives every rank the same number of slots and puts an expert into each; hot experts
// are in several. How an expert's tokens are split over its replicas is part of the map: the split
// evens out the ranks' step times, so a slow rank gets less work without any weights moving.
//
// The objective is skewWeight · (skew − 1) + moveWeight · (moved slots / slots). Skew is the
// largest step time over the mean. The balancer improves the current placement by single-slot
// changes, the best first, and stops when none pays: a change must win more than its cost by a
// margin that follows from the noise of the popularity. It can be stopped at any time with a valid
// placement.
//
// Pure functions and one pure class; deterministic; single-threaded.
#pragma once

#include "seamarch/configdocument.h"

#include <cstdint>
#include <span>
#include <vector>

namespace seamarch {

using ExpertIndex = std::uint32_t;

// The experts of each rank's slots, `slots` for each rank, rank after rank.
struct Placement
{
    std::uint32_t ranks = 0;
    std::uint32_t slots = 0;
    std::vector<ExpertIndex> experts;

    ExpertIndex at(std::uint32_t rank, std::uint32_t slot) const
    {
        return experts[rank * slots + slot];
    }
    friend bool operator==(const Placement &, const Placement &) = default;
};

// How the tokens of each expert are split, and what follows from it.
struct LoadSplit
{
    std::vector<double> slotShare; // Part of all tokens that each slot works on.
    std::vector<double> rankTime;  // Step time of each rank, in units of the ideal mean.
    double skew = 1.0;             // Largest step time over the mean.
};

// What the balancer has to work with.
struct BalanceInput
{
    std::vector<double> shares; // Popularity of each expert; sums to 1.
    std::vector<double> speeds; // Speed of each rank; 1 is normal.
    ObjectiveConfig objective;
    double noise = 0.0;         // Of one expert's share.
    std::uint32_t maxMoves = 0; // What the weight store's rate allows now.
};

// What the balancer proposes.
struct BalanceResult
{
    Placement placement;
    LoadSplit split;
    std::uint32_t moves = 0; // Slots whose expert changes.
    double objective = 0.0;
};

// Returns the baseline: expert e on rank e mod ranks, spare slots with the experts in turn.
Placement staticPlacement(std::uint32_t ranks, std::uint32_t slots, std::uint32_t experts);

// Returns a placement made from nothing: replicas by popularity, then the heaviest first onto the
// least loaded rank.
Placement greedyPlacement(std::uint32_t ranks, std::uint32_t slots, std::span<const double> shares,
                          std::span<const double> speeds);

// Returns the split that evens out the step times of a placement.
LoadSplit splitLoad(const Placement &placement, std::span<const double> shares,
                    std::span<const double> speeds);

// Returns the number of slots whose weights must be loaded to get from one placement to another,
// when each rank arranges its slots as it likes.
std::uint32_t movedSlots(const Placement &from, const Placement &to);

// Improves `current`. The result is never worse than `current` by the objective.
BalanceResult balance(const Placement &current, const BalanceInput &input);

} // namespace seamarch
