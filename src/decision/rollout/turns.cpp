#include "decision/rollout/turns.h"

#include <algorithm>

namespace seamarch {

void TurnBook::setPool(const MemberSet &members, std::uint32_t atOnce)
{
    members_ = members;
    atOnce_ = atOnce;
    const auto unlisted = [this](const auto &entry) {
        return !std::binary_search(members_.members.begin(), members_.members.end(), entry.first);
    };
    std::erase_if(heard_, unlisted);
    std::erase_if(given_, unlisted);
}

void TurnBook::learn(const InstanceId &member, Incarnation incarnation, bool holds)
{
    heard_[member] = incarnation;
    const auto given = given_.find(member);
    if (given != given_.end() && given->second != incarnation) {
        given_.erase(given);
    }
    // What a member says of itself counts when this life has not given it a turn: an earlier life
    // may have. A turn that was given here ends only by release().
    if (holds) {
        given_[member] = incarnation;
    }
}

bool TurnBook::ready() const
{
    return std::all_of(members_.members.begin(), members_.members.end(),
                       [this](const InstanceId &member) {
                           return member == self_ || heard_.contains(member);
                       });
}

bool TurnBook::give(const InstanceId &asker, Incarnation incarnation)
{
    const auto held = given_.find(asker);
    if (held != given_.end() && held->second == incarnation) {
        return true;
    }
    if (!ready()) {
        return false;
    }
    if (held != given_.end()) {
        given_.erase(held);
    }
    if (given_.size() >= atOnce_) {
        return false;
    }
    given_[asker] = incarnation;
    return true;
}

void TurnBook::release(const InstanceId &asker, Incarnation incarnation)
{
    const auto held = given_.find(asker);
    if (held != given_.end() && held->second == incarnation) {
        given_.erase(held);
    }
}

void TurnTaker::setPool(const MemberSet &members)
{
    // Turns of members that are no longer listed do no harm; those of new ones are still to be got.
    members_ = members;
}

std::optional<InstanceId> TurnTaker::next() const
{
    if (!wanted_) {
        return std::nullopt;
    }
    for (const InstanceId &member : members_.members) {
        if (!held_.contains(member)) {
            return member;
        }
    }
    return std::nullopt;
}

void TurnTaker::onGiven(const InstanceId &member)
{
    if (wanted_) {
        held_.insert(member);
    }
}

bool TurnTaker::holdsAll() const
{
    return wanted_ && !members_.members.empty() && !next();
}

std::set<InstanceId> TurnTaker::done()
{
    wanted_ = false;
    std::set<InstanceId> held;
    held.swap(held_);
    return held;
}

} // namespace seamarch
