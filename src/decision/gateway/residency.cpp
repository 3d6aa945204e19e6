#include "decision/gateway/residency.h"

namespace seamarch {

void Residency::restrictTo(const std::vector<RegionId> &regions)
{
    if (regions.empty()) {
        return;
    }
    const std::set<RegionId> allowed(regions.begin(), regions.end());
    if (isUnrestricted()) {
        regions_ = allowed;
        return;
    }
    std::erase_if(*regions_,
                  [&allowed](const RegionId &region) { return !allowed.contains(region); });
}

} // namespace seamarch
