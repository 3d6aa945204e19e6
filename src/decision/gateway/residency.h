// The regions in which a request may be served, as configured for its route and its client account.
//
// Each configured list restricts the request further: the allowed regions are the intersection of
// all lists, which may be empty.
//
// Performs no I/O and is not thread-safe.
#pragma once

#include "seamarch/ids.h"

#include <optional>
#include <set>
#include <vector>

namespace seamarch {

// A set of allowed regions; allows every region until it is restricted.
class Residency
{
public:
    // Restricts the request to `regions`, in addition to earlier calls. An empty list restricts
    // nothing.
    void restrictTo(const std::vector<RegionId> &regions);
    // Returns whether the request may be served in every region.
    bool isUnrestricted() const { return !regions_.has_value(); }
    // Returns whether the request may be served in `region`. The empty id stands for an unknown
    // region, which a restricted request may not use.
    bool allows(const RegionId &region) const
    {
        return isUnrestricted() || regions_->contains(region);
    }

private:
    std::optional<std::set<RegionId>> regions_;
};

} // namespace seamarch
