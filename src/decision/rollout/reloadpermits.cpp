#include "decision/rollout/reloadpermits.h"

#include <algorithm>

namespace seamarch {

void ReloadPermitIssuer::setPool(const MemberSet &members, std::uint32_t maxConcurrent)
{
    members_ = members;
    maxConcurrent_ = maxConcurrent;
    const auto unlisted = [this](const auto &entry) {
        return !std::binary_search(members_.members.begin(), members_.members.end(), entry.first);
    };
    std::erase_if(reported_, unlisted);
    std::erase_if(permits_, unlisted);
}

void ReloadPermitIssuer::onMemberState(const InstanceId &member, const ReloadPermitState &state)
{
    reported_[member] = state.incarnation;
    const auto permit = permits_.find(member);
    const bool ended = permit != permits_.end()
                       && (permit->second.incarnation != state.incarnation
                           || permit->second.number <= state.released);
    if (ended) {
        permits_.erase(permit);
    }
    // The permit may have been issued by an earlier incarnation of this agent.
    if (state.holds) {
        permits_.try_emplace(member, Permit{state.incarnation, state.released + 1, true});
    }
}

bool ReloadPermitIssuer::ready() const
{
    return std::all_of(
        members_.members.begin(), members_.members.end(),
        [this](const InstanceId &member) { return member == self_ || reported_.contains(member); });
}

bool ReloadPermitIssuer::tryIssue(const InstanceId &requester, Incarnation incarnation,
                                  std::uint64_t number)
{
    const auto held = permits_.find(requester);
    const bool same = held != permits_.end() && held->second.incarnation == incarnation
                      && held->second.number == number;
    if (same && !held->second.fromReport) {
        return true;
    }
    if (!ready()) {
        return false;
    }
    // A permit known only from a report counts as one of its holder, but is confirmed only within
    // the limit: several requesters may each hold some of the permits issued by earlier
    // incarnations.
    const std::size_t others = permits_.size() - (held == permits_.end() ? 0 : 1);
    if (others >= maxConcurrent_) {
        return false;
    }
    permits_[requester] = {incarnation, number, false};
    return true;
}

void ReloadPermitIssuer::release(const InstanceId &requester, Incarnation incarnation,
                                 std::uint64_t number)
{
    const auto held = permits_.find(requester);
    if (held != permits_.end() && held->second.incarnation == incarnation
        && held->second.number <= number) {
        permits_.erase(held);
    }
}

void ReloadPermitCollector::setPool(const MemberSet &members)
{
    // Permits of members that are no longer listed are harmless. Those of new members are still
    // required.
    members_ = members;
}

std::optional<InstanceId> ReloadPermitCollector::nextMember() const
{
    if (!collecting_) {
        return std::nullopt;
    }
    for (const InstanceId &member : members_.members) {
        if (!held_.contains(member)) {
            return member;
        }
    }
    return std::nullopt;
}

void ReloadPermitCollector::onIssued(const InstanceId &member)
{
    if (collecting_) {
        held_.insert(member);
    }
}

bool ReloadPermitCollector::holdsAll() const
{
    return collecting_ && !members_.members.empty() && !nextMember();
}

std::set<InstanceId> ReloadPermitCollector::releaseAll()
{
    collecting_ = false;
    ++released_;
    std::set<InstanceId> held;
    held.swap(held_);
    return held;
}

} // namespace seamarch
