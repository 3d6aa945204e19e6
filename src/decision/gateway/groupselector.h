// The lanes of one service: to which of its groups the next stream goes, or that it waits.
//
// The own hall's groups come first, because bytes between halls are dear and the way there can be
// cut. What they do not admit overflows to the group of another hall that is the emptiest by this
// gateway's own bound there, before anything waits: two whole groups carry what a third cannot.
// Groups that stand still, refuse or cannot be reached are avoided while there is another.
//
// When a group falls out, all gateways of its hall look for another at the same moment. Three
// things keep them from tipping the next one over: a gateway's bound at a group of another hall
// begins with a few streams, grows by steps while pauses there are short, and falls earlier than
// that of the group's own hall; and gateways that see several groups alike begin with different
// ones.
//
// Pure and single-threaded.
#pragma once

#include "decision/gateway/grouptable.h"
#include "decision/gateway/grouptracker.h"
#include "decision/gateway/hallposition.h"
#include "decision/gateway/streamqueue.h"
#include "decision/gateway/upstreamchooser.h"
#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace seamarch {

// How a gateway stands among those that share a service's groups.
struct GatewayShare
{
    std::size_t gateways = 1; // Of the site, this one among them.
    HallPosition position;
};

class GroupSelector
{
public:
    struct Settings
    {
        GroupTracker::Settings tracker;
        // The bound at a group of another hall falls and stops rising at this part of the pauses at
        // which that of the own hall does, so that a guest leaves before those at home must.
        double remoteThresholdFactor = 1.0;
    };

    explicit GroupSelector(const Settings &settings)
        : settings_(settings)
    {}

    // Takes the groups that there are now, and who shares them. `groups` outlives the next call.
    void setGroups(const UpstreamChooser::Groups &groups, const GatewayShare &share);

    // Returns the group that `entry` may begin at now; nothing when it should wait.
    std::optional<GroupId> selectForNew(const StreamQueue::Entry &entry, const GroupTable &table,
                                        TimePoint now);
    // Returns the group for a request that was sent before and is sent again, whatever the bounds.
    std::optional<GroupId> selectForRetry(const GroupTable &table, TimePoint now) const;

    // Returns the group for a request whose upstream, in the group `from`, has fallen silent;
    // nothing when all that have room are in trouble, or `from` itself is silent and there is no
    // other.
    std::optional<GroupId> selectForFailover(const GroupId &from, const GroupTable &table,
                                             TimePoint now) const;

    // Returns the lane of a group; adds one.
    GroupTracker &tracker(const GroupId &group);
    const GroupTracker *find(const GroupId &group) const;
    const std::map<GroupId, GroupTracker> &all() const { return trackers_; }

    // The group has answered after an outage, in which callers have queued: its bound begins anew.
    void resetLimit(const GroupId &group);
    // Tells whether every group refuses.
    bool allRefusing(TimePoint now) const;
    // Tells whether no group takes requests and one soon will: it has just started, or its agents
    // say that it is forming. A stream that waits is then served sooner than its caller
    // could come back.
    bool opensSoon(const GroupTable &table, TimePoint now) const;
    // Adapts the bounds; `waiting` streams wait for a place.
    void onTick(std::size_t waiting, const GroupTable &table, TimePoint now);

private:
    // How much is wrong with a lane; the least is used.
    enum class Fault : std::uint8_t { None, Stalled, Refusing, Unreachable };

    // A lane as the choice sees it.
    struct Candidate
    {
        GroupId group;
        Fault fault = Fault::None;
        bool remote = false;
        double load = 0.0; // Streams over the bound.
        std::size_t rotation = 0;
    };

    Fault faultOf(const GroupId &group, const GroupTracker &tracker, const GroupTable &table,
                  TimePoint now) const;
    std::vector<Candidate> candidates(const GroupTable &table, TimePoint now) const;
    std::optional<GroupId> selectForProbe(const std::vector<Candidate> &candidates,
                                          const GroupTable &table, TimePoint now);
    bool mayStart(const GroupTracker &tracker, const StreamQueue::Entry &entry,
                  TimePoint now) const;
    void initLimit(GroupTracker &tracker, const UpstreamChooser::Group &group) const;

    Settings settings_;
    const UpstreamChooser::Groups *groups_ = nullptr;
    GatewayShare share_;
    std::map<GroupId, GroupTracker> trackers_;
};

} // namespace seamarch
