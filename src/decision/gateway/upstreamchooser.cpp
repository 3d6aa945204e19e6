#include "decision/gateway/upstreamchooser.h"

#include <algorithm>
#include <utility>

namespace seamarch {

UpstreamChooser::UpstreamChooser(const Settings &settings, const UpstreamTable &upstreams,
                                 const GroupTable &groups, const UpstreamLimits &limits,
                                 const WarmUpLimits &warmUps, SendPermits &permits)
    : settings_(settings)
    , upstreams_(upstreams)
    , groups_(groups)
    , limits_(limits)
    , warmUps_(warmUps)
    , permits_(permits)
    , outliers_(settings.outliers)
{}

const UpstreamChooser::Groups &UpstreamChooser::groupsOf(const TargetName &service)
{
    const auto [found, added] = grouped_.try_emplace(service);
    Grouped &grouped = found->second;
    const bool changed = grouped.upstreamChanges != upstreams_.changes()
                         || grouped.groupChanges != groups_.changes();
    if (added || changed) {
        grouped = {upstreams_.changes(), groups_.changes(), collect(service)};
    }
    return grouped.groups;
}

UpstreamChooser::Groups UpstreamChooser::collect(const TargetName &service) const
{
    Groups groups;
    for (const UpstreamRecord *record : upstreams_.candidates(service)) {
        Group &group = groups[groups_.groupOf(*record)];
        group.inManyHalls =
            group.inManyHalls
            || (!group.upstreams.empty() && group.upstreams.front()->hall != record->hall);
        group.inOwnHall = group.inOwnHall || record->hall == settings_.hall;
        group.slots += record->slots;
        group.upstreams.push_back(record);
    }
    return groups;
}

// Rates an upstream; the lowest is the best. `turn` is its place in the own order of its hall's
// upstreams, from 0 to 1.
double UpstreamChooser::score(const UpstreamRecord &record, double turn) const
{
    constexpr double kTurnWeight = 0.5; // Less than one request in flight.
    const double penalty = record.hall == settings_.hall ? 0.0 : settings_.otherHallPenalty;
    return inFlightAt(record.id) + penalty + kTurnWeight * turn;
}

// Returns the turn of each upstream in this gateway's order of its hall's upstreams, from 0 to 1.
UpstreamChooser::Turns
UpstreamChooser::turnsOf(const std::vector<const UpstreamRecord *> &upstreams) const
{
    std::unordered_map<HallId, std::vector<InstanceId>> halls;
    for (const UpstreamRecord *record : upstreams) {
        halls[record->hall].push_back(record->id);
    }
    Turns turns;
    for (const auto &[hall, ids] : halls) {
        for (std::size_t index = 0; index < ids.size(); ++index) {
            const auto turn = static_cast<double>(upstreamTurn(index, ids.size(), place_));
            turns.emplace(ids[index], turn / static_cast<double>(ids.size()));
        }
    }
    return turns;
}

bool UpstreamChooser::takesNothing(const InstanceId &upstream, TimePoint now) const
{
    const auto state = states_.find(upstream);
    return state != states_.end()
           && std::max(state->second.fullUntil, state->second.restUntil) > now;
}

bool UpstreamChooser::needsPermit(const UpstreamRecord &upstream, TimePoint now) const
{
    return limits_.limitOf(upstream) || warmUps_.limitOf(upstream, now);
}

bool UpstreamChooser::lacksPermit(const UpstreamRecord &upstream, TimePoint now) const
{
    return needsPermit(upstream, now) && !permits_.has(upstream.id, now);
}

// Wants permits for the best of them that can be had now. One request takes one permit; a second
// question covers an issuer that has none. To ask for all of a service that warms up would take as
// many questions as it has upstreams, for each request.
void UpstreamChooser::wantPermits(std::vector<Ranked> upstreams, TimePoint now)
{
    constexpr std::size_t kMostWanted = 2;
    std::erase_if(upstreams,
                  [&](const Ranked &ranked) { return permits_.notBefore(ranked.second) > now; });
    std::sort(upstreams.begin(), upstreams.end());
    for (std::size_t index = 0; index < std::min(kMostWanted, upstreams.size()); ++index) {
        permits_.want(upstreams[index].second);
    }
}

bool UpstreamChooser::mayServe(const UpstreamRecord &upstream, const Residency &residency) const
{
    const auto region = settings_.regions.find(upstream.hall);
    return residency.allows(region == settings_.regions.end() ? RegionId() : region->second);
}

bool UpstreamChooser::hasUpstream(const TargetName &service, const Residency &residency)
{
    if (residency.isFree()) {
        return true;
    }
    const Groups &groups = groupsOf(service);
    return std::any_of(groups.begin(), groups.end(), [&](const auto &group) {
        const auto &upstreams = group.second.upstreams;
        return std::any_of(upstreams.begin(), upstreams.end(), [&](const UpstreamRecord *upstream) {
            return mayServe(*upstream, residency);
        });
    });
}

std::optional<InstanceId> UpstreamChooser::choose(const Target &target,
                                                  const std::set<InstanceId> &tried, TimePoint now)
{
    std::vector<const UpstreamRecord *> candidates;
    for (const auto &[id, members] : groupsOf(target.service)) {
        if (!target.group || *target.group == id) {
            candidates.insert(candidates.end(), members.upstreams.begin(), members.upstreams.end());
        }
    }
    const Turns turns = turnsOf(candidates);
    std::erase_if(candidates, [&](const UpstreamRecord *record) {
        return takesNothing(record->id, now) || tried.contains(record->id)
               || !mayServe(*record, target.residency);
    });
    std::vector<InstanceId> ids;
    ids.reserve(candidates.size());
    for (const UpstreamRecord *record : candidates) {
        ids.push_back(record->id);
    }
    const std::vector<InstanceId> trusted = outliers_.filterCandidates(ids, now);
    const auto isDoubtful = [&](const UpstreamRecord *record) {
        const auto state = states_.find(record->id);
        const bool avoided = state != states_.end() && state->second.avoidUntil > now;
        return avoided || groups_.slowness(*record, now) >= settings_.slowRank
               || std::find(trusted.begin(), trusted.end(), record->id) == trusted.end();
    };
    std::optional<InstanceId> best;
    std::pair<bool, double> bestRank;
    std::vector<Ranked> withoutPermit;
    for (const UpstreamRecord *record : candidates) {
        const std::pair rank(isDoubtful(record), score(*record, turns.at(record->id)));
        if (lacksPermit(*record, now)) {
            withoutPermit.emplace_back(rank, record->id);
        } else if (!best || rank < bestRank) {
            best = record->id;
            bestRank = rank;
        }
    }
    std::erase_if(withoutPermit,
                  [&](const Ranked &ranked) { return best && ranked.first >= bestRank; });
    wantPermits(std::move(withoutPermit), now);
    return best;
}

void UpstreamChooser::onSent(const UpstreamRecord &upstream, TimePoint now)
{
    ++states_[upstream.id].inFlight;
    if (needsPermit(upstream, now)) {
        permits_.use(upstream.id, now);
    }
}

bool UpstreamChooser::awaitsPermit(const TargetName &service, const Residency &residency,
                                   TimePoint end, TimePoint now)
{
    for (const auto &[id, group] : groupsOf(service)) {
        for (const UpstreamRecord *record : group.upstreams) {
            if (!takesNothing(record->id, now) && mayServe(*record, residency)
                && lacksPermit(*record, now) && permits_.mayComeUntil(record->id, end, now)) {
                return true;
            }
        }
    }
    return false;
}

void UpstreamChooser::onLeft(const InstanceId &upstream)
{
    const auto found = states_.find(upstream);
    if (found != states_.end() && found->second.inFlight > 0) {
        --found->second.inFlight;
    }
}

void UpstreamChooser::onFull(const InstanceId &upstream, TimePoint now)
{
    states_[upstream].fullUntil = now + settings_.fullPause;
}

void UpstreamChooser::onRestWanted(const InstanceId &upstream, TimePoint until)
{
    // Answers may pass each other on their connections; each rest that was asked for holds.
    TimePoint &restUntil = states_[upstream].restUntil;
    restUntil = std::max(restUntil, until);
}

std::optional<TimePoint> UpstreamChooser::restsUntil(const TargetName &service, TimePoint now)
{
    std::optional<TimePoint> first;
    for (const auto &[id, group] : groupsOf(service)) {
        for (const UpstreamRecord *record : group.upstreams) {
            const auto state = states_.find(record->id);
            if (state == states_.end() || state->second.restUntil <= now) {
                return std::nullopt;
            }
            first = std::min(first.value_or(state->second.restUntil), state->second.restUntil);
        }
    }
    return first;
}

std::map<InstanceId, TimePoint> UpstreamChooser::resting(TimePoint now) const
{
    std::map<InstanceId, TimePoint> resting;
    for (const auto &[id, state] : states_) {
        if (state.restUntil > now) {
            resting.emplace(id, state.restUntil);
        }
    }
    return resting;
}

std::optional<TimePoint> UpstreamChooser::permitsFrom(const TargetName &service, TimePoint now)
{
    std::optional<TimePoint> first;
    for (const auto &[id, group] : groupsOf(service)) {
        for (const UpstreamRecord *record : group.upstreams) {
            if (!lacksPermit(*record, now)) {
                return std::nullopt;
            }
            const TimePoint from = permits_.notBefore(record->id);
            first = std::min(first.value_or(from), from);
        }
    }
    return first;
}

void UpstreamChooser::onWrongInstance(const InstanceId &upstream, TimePoint now)
{
    states_[upstream].avoidUntil = now + settings_.wrongInstancePause;
}

void UpstreamChooser::onUnreachable(const InstanceId &upstream, TimePoint now)
{
    states_[upstream].avoidUntil = now + settings_.unreachablePause;
}

void UpstreamChooser::expire(TimePoint now)
{
    std::erase_if(states_, [now](const auto &entry) {
        const State &state = entry.second;
        return state.inFlight == 0 && state.avoidUntil <= now && state.fullUntil <= now
               && state.restUntil <= now;
    });
}

std::uint32_t UpstreamChooser::inFlightAt(const InstanceId &upstream) const
{
    const auto found = states_.find(upstream);
    return found == states_.end() ? 0 : found->second.inFlight;
}

} // namespace seamarch
