// Chooses which agents relay a large order to other agents, so that the decider's own link carries
// it only a few times.
//
// A prepare contains the whole map: about 7 KB at 129 ranks, of which a link of 6 Mbit/s carries
// about a hundred per second. Sending it over one link to each of n ranks takes n transfer times.
// With b blocks, in each of which one agent relays the order to the others over its own link, it
// takes b + n / b transfer times, which is minimal at b = sqrt(n). Only orders that copy experts
// are relayed: no rank switches maps because of such an order, even if it arrives late, twice or
// never.
//
// Pure functions.
#pragma once

#include <cstdint>
#include <vector>

namespace seamarch {

// The recipients and the size of an order, and the bandwidth of the links.
struct RelayInputs
{
    std::vector<std::uint32_t> ranks; // Recipients whose agents answer.
    std::uint64_t orderBytes = 0;
    double linkBytesPerSecond = 0.0; // Link of the decider; other links are assumed equal.
    std::uint64_t rotation = 0;      // Different values select different relays.
};

// Ranks that receive the order together. The first rank relays it to the others.
using RelayBlock = std::vector<std::uint32_t>;

// Returns the blocks. Each block has a single rank if sending the order directly is fast enough.
std::vector<RelayBlock> planRelays(const RelayInputs &inputs);

} // namespace seamarch
