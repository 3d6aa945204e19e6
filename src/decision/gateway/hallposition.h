// In which order a gateway fills the upstreams of a hall, when they are alike to it.
//
// A gateway sees only its own requests. Where many gateways have few requests each, the upstreams
// that one finds empty are no emptier than others, and a choice by chance piles requests up: with
// three requests to an upstream on average, one in twenty is sent to an upstream whose six places
// are taken. So the gateways of a hall stand in a circle, each fills the upstreams in turn from a
// place of its own on, and the same number of gateways begins at each upstream. What is left of the
// unevenness is that of how many requests a gateway has. All gateways compute the order from what
// they know of each other; where they differ for a moment, the spread is a little worse.
//
// Pure.
#pragma once

#include <cstddef>

namespace seamarch {

// Where a gateway stands among those of its hall.
struct HallPosition
{
    std::size_t index = 0;
    std::size_t gateways = 1;
};

// Returns the turn of the upstream at `index` of a hall's `upstreams` in the order of the gateway;
// zero is the first. `upstreams` is not zero.
std::size_t fillPosition(std::size_t index, std::size_t upstreams, const HallPosition &position);

} // namespace seamarch
