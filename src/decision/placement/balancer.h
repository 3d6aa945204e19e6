// Functions that place the experts of one layer on the ranks of a group.
//
// A placement gives every rank the same number of slots and assigns an expert to each slot. Popular
// experts occupy several slots. The expert map also states how each expert's tokens are split over
// its replicas. The split equalizes the step times of the ranks, so that a slow rank gets less work
// without any weights being moved.
//
// The balancer minimizes skewWeight · (T − 1) + moveWeight · (moved slots / slots), where T is the
// largest step time relative to a perfectly even load. It improves the current placement greedily:
// each step applies the replacement or swap with the largest gain per moved slot. It stops when the
// gain does not exceed the cost by a margin derived from the noise of the popularity estimate.
// Every intermediate placement is valid.
//
// The functions are pure and deterministic.
#pragma once

#include "seamarch/configdocument.h"

#include <cstdint>
#include <span>
#include <vector>

namespace seamarch {

using ExpertIndex = std::uint32_t;

// The expert in each slot of each rank, stored rank by rank.
struct Placement
{
    std::uint32_t ranks = 0;
    std::uint32_t slots = 0;          // Slots of each rank.
    std::vector<ExpertIndex> experts; // ranks · slots entries.

    ExpertIndex at(std::uint32_t rank, std::uint32_t slot) const
    {
        return experts[rank * slots + slot];
    }
    friend bool operator==(const Placement &, const Placement &) = default;
};

// The split of each expert's tokens over its replicas, and the step times that result.
struct LoadSplit
{
    std::vector<double> slotShare; // Fraction of all tokens that each slot processes.
    std::vector<double> rankTime;  // Step time of each rank, relative to a perfectly even load.
    double skew = 1.0;             // Largest step time divided by the mean.
};

// The input of `balance`.
struct BalanceInput
{
    std::vector<double> shares; // Popularity of each expert; sums to 1.
    std::vector<double> speeds; // Relative speed of each rank; 1 is normal.
    ObjectiveConfig objective;
    double noise = 0.0;         // Standard deviation of one expert's share.
    std::uint32_t maxMoves = 0; // Slot changes that the rate of the weight store allows now.
};

// The placement that `balance` proposes.
struct BalanceResult
{
    Placement placement;
    LoadSplit split;
    std::uint32_t moves = 0; // Slots whose expert changes.
    double objective = 0.0;
};

// Returns the baseline placement, which ignores popularity: the experts fill the slots round robin
// over the ranks, and the remaining slots hold further replicas in the same order.
Placement staticPlacement(std::uint32_t ranks, std::uint32_t slots, std::uint32_t experts);

// Returns a placement computed without regard to the current one: assigns replica counts by
// popularity, then places the replicas with the largest load first, each on the least loaded rank.
Placement greedyPlacement(std::uint32_t ranks, std::uint32_t slots, std::span<const double> shares,
                          std::span<const double> speeds);

// Returns the split that equalizes the step times of the ranks as far as the placement allows.
LoadSplit splitLoad(const Placement &placement, std::span<const double> shares,
                    std::span<const double> speeds);

// Returns the number of slots whose weights must be loaded to change from one placement to another.
// The order of the slots within a rank is ignored.
std::uint32_t movedSlots(const Placement &from, const Placement &to);

// Returns an improved placement with at most `maxMoves` slots changed. Its objective is never worse
// than that of `current`.
BalanceResult balance(const Placement &current, const BalanceInput &input);

} // namespace seamarch
