#include "decision/expertmap/groupmembership.h"

#include <algorithm>
#include <utility>

namespace seamarch {

void GroupMembership::setListed(const std::vector<InstanceId> &engines)
{
    std::map<InstanceId, std::optional<Position>> positions;
    for (const InstanceId &engine : engines) {
        const auto previous = positions_.find(engine);
        positions.emplace(engine, previous == positions_.end() ? std::nullopt : previous->second);
    }
    positions_ = std::move(positions);
}

void GroupMembership::recordMember(const InstanceId &engine, const GroupId &group,
                                   std::uint32_t rank)
{
    const auto found = positions_.find(engine);
    if (found == positions_.end()) {
        return;
    }
    const Position position{group, rank};
    // A replaced engine may stay listed for a while together with its replacement.
    for (auto &[other, otherPosition] : positions_) {
        if (other != engine && otherPosition == position) {
            otherPosition.reset();
        }
    }
    found->second = position;
}

bool GroupMembership::isInOtherGroup(const InstanceId &engine) const
{
    const auto found = positions_.find(engine);
    return found != positions_.end() && found->second && found->second->group != group_;
}

Duration GroupMembership::pollIntervalFor(const InstanceId &engine, Duration ownInterval) const
{
    return isInOtherGroup(engine) ? std::max(ownInterval, settings_.otherGroupInterval)
                                  : ownInterval;
}

std::map<std::uint32_t, InstanceId> GroupMembership::engines() const
{
    std::map<std::uint32_t, InstanceId> engines;
    for (const auto &[engine, position] : positions_) {
        if (position && position->group == group_) {
            engines.emplace(position->rank, engine);
        }
    }
    return engines;
}

std::optional<InstanceId> GroupMembership::engineOf(std::uint32_t rank) const
{
    const Position position{group_, rank};
    const auto found = std::find_if(positions_.begin(), positions_.end(),
                                    [&](const auto &entry) { return entry.second == position; });
    return found == positions_.end() ? std::nullopt : std::optional(found->first);
}

} // namespace seamarch
