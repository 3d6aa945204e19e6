// Places the experts of one set of layers on the ranks of a group whose engines split an expert's
// tokens evenly among the ranks that hold it.
//
// A pass of the group takes as long as its most loaded rank, so the search minimizes the largest
// load; the load of a slow rank is multiplied by its pace. The search starts from the placement in
// use and repeatedly applies the single change that improves it most: it adds a replica of an
// expert of the most loaded rank, either in a free slot or in place of an expert that other ranks
// hold too; swaps two experts; or removes a replica. The number of experts that are new to a rank
// is bounded, because each of them is copied while the group is running.
//
// Pure, deterministic functions. `balancer.h` serves engines that accept a split of each expert's
// tokens together with the map; the engines here do not.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <vector>

namespace seamarch {

// The experts of each rank, in ascending order.
using RankExperts = std::vector<std::vector<std::uint16_t>>;

// Limits of a search for a better placement.
struct PlacementBounds
{
    std::uint32_t maxExperts = 0;    // Maximum number of experts on a rank.
    std::uint32_t maxNewExperts = 0; // Maximum number of experts that are new to a rank.
    std::uint32_t maxChanges = 64;   // Bounds the running time of the search.
    // The search stops at this skew, because every copy costs time and the counts of a single
    // period are not more accurate than this.
    double targetSkew = 1.0;
    // If not empty, replaces `maxNewExperts` by a bound for each rank. The sets of a group share
    // the number of experts that a rank can copy in a given time.
    std::span<const std::uint32_t> maxNewByRank{};
    // Maximum number of new experts, summed over all ranks.
    std::uint32_t maxNewTotal = std::numeric_limits<std::uint32_t>::max();
    // Number of least loaded ranks that are considered as targets. Other ranks are rarely better,
    // and evaluating all of them takes time quadratic in the size of the group.
    std::size_t maxTargets = 12;
};

// Time that each rank takes for a given load, relative to a healthy rank. A rank without an entry
// has pace 1.
using RankPaces = std::span<const double>;

// Returns the load of each rank: its share of all tokens times its pace. `shares` holds the share
// of each expert.
std::vector<double> rankLoads(const RankExperts &placement, std::span<const double> shares,
                              RankPaces paces = {});

// Returns the largest load divided by the mean load of healthy ranks; 1 means perfectly even.
double placementSkew(const RankExperts &placement, std::span<const double> shares,
                     RankPaces paces = {});

// Returns an improved placement, or `current` if the search finds none with a smaller skew.
RankExperts improvePlacement(const RankExperts &current, std::span<const double> shares,
                             const PlacementBounds &bounds, RankPaces paces = {});

} // namespace seamarch
