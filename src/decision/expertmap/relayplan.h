// Which agents pass a large order on to others, so that the decider's own link carries it only a
// few times.
//
// A prepare holds the whole map: at 129 ranks some 7 KB, of which a link of 6 Mbit/s carries a
// hundred a second. Sent to each of n ranks by one link it takes n times its time. In b blocks, in
// each of which one agent passes it on to the others over a link of its own, it takes b + n / b
// times, least at b = sqrt(n). Only orders that copy experts are passed on: whichever of them
// comes late, doubled or not at all, no rank takes a map by it.
//
// Pure functions.
#pragma once

#include <cstdint>
#include <vector>

namespace seamarch {

struct RelayInputs
{
    std::vector<std::uint32_t> ranks; // To be reached, whose agents answer.
    std::uint64_t orderBytes = 0;
    double linkBytesPerSecond = 0.0; // Of the decider; the others' are taken to be alike.
    std::uint64_t rotation = 0;      // Each turn chooses other agents to pass on.
};

// The first rank of a block passes the order on to the others.
using RelayBlock = std::vector<std::uint32_t>;

// Returns the blocks; each has one rank where the order reaches all of them soon enough without.
std::vector<RelayBlock> planRelays(const RelayInputs &inputs);

} // namespace seamarch
