// The engine groups that a gateway knows: the members of each group and its state.
//
// All ranks of a group run every forward pass together, so slowness, stalls and failures affect the
// whole group and not a single upstream. The store's list of upstreams does not contain the groups:
// engines report them, and the agents beside the engines forward the reports. Each report carries
// the time at which it was true, and the newest report wins, whichever source delivers it. An
// upstream that no report mentions belongs to the unnamed group.
//
// Performs no I/O and is not thread-safe.
#pragma once

#include "decision/gateway/upstreamtable.h"
#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace seamarch {

// One rank of a group.
struct GroupMember
{
    std::string host; // Of the rank's engine, spelled as in the list of upstreams.
    int port = 0;
    double pace = 1.0; // Time per unit of work, relative to the normal time.

    bool operator==(const GroupMember &) const = default;
};

// The state of a group, as reported by the agent that decides on the group's expert map.
struct GroupFacts
{
    GroupId group;
    std::uint64_t epoch = 0;          // Incremented each time the group forms.
    bool open = true;                 // The group accepts requests.
    bool forming = false;             // Not open yet, but all ranks are present.
    std::vector<GroupMember> members; // Ordered by rank.

    bool operator==(const GroupFacts &) const = default;
};

// Returns a digest of `facts`. Peers compare digests to avoid sending facts that the receiver has.
std::uint64_t digestOf(const GroupFacts &facts);

// Stores the latest state of each group, and finds the group of an upstream by its address.
class GroupTable
{
public:
    struct Settings
    {
        // How long a report that a group is closed stays valid. A group reopens within this time
        // once its ranks are back, and a report that is not renewed must not block callers.
        Duration closedTimeToLive = std::chrono::milliseconds(2000);
        // How long the reported pace of a rank stays valid.
        Duration paceTimeToLive = std::chrono::seconds(5);
        // A group is isolated if its last report is older than `isolationTimeout` and that of some
        // other group is newer by at least `isolationLag`. Reports normally arrive several times
        // a second and pass through two polling intervals of 0.4 s.
        Duration isolationTimeout = std::chrono::milliseconds(2500);
        Duration isolationLag = std::chrono::milliseconds(1500);
        // Groups without a report for this long are removed: their agents are gone, and their
        // engines may have joined other groups.
        Duration timeToLive = std::chrono::seconds(60);
    };

    // The state of a group and the time at which it was true.
    struct Snapshot
    {
        GroupFacts facts;
        TimePoint asOf{};
        std::uint64_t digest = 0; // Of the facts.
    };

    GroupTable() = default;
    explicit GroupTable(const Settings &settings)
        : settings_(settings)
    {}

    // Stores `facts`, which were true at `asOf`. Returns false, without any change, if the table
    // has facts of this group that are as new or newer.
    bool update(const GroupFacts &facts, TimePoint asOf);
    // Records that the facts of `group` with the digest `digest` were still true at `asOf`. Returns
    // false, without any change, unless these are the stored facts.
    bool confirm(const GroupId &group, std::uint64_t digest, TimePoint asOf);
    // Removes the groups that have had no report for longer than their time to live.
    void expire(TimePoint now);

    // Returns the group of `upstream`, or the unnamed group if no report mentions it.
    GroupId groupOf(const UpstreamRecord &upstream) const;
    // Returns the pace of the upstream relative to the median of its group. Values above 1 are
    // slower than the median. Returns 1 if there is no recent report.
    double slowness(const UpstreamRecord &upstream, TimePoint now) const;
    // Returns whether a recent report says that the group does not accept requests.
    bool isClosed(const GroupId &group, TimePoint now) const;

    // Returns whether any group has the engine at this address as a member.
    bool hasMember(const std::string &host, int port) const
    {
        return memberships_.contains({host, port});
    }

    // Returns whether a recent report says that the group is closed but about to open.
    bool isForming(const GroupId &group, TimePoint now) const;
    // Returns whether reports of the group have stopped while those of other groups still arrive,
    // which means that the connection to it is cut.
    bool isIsolated(const GroupId &group, TimePoint now) const;

    const std::map<GroupId, Snapshot> &groups() const { return groups_; }
    // Returns the groups that a recent report says accept no requests.
    std::vector<GroupId> closedGroups(TimePoint now) const;
    // Returns the digest of the facts of `group`, or zero if there are none.
    std::uint64_t digestOf(const GroupId &group) const;
    // Returns a counter that rises with every change of the set of groups or of their members.
    std::uint64_t changes() const { return changes_; }
    // Returns a digest of all facts without their ages; equal for tables with equal facts.
    std::uint64_t digest() const { return digest_; }

private:
    using Address = std::pair<std::string, int>;

    struct Membership
    {
        GroupId group;
        TimePoint asOf{};
        double slowness = 1.0;
    };

    void indexMembers(const Snapshot &snapshot);
    void updateDigest();

    Settings settings_;
    std::map<GroupId, Snapshot> groups_;
    std::map<Address, Membership> memberships_;
    std::uint64_t changes_ = 0;
    std::uint64_t digest_ = 0; // Zero if the table is empty.
};

} // namespace seamarch
