#include "gateway/demandsharing.h"

#include "base/log.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace seamarch {
namespace {

// A share is logged again if it changes by more than this fraction.
constexpr double kReportedChange = 0.25;

} // namespace

void DemandSharing::tick(TimePoint now)
{
    const DemandTable::Demands demands = core_.demands();
    // A group that does not report itself any more has no share.
    const auto known = reported_;
    for (const auto &reported : known) {
        const Key &key = reported.first;
        const bool isStated = std::any_of(demands.begin(), demands.end(), [&](const auto &demand) {
            return demand.service == key.first && demand.group == key.second;
        });
        if (!isStated) {
            core_.setShare(key.first, key.second, std::nullopt);
            report({key.first, key.second}, std::nullopt, now);
        }
    }
    exchange_.setOwn(demands, now);
    double shares = 0.0;
    for (const GroupDemand &demand : demands) {
        const auto share = exchange_.table().shareOf(demand.service, demand.group, now);
        core_.setShare(demand.service, demand.group, share);
        report(demand, share, now);
        shares += share.value_or(0.0);
    }
    metrics_.set("seamarch_demand_share_streams", shares);
    metrics_.set("seamarch_demand_age_seconds", toSeconds(exchange_.table().oldestAge(now)));
}

// Logs that a share is used first, has changed much, or is lost.
void DemandSharing::report(const GroupDemand &demand, std::optional<double> share, TimePoint now)
{
    const Key key{demand.service, demand.group};
    const auto last = reported_.find(key);
    const bool known = last != reported_.end();
    const bool changed =
        known && share
        && std::abs(*share - last->second) > kReportedChange * std::max(last->second, 1.0);
    if (known == share.has_value() && !changed) {
        return;
    }
    const char *event = !share  ? "demand.share_lost"
                        : known ? "demand.share_changed"
                                : "demand.share_used";
    logLine(LogLevel::Info, event,
            {{"service", demand.service.value()},
             {"group", demand.group.value()},
             {"share", share ? nlohmann::json(*share) : nlohmann::json()},
             {"before", known ? nlohmann::json(last->second) : nlohmann::json()},
             {"limit", demand.limit},
             {"inFlight", demand.inFlight},
             {"queued", demand.queued},
             {"ageMs", toMillis(exchange_.table().oldestAge(now))}});
    metrics_.count("seamarch_demand_share_changes_total", event);
    if (share) {
        reported_[key] = *share;
    } else {
        reported_.erase(key);
    }
}

nlohmann::json DemandSharing::status(TimePoint now) const
{
    nlohmann::json shown = nlohmann::json::array();
    for (const GroupDemand &demand : exchange_.table().own()) {
        const auto share = exchange_.table().shareOf(demand.service, demand.group, now);
        shown.push_back({{"service", demand.service.value()},
                         {"group", demand.group.value()},
                         {"share", share ? nlohmann::json(*share) : nlohmann::json()},
                         {"limit", demand.limit},
                         {"inFlight", demand.inFlight},
                         {"queued", demand.queued},
                         {"ageMs", toMillis(exchange_.table().oldestAge(now))}});
    }
    return shown;
}

} // namespace seamarch
