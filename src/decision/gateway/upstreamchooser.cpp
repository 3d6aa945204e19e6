#include "decision/gateway/upstreamchooser.h"

#include <algorithm>
#include <utility>

namespace seamarch {
namespace {

// What an upstream sent before its connections broke may be read after the first of them is closed.
constexpr Duration kUnreadTime = std::chrono::milliseconds(100);
// How long the time of an answer is kept: longer than it takes to find out whether an upstream that
// lost a request has ended.
constexpr Duration kAnswerMemory = std::chrono::seconds(1);

} // namespace

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
    const auto [found, added] = groupCache_.try_emplace(service);
    CachedGroups &cached = found->second;
    const bool changed =
        cached.upstreamChanges != upstreams_.changes() || cached.groupChanges != groups_.changes();
    if (added || changed) {
        cached = {upstreams_.changes(), groups_.changes(), buildGroups(service)};
    }
    return cached.groups;
}

UpstreamChooser::Groups UpstreamChooser::buildGroups(const TargetName &service) const
{
    Groups groups;
    for (const UpstreamRecord *record : upstreams_.candidates(service)) {
        Group &group = groups[groups_.groupOf(*record)];
        group.spansHalls =
            group.spansHalls
            || (!group.upstreams.empty() && group.upstreams.front()->hall != record->hall);
        group.inOwnHall = group.inOwnHall || record->hall == settings_.hall;
        group.slots += record->slots;
        group.upstreams.push_back(record);
    }
    return groups;
}

// Returns the score of an upstream; the lowest is the best. `position` is its relative position,
// from 0 to 1, in this gateway's order of the upstreams of its hall.
double UpstreamChooser::score(const UpstreamRecord &record, double position) const
{
    constexpr double kPositionWeight = 0.5; // Less than the weight of one request in flight.
    const double penalty = record.hall == settings_.hall ? 0.0 : settings_.remoteHallPenalty;
    return inFlightAt(record.id) + penalty + kPositionWeight * position;
}

// Returns what is added to the score of each upstream of `candidates` that is slow.
//
// Requests at a slow upstream count by its slowness, with the one to be sent. That one counts less
// once all other upstreams have a request of this gateway: the other gateways act alike, so there
// are as many requests at those upstreams as gateways, and none at a slow one without any.
UpstreamChooser::Penalties
UpstreamChooser::slownessPenalties(const std::vector<const UpstreamRecord *> &candidates,
                                   const Target &target, TimePoint now) const
{
    Penalties penalties;
    if (target.pace == nullptr) {
        return penalties;
    }
    bool othersInUse = true;
    for (const UpstreamRecord *record : candidates) {
        const double slowness = target.pace->slowness(record->id, now);
        if (slowness > 1.0) {
            penalties.emplace(record->id, slowness - 1.0);
        } else {
            othersInUse = othersInUse && inFlightAt(record->id) > 0;
        }
    }
    const double sent = othersInUse ? 1.0 / static_cast<double>(target.gateways) : 1.0;
    for (auto &[upstream, penalty] : penalties) {
        penalty *= inFlightAt(upstream) + sent;
    }
    return penalties;
}

// Returns the relative position of each upstream, from 0 to 1, in this gateway's order of the
// upstreams of its hall.
UpstreamChooser::Positions
UpstreamChooser::positionsOf(const std::vector<const UpstreamRecord *> &upstreams) const
{
    std::unordered_map<HallId, std::vector<InstanceId>> halls;
    for (const UpstreamRecord *record : upstreams) {
        halls[record->hall].push_back(record->id);
    }
    Positions positions;
    for (const auto &[hall, ids] : halls) {
        for (std::size_t index = 0; index < ids.size(); ++index) {
            const auto position =
                static_cast<double>(fillPosition(index, ids.size(), hallPosition_));
            positions.emplace(ids[index], position / static_cast<double>(ids.size()));
        }
    }
    return positions;
}

bool UpstreamChooser::isFullOrResting(const InstanceId &upstream, TimePoint now) const
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

// Requests permits for the best of `upstreams` whose issuers may be queried now. One request needs
// one permit; the second query covers the case that the first issuer has none. Querying for all
// upstreams would, while a whole service warms up, send one query per upstream for each request.
void UpstreamChooser::requestPermits(std::vector<Ranked> upstreams, TimePoint now)
{
    constexpr std::size_t kMaxQueries = 2;
    std::erase_if(upstreams,
                  [&](const Ranked &ranked) { return permits_.nextQueryAt(ranked.second) > now; });
    std::sort(upstreams.begin(), upstreams.end());
    for (std::size_t index = 0; index < std::min(kMaxQueries, upstreams.size()); ++index) {
        permits_.request(upstreams[index].second);
    }
}

bool UpstreamChooser::mayServe(const UpstreamRecord &upstream, const Residency &residency) const
{
    const auto region = settings_.regions.find(upstream.hall);
    return residency.allows(region == settings_.regions.end() ? RegionId() : region->second);
}

