// Places the experts of one set of layers on the ranks of a group whose engines share an expert's
// tokens evenly among the ranks that hold it.
//
// A pass of the group lasts as long as its most loaded rank, so the placement lowers the largest
// load; a slow rank's load weighs more by its pace. The search starts from the placement in use and
// makes single changes, the best first: a replica more of an expert of the most loaded rank, in a
// free place or instead of an expert that others hold too, an exchange of two experts, or one
// replica less. How many experts may be new to a rank is bounded, because each is copied while the
// group works on.
//
// Pure functions; deterministic. (`balancer.h` is for engines that take a split of each expert's
// tokens with the map; these engines take none.)
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <vector>

namespace seamarch {

// The experts of each rank, in rising order.
using RankExperts = std::vector<std::vector<std::uint16_t>>;

struct PlacementBounds
{
    std::uint32_t maxExperts = 0;    // Experts that a rank holds at most.
    std::uint32_t maxNewExperts = 0; // Of those, how many may be new to it.
    std::uint32_t maxChanges = 64;   // Bounds the time that the search takes.
    // The search stops at this skew: every copy has a price and takes time, and the counts of a
    // moment are no better than this.
    double targetSkew = 1.0;
    // Where given, how many experts may still be new to each rank, in place of `maxNewExperts`: the
    // sets of a group share what a rank can copy in a given time.
    std::span<const std::uint32_t> maxNewByRank{};
    // How many experts may be new in all, counted by rank.
    std::uint32_t maxNewTotal = std::numeric_limits<std::uint32_t>::max();
    // Experts of the most loaded rank go to one of this many least loaded ranks: others are hardly
    // ever better, and weighing all of them takes a time that grows with the square of the group.
    std::size_t maxTargets = 12;
};

// How many times as long as a sound rank each rank takes for the same load. A rank without an entry
// is sound.
using RankPaces = std::span<const double>;

// Returns the load of each rank, in parts of all tokens times its pace. `shares` holds each
// expert's part.
std::vector<double> rankLoads(const RankExperts &placement, std::span<const double> shares,
                              RankPaces paces = {});

// Returns the largest load over the mean that sound ranks would have; 1 is even.
double placementSkew(const RankExperts &placement, std::span<const double> shares,
                     RankPaces paces = {});

// Returns an improved placement; never one with a larger skew.
RankExperts improvePlacement(const RankExperts &current, std::span<const double> shares,
                             const PlacementBounds &bounds, RankPaces paces = {});

} // namespace seamarch
