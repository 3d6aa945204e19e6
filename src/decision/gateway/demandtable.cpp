#include "decision/gateway/demandtable.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace seamarch {
namespace {

using Demands = DemandTable::Demands;
using SumKey = std::tuple<TargetName, GroupId, bool>;

// Adds up demands by service, group, and whether streams are queued.
class Sums
{
public:
    void add(const Demands &demands)
    {
        for (const GroupDemand &demand : demands) {
            auto [found, added] =
                sums_.try_emplace({demand.service, demand.group, demand.queued > 0},
                                  GroupDemand{demand.service, demand.group, 0, 0, 0, 0.0});
            GroupDemand &sum = found->second;
            sum.gateways += demand.gateways;
            sum.inFlight += demand.inFlight;
            sum.queued += demand.queued;
            sum.limit += demand.limit;
        }
    }

    Demands all() const
    {
        Demands demands;
        for (const auto &[key, sum] : sums_) {
            demands.push_back(sum);
        }
        return demands;
    }

private:
    std::map<SumKey, GroupDemand> sums_;
};

// Returns what one of the gateways of `demand` wants, if all want equally much.
double wantOf(const GroupDemand &demand)
{
    const double each = (static_cast<double>(demand.inFlight) + demand.queued) / demand.gateways;
    return each + std::sqrt(each);
}

bool differ(double told, double present, double fraction)
{
    return std::abs(told - present) > fraction * std::max({told, present, 1.0});
}

// Returns the largest share that gateways with these wants can have so that all shares add up to
// `total`, which is less than the sum of the wants.
double fairLevel(Demands parts, double total)
{
    std::sort(parts.begin(), parts.end(), [](const GroupDemand &left, const GroupDemand &right) {
        return wantOf(left) < wantOf(right);
    });
    double gateways = 0.0;
    for (const GroupDemand &part : parts) {
        gateways += part.gateways;
    }
    double level = 0.0;
    for (const GroupDemand &part : parts) {
        level = total / gateways;
        if (wantOf(part) >= level) {
            break;
        }
        total -= wantOf(part) * part.gateways;
        gateways -= part.gateways;
    }
    return level;
}

} // namespace

bool DemandTable::differs(const Demands &told, const Demands &present) const
{
    const double fraction = settings_.minChange;
    return !std::equal(told.begin(), told.end(), present.begin(), present.end(),
                       [fraction](const GroupDemand &left, const GroupDemand &right) {
                           return left.service == right.service && left.group == right.group
                                  && left.gateways == right.gateways
                                  && (left.queued > 0) == (right.queued > 0)
                                  && !differ(left.inFlight, right.inFlight, fraction)
                                  && !differ(left.queued, right.queued, fraction)
                                  && !differ(left.limit, right.limit, fraction);
                       });
}

void DemandTable::updateVersion(TimePoint now)
{
    Demands sums = siteSums(now);
    if (toldSums_ != sums) {
        toldSums_ = std::move(sums);
        ++version_;
    }
}

// The demands are kept as told, so that shares rest on what the others know.
bool DemandTable::setOwn(const Demands &demands, TimePoint now)
{
    while (!earlierOwn_.empty() && now - earlierOwn_.front().asOf >= settings_.spreadTime) {
        earlierOwn_.pop_front();
    }
    const bool first = own_.asOf == TimePoint{};
    own_.asOf = now;
    if (!differs(own_.demands, demands)) {
        return false;
    }
    if (!first) {
        earlierOwn_.push_back(own_);
    }
    own_.demands = demands;
    updateVersion(now);
    return true;
}

void DemandTable::mergeGateway(const InstanceId &gateway, const Demands &demands, TimePoint asOf)
{
    if (gateway == self_) {
        return;
    }
    Statement &statement = gateways_[gateway];
    if (asOf >= statement.asOf) {
        statement = {demands, asOf};
    }
}

void DemandTable::mergeHall(const HallId &hall, const Demands &demands, TimePoint asOf)
{
    Statement &statement = halls_[hall];
    if (asOf >= statement.asOf) {
        statement = {demands, asOf};
    }
}