bool UpstreamChooser::hasUpstream(const TargetName &service, const Residency &residency)
{
    if (residency.isUnrestricted()) {
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
    const Positions positions = positionsOf(candidates);
    std::erase_if(candidates, [&](const UpstreamRecord *record) {
        return isFullOrResting(record->id, now) || tried.contains(record->id)
               || !mayServe(*record, target.residency);
    });
    std::vector<InstanceId> ids;
    ids.reserve(candidates.size());
    for (const UpstreamRecord *record : candidates) {
        ids.push_back(record->id);
    }
    const std::vector<InstanceId> healthy = outliers_.filterCandidates(ids, now);
    const auto isLastResort = [&](const UpstreamRecord *record) {
        const auto state = states_.find(record->id);
        const bool isDeprioritized =
            state != states_.end() && state->second.deprioritizedUntil > now;
        return isDeprioritized || groups_.slowness(*record, now) >= settings_.slowRankRatio
               || std::find(healthy.begin(), healthy.end(), record->id) == healthy.end();
    };
    std::optional<InstanceId> best;
    std::pair<bool, double> bestRank;
    std::vector<Ranked> withoutPermit;
    const Penalties penalties = slownessPenalties(candidates, target, now);
    for (const UpstreamRecord *record : candidates) {
        const auto slow = penalties.find(record->id);
        const double penalty = slow == penalties.end() ? 0.0 : slow->second;
        const std::pair rank(isLastResort(record),
                             score(*record, positions.at(record->id)) + penalty);
        if (lacksPermit(*record, now)) {
            withoutPermit.emplace_back(rank, record->id);
        } else if (!best || rank < bestRank) {
            best = record->id;
            bestRank = rank;
        }
    }
    std::erase_if(withoutPermit,
                  [&](const Ranked &ranked) { return best && ranked.first >= bestRank; });
    requestPermits(std::move(withoutPermit), now);
    return best;
}

void UpstreamChooser::onSent(const UpstreamRecord &upstream, TimePoint now)
{
    ++states_[upstream.id].inFlight;
    if (needsPermit(upstream, now)) {
        permits_.consume(upstream.id, now);
    }
}

bool UpstreamChooser::mayGetPermitBefore(const TargetName &service, const Residency &residency,
                                         TimePoint end, TimePoint now)
{
    for (const auto &[id, group] : groupsOf(service)) {
        for (const UpstreamRecord *record : group.upstreams) {
            if (!isFullOrResting(record->id, now) && mayServe(*record, residency)
                && lacksPermit(*record, now) && permits_.mayArriveBefore(record->id, end, now)) {
                return true;
            }
        }
    }
    return false;
}

void UpstreamChooser::onFinished(const InstanceId &upstream)
{
    const auto found = states_.find(upstream);
    if (found != states_.end() && found->second.inFlight > 0) {
        --found->second.inFlight;
    }
}

void UpstreamChooser::onAnswered(const InstanceId &upstream, TimePoint now)
{
    states_[upstream].answeredAt = now;
}

bool UpstreamChooser::answeredSince(const InstanceId &upstream, TimePoint time) const
{
    const auto found = states_.find(upstream);
    return found != states_.end() && found->second.answeredAt > time + kUnreadTime;
}

void UpstreamChooser::onFull(const InstanceId &upstream, TimePoint now)
{
    states_[upstream].fullUntil = now + settings_.fullCooldown;
}

void UpstreamChooser::onRestRequested(const InstanceId &upstream, TimePoint until)
{
    // Answers may arrive out of order on different connections; the latest end of a rest applies.
    TimePoint &restUntil = states_[upstream].restUntil;
    restUntil = std::max(restUntil, until);
}

std::optional<TimePoint> UpstreamChooser::earliestRestEnd(const TargetName &service, TimePoint now)
{
    std::optional<TimePoint> earliest;
    for (const auto &[id, group] : groupsOf(service)) {
        for (const UpstreamRecord *record : group.upstreams) {
            const auto state = states_.find(record->id);
            if (state == states_.end() || state->second.restUntil <= now) {
                return std::nullopt;
            }
            earliest =
                std::min(earliest.value_or(state->second.restUntil), state->second.restUntil);
        }
    }
    return earliest;
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

std::optional<TimePoint> UpstreamChooser::earliestPermitAt(const TargetName &service, TimePoint now)
{
    std::optional<TimePoint> earliest;
    for (const auto &[id, group] : groupsOf(service)) {
        for (const UpstreamRecord *record : group.upstreams) {
            if (!lacksPermit(*record, now)) {
                return std::nullopt;
            }
            const TimePoint from = permits_.nextQueryAt(record->id);
            earliest = std::min(earliest.value_or(from), from);
        }
    }
    return earliest;
}

void UpstreamChooser::onWrongInstance(const InstanceId &upstream, TimePoint now)
{
    states_[upstream].deprioritizedUntil = now + settings_.wrongInstanceCooldown;
}

void UpstreamChooser::onUnreachable(const InstanceId &upstream, TimePoint now)
{
    states_[upstream].deprioritizedUntil = now + settings_.unreachableCooldown;
}

void UpstreamChooser::expire(TimePoint now)
{
    std::erase_if(states_, [now](const auto &entry) {
        const State &state = entry.second;
        return state.inFlight == 0 && state.deprioritizedUntil <= now && state.fullUntil <= now
               && state.restUntil <= now && state.answeredAt + kAnswerMemory <= now;
    });
}

std::uint32_t UpstreamChooser::inFlightAt(const InstanceId &upstream) const
{
    const auto found = states_.find(upstream);
    return found == states_.end() ? 0 : found->second.inFlight;
}

} // namespace seamarch
