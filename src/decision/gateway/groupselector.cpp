#include "decision/gateway/groupselector.h"

#include <algorithm>
#include <tuple>

namespace seamarch {
namespace {

// Queued streams are checked every 25 ms; one whose start deadline passes before the check after
// the next starts now.
constexpr Duration kStartSlack = std::chrono::milliseconds(40);

} // namespace

void GroupSelector::setGroups(const UpstreamChooser::Groups &groups, const GatewayShare &share)
{
    const bool shareChanged =
        share.gateways != share_.gateways || share.position.gateways != share_.position.gateways;
    groups_ = &groups;
    share_ = share;
    std::erase_if(trackers_, [&groups](const auto &entry) {
        return entry.second.inFlight() == 0 && !groups.contains(entry.first);
    });
    for (const auto &[id, group] : groups) {
        // A new gateway learns only gradually how many others share the groups.
        if (GroupTracker &groupTracker = tracker(id);
            shareChanged && !groupTracker.limiter().hasSamples()) {
            initLimit(groupTracker, group);
        }
    }
}

GroupTracker &GroupSelector::tracker(const GroupId &group)
{
    const auto found = trackers_.find(group);
    if (found != trackers_.end()) {
        return found->second;
    }
    GroupTracker::Settings settings = settings_.tracker;
    const auto groupEntry = groups_->find(group);
    if (groupEntry != groups_->end() && !groupEntry->second.inOwnHall) {
        settings.streamLimiter.decreaseAbove *= settings_.remoteThresholdFactor;
        settings.streamLimiter.increaseBelow *= settings_.remoteThresholdFactor;
        settings.streamLimiter.nearTargetRatio *= settings_.remoteThresholdFactor;
    }
    GroupTracker &added = trackers_.emplace(group, GroupTracker(settings)).first->second;
    resetLimit(group);
    return added;
}

const GroupTracker *GroupSelector::find(const GroupId &group) const
{
    const auto found = trackers_.find(group);
    return found == trackers_.end() ? nullptr : &found->second;
}

// Sets the limit from an even share of the group's slots, until there are pause samples. The slots
// of a group in a single hall are shared by that hall's gateways; a remote gateway starts with the
// minimum.
void GroupSelector::initLimit(GroupTracker &tracker, const UpstreamChooser::Group &group) const
{
    if (group.slots <= 0.0) {
        return;
    }
    if (!group.inOwnHall) {
        tracker.limiter().resetToMinimum();
        return;
    }
    const std::size_t sharers = group.spansHalls ? share_.gateways : share_.position.gateways;
    tracker.limiter().resetToShare(group.slots, static_cast<double>(sharers));
}

void GroupSelector::resetLimit(const GroupId &group)
{
    const auto groupEntry = groups_->find(group);
    if (groupEntry != groups_->end()) {
        initLimit(trackers_.at(group), groupEntry->second);
    }
}

GroupSelector::Fault GroupSelector::faultOf(const GroupId &group, const GroupTracker &tracker,
                                            const GroupTable &table, TimePoint now) const
{
    const auto groupEntry = groups_->find(group); // Missing if its last upstream has left.
    const bool remote = groupEntry == groups_->end() || !groupEntry->second.inOwnHall;
    if (tracker.isUnreachable()
        || (remote && table.isIsolated(group, now) && tracker.isQuiet(now))) {
        return Fault::Unreachable;
    }
    if (tracker.isRefusing(now) || tracker.mayBeForming(now) || table.isClosed(group, now)) {
        return Fault::Refusing;
    }
    return tracker.isStalled() ? Fault::Stalled : Fault::None;
}

// Returns the groups that have upstreams, the best first.
std::vector<GroupSelector::Candidate> GroupSelector::candidates(const GroupTable &table,
                                                                TimePoint now) const
{
    std::vector<Candidate> candidates;
    for (const auto &[id, group] : *groups_) {
        const GroupTracker &tracker = trackers_.at(id);
        Candidate candidate;
        candidate.group = id;
        candidate.fault = faultOf(id, tracker, table, now);
        candidate.remote = !group.inOwnHall;
        candidate.load = tracker.inFlight() / tracker.limiter().limit();
        candidate.rotation = (candidates.size() + share_.position.index) % groups_->size();
        candidates.push_back(candidate);
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &left, const Candidate &right) {
                  return std::tie(left.fault, left.remote, left.load, left.rotation)
                         < std::tie(right.fault, right.remote, right.load, right.rotation);
              });
    return candidates;
}

// Returns whether a stream may start now. While pauses are near the gap target, each prompt that
// the engines read delays all streams in flight: a stream that can still start in time later waits
// for shorter passes, and one that is late already loses nothing by waiting.
bool GroupSelector::mayStart(const GroupTracker &tracker, const StreamQueue::Entry &entry,
                             TimePoint now) const
{
    if (!tracker.limiter().admits(tracker.inFlight())) {
        return false;
    }
    const bool fewest = tracker.inFlight() < settings_.tracker.streamLimiter.minLimit;
    if (fewest || !tracker.limiter().isNearTarget(now)) {
        return true;
    }
    return now <= entry.startDeadline && now + kStartSlack >= entry.startDeadline;
}

