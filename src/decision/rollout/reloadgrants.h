// Turns for taking an upstream out of service, without anybody in charge.
//
// An agent that must reload its upstream first gets a turn from every member of its pool (the
// agents of its service in its hall). A member gives at most `maxConcurrent` turns at a time.
// Members are asked one after the other in the order of their names, so two askers meet at the
// first member that they share and neither waits for the other in a circle.
//
// No clock is involved: a turn ends when its holder gives it back, is replaced by a new life, or is
// no longer listed. Answers of an earlier life of a member must not come after the first word to
// its new life, which one connection for each pair of agents sees to. A holder that dies holds the
// others up until then; they wait rather than overrun the floor. A new life has forgotten which
// turns it gave, so it gives none until every other member has told it whether it holds one. As
// long as two lists share a member, no more than `maxConcurrent` upstreams of the pool are out of
// service at any time.
//
// Askers that hold some turns and do not get the others give all back after a while and start anew.
//
// The classes are pure and single-threaded.
#pragma once

#include "decision/once/keyhome.h"
#include "seamarch/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace seamarch {

// How an asker stands.
struct ReloadGrantState
{
    Incarnation incarnation;
    std::uint64_t released = 0; // All its turns up to this number are given back.
    bool holds = false;         // Some member has given it the turn with the next number.
};

// The granter's side.
class ReloadGranter
{
public:
    explicit ReloadGranter(InstanceId self)
        : self_(std::move(self))
    {}

    // Takes the members of the pool and how many may hold a turn at once.
    void setPool(const MemberSet &members, std::uint32_t maxConcurrent);
    // A member has told how it stands.
    void onMemberState(const InstanceId &member, const ReloadGrantState &state);
    // Asks for a turn. Giving it again to its holder is not a second turn.
    bool tryGrant(const InstanceId &requester, Incarnation incarnation, std::uint64_t number);
    // The holder gives all turns up to `number` back. A late message about an older turn does not
    // end a newer one.
    void release(const InstanceId &requester, Incarnation incarnation, std::uint64_t number);

    // Tells whether every other member has been heard, so that turns may be given.
    bool ready() const;
    std::size_t grantCount() const { return grants_.size(); }

private:
    InstanceId self_;
    MemberSet members_;
    std::uint32_t maxConcurrent_ = 1;
    std::map<InstanceId, Incarnation> reported_;
    struct Grant
    {
        Incarnation incarnation;
        std::uint64_t number = 0;
        bool fromReport = false; // Told by its holder; this life has not given it.
    };

    std::map<InstanceId, Grant> grants_;
};

// The asker's side: collects turns in order and knows when all are held.
class ReloadRequester
{
public:
    void setPool(const MemberSet &members);
    // Starts to collect turns; nothing changes when it has started already.
    void requestGrants() { requesting_ = true; }
    // Returns how this agent stands, for the other members.
    ReloadGrantState state(Incarnation incarnation) const
    {
        return {incarnation, released_, holdsAny()};
    }
    // Returns the number of the turn that is wanted.
    std::uint64_t grantNumber() const { return released_ + 1; }
    // Returns the member to ask next; nothing when no turn is wanted or all are held.
    std::optional<InstanceId> nextMember() const;
    void onGranted(const InstanceId &member);
    // Tells whether the upstream may be taken out of service.
    bool holdsAll() const;
    bool holdsAny() const { return requesting_ && !held_.empty(); }
    // The upstream is back in service, or this agent gives up for now. Returns the members to give
    // the turns back to.
    std::set<InstanceId> releaseAll();

private:
    MemberSet members_;
    std::set<InstanceId> held_;
    std::uint64_t released_ = 0;
    bool requesting_ = false;
};

} // namespace seamarch
