// A state of the platform's store, in the order in which the store had them.
//
// The store counts its changes. After a loss it comes back from a copy that is some seconds old: it
// begins another era, and counts on from the copy's revision, so revisions are given out again.
#pragma once

#include <compare>
#include <cstdint>

namespace seamarch {

struct StorePosition
{
    std::uint64_t era = 0; // Zero: not told, as by a store or a gateway of an earlier version.
    std::uint64_t revision = 0;

    friend bool operator==(const StorePosition &, const StorePosition &) = default;
    friend auto operator<=>(const StorePosition &, const StorePosition &) = default;
};

// Tells whether the store has come back from a copy between `before` and `after`.
inline bool wasRolledBack(const StorePosition &before, const StorePosition &after)
{
    return before.era != 0 && after.era > before.era;
}

} // namespace seamarch
