#include "decision/gateway/grouptable.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace seamarch {
namespace {

// Returns the median pace of `members`. Ranks are compared with each other and not with a fixed
// pace, because a group that copies experts or processes a prompt is slow as a whole.
double medianPace(const std::vector<GroupMember> &members)
{
    std::vector<double> paces;
    paces.reserve(members.size());
    for (const GroupMember &member : members) {
        paces.push_back(member.pace);
    }
    if (paces.empty()) {
        return 1.0;
    }
    const auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    return *middle;
}

std::string serialize(const GroupFacts &facts)
{
    std::string text =
        fmt::format("{} {} {}{}", facts.group.value(), facts.epoch, facts.open, facts.forming);
    for (const GroupMember &member : facts.members) {
        text += fmt::format(" {}:{} {:.2f}", member.host, member.port, member.pace);
    }
    return text;
}

std::uint64_t xxh3(const std::string &text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

std::uint64_t digestOf(const GroupFacts &facts)
{
    return xxh3(serialize(facts));
}

bool GroupTable::update(const GroupFacts &facts, TimePoint asOf)
{
    const auto [found, added] = groups_.try_emplace(facts.group);
    Snapshot &snapshot = found->second;
    if (!added && asOf <= snapshot.asOf) {
        return false;
    }
    const bool same = !added && snapshot.facts == facts;
    snapshot = {facts, asOf, seamarch::digestOf(facts)};
    indexMembers(snapshot);
    if (!same) {
        updateDigest();
    }
    return true;
}

bool GroupTable::confirm(const GroupId &group, std::uint64_t digest, TimePoint asOf)
{
    const auto found = groups_.find(group);
    if (found == groups_.end() || found->second.digest != digest) {
        return false;
    }
    if (asOf > found->second.asOf) {
        found->second.asOf = asOf;
        indexMembers(found->second);
    }
    return true;
}

// Updates the memberships of the engines in `snapshot`. An engine that is missing from a report
// stays in its group until another group reports it: an agent that has just become the decider does
// not know all ranks yet, and a rank that is frozen or dead has not left its group.
void GroupTable::indexMembers(const Snapshot &snapshot)
{
    const GroupFacts &facts = snapshot.facts;
    const double median = medianPace(facts.members);
    for (const GroupMember &member : facts.members) {
        Membership &membership = memberships_[{member.host, member.port}];
        if (membership.asOf <= snapshot.asOf) {
            changes_ += membership.group == facts.group ? 0 : 1;
            membership = {facts.group, snapshot.asOf, median > 0.0 ? member.pace / median : 1.0};
        }
    }
}

void GroupTable::expire(TimePoint now)
{
    const auto isExpired = [&](const auto &entry) {
        return now - entry.second.asOf > settings_.timeToLive;
    };
    if (std::erase_if(groups_, isExpired) == 0) {
        return;
    }
    std::erase_if(memberships_,
                  [this](const auto &entry) { return !groups_.contains(entry.second.group); });
    ++changes_;
    updateDigest();
}

GroupId GroupTable::groupOf(const UpstreamRecord &upstream) const
{
    const auto found = memberships_.find({upstream.host, upstream.port});
    return found == memberships_.end() ? GroupId() : found->second.group;
}

double GroupTable::slowness(const UpstreamRecord &upstream, TimePoint now) const
{
    const auto found = memberships_.find({upstream.host, upstream.port});
    const bool isFresh =
        found != memberships_.end() && now - found->second.asOf < settings_.paceTimeToLive;
    return isFresh ? found->second.slowness : 1.0;
}

bool GroupTable::isClosed(const GroupId &group, TimePoint now) const
{
    const auto found = groups_.find(group);
    return found != groups_.end() && !found->second.facts.open
           && now - found->second.asOf < settings_.closedTimeToLive;
}

std::vector<GroupId> GroupTable::closedGroups(TimePoint now) const
{
    std::vector<GroupId> closed;
    for (const auto &[group, snapshot] : groups_) {
        if (isClosed(group, now)) {
            closed.push_back(group);
        }
    }
    return closed;
}

std::uint64_t GroupTable::digestOf(const GroupId &group) const
{
    const auto found = groups_.find(group);
    return found == groups_.end() ? 0 : found->second.digest;
}

bool GroupTable::isForming(const GroupId &group, TimePoint now) const
{
    const auto found = groups_.find(group);
    return isClosed(group, now) && found->second.facts.forming;
}

bool GroupTable::isIsolated(const GroupId &group, TimePoint now) const
{
    const auto found = groups_.find(group);
    if (found == groups_.end() || now - found->second.asOf < settings_.isolationTimeout) {
        return false;
    }
    return std::any_of(groups_.begin(), groups_.end(), [&](const auto &entry) {
        return entry.second.asOf - found->second.asOf >= settings_.isolationLag;
    });
}

void GroupTable::updateDigest()
{
    std::string text;
    for (const auto &[group, snapshot] : groups_) {
        text += serialize(snapshot.facts);
        text += '\n';
    }
    digest_ = text.empty() ? 0 : xxh3(text);
}

} // namespace seamarch
