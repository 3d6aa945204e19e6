// Which agents a gateway asks about the groups of engines.
//
// Of each group one agent knows all: the one that decides on the group's map. The list of engines
// names neither groups nor deciders, so a gateway begins with any agent, which names the one that
// decides. From then on one question at a time waits at each decider, and a few go to agents of
// engines that no group is known to have. So a gateway has about one connection a group, whatever
// the groups' sizes.
//
// Pure and single-threaded.
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
        // Agents that are asked at a time although no group is known to have their engines.
        std::size_t maxDiscoveryPolls = 3;
        // How long an agent that failed, or that does not decide and names nobody, is not asked
        // again: an agent takes the role within a second after another is gone.
        Duration retryDelay = std::chrono::milliseconds(500);
    };

    // An engine, with the agent at its host.
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

    // Returns the hosts to ask now. Each counts as asked until its answer or failure is noted.
    std::vector<std::string> nextHosts(const std::vector<Engine> &engines, const GroupTable &groups,
                                       TimePoint now);

    // The agent at `host` has answered that it decides for `group`.
    void onDecider(const std::string &host, const GroupId &group);
    // It does not decide; it named the host of the one that does, or nobody.
    void onReferred(const std::string &host, const std::string &deciderHost, TimePoint now);
    void onFailed(const std::string &host, TimePoint now);

private:
    struct Agent
    {
        bool pending = false;
        TimePoint retryAt{};
    };

    bool mayPoll(const std::string &host, TimePoint now) const;
    std::string hostToPoll(const GroupTable::Known &known, TimePoint now) const;

    Settings settings_;
    std::map<std::string, Agent> agents_;
    std::map<GroupId, std::string> deciders_; // By group, the host that answered last.
    std::vector<std::string> referredHosts_;  // Named by agents, and not asked yet.
};

} // namespace seamarch
