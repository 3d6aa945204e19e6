// What an entry knows of the agents it may send work to.
//
// Two sources are joined: the platform's list, which says who should exist and lags, and
// heartbeats, which say who answers now. An agent gets new work only while its lease holds: the
// lease runs from the moment the heartbeat was *asked for*, on this process's monotonic clock, so a
// process that was paused wakes with every lease run out and sends nothing until it has asked anew.
//
// The class is pure and single-threaded.
#pragma once

#include "seamarch/configdocument.h"
#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstdint>
#include <map>
#include <vector>

namespace seamarch {

// What an agent reports of itself.
struct AgentReport
{
    Incarnation incarnation;
    ConfigVersion configVersion;
    bool leaving = false;
    Tokens queuedTokens = 0;
    Tokens runningTokens = 0;
    std::uint32_t queuedRequests = 0;
    std::uint32_t runningRequests = 0;
    std::uint32_t slots = 1; // Requests that the upstream runs at once.
    double tokensPerSecond = 0.0;
};

// An agent as the entry knows it.
struct Member
{
    InstanceRecord record;
    AgentReport report;
    TimePoint reportRequestedAt{};
    TimePoint leaseExpiresAt{};
    TimePoint firstReportAt{}; // When this incarnation first answered; for the slow start.
    bool hasReported = false;
};

class MemberTable
{
public:
    explicit MemberTable(Duration lease)
        : lease_(lease)
    {}

    // Takes the platform's list. An older list than the held one is dropped.
    bool applyList(const InstanceList &list);
    // Takes a heartbeat's answer. Answers that arrive out of order are dropped.
    // Returns true when the agent's incarnation is a new one.
    bool onReport(const InstanceId &agent, const AgentReport &report, TimePoint requestedAt,
                  TimePoint now);

    // Tells whether `agent` may get new work now.
    bool mayReceive(const InstanceId &agent, TimePoint now) const;
    // Returns the agents that serve `target` and may get new work now.
    std::vector<const Member *> candidates(const TargetName &target, TimePoint now) const;
    // Returns all agents that are listed for `target`, whatever their state.
    std::vector<InstanceId> listedAgents(const TargetName &target, const HallId &hall) const;

    const Member *find(const InstanceId &agent) const;
    const std::map<InstanceId, Member> &members() const { return members_; }
    ListVersion listVersion() const { return listVersion_; }

private:
    Duration lease_;
    ListVersion listVersion_;
    std::map<InstanceId, Member> members_;
};

} // namespace seamarch
