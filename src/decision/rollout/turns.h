// Turns for taking an upstream out of service, without anybody in charge.
//
// An agent that must reload its upstream first gets a turn from every member of its pool (the agents
// of its service in its hall). A member gives at most `atOnce` turns at a time. Members are asked one
// after the other in the order of their names, so two askers meet at the first member that they share
// and neither waits for the other in a circle.
//
// No clock is involved: a turn ends when its holder gives it back, is replaced by a new life, or is no
// longer listed. A holder that dies holds the others up until then; they wait rather than overrun the
// floor. A new life has forgotten which turns it gave, so it gives none until every other member has
// told it whether it holds one. As long as two lists share a member, no more than `atOnce` upstreams
// of the pool are out of service at any time.
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

// The granter's side.
class TurnBook
{
public:
    explicit TurnBook(InstanceId self) : self_(std::move(self)) {}

    // Takes the members of the pool and how many may hold a turn at once.
    void setPool(const MemberSet &members, std::uint32_t atOnce);
    // A member has told which life it is and whether it holds a turn.
    void learn(const InstanceId &member, Incarnation incarnation, bool holds);
    // Asks for a turn. Giving it again to its holder is not a second turn.
    bool give(const InstanceId &asker, Incarnation incarnation);
    // The holder gives its turn back.
    void release(const InstanceId &asker, Incarnation incarnation);

    // Tells whether every other member has been heard, so that turns may be given.
    bool ready() const;
    std::size_t given() const { return given_.size(); }

private:
    InstanceId self_;
    MemberSet members_;
    std::uint32_t atOnce_ = 1;
    std::map<InstanceId, Incarnation> heard_;
    std::map<InstanceId, Incarnation> given_;
};

// The asker's side: collects turns in order and knows when all are held.
class TurnTaker
{
public:
    void setPool(const MemberSet &members);
    // Starts to collect turns; nothing changes when it has started already.
    void want() { wanted_ = true; }
    // Returns the member to ask next; nothing when no turn is wanted or all are held.
    std::optional<InstanceId> next() const;
    void onGiven(const InstanceId &member);
    // Tells whether the upstream may be taken out of service.
    bool holdsAll() const;
    // Tells whether a turn may be held anywhere: the book of this agent counts itself by it.
    bool holdsAny() const { return wanted_ && !held_.empty(); }
    // The upstream is back in service. Returns the members to give the turns back to.
    std::set<InstanceId> done();

private:
    MemberSet members_;
    std::set<InstanceId> held_;
    bool wanted_ = false;
};

} // namespace seamarch
