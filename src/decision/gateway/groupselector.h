// Selects the group of a service that the next stream goes to, or decides that the stream waits.
//
// Groups of the own hall come first, because traffic between halls is expensive and may be cut off.
// What they do not admit overflows, before any stream is queued, to the group of another hall with
// the lowest load relative to this gateway's limit there: two complete groups can carry the load of
// a third. Groups that are stalled, refuse or cannot be reached are avoided while there is another.
//
// When a group fails, all gateways of its hall look for another one at the same moment. Three rules
// keep them from overloading it: a gateway's limit at a group of another hall starts with a few
// streams and grows in steps while pauses there are short; it falls earlier than the limits of the
// group's own hall; and gateways that see several equal groups start with different ones.
//
// Pure and single-threaded.
#pragma once

#include "decision/gateway/demandtable.h"
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
#include <utility>
#include <vector>

namespace seamarch {

// The gateways that share a service's groups, as seen by one of them.
struct GatewayShare
{
    std::size_t gateways = 1; // All gateways of the site, including this one.
    HallPosition position;
};

class GroupSelector
{
public:
    struct Settings
    {
        GroupTracker::Settings tracker;
        // Factor for the pause thresholds of the limit at a group of another hall. With a factor
        // below 1, remote gateways yield before the gateways of the group's hall.
        double remoteThresholdFactor = 1.0;
    };

    explicit GroupSelector(const Settings &settings)
        : settings_(settings)
    {}

    // Sets the current groups and the gateways that share them. Keeps a pointer to `groups`, which
    // must stay valid until the next call.
    void setGroups(const UpstreamChooser::Groups &groups, const GatewayShare &share);

    // Returns the group that `entry` may start at now; nullopt if it should wait, and an empty id
    // if there is no group at all.
    std::optional<GroupId> selectForNew(const StreamQueue::Entry &entry, const GroupTable &table,
                                        TimePoint now);
    // Returns the group for a request that is sent again, if need be beyond the limits.
    std::optional<GroupId> selectForRetry(const GroupTable &table, TimePoint now) const;

    // Returns the group for a request whose upstream, in the group `from`, has fallen silent;
    // nullopt if all groups with capacity are faulty, or if `from` itself is silent and there is no
    // other.
    std::optional<GroupId> selectForFailover(const GroupId &from, const GroupTable &table,
                                             TimePoint now) const;

    // Returns the tracker of a group; adds one if there is none.
    GroupTracker &tracker(const GroupId &group);
    // Returns the tracker of a group; nullptr if there is none.
    const GroupTracker *find(const GroupId &group) const;
    const std::map<GroupId, GroupTracker> &all() const { return trackers_; }

    // Resets the limit of a group that answers after an outage, during which callers have queued.
    void resetLimit(const GroupId &group);
    // Sets this gateway's share of a group; ignored if no stream was sent there.
    void setShare(const GroupId &group, std::optional<double> share);
    // Returns what this gateway wants of each group that reports itself and has upstreams in this
    // hall. `waiting` is the number of queued streams, which are divided between the groups. A
    // group of another hall is left to the gateways of that hall, which go first there.
    DemandTable::Demands demands(const TargetName &service, std::size_t waiting,
                                 const GroupTable &table) const;
    // Returns whether every group refuses.
    bool allRefusing(TimePoint now) const;
    // Returns whether no group accepts requests but one will soon: it has just started, or its
    // agents report that it is forming. A queued stream is then served sooner than its caller could
    // retry.
    bool opensSoon(const GroupTable &table, TimePoint now) const;
    // Adapts the limits. `waiting` is the number of queued streams.
    void onTick(std::size_t waiting, const GroupTable &table, TimePoint now);
    // Returns the changes of what governs the limits since the last call.
    std::vector<std::pair<GroupId, LimitChange>> takeLimitChanges();

private:
    // The fault of a group, in increasing severity; groups with the least severe one are used.
    enum class Fault : std::uint8_t { None, Stalled, Refusing, Unreachable };

    // A group with the properties that the selection compares.
    struct Candidate
    {
        GroupId group;
        Fault fault = Fault::None;
        bool remote = false;
        double load = 0.0;        // Streams in flight divided by the limit.
        std::size_t rotation = 0; // Differs between gateways; breaks ties.
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
