// Tracks which engines of a service belong to the group of the deciding agent.
//
// A service may run several groups of different sizes, and its list of engines does not say which
// engine belongs to which group. Every engine names its own group and rank. The last such statement
// of each engine is kept, so that reports and orders stay within one group. An engine that has not
// answered yet may belong to any group and is polled as often as engines of the own group. An
// engine of another group is polled rarely, because it may return as a rank of this group.
//
// Performs no I/O; not thread-safe.
#pragma once

#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace seamarch {

// The group and rank of each listed engine, as far as known.
class GroupMembership
{
public:
    struct Settings
    {
        // Poll interval for engines of other groups. It only bounds the time until a rank is found
        // that has changed groups without a new instance.
        Duration otherGroupInterval = std::chrono::seconds(2);
    };

    explicit GroupMembership(GroupId group)
        : GroupMembership(std::move(group), Settings())
    {}
    GroupMembership(GroupId group, const Settings &settings)
        : group_(std::move(group))
        , settings_(settings)
    {}

    // Replaces the list of engines. Drops the group and rank of engines that are no longer listed.
    void setListed(const std::vector<InstanceId> &engines);
    // Records the group and rank that an engine, or the agent beside it, has reported. Ignores
    // engines that are not listed.
    void recordMember(const InstanceId &engine, const GroupId &group, std::uint32_t rank);

    // Returns the poll interval of `engine`; `ownInterval` is the poll interval of the own group.
    Duration pollIntervalFor(const InstanceId &engine, Duration ownInterval) const;
    // Returns whether `engine` is known to be in another group.
    bool isInOtherGroup(const InstanceId &engine) const;
    // Returns the engines of the own group, by rank.
    std::map<std::uint32_t, InstanceId> engines() const;
    // Returns the engine at `rank` of the own group, or nothing if no engine has reported that
    // rank.
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
    // By listed engine; nullopt if unknown.
    std::map<InstanceId, std::optional<Position>> positions_;
};

} // namespace seamarch
