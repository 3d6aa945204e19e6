// Selects the agents that a gateway polls for the state of the engine groups.
//
// In each group one agent, the decider of the group's expert map, holds the state of the whole
// group. The list of engines names neither groups nor deciders, so a gateway starts with any agent,
// which refers it to the decider. After that one long poll is pending at each decider, and a few
// discovery polls at agents of engines that belong to no known group. A gateway thus needs about
// one connection per group, whatever the sizes of the groups.
//
// Performs no I/O, reads no clock, and is not thread-safe.
#pragma once

#include "decision/gateway/grouptable.h"
#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace seamarch {

class GroupPollPlanner
{
public:
    struct Settings
    {
        // The maximum number of concurrent polls of agents whose engines belong to no known group.
        std::size_t maxDiscoveryPolls = 3;
        // The delay before an agent that failed, or that is not the decider, is polled again.
        // Another agent becomes the decider within a second after the previous one is gone.
        Duration retryDelay = std::chrono::milliseconds(500);
    };

    // The address of an engine. Its agent runs on the same host.
    struct Engine
    {
        std::string host;
        int port = 0;

        bool operator==(const Engine &) const = default;
    };

    GroupPollPlanner() = default;
    explicit GroupPollPlanner(const Settings &settings)
        : settings_(settings)
    {}

    // Returns the hosts to poll now. Each counts as pending until `onDecider`, `onReferred` or
    // `onFailed` is called for it.
    std::vector<std::string> nextHosts(const std::vector<Engine> &engines, const GroupTable &groups,
                                       TimePoint now);

    // Records that the agent at `host` answered as the decider of `group`.
    void onDecider(const std::string &host, const GroupId &group);
    // Records that the agent at `host` is not the decider. It referred to the decider at
    // `deciderHost`, which is empty if the agent knows none.
    void onReferred(const std::string &host, const std::string &deciderHost, TimePoint now);
    void onFailed(const std::string &host, TimePoint now);

private:
    struct Agent
    {
        bool pending = false;
        TimePoint retryAt{};
    };

    bool mayPoll(const std::string &host, TimePoint now) const;
    std::string hostToPoll(const GroupTable::Snapshot &snapshot, TimePoint now) const;

    Settings settings_;
    std::map<std::string, Agent> agents_;
    std::map<GroupId, std::string> deciders_; // The host of the last known decider, by group.
    std::vector<std::string> referredHosts_;  // Hosts of deciders to poll, as named by agents.
};

} // namespace seamarch
