// Decentralized mutual exclusion that limits how many upstreams of a pool are out of service for a
// reload at the same time.
//
// Before an agent reloads its upstream, it obtains a permit from every member of its pool, the
// agents of its service in its hall. Each member has at most `maxConcurrent` permits outstanding.
// Requesters ask the members one after the other in the order of their names, so two requesters
// compete at the first member they share and cannot deadlock.
//
// Permits have no timeout: a permit ends when its holder releases it, is replaced by a new
// incarnation, or is no longer listed. A holder that dies blocks the others until then, because
// waiting is better than leaving too few upstreams in service. Answers from an earlier incarnation
// of a member must not arrive after the first message to its new incarnation; a single connection
// per pair of agents ensures this. A new incarnation does not know the permits of the previous one,
// so it issues nothing until every other member has reported whether it holds a permit. As long as
// any two lists have a member in common, at most `maxConcurrent` upstreams of the pool are out of
// service at any time.
//
// A requester that obtains only some of the permits releases all of them after a while and
// restarts.
//
// The classes perform no I/O, read no clock, and are not thread-safe.
#pragma once

#include "decision/once/keyhome.h"
#include "seamarch/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace seamarch {

// The state of a requester, as reported to the other members.
struct ReloadPermitState
{
    Incarnation incarnation;
    std::uint64_t released = 0; // It has released all its permits up to this number.
    bool holds = false;         // It holds the permit with the next number from some member.
};

// The issuing side: tracks the permits that one member has issued to requesters.
class ReloadPermitIssuer
{
public:
    explicit ReloadPermitIssuer(InstanceId self)
        : self_(std::move(self))
    {}

    // Sets the members of the pool and the maximum number of permits issued at a time. Drops the
    // permits of agents that are no longer members.
    void setPool(const MemberSet &members, std::uint32_t maxConcurrent);
    // Processes a state report from a member: ends a permit that the member no longer holds, and
    // adopts one given by an earlier incarnation of this agent.
    void onMemberState(const InstanceId &member, const ReloadPermitState &state);
    // Issues the permit numbered `number`, or returns false. Idempotent: issuing it again to
    // its holder does not count as a second one.
    bool tryIssue(const InstanceId &requester, Incarnation incarnation, std::uint64_t number);
    // Ends the requester's permit if its number is at most `number`. A late message about an older
    // permit does not end a newer one.
    void release(const InstanceId &requester, Incarnation incarnation, std::uint64_t number);

    // Returns whether every other member has reported its state, so that permits may be issued.
    bool ready() const;
    std::size_t issuedCount() const { return permits_.size(); }

private:
    InstanceId self_;
    MemberSet members_;
    std::uint32_t maxConcurrent_ = 1;
    std::map<InstanceId, Incarnation> reported_;
    struct Permit
    {
        Incarnation incarnation;
        std::uint64_t number = 0;
        bool fromReport = false; // Reported by its holder; not issued by this incarnation.
    };

    std::map<InstanceId, Permit> permits_;
};

// The requesting side: collects the permits of all members, in order.
class ReloadPermitCollector
{
public:
    void setPool(const MemberSet &members);
    // Starts to collect permits. Has no effect if started already.
    void startCollecting() { collecting_ = true; }
    // Returns the state to report to the other members.
    ReloadPermitState state(Incarnation incarnation) const
    {
        return {incarnation, released_, holdsAny()};
    }
    // Returns the number of the current or next permit.
    std::uint64_t permitNumber() const { return released_ + 1; }
    // Returns the member to ask next; nullopt if none are being collected or all permits are held.
    std::optional<InstanceId> nextMember() const;
    void onIssued(const InstanceId &member);
    // Returns whether all members have issued a permit, so that the upstream may be taken out of
    // service.
    bool holdsAll() const;
    bool holdsAny() const { return collecting_ && !held_.empty(); }
    // Ends the collection, because the upstream is back in service or the agent gives up for now.
    // Returns the members whose permits must be released.
    std::set<InstanceId> releaseAll();

private:
    MemberSet members_;
    std::set<InstanceId> held_;
    std::uint64_t released_ = 0;
    bool collecting_ = false;
};

} // namespace seamarch
