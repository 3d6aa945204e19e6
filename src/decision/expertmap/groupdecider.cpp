#include "decision/expertmap/groupdecider.h"

#include "decision/expertmap/mapversion.h"

#include <algorithm>
#include <utility>

namespace seamarch {
namespace {

// Each decider draws the low digits of its fences, so that two never use the same fence, nor one
// its predecessor's at the same rank. A floor of tenths of a second since 1970 keeps a fence below
// 2^53, which every reader of JSON takes exactly.
constexpr std::uint64_t kFenceStride = 1U << 18U;
// Versions are drawn with a gap of up to this, so that an agent that starts anew never means
// another map by a version that it drew in its earlier life. A thousandth of them are its own.
constexpr std::uint64_t kVersionGap = 1U << 30U;

} // namespace

GroupDecider::GroupDecider(const Settings &settings)
    : settings_(settings)
    , random_(settings.seed)
    , fenceMark_(random_() % kFenceStride)
{}

Duration GroupDecider::resendIn(Phase phase) const
{
    switch (phase) {
    case Phase::Preparing:
        return settings_.resendPrepare;
    case Phase::Arming:
        return settings_.resendArm;
    default:
        return settings_.resend;
    }
}

void GroupDecider::enter(Phase phase, TimePoint now)
{
    phase_ = phase;
    phaseSince_ = now;
    if (phase == Phase::Idle) {
        without_.reset();
    }
    for (auto &[rank, state] : ranks_) {
        state.confirmed = false;
        state.sentAt = {};
        state.resendAfter = resendIn(phase);
        state.answeredAt = {};
    }
}

// Takes a fence above all that are known. One that another decider has overtaken grows by twice as
// much each time, because how far it lies behind is not known.
void GroupDecider::raiseFence(bool overtaken)
{
    std::uint64_t highest = std::max(fence_, settings_.fenceFloor * kFenceStride);
    for (const auto &[rank, state] : ranks_) {
        highest = std::max(highest, state.report.fence);
    }
    if (overtaken) {
        highest += overtakenStrides_ * kFenceStride;
        overtakenStrides_ *= 2;
    }
    fence_ = (highest / kFenceStride + 1) * kFenceStride + fenceMark_;
}

std::vector<double> GroupDecider::paces() const
{
    std::vector<double> paces;
    for (const auto &[number, rank] : ranks_) {
        paces.resize(std::max<std::size_t>(paces.size(), number + 1), 1.0);
        paces[number] = rank.report.pace;
    }
    return paces;
}

std::uint64_t GroupDecider::highestStep() const
{
    std::uint64_t highest = 0;
    for (const auto &[rank, state] : ranks_) {
        highest = std::max(highest, state.report.step);
    }
    return highest;
}

bool GroupDecider::fresh(const Rank &rank, TimePoint now) const
{
    return rank.known && rank.report.epoch == epoch_ && rank.report.open
           && now - rank.askedAt <= settings_.reportLife;
}

bool GroupDecider::whole(TimePoint now) const
{
    if (size_ == 0 || ranks_.size() != size_) {
        return false;
    }
    return std::all_of(ranks_.begin(), ranks_.end(),
                       [&](const auto &entry) { return fresh(entry.second, now); });
}

// Returns the one rank that does not answer while all others do.
std::optional<std::uint32_t> GroupDecider::soleSilentRank(TimePoint now) const
{
    std::optional<std::uint32_t> silent;
    for (std::uint32_t number = 0; number < size_; ++number) {
        const auto found = ranks_.find(number);
        if (found != ranks_.end() && fresh(found->second, now)) {
            continue;
        }
        if (silent) {
            return std::nullopt;
        }
        silent = number;
    }
    return silent;
}

bool GroupDecider::armsOwnLast() const
{
    return rankArmedLast(version_) == settings_.ownRank;
}

// Returns the rank whose agent decides after this one: the lowest other.
std::uint32_t GroupDecider::successor() const
{
    return settings_.ownRank == 0 ? 1 : 0;
}

// Tells whether it is the rank's turn to be armed.
bool GroupDecider::mayArm(std::uint32_t number) const
{
    const bool last = number == settings_.ownRank;
    if (!armsOwnLast() || (!last && number != successor())) {
        return true;
    }
    return std::all_of(ranks_.begin(), ranks_.end(), [&](const auto &entry) {
        const bool later = entry.first == settings_.ownRank || (!last && entry.first == number);
        return later || entry.second.confirmed;
    });
}

bool GroupDecider::takesRequests() const
{
    const auto last =
        std::max_element(ranks_.begin(), ranks_.end(), [](const auto &left, const auto &right) {
            return left.second.askedAt < right.second.askedAt;
        });
    return last == ranks_.end() || !last->second.known || last->second.report.open;
}

bool GroupDecider::forming(TimePoint now) const
{
    const auto reports = [&](const auto &entry) {
        const Rank &rank = entry.second;
        return rank.known && now - rank.askedAt <= settings_.reportLife;
    };
    return size_ > 0 && ranks_.size() == size_ && !takesRequests()
           && std::all_of(ranks_.begin(), ranks_.end(), reports);
}

TimePoint GroupDecider::heardAt() const
{
    TimePoint heardAt{};
    for (const auto &[number, rank] : ranks_) {
        heardAt = std::max(heardAt, rank.askedAt);
    }
    return heardAt;
}

std::optional<std::uint64_t> GroupDecider::mapInUse(TimePoint now) const
{
    if (!whole(now)) {
        return std::nullopt;
    }
    const std::uint64_t map = ranks_.begin()->second.report.map;
    for (const auto &[rank, state] : ranks_) {
        if (state.report.map != map) {
            return std::nullopt;
        }
    }
    return map;
}

void GroupDecider::forgetEpoch(std::uint64_t epoch, TimePoint now)
{
    epoch_ = epoch;
    ranks_.clear();
    version_ = 0;
    step_ = 0;
    committed_ = false;
    clearing_ = false;
    foreignSince_.reset();
    measuredAt_ = {};
    passTime_ = {};
    enter(Phase::Idle, now);
}

void GroupDecider::onReport(const RankReport &report, TimePoint askedAt, TimePoint now)
{
    if (report.group != settings_.group || report.epoch < epoch_) {
        return;
    }
    if (report.epoch > epoch_) {
        forgetEpoch(report.epoch, now);
    }
    size_ = report.ranks;
    Rank &rank = ranks_[report.rank];
    if (rank.known && askedAt < rank.askedAt) {
        return;
    }
    if (!rank.known) {
        rank.resendAfter = settings_.resend;
    }
    rank.known = true;
    rank.askedAt = askedAt;
    rank.report = report;
    measurePasses(askedAt);
    if (phase_ == Phase::Preparing) {
        // A report that was asked for before the rank answered may know nothing of its copies yet.
        rank.confirmed =
            report.prepared == version_ || (rank.confirmed && askedAt <= rank.answeredAt);
    } else if (phase_ == Phase::Clearing && askedAt > rank.answeredAt && report.armed != 0) {
        rank.confirmed = false; // Another map is armed than the one that was disarmed.
    }
    advance(now);
}

bool GroupDecider::allConfirmed() const
{
    return std::all_of(ranks_.begin(), ranks_.end(), [this](const auto &entry) {
        const Rank &rank = entry.second;
        const bool seen =
            phase_ != Phase::Clearing || (rank.askedAt > rank.answeredAt && rank.report.armed == 0);
        return leftOut(entry.first) || (rank.confirmed && seen);
    });
}

MapOrder GroupDecider::orderFor(MapOrderKind kind) const
{
    MapOrder order;
    order.kind = kind;
    order.version = version_;
    order.step = step_;
    order.epoch = epoch_;
    order.fence = fence_;
    order.group = settings_.group;
    if (kind == MapOrderKind::Prepare) {
        order.experts = experts_;
    }
    return order;
}

bool GroupDecider::due(const Rank &rank, TimePoint now) const
{
    return rank.sentAt == TimePoint{} || now - rank.sentAt >= rank.resendAfter;
}

void GroupDecider::sendPrepares(TimePoint now, MapOrders &orders)
{
    for (auto &[number, rank] : ranks_) {
        const bool copying = rank.answeredAt != TimePoint{};
        if (!rank.confirmed && !copying && due(rank, now)) {
            unanswered_ += rank.sentAt == TimePoint{} ? 0 : 1;
            rank.sentAt = now;
            orders.push_back({number, orderFor(MapOrderKind::Prepare), OrderWay::Any});
        }
    }
}

void GroupDecider::sendArms(TimePoint now, MapOrders &orders)
{
    for (auto &[number, rank] : ranks_) {
        if (!rank.confirmed && due(rank, now) && mayArm(number)) {
            unanswered_ += rank.sentAt == TimePoint{} ? 0 : 1;
            rank.sentAt = now;
            const OrderWay way = armsOwnLast() ? OrderWay::AgentOnly : OrderWay::Any;
            orders.push_back({number, orderFor(MapOrderKind::Arm), way});
        }
    }
}

void GroupDecider::sendDisarms(TimePoint now, MapOrders &orders)
{
    for (auto &[number, rank] : ranks_) {
        if (rank.confirmed || !due(rank, now) || leftOut(number)) {
            continue;
        }
        rank.sentAt = now;
        MapOrder order = orderFor(MapOrderKind::Disarm);
        if (rank.report.armed != 0) {
            order.version = rank.report.armed;
        } else if (order.version == rank.report.map) {
            // The map in use cannot be disarmed; the order carries the fence alone.
            ++order.version;
        }
        orders.push_back({number, order, OrderWay::Any});
    }
}

// Releases the own hold, and after a clearing those of other deciders as well.
void GroupDecider::sendReleases(TimePoint now, MapOrders &orders)
{
    for (auto &[number, rank] : ranks_) {
        const bool own = number == holder_;
        const bool holds = rank.report.held.has_value() && !leftOut(number);
        if (rank.confirmed || !due(rank, now) || !(own || (clearing_ && holds))) {
            continue;
        }
        rank.sentAt = now;
        MapOrder order = orderFor(MapOrderKind::Go);
        if (!own) {
            order.step = *rank.report.held;
        }
        orders.push_back({number, order, OrderWay::Any});
    }
}

GroupDecider::Obstacle GroupDecider::obstacle(TimePoint now) const
{
    if (phase_ != Phase::Idle) {
        return Obstacle::ChangeUnderWay;
    }
    if (size_ == 0 || ranks_.size() != size_) {
        return Obstacle::RanksUnknown;
    }
    if (broken(now)) {
        return Obstacle::GroupBroken;
    }
    if (!whole(now)) {
        return Obstacle::ReportsOld;
    }
    if (!mapInUse(now)) {
        return Obstacle::MapsDiffer;
    }
    if (foreignSince_) {
        return Obstacle::Foreign;
    }
    // A rank that has still to take the last map refuses to prepare the next.
    const bool armLeft = std::any_of(ranks_.begin(), ranks_.end(), [this](const auto &entry) {
        return entry.second.askedAt <= releasedAt_ || entry.second.report.armed != 0;
    });
    return armLeft ? Obstacle::ArmLeft : Obstacle::None;
}

std::optional<std::uint64_t> GroupDecider::propose(ExpertMap experts, TimePoint now,
                                                   MapOrders &orders)
{
    if (!settled(now)) {
        return std::nullopt;
    }
    std::uint64_t highest = version_;
    for (const auto &[number, rank] : ranks_) {
        highest = std::max({highest, rank.report.map, rank.report.prepared, rank.report.armed});
    }
    const bool agentsOnly =
        size_ > 1 && std::all_of(ranks_.begin(), ranks_.end(), [](const auto &entry) {
            return entry.second.report.byAgent;
        });
    version_ = mapVersionAbove(highest + random_() % kVersionGap,
                               agentsOnly ? std::optional(settings_.ownRank) : std::nullopt);
    experts_ = std::make_shared<const ExpertMap>(std::move(experts));
    committed_ = false;
    clearing_ = false;
    unanswered_ = 0;
    raiseFence();
    enter(Phase::Preparing, now);
    sendPrepares(now, orders);
    return version_;
}

void GroupDecider::resign()
{
    phase_ = Phase::Idle;
    foreignSince_.reset();
}

// A change may wait for a step some passes ahead. To clear, the hold must come before any step at
// which something may be armed, and that is known of the very next step alone: a rank that accepts
// a hold of the step after the highest that was reported has not begun it, so nothing lies between.
void GroupDecider::chooseStep()
{
    step_ = highestStep() + (clearing_ ? 1 : margin());
}

// Measures how long a pass takes, from the highest step of the reports.
void GroupDecider::measurePasses(TimePoint askedAt)
{
    const std::uint64_t step = highestStep();
    if (measuredAt_ == TimePoint{} || step < measuredStep_) {
        measuredStep_ = step;
        measuredAt_ = askedAt;
        return;
    }
    if (askedAt - measuredAt_ < settings_.passWindow) {
        return;
    }
    if (step > measuredStep_) {
        passTime_ = (askedAt - measuredAt_) / static_cast<Duration::rep>(step - measuredStep_);
    }
    measuredStep_ = step;
    measuredAt_ = askedAt;
}

Duration GroupDecider::lead() const
{
    const Duration unmeasured = settings_.lead + settings_.leadPerRank * static_cast<int>(size_);
    const Duration lossy = unanswered_ > 0 ? settings_.leadWhenLossy : Duration{};
    if (armTimes_.empty()) {
        return unmeasured + lossy;
    }
    const Duration longest = *std::max_element(armTimes_.begin(), armTimes_.end());
    const Duration measured = fromSeconds(toSeconds(longest) * settings_.leadOverArms);
    return std::clamp(measured, settings_.lead, unmeasured) + lossy;
}

// Returns how many passes ahead a hold is placed.
std::uint64_t GroupDecider::margin() const
{
    if (passTime_ <= Duration{}) {
        return settings_.stepMargin;
    }
    const auto passes = static_cast<std::uint64_t>(lead() / passTime_ + 1);
    return std::max(settings_.stepMargin, passes);
}

// A rank holds one step. Where the own rank holds another one, as an earlier decider left it, a
// rank that holds nothing takes its place.
void GroupDecider::chooseHolder()
{
    const auto mayHold = [this](const Rank &rank) {
        return !rank.report.held || *rank.report.held == step_;
    };
    holder_ = settings_.ownRank;
    if (mayHold(ranks_[holder_])) {
        return;
    }
    const auto found = std::find_if(ranks_.begin(), ranks_.end(), [&mayHold](const auto &entry) {
        return mayHold(entry.second);
    });
    holder_ = found == ranks_.end() ? settings_.ownRank : found->first;
}

void GroupDecider::sendHold(TimePoint now, MapOrders &orders)
{
    if (!due(ranks_[holder_], now)) {
        return;
    }
    if (clearing_) {
        chooseStep();
        chooseHolder();
    }
    ranks_[holder_].sentAt = now;
    const bool straight = !clearing_ && armsOwnLast();
    orders.push_back(
        {holder_, orderFor(MapOrderKind::Hold), straight ? OrderWay::Engine : OrderWay::Any});
}

// Places the hold anew, also where the own rank should hold already: another decider with a higher
// fence may have released that hold, and may be changing the map now.
void GroupDecider::beginClearing(TimePoint now, std::optional<std::uint32_t> without)
{
    without_ = without;
    clearing_ = true;
    committed_ = false;
    raiseFence();
    chooseStep();
    chooseHolder();
    enter(Phase::Holding, now);
}

bool GroupDecider::isForeign(const RankReport &report) const
{
    const bool ownArm = committed_ && report.armed == version_;
    return (report.armed != 0 && !ownArm) || report.held.has_value();
}

void GroupDecider::watchForeign(TimePoint now)
{
    const bool foreign = std::any_of(ranks_.begin(), ranks_.end(), [this](const auto &entry) {
        return isForeign(entry.second.report);
    });
    watchSilent(foreign, now);
    if (!foreign) {
        foreignSince_.reset();
        return;
    }
    foreignSince_ = foreignSince_.value_or(
        std::exchange(settings_.predecessorHeardAt, std::nullopt).value_or(now));
    if (now - *foreignSince_ >= settings_.foreignPatience && whole(now)) {
        foreignSince_.reset();
        beginClearing(now);
    }
}

// Tells whether the change that is under way can be cleared without the silent rank: that rank is
// armed last, and this agent has handed on no arm, so that its own confirmation is still missing.
bool GroupDecider::mayClearWithout(std::uint32_t silent) const
{
    const auto own = ranks_.find(settings_.ownRank);
    if (own == ranks_.end()) {
        return false;
    }
    const std::uint64_t version = own->second.report.neverArmed;
    const bool named = version != 0 && rankArmedLast(version) == silent;
    return named && std::all_of(ranks_.begin(), ranks_.end(), [&](const auto &entry) {
               const RankReport &report = entry.second.report;
               const bool ofChange = report.armed == 0 || report.armed == version;
               return entry.first == silent || (report.prepared == version && ofChange);
           });
}

void GroupDecider::watchSilent(bool foreign, TimePoint now)
{
    const auto silent = foreign ? soleSilentRank(now) : std::nullopt;
    if (!silent || *silent == settings_.ownRank || !mayClearWithout(*silent)) {
        silentSince_.reset();
        return;
    }
    silentSince_ = silentSince_.value_or(now);
    if (now - *silentSince_ >= settings_.silentPatience) {
        silentSince_.reset();
        beginClearing(now, silent);
    }
}

void GroupDecider::onHoldAnswer(MapOrderAnswer answer, TimePoint now)
{
    switch (answer) {
    case MapOrderAnswer::Copied: // Never of a hold.
    case MapOrderAnswer::Done:
        enter(clearing_ ? Phase::Clearing : Phase::Arming, now);
        return;
    case MapOrderAnswer::Refused:
        ranks_[holder_].resendAfter = settings_.holdAgain;
        if (!clearing_) {
            // The step has begun meanwhile, and the reports may be as old as that.
            step_ = std::max(step_, highestStep()) + margin();
        }
        return;
    case MapOrderAnswer::Fenced:
        raiseFence(true);
        ranks_[holder_].resendAfter = settings_.holdAgain;
        return;
    case MapOrderAnswer::Lost:
        return;
    }
}

void GroupDecider::onArmAnswer(Rank &rank, MapOrderAnswer answer, TimePoint now)
{
    if (answer == MapOrderAnswer::Done) {
        rank.confirmed = true;
    } else if (answer != MapOrderAnswer::Lost) {
        raiseFence(answer == MapOrderAnswer::Fenced);
        beginClearing(now);
    }
}

void GroupDecider::onAnswer(std::uint32_t number, const MapOrder &order, MapOrderAnswer answer,
                            TimePoint now)
{
    const auto found = ranks_.find(number);
    if (found == ranks_.end() || order.epoch != epoch_ || order.fence != fence_) {
        return;
    }
    Rank &rank = found->second;
    const MapOrderKind kind = order.kind;
    if (phase_ == Phase::Preparing && kind == MapOrderKind::Prepare) {
        if (answer == MapOrderAnswer::Copied) {
            rank.answeredAt = now;
            rank.confirmed = true;
        } else if (answer == MapOrderAnswer::Done) {
            rank.answeredAt = now; // Whether it is copied, its report tells.
        } else if (answer == MapOrderAnswer::Lost) {
            rank.resendAfter = settings_.resend;
        } else {
            raiseFence(answer == MapOrderAnswer::Fenced);
            enter(Phase::Idle, now); // Nothing is armed; a new proposal takes a higher version.
        }
    } else if (phase_ == Phase::Holding && kind == MapOrderKind::Hold && number == holder_
               && order.step == step_) {
        onHoldAnswer(answer, now);
    } else if (phase_ == Phase::Arming && kind == MapOrderKind::Arm) {
        onArmAnswer(rank, answer, now);
    } else if (phase_ == Phase::Clearing && kind == MapOrderKind::Disarm) {
        if (answer == MapOrderAnswer::Fenced) {
            raiseFence(true);
            beginClearing(now, without_);
        } else if (answer == MapOrderAnswer::Done) {
            rank.confirmed = true;
            rank.answeredAt = now;
        }
    } else if (phase_ == Phase::Releasing && kind == MapOrderKind::Go) {
        if (answer == MapOrderAnswer::Fenced) {
            enter(Phase::Idle, now); // Another decider is at it, and releases what it holds.
        } else if (answer != MapOrderAnswer::Lost) {
            rank.confirmed = true;
        }
    }
    advance(now);
}

void GroupDecider::noteArmTime(Duration time)
{
    armTimes_.push_back(time);
    if (armTimes_.size() > settings_.armTimesKept) {
        armTimes_.pop_front();
    }
}

// Takes the step that the confirmations allow.
void GroupDecider::advance(TimePoint now)
{
    const std::size_t silent = without_ && !ranks_.contains(*without_) ? 1 : 0;
    if (ranks_.size() + silent != size_ || size_ == 0) {
        return;
    }
    if (phase_ == Phase::Preparing && allConfirmed() && whole(now)) {
        chooseStep();
        holder_ = armsOwnLast() ? successor() : settings_.ownRank;
        enter(Phase::Holding, now);
    } else if (phase_ == Phase::Arming && allConfirmed()) {
        committed_ = true;
        noteArmTime(now - phaseSince_);
        enter(Phase::Releasing, now);
    } else if (phase_ == Phase::Clearing && allConfirmed()) {
        // Its own engine has taken the fence by now: what this agent has not handed on, it refuses.
        const bool cleared = !without_ || mayClearWithout(*without_);
        cleared_ += cleared ? 1 : 0;
        enter(cleared ? Phase::Releasing : Phase::Idle, now);
    } else if (phase_ == Phase::Releasing && released()) {
        changes_ += committed_ ? 1 : 0;
        releasedAt_ = now;
        enter(Phase::Idle, now);
    }
}

// Tells whether every hold that this agent releases is released.
bool GroupDecider::released() const
{
    return std::all_of(ranks_.begin(), ranks_.end(), [this](const auto &entry) {
        const bool holds = entry.second.report.held.has_value() && !leftOut(entry.first);
        const bool asked = entry.first == holder_ || (clearing_ && holds);
        return !asked || entry.second.confirmed;
    });
}

// Tells whether the group has broken: it forms anew in another epoch, in which nothing of this one
// counts.
bool GroupDecider::broken(TimePoint now) const
{
    return std::any_of(ranks_.begin(), ranks_.end(), [&](const auto &entry) {
        const Rank &rank = entry.second;
        return rank.known && !rank.report.open && now - rank.askedAt <= settings_.reportLife;
    });
}

bool GroupDecider::abandon(TimePoint now)
{
    if (phase_ != Phase::Preparing) {
        return false;
    }
    enter(Phase::Idle, now);
    return true;
}

void GroupDecider::onTick(TimePoint now, MapOrders &orders)
{
    if (phase_ != Phase::Idle && broken(now)) {
        enter(Phase::Idle, now);
    }
    if (phase_ == Phase::Preparing && now - phaseSince_ > settings_.prepareLimit) {
        enter(Phase::Idle, now); // Nothing is armed; what was copied does no harm.
    } else if (phase_ == Phase::Arming && now - phaseSince_ > settings_.armLimit) {
        beginClearing(now);
    } else if (phase_ == Phase::Holding && !clearing_ && now - phaseSince_ > settings_.armLimit) {
        beginClearing(now); // Whether the rank holds the step is not known.
    }
    switch (phase_) {
    case Phase::Idle:
        watchForeign(now);
        return;
    case Phase::Preparing:
        sendPrepares(now, orders);
        return;
    case Phase::Holding:
        sendHold(now, orders);
        return;
    case Phase::Arming:
        sendArms(now, orders);
        return;
    case Phase::Clearing:
        sendDisarms(now, orders);
        return;
    case Phase::Releasing:
        sendReleases(now, orders);
        return;
    }
}

} // namespace seamarch
