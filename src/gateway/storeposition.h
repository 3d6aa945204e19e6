// A position in the history of the platform's store, ordered by era and then by revision.
//
// The store numbers its changes with revisions. After a data loss it is restored from a copy that
// is a few seconds old: it starts a new era and continues from the copy's revision, so revisions
// are issued again.
#pragma once

#include <compare>
#include <cstdint>

namespace seamarch {

struct StorePosition
{
    std::uint64_t era = 0; // Zero if unknown, as from a store or gateway of an older version.
    std::uint64_t revision = 0;

    friend bool operator==(const StorePosition &, const StorePosition &) = default;
    friend auto operator<=>(const StorePosition &, const StorePosition &) = default;
};

// Returns whether the store was restored from a copy between `before` and `after`.
inline bool wasRolledBack(const StorePosition &before, const StorePosition &after)
{
    return before.era != 0 && after.era > before.era;
}

} // namespace seamarch
