// Versions of expert maps. Versions increase with every change within an epoch. The low digits of a
// version encode the rank whose agent decided on the change, if that agent arms its own rank last;
// another agent can then end the change without that rank (see GroupDecider).
//
// Pure functions.
#pragma once

#include <cstdint>
#include <optional>

namespace seamarch {

// Returns a version greater than `lowest` that encodes `armedLast`, or no rank if it is nullopt or
// too large to be encoded.
std::uint64_t mapVersionAbove(std::uint64_t lowest, std::optional<std::uint32_t> armedLast);

// Returns the rank that is armed last in the change to `version`, or nothing if none is encoded.
std::optional<std::uint32_t> rankArmedLast(std::uint64_t version);

} // namespace seamarch
