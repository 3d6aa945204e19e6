// The groups of engines as a gateway knows them: which upstreams make their passes together, and
// how each group fares.
//
// All ranks of a group make every pass together, so what gets slow, stands still or breaks is a
// group, and never one upstream of it. The list of upstreams does not say which of them form a
// group; their engines do, and the agents beside the engines pass it on. What is known of a group
// was true at some moment: a gateway takes the newest word, whoever brings it. An upstream of which
// nobody has said anything belongs to the group without a name.
//
// Pure and single-threaded.
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
    std::string host; // Of its engine, as the list of upstreams names it.
    int port = 0;
    double pace = 1.0; // Over 1: it takes so many times as long for its work.

    bool operator==(const GroupMember &) const = default;
};

// What the agent that decides on a group's map tells of the group.
struct GroupFacts
{
    GroupId group;
    std::uint64_t epoch = 0;          // Rises each time that the group forms.
    bool open = true;                 // It takes requests.
    bool forming = false;             // It does not yet, but all its ranks are there.
    std::vector<GroupMember> members; // In the order of their ranks.

    bool operator==(const GroupFacts &) const = default;
};

// Returns a digest of the facts, by which those who have them already name them.
std::uint64_t digestOf(const GroupFacts &facts);

class GroupTable
{
public:
    struct Settings
    {
        // How long a group counts as closed after the word that it is: it opens within that time
        // once its ranks are back, and callers must not be kept from it by a word that nobody
        // renews.
        Duration closedTimeToLive = std::chrono::milliseconds(2000);
        // How long a rank counts as slow after the word that it is.
        Duration paceTimeToLive = std::chrono::seconds(5);
        // Word of each group comes several times a second, through two waits of 0.4 s. When that of
        // one has not come for the first time, and that of another is younger by the second, the
        // way to the one is cut.
        Duration isolationTimeout = std::chrono::milliseconds(2500);
        Duration isolationLag = std::chrono::milliseconds(1500);
        // A group of which nothing was heard for this long is forgotten: its agents are gone, and
        // its engines may be in other groups by then.
        Duration timeToLive = std::chrono::seconds(60);
    };

    // A group and the moment at which it was so.
    struct Snapshot
    {
        GroupFacts facts;
        TimePoint asOf{};
    };

    GroupTable() = default;
    explicit GroupTable(const Settings &settings)
        : settings_(settings)
    {}

    // Takes what was so at `asOf`. Returns false, and takes nothing, when a later word is known.
    bool update(const GroupFacts &facts, TimePoint asOf);
    // What is known of `group` was still so at `asOf`.
    void renew(const GroupId &group, TimePoint asOf);
    // Forgets groups of which nothing was heard for too long.
    void expire(TimePoint now);

    // Returns the group that `upstream` belongs to; the one without a name when nobody has said.
    GroupId groupOf(const UpstreamRecord &upstream) const;
    // Returns how many times as long as the group's median rank the upstream takes for its work; 1
    // when nothing is known of late.
    double slowness(const UpstreamRecord &upstream, TimePoint now) const;
    // Tells whether the group has said of late that it takes no requests.
    bool isClosed(const GroupId &group, TimePoint now) const;

    // Tells whether some group is known to have the engine at an address.
    bool hasMember(const std::string &host, int port) const
    {
        return memberships_.contains({host, port});
    }

    // Tells whether the group has said of late that it takes no requests yet, and soon will.
    bool isForming(const GroupId &group, TimePoint now) const;
    // Tells whether word of the group stays away while that of others comes.
    bool isIsolated(const GroupId &group, TimePoint now) const;

    const std::map<GroupId, Snapshot> &groups() const { return groups_; }
    // Returns a number that rises with every change of what groups there are and who is in them.
    std::uint64_t changes() const { return changes_; }
    // Returns a digest of all facts, without their ages: tables that hold the same name it alike.
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
    std::uint64_t digest_ = 0; // Zero while no group is known.
};

} // namespace seamarch
