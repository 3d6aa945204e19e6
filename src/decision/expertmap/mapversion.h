// Versions of expert maps. A version rises with each change of an epoch, and its last digits name
// the rank whose agent decided on the change, when that agent arms its own rank last of all: then
// another agent can end the change without that rank (see GroupDecider).
//
// Pure functions.
#pragma once

#include <cstdint>
#include <optional>

namespace seamarch {

// Returns a version above `lowest` that names `armedLast`, or that names nobody.
std::uint64_t mapVersionAbove(std::uint64_t lowest, std::optional<std::uint32_t> armedLast);

// Returns the rank that is armed last in the change to `version`; nothing when none is.
std::optional<std::uint32_t> rankArmedLast(std::uint64_t version);

} // namespace seamarch
