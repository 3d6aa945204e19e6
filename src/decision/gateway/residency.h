// In which regions a request may be served, as its route and its client account name them.
//
// Each that names regions binds, so what is left is what all of them name; that may be nothing.
//
// Pure.
#pragma once

#include "seamarch/ids.h"

#include <optional>
#include <set>
#include <vector>

namespace seamarch {

class Residency
{
public:
    // Binds the request to `regions`, besides those before; none bind nothing.
    void restrictTo(const std::vector<RegionId> &regions);
    // Tells whether the request may be served anywhere.
    bool isUnrestricted() const { return !regions_.has_value(); }
    // Tells whether it may be served in `region`; one that is not known is none of those named.
    bool allows(const RegionId &region) const
    {
        return isUnrestricted() || regions_->contains(region);
    }

private:
    std::optional<std::set<RegionId>> regions_;
};

} // namespace seamarch
