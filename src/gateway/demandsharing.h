// Connects the demand that gateways tell each other with this gateway's core: states what the core
// wants of each group, sets its share there, and reports shares in logs, metrics and the status.
//
// Single-threaded. The constructor's references must outlive the object.
#pragma once

#include "decision/gateway/demandexchange.h"
#include "decision/gateway/gatewaycore.h"
#include "observe/metrics.h"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <utility>

namespace seamarch {

class DemandSharing
{
public:
    DemandSharing(GatewayCore &core, Metrics &metrics, const InstanceId &self, const HallId &hall)
        : core_(core)
        , metrics_(metrics)
        , exchange_(self, hall)
    {}

    DemandExchange &exchange() { return exchange_; }

    // Updates the own demand and the shares. Must be called before each tick of the core.
    void tick(TimePoint now);
    // Returns the shares by service and group, with what they rest on.
    nlohmann::json status(TimePoint now) const;

private:
    using Key = std::pair<TargetName, GroupId>;

    void report(const GroupDemand &demand, std::optional<double> share, TimePoint now);

    GatewayCore &core_;
    Metrics &metrics_;
    DemandExchange exchange_;
    std::map<Key, double> reported_; // The shares in use, as last logged.
};

} // namespace seamarch
