// The order in which a gateway fills equally suitable upstreams of a hall.
//
// A gateway knows only its own requests. If many gateways have few requests each, the upstreams
// that appear idle to one are no less loaded than others, and a random choice piles up requests:
// with three requests per upstream on average, one in twenty is sent to an upstream whose six slots
// are taken. So the gateways of a hall form a ring: each fills the upstreams in turn from its own
// start, and equal numbers of gateways start at each upstream. The remaining imbalance comes from
// the different numbers of requests of the gateways. All gateways compute the order from what they
// know of each other; while their views differ, the load is spread a little less evenly.
//
// Pure.
#pragma once

#include <cstddef>

namespace seamarch {

// The position of a gateway among those of its hall.
struct HallPosition
{
    std::size_t index = 0;    // From 0.
    std::size_t gateways = 1; // Including this one.
};

// Returns the position of the upstream at `index` of a hall's `upstreams` in the fill order of the
// gateway at `position`; zero is the first. `upstreams` must not be zero.
std::size_t fillPosition(std::size_t index, std::size_t upstreams, const HallPosition &position);

} // namespace seamarch