Demands DemandTable::hallSums(TimePoint now) const
{
    Sums sums;
    if (isFresh(own_, now)) {
        sums.add(own_.demands);
    }
    for (const auto &[gateway, statement] : gateways_) {
        if (isFresh(statement, now)) {
            sums.add(statement.demands);
        }
    }
    return sums.all();
}

Demands DemandTable::siteSums(TimePoint now) const
{
    Sums sums;
    sums.add(hallSums(now));
    for (const auto &[hall, statement] : halls_) {
        if (hall != hall_ && isFresh(statement, now)) {
            sums.add(statement.demands);
        }
    }
    return sums.all();
}

// Returns the sums of all halls that the first gateway of this hall has stated; nullptr if there
// are none, as at that gateway itself.
const DemandTable::Statement *DemandTable::freshSite(TimePoint now) const
{
    const auto found = halls_.find(hall_);
    return found != halls_.end() && isFresh(found->second, now) ? &found->second : nullptr;
}

// Returns the least that this gateway stated within the time in which others may count on it.
double DemandTable::knownWant(const TargetName &service, const GroupId &group, TimePoint now) const
{
    const auto wantIn = [&](const Demands &demands) {
        const auto found = std::find_if(demands.begin(), demands.end(), [&](const auto &demand) {
            return demand.service == service && demand.group == group;
        });
        return found == demands.end() ? 0.0 : wantOf(*found);
    };
    double want = wantIn(own_.demands);
    for (const Statement &earlier : earlierOwn_) {
        if (now - earlier.asOf < settings_.spreadTime) {
            want = std::min(want, wantIn(earlier.demands));
        }
    }
    return want;
}

std::optional<double> DemandTable::shareOf(const TargetName &service, const GroupId &group,
                                           TimePoint now) const
{
    const auto isOther = [&](const GroupDemand &demand) {
        return demand.service != service || demand.group != group || demand.gateways == 0;
    };
    const auto own = std::find_if_not(own_.demands.begin(), own_.demands.end(), isOther);
    if (own == own_.demands.end() || !isFresh(own_, now)) {
        return std::nullopt;
    }
    Demands parts;
    if (const Statement *site = freshSite(now); site != nullptr) {
        parts = site->demands;
    } else {
        parts = own_.demands;
        for (const auto &[gateway, statement] : gateways_) {
            if (isFresh(statement, now)) {
                parts.insert(parts.end(), statement.demands.begin(), statement.demands.end());
            }
        }
        for (const auto &[hall, statement] : halls_) {
            if (isFresh(statement, now)) {
                parts.insert(parts.end(), statement.demands.begin(), statement.demands.end());
            }
        }
    }
    std::erase_if(parts, isOther);
    double gateways = 0.0;
    double total = 0.0;
    double wanted = 0.0;
    for (const GroupDemand &part : parts) {
        gateways += part.gateways;
        total += part.limit;
        wanted += wantOf(part) * part.gateways;
    }
    if (gateways < 2.0) {
        return std::nullopt;
    }
    // Places that nobody wants are divided evenly.
    const double want = knownWant(service, group, now);
    return wanted <= total ? want + (total - wanted) / gateways
                           : std::min(want, fairLevel(std::move(parts), total));
}

void DemandTable::expire(TimePoint now)
{
    const auto isOld = [&](const auto &entry) { return !isFresh(entry.second, now); };
    std::erase_if(gateways_, isOld);
    std::erase_if(halls_, isOld);
    updateVersion(now);
}

Duration DemandTable::oldestAge(TimePoint now) const
{
    TimePoint oldest = now;
    for (const auto &[gateway, statement] : gateways_) {
        oldest = std::min(oldest, statement.asOf);
    }
    for (const auto &[hall, statement] : halls_) {
        oldest = std::min(oldest, statement.asOf);
    }
    return now - oldest;
}

} // namespace seamarch
