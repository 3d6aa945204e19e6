// Which engines of a service make up the group of the agent that decides.
//
// A service may run several groups, of unlike sizes, and its list of engines does not say which
// engine is in which. Every engine names its group and its rank itself. The roster keeps what each
// has said last, so that facts and orders stay inside one group. An engine that has not answered
// yet may belong to any group and is asked as often as the own ones; one of another group is asked
// seldom, because it may come back as a rank of this one.
//
// Pure and single-threaded.
#pragma once

#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace seamarch {

class GroupMembership
{
public:
    struct Settings
    {
        // How often an engine of another group is asked. It only bounds how long a group waits for
        // a rank that has changed groups without a new instance.
        Duration otherGroupInterval = std::chrono::seconds(2);
    };

    explicit GroupMembership(GroupId group)
        : GroupMembership(std::move(group), Settings())
    {}
    GroupMembership(GroupId group, const Settings &settings)
        : group_(std::move(group))
        , settings_(settings)
    {}

    // Takes the list of engines. What was said by one that is no longer listed is forgotten.
    void setListed(const std::vector<InstanceId> &engines);
    // An engine, or the agent beside it, has named its group and rank.
    void recordMember(const InstanceId &engine, const GroupId &group, std::uint32_t rank);

    // Returns the gap between two questions to `engine`; `ownInterval` is that of the own group.
    Duration pollIntervalFor(const InstanceId &engine, Duration ownInterval) const;
    // Tells whether `engine` is known to be in another group.
    bool isInOtherGroup(const InstanceId &engine) const;
    // Returns the engines of the own group, by rank.
    std::map<std::uint32_t, InstanceId> engines() const;
    // Returns the engine at `rank` of the own group; nothing while none has said that it is.
    std::optional<InstanceId> engineOf(std::uint32_t rank) const;

private:
    struct Position
    {
        GroupId group;
        std::uint32_t rank = 0;

        bool operator==(const Position &) const = default;
    };

    GroupId group_;
    Settings settings_;
    std::map<InstanceId, std::optional<Position>>
        positions_; // By listed engine; empty: not said yet.
};

} // namespace seamarch
