// The part of GroupDecider that sends orders and chooses their recipients, times and routes.
#include "decision/expertmap/groupdecider.h"
#include "decision/expertmap/mapversion.h"

#include <algorithm>

namespace seamarch {

bool GroupDecider::armsOwnRankLast() const
{
    return rankArmedLast(version_) == settings_.ownRank;
}

// Returns the rank whose agent takes over if this one fails: the lowest other rank.
std::uint32_t GroupDecider::successor() const
{
    return settings_.ownRank == 0 ? 1 : 0;
}

// Returns whether the rank can be armed now, given the order in which ranks are armed.
bool GroupDecider::canArm(std::uint32_t number) const
{
    const bool last = number == settings_.ownRank;
    if (!armsOwnRankLast() || (!last && number != successor())) {
        return true;
    }
    return std::all_of(ranks_.begin(), ranks_.end(), [&](const auto &entry) {
        const bool later = entry.first == settings_.ownRank || (!last && entry.first == number);
        return later || entry.second.confirmed;
    });
}

MapOrder GroupDecider::orderFor(MapOrderKind kind) const
{
    MapOrder order;
    order.kind = kind;
    order.version = version_;
    order.step = step_;
    order.epoch = epoch_;
    order.fence = fence_.value();
    order.group = settings_.group;
    if (kind == MapOrderKind::Prepare) {
        order.experts = experts_;
    }
    return order;
}

bool GroupDecider::isResendDue(const Rank &rank, TimePoint now) const
{
    return rank.sentAt == TimePoint{} || now - rank.sentAt >= rank.resendDelay;
}

void GroupDecider::sendPrepares(TimePoint now, MapOrders &orders)
{
    for (auto &[number, rank] : ranks_) {
        const bool copying = rank.answeredAt != TimePoint{};
        if (!rank.confirmed && !copying && isResendDue(rank, now)) {
            resentOrders_ += rank.sentAt == TimePoint{} ? 0 : 1;
            rank.sentAt = now;
            orders.push_back({number, orderFor(MapOrderKind::Prepare), OrderRoute::Any});
        }
    }
}

void GroupDecider::sendArms(TimePoint now, MapOrders &orders)
{
    for (auto &[number, rank] : ranks_) {
        if (!rank.confirmed && isResendDue(rank, now) && canArm(number)) {
            resentOrders_ += rank.sentAt == TimePoint{} ? 0 : 1;
            rank.sentAt = now;
            settings_.epochOfUnresolvedArms = epoch_;
            const OrderRoute route = armsOwnRankLast() ? OrderRoute::AgentOnly : OrderRoute::Any;
            orders.push_back({number, orderFor(MapOrderKind::Arm), route});
        }
    }
}

void GroupDecider::sendDisarms(TimePoint now, MapOrders &orders)
{
    for (auto &[number, rank] : ranks_) {
        if (rank.confirmed || !isResendDue(rank, now) || isExcluded(number)) {
            continue;
        }
        rank.sentAt = now;
        MapOrder order = orderFor(MapOrderKind::Disarm);
        if (rank.report.armed != 0) {
            order.version = rank.report.armed;
        } else if (order.version == rank.report.map) {
            // The map in use cannot be disarmed; the order only conveys the fence.
            ++order.version;
        }
        orders.push_back({number, order, OrderRoute::Any});
    }
}

// Releases the own hold and, after a clearing, the holds of other deciders.
void GroupDecider::sendReleases(TimePoint now, MapOrders &orders)
{
    for (auto &[number, rank] : ranks_) {
        const bool own = number == holder_;
        const bool holds = rank.report.held.has_value() && !isExcluded(number);
        if (rank.confirmed || !isResendDue(rank, now) || !(own || (clearing_ && holds))) {
            continue;
        }
        rank.sentAt = now;
        MapOrder order = orderFor(MapOrderKind::Go);
        if (!own) {
            order.step = *rank.report.held;
        }
        orders.push_back({number, order, OrderRoute::Any});
    }
}

// Chooses the step to hold. For a change, it may be some passes ahead. For a clearing, the hold
// must precede any step at which a map may be armed, which is only certain for the very next step:
// a rank that accepts a hold of the step after the highest reported one has not begun that step, so
// there is no step in between.
void GroupDecider::chooseStep()
{
    step_ = highestStep() + (clearing_ ? 1 : margin());
}

Duration GroupDecider::lead() const
{
    const Duration unmeasured = settings_.lead + settings_.leadPerRank * static_cast<int>(size_);
    const Duration lossy = resentOrders_ > 0 ? settings_.lossyLeadExtra : Duration{};
    if (armTimes_.empty()) {
        return unmeasured + lossy;
    }
    const Duration longest = *std::max_element(armTimes_.begin(), armTimes_.end());
    const Duration measured = fromSeconds(toSeconds(longest) * settings_.leadPerArmTime);
    return std::clamp(measured, settings_.lead, unmeasured) + lossy;
}

// Returns how long the group may wait at the held step for its arms. Normally not at all, because
// every stream that runs through a pause is late. If a pass with the old map exceeds the gap target
// by itself, these streams are late already, and a pause shorter than the time that a pass with the
// new map saves ends that state sooner than another pass with the old map.
Duration GroupDecider::toleratedPause(Duration pass) const
{
    if (outlook_.gapTarget <= Duration{} || pass <= outlook_.gapTarget) {
        return {};
    }
    return std::max(Duration{},
                    pass - passMeter_.forecast().evenTimeScaledTo(outlook_.costAfterChange));
}

// Returns the number of passes by which a hold is placed ahead, by the pass time that is expected
// with the old map. If passes take longer than the lead, the next step is held: the arms usually
// arrive in time, and otherwise the group waits for less than the pass with the old map that is
// avoided.
std::uint64_t GroupDecider::margin() const
{
    const Duration pass = expectedPassTime();
    if (pass <= Duration{}) {
        return settings_.defaultMarginPasses;
    }
    const Duration needed = std::max(Duration{}, lead() - toleratedPause(pass));
    return static_cast<std::uint64_t>(needed / pass + 1);
}

// Chooses the rank that holds the step. A rank can hold only one step. If the own rank still holds
// another one, left by an earlier decider, a rank without such a hold is chosen instead.
void GroupDecider::chooseHolder()
{
    const auto canHold = [this](const Rank &rank) {
        return !rank.report.held || *rank.report.held == step_;
    };
    holder_ = settings_.ownRank;
    if (canHold(ranks_[holder_])) {
        return;
    }
    const auto found = std::find_if(ranks_.begin(), ranks_.end(), [&canHold](const auto &entry) {
        return canHold(entry.second);
    });
    holder_ = found == ranks_.end() ? settings_.ownRank : found->first;
}

void GroupDecider::sendHold(TimePoint now, MapOrders &orders)
{
    if (!isResendDue(ranks_[holder_], now)) {
        return;
    }
    if (clearing_) {
        chooseStep();
        chooseHolder();
    }
    ranks_[holder_].sentAt = now;
    const bool engineOnly = !clearing_ && armsOwnRankLast();
    orders.push_back({holder_, orderFor(MapOrderKind::Hold),
                      engineOnly ? OrderRoute::EngineOnly : OrderRoute::Any});
}

} // namespace seamarch
