#include "decision/membership/grouppollplanner.h"

#include <algorithm>
#include <utility>

namespace seamarch {

bool GroupPollPlanner::mayPoll(const std::string &host, TimePoint now) const
{
    const auto found = agents_.find(host);
    return found == agents_.end() || (!found->second.pending && now >= found->second.retryAt);
}

// Returns the host to poll for a known group: that of the last known decider, else the first member
// that may be polled, because the lowest live rank is the decider. Returns "" if there is none.
std::string GroupPollPlanner::hostToPoll(const GroupTable::Snapshot &snapshot, TimePoint now) const
{
    const auto decider = deciders_.find(snapshot.facts.group);
    if (decider != deciders_.end()) {
        return decider->second;
    }
    for (const GroupMember &member : snapshot.facts.members) {
        if (mayPoll(member.host, now)) {
            return member.host;
        }
    }
    return {};
}

std::vector<std::string> GroupPollPlanner::nextHosts(const std::vector<Engine> &engines,
                                                     const GroupTable &groups, TimePoint now)
{
    std::vector<std::string> hosts;
    const auto poll = [&](const std::string &host) {
        if (!host.empty() && mayPoll(host, now)) {
            agents_[host].pending = true;
            hosts.push_back(host);
        }
    };
    for (const auto &[group, snapshot] : groups.groups()) {
        poll(hostToPoll(snapshot, now));
    }
    for (const std::string &host : std::exchange(referredHosts_, {})) {
        poll(host);
    }
    std::size_t discoveryPolls = 0;
    for (const Engine &engine : engines) {
        if (groups.hasMember(engine.host, engine.port)) {
            continue;
        }
        const auto agent = agents_.find(engine.host);
        const bool pending = agent != agents_.end() && agent->second.pending;
        if (pending
            || (discoveryPolls < settings_.maxDiscoveryPolls && mayPoll(engine.host, now))) {
            ++discoveryPolls;
            poll(engine.host);
        }
    }
    return hosts;
}

void GroupPollPlanner::onDecider(const std::string &host, const GroupId &group)
{
    agents_[host] = {};
    deciders_[group] = host;
}

void GroupPollPlanner::onReferred(const std::string &host, const std::string &deciderHost,
                                  TimePoint now)
{
    agents_[host] = {false, now + settings_.retryDelay};
    std::erase_if(deciders_, [&host](const auto &entry) { return entry.second == host; });
    if (!deciderHost.empty() && deciderHost != host) {
        referredHosts_.push_back(deciderHost);
    }
}

void GroupPollPlanner::onFailed(const std::string &host, TimePoint now)
{
    agents_[host] = {false, now + settings_.retryDelay};
    std::erase_if(deciders_, [&host](const auto &entry) { return entry.second == host; });
}

} // namespace seamarch