// Returns an avoided group that is due for a probe, and records the probe. A group that its agents
// report closed is not probed: they will report when it opens.
std::optional<GroupId> GroupSelector::selectForProbe(const std::vector<Candidate> &candidates,
                                                     const GroupTable &table, TimePoint now)
{
    for (const Candidate &candidate : candidates) {
        GroupTracker &tracker = trackers_.at(candidate.group);
        // A group without contact is not probed either: the caller would disconnect first.
        const bool closed =
            table.isClosed(candidate.group, now) && !table.isForming(candidate.group, now);
        const bool probeUseless = closed || table.isIsolated(candidate.group, now);
        const bool eligible = candidate.fault != Fault::None && !probeUseless;
        if (eligible && tracker.isProbeDue(now)) {
            tracker.onProbe(now);
            return candidate.group;
        }
    }
    return std::nullopt;
}

std::optional<GroupId> GroupSelector::selectForNew(const StreamQueue::Entry &entry,
                                                   const GroupTable &table, TimePoint now)
{
    const std::vector<Candidate> all = candidates(table, now);
    if (all.empty()) {
        return GroupId(); // No upstream at all; sending the request will fail.
    }
    const bool opening = opensSoon(table, now);
    if (opening || (all.front().fault == Fault::None && all.back().fault != Fault::None)) {
        auto probe = selectForProbe(all, table, now);
        if (opening || probe) {
            return probe;
        }
    }
    for (const Candidate &candidate : all) {
        const GroupTracker &tracker = trackers_.at(candidate.group);
        if (candidate.fault != all.front().fault) {
            return std::nullopt;
        }
        if (mayStart(tracker, entry, now)) {
            return candidate.group;
        }
        // If passes are long in the own hall they are long everywhere, as after a shift of demand:
        // an overflowing stream would add a prompt to passes that the gateways of the other hall
        // hold their own prompts back from.
        const bool heldBack = tracker.limiter().admits(tracker.inFlight());
        if (heldBack && !candidate.remote) {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

std::optional<GroupId> GroupSelector::selectForRetry(const GroupTable &table, TimePoint now) const
{
    const std::vector<Candidate> all = candidates(table, now);
    if (all.empty()) {
        return std::nullopt;
    }
    for (const Candidate &candidate : all) {
        const GroupTracker &tracker = trackers_.at(candidate.group);
        if (candidate.fault == all.front().fault && tracker.limiter().admits(tracker.inFlight())) {
            return candidate.group;
        }
    }
    return all.front().group;
}

std::optional<GroupId>
GroupSelector::selectForFailover(const GroupId &from, const GroupTable &table, TimePoint now) const
{
    for (const Candidate &candidate : candidates(table, now)) {
        const GroupTracker &tracker = trackers_.at(candidate.group);
        const bool works = candidate.group != from || tracker.hasRecentEvent(now);
        if (candidate.fault == Fault::None && works
            && tracker.limiter().admits(tracker.inFlight())) {
            return candidate.group;
        }
    }
    return std::nullopt;
}

void GroupSelector::setShare(const GroupId &group, std::optional<double> share)
{
    const auto found = trackers_.find(group);
    if (found != trackers_.end()) {
        found->second.limiter().setShare(share);
    }
}

DemandTable::Demands GroupSelector::demands(const TargetName &service, std::size_t waiting,
                                            const GroupTable &table) const
{
    DemandTable::Demands demands;
    for (const auto &[id, tracker] : trackers_) {
        const auto group = groups_->find(id);
        if (group != groups_->end() && group->second.inOwnHall && table.groups().contains(id)) {
            demands.push_back({service, id, 1, tracker.inFlight(), 0, tracker.limiter().limit()});
        }
    }
    const std::size_t groups = demands.size();
    for (GroupDemand &demand : demands) {
        demand.queued = static_cast<std::uint32_t>((waiting + groups - 1) / groups);
    }
    return demands;
}

bool GroupSelector::allRefusing(TimePoint now) const
{
    return std::all_of(groups_->begin(), groups_->end(), [&](const auto &entry) {
        return trackers_.at(entry.first).isRefusing(now);
    });
}

bool GroupSelector::opensSoon(const GroupTable &table, TimePoint now) const
{
    bool soon = false;
    for (const auto &[id, group] : *groups_) {
        const GroupTracker &tracker = trackers_.at(id);
        const bool isForming = tracker.mayBeForming(now) || table.isForming(id, now);
        if (!isForming && !tracker.isRefusing(now) && !table.isClosed(id, now)) {
            return false;
        }
        soon = soon || isForming;
    }
    return soon;
}

void GroupSelector::onTick(std::size_t waiting, const GroupTable &table, TimePoint now)
{
    for (auto &[id, tracker] : trackers_) {
        // A limit that is not reached, or of a group that is avoided, need not rise.
        const bool reached = !tracker.limiter().admits(tracker.inFlight());
        const bool eligible =
            groups_->size() == 1 || (reached && faultOf(id, tracker, table, now) == Fault::None);
        tracker.onTick(eligible ? waiting : 0, now);
    }
}

std::vector<std::pair<GroupId, LimitChange>> GroupSelector::takeLimitChanges()
{
    std::vector<std::pair<GroupId, LimitChange>> changes;
    for (auto &[id, tracker] : trackers_) {
        for (const LimitChange &change : tracker.limiter().takeChanges()) {
            changes.emplace_back(id, change);
        }
    }
    return changes;
}

} // namespace seamarch
