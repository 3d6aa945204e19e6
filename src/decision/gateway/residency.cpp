#include "decision/gateway/residency.h"

namespace seamarch {

void Residency::restrictTo(const std::vector<RegionId> &regions)
{
    if (regions.empty()) {
        return;
    }
    const std::set<RegionId> named(regions.begin(), regions.end());
    if (isUnrestricted()) {
        regions_ = named;
        return;
    }
    std::erase_if(*regions_, [&named](const RegionId &region) { return !named.contains(region); });
}

} // namespace seamarch
