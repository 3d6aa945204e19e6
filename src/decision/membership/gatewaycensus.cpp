#include "decision/membership/gatewaycensus.h"

namespace seamarch {

GatewayCensus::GatewayCensus(const Settings &settings, const HallId &ownHall)
    : settings_(settings)
    , unseenHalls_(settings.halls)
{
    unseenHalls_.erase(ownHall);
}

void GatewayCensus::recordSeen(const InstanceId &gateway, const HallId &hall, TimePoint now)
{
    lastSeen_[gateway] = now;
    unseenHalls_.erase(hall);
}

void GatewayCensus::expire(TimePoint now)
{
    std::erase_if(lastSeen_,
                  [&](const auto &entry) { return now - entry.second > settings_.memory; });
}

std::optional<std::size_t> GatewayCensus::count() const
{
    const bool noPeerSeen = settings_.expectsPeers && lastSeen_.empty();
    if (noPeerSeen || !unseenHalls_.empty()) {
        return std::nullopt;
    }
    return lastSeen_.size() + 1;
}

} // namespace seamarch
