// The table of agents to which an entry may send requests.
//
// Combines two sources: the platform's instance list, which names the agents that should exist and
// lags behind, and heartbeats, which show which agents respond. An agent gets new requests only
// while its lease is valid. A lease starts when the heartbeat request was *sent*, on the monotonic
// clock of this process. A process that was suspended therefore resumes with all leases expired and
// sends nothing until new heartbeats have been answered.
//
// The class performs no I/O, reads no clock, and is not thread-safe.
#pragma once

#include "seamarch/configdocument.h"
#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstdint>
#include <map>
#include <vector>

namespace seamarch {

// The state that an agent reports in its answer to a heartbeat.
struct AgentReport
{
    Incarnation incarnation;
    ConfigVersion configVersion;
    bool leaving = false;
    Tokens queuedTokens = 0;
    Tokens runningTokens = 0;
    std::uint32_t queuedRequests = 0;
    std::uint32_t runningRequests = 0;
    std::uint32_t slots = 1; // The maximum number of requests that the upstream runs concurrently.
    double tokensPerSecond = 0.0;
};

// A listed agent with its latest report.
struct Member
{
    InstanceRecord record;
    AgentReport report;
    TimePoint reportRequestedAt{};
    TimePoint leaseExpiresAt{};
    TimePoint firstReportAt{}; // When this incarnation first reported; starts its slow start.
    bool hasReported = false;
};

class MemberTable
{
public:
    explicit MemberTable(Duration lease)
        : lease_(lease)
    {}

    // Replaces the list of agents. Returns false if `list` is not newer than the current one, which
    // then stays.
    bool applyList(const InstanceList &list);
    // Stores the answer to a heartbeat that was sent at `requestedAt`. Ignores unlisted agents and
    // answers that arrive out of order. Returns true if the agent's incarnation is new.
    bool onReport(const InstanceId &agent, const AgentReport &report, TimePoint requestedAt,
                  TimePoint now);

    // Returns whether `agent` may get new requests: its lease is valid, it is not leaving, and the
    // list shows it as live.
    bool mayReceive(const InstanceId &agent, TimePoint now) const;
    // Returns the agents that serve `target` and may get new requests. The pointers are valid until
    // the next `applyList`.
    std::vector<const Member *> candidates(const TargetName &target, TimePoint now) const;
    // Returns all agents in `hall` that are listed for `target`, regardless of their state.
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
