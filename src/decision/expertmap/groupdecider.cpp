#include "decision/expertmap/groupdecider.h"

#include "decision/expertmap/mapversion.h"

#include <algorithm>
#include <utility>

namespace seamarch {
namespace {

// Maximum random gap between versions. It keeps a restarted agent from reusing, for another map, a
// version that it drew before the restart. About one in a thousand versions in the gap is available
// to a given rank (see mapversion.h).
constexpr std::uint64_t kMaxVersionGap = 1U << 30U;

} // namespace

GroupDecider::GroupDecider(const Settings &settings)
    : settings_(settings)
    , random_(settings.seed)
    , fence_(settings.fenceFloor, random_())
    , passMeter_(settings.passWindow)
{}

Duration GroupDecider::resendIntervalFor(Phase phase) const
{
    switch (phase) {
    case Phase::Preparing:
        return settings_.prepareResendInterval;
    case Phase::Arming:
        return settings_.armResendInterval;
    default:
        return settings_.resendInterval;
    }
}

void GroupDecider::enterPhase(Phase phase, TimePoint now)
{
    phase_ = phase;
    phaseSince_ = now;
    if (phase == Phase::Idle) {
        excludedRank_.reset();
    }
    for (auto &[rank, state] : ranks_) {
        state.confirmed = false;
        state.sentAt = {};
        state.resendDelay = resendIntervalFor(phase);
        state.answeredAt = {};
    }
}

// Raises the fence above all known fences.
void GroupDecider::raiseFence(bool overtaken)
{
    std::uint64_t highest = 0;
    for (const auto &[rank, state] : ranks_) {
        highest = std::max(highest, state.report.fence);
    }
    fence_.raise(highest, overtaken);
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

bool GroupDecider::isCurrent(const Rank &rank, TimePoint now) const
{
    return rank.hasReported && rank.report.epoch == epoch_ && rank.report.open
           && now - rank.requestedAt <= settings_.reportTimeToLive;
}

bool GroupDecider::allRanksCurrent(TimePoint now) const
{
    if (size_ == 0 || ranks_.size() != size_) {
        return false;
    }
    return std::all_of(ranks_.begin(), ranks_.end(),
                       [&](const auto &entry) { return isCurrent(entry.second, now); });
}

bool GroupDecider::acceptsRequests() const
{
    const auto last =
        std::max_element(ranks_.begin(), ranks_.end(), [](const auto &left, const auto &right) {
            return left.second.requestedAt < right.second.requestedAt;
        });
    return last == ranks_.end() || !last->second.hasReported || last->second.report.open;
}

bool GroupDecider::forming(TimePoint now) const
{
    const auto reports = [&](const auto &entry) {
        const Rank &rank = entry.second;
        return rank.hasReported && now - rank.requestedAt <= settings_.reportTimeToLive;
    };
    return size_ > 0 && ranks_.size() == size_ && !acceptsRequests()
           && std::all_of(ranks_.begin(), ranks_.end(), reports);
}

TimePoint GroupDecider::lastReportAt() const
{
    TimePoint latest{};
    for (const auto &[number, rank] : ranks_) {
        latest = std::max(latest, rank.requestedAt);
    }
    return latest;
}

std::optional<std::uint64_t> GroupDecider::mapInUse(TimePoint now) const
{
    if (!allRanksCurrent(now)) {
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

void GroupDecider::startEpoch(std::uint64_t epoch, TimePoint now)
{
    epoch_ = epoch;
    ranks_.clear();
    version_ = 0;
    step_ = 0;
    committed_ = false;
    clearing_ = false;
    foreignSince_.reset();
    passMeter_.restart();
    enterPhase(Phase::Idle, now);
}

void GroupDecider::onReport(const RankReport &report, TimePoint requestedAt, TimePoint now)
{
    if (report.group != settings_.group || report.epoch < epoch_) {
        return;
    }
    if (report.epoch > epoch_) {
        startEpoch(report.epoch, now);
    }
    size_ = report.ranks;
    Rank &rank = ranks_[report.rank];
    if (rank.hasReported && requestedAt < rank.requestedAt) {
        return;
    }
    if (!rank.hasReported) {
        rank.resendDelay = settings_.resendInterval;
    }
    rank.hasReported = true;
    rank.requestedAt = requestedAt;
    rank.report = report;
    passMeter_.record(highestStep(), outlook_.costNow, requestedAt);
    if (phase_ == Phase::Preparing) {
        // A report that was requested before the rank answered may not include its copies yet.
        rank.confirmed =
            report.prepared == version_ || (rank.confirmed && requestedAt <= rank.answeredAt);
    } else if (phase_ == Phase::Clearing && requestedAt > rank.answeredAt && report.armed != 0) {
        rank.confirmed = false; // A map other than the disarmed one is armed.
    }
    advance(now);
}

bool GroupDecider::allConfirmed() const
{
    return std::all_of(ranks_.begin(), ranks_.end(), [this](const auto &entry) {
        const Rank &rank = entry.second;
        const bool disarmReported =
            phase_ != Phase::Clearing
            || (rank.requestedAt > rank.answeredAt && rank.report.armed == 0);
        return isExcluded(entry.first) || (rank.confirmed && disarmReported);
    });
}

GroupDecider::Obstacle GroupDecider::obstacle(TimePoint now) const
{
    if (phase_ != Phase::Idle) {
        return Obstacle::ChangeUnderWay;
    }
    if (size_ == 0 || ranks_.size() != size_) {
        return Obstacle::RanksUnknown;
    }
    if (isGroupClosed(now)) {
        return Obstacle::GroupBroken;
    }
    if (!allRanksCurrent(now)) {
        return Obstacle::ReportsOld;
    }
    if (!mapInUse(now)) {
        return Obstacle::MapsDiffer;
    }
    if (foreignSince_) {
        return Obstacle::Foreign;
    }
    // A rank that has not yet switched to the last map refuses to prepare the next one.
    const bool armPending = std::any_of(ranks_.begin(), ranks_.end(), [this](const auto &entry) {
        return entry.second.requestedAt <= releasedAt_ || entry.second.report.armed != 0;
    });
    return armPending ? Obstacle::ArmPending : Obstacle::None;
}

std::optional<std::uint64_t> GroupDecider::propose(ExpertMap experts, TimePoint now,
                                                   MapOrders &orders)
{
    if (!canPropose(now)) {
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
    version_ = mapVersionAbove(highest + random_() % kMaxVersionGap,
                               agentsOnly ? std::optional(settings_.ownRank) : std::nullopt);
    experts_ = std::make_shared<const ExpertMap>(std::move(experts));
    committed_ = false;
    clearing_ = false;
    resentOrders_ = 0;
    raiseFence();
    enterPhase(Phase::Preparing, now);
    sendPrepares(now, orders);
    return version_;
}

void GroupDecider::resign()
{
    phase_ = Phase::Idle;
    foreignSince_.reset();
}

void GroupDecider::onHoldAnswer(MapOrderAnswer answer, TimePoint now)
{
    switch (answer) {
    case MapOrderAnswer::Copied: // Not an answer to a hold.
    case MapOrderAnswer::Done:
        enterPhase(clearing_ ? Phase::Clearing : Phase::Arming, now);
        return;
    case MapOrderAnswer::Refused:
        ranks_[holder_].resendDelay = settings_.holdRetryDelay;
        if (!clearing_) {
            // The step has begun in the meantime, and the reports may be older than that.
            step_ = std::max(step_, highestStep()) + margin();
        }
        return;
    case MapOrderAnswer::Fenced:
        raiseFence(true);
        ranks_[holder_].resendDelay = settings_.holdRetryDelay;
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
        startClearing(now);
    }
}

void GroupDecider::onAnswer(std::uint32_t number, const MapOrder &order, MapOrderAnswer answer,
                            TimePoint now)
{
    const auto found = ranks_.find(number);
    if (found == ranks_.end() || order.epoch != epoch_ || order.fence != fence_.value()) {
        return;
    }
    Rank &rank = found->second;
    const MapOrderKind kind = order.kind;
    if (phase_ == Phase::Preparing && kind == MapOrderKind::Prepare) {
        if (answer == MapOrderAnswer::Copied) {
            rank.answeredAt = now;
            rank.confirmed = true;
        } else if (answer == MapOrderAnswer::Done) {
            rank.answeredAt = now; // A report confirms the copies later.
        } else if (answer == MapOrderAnswer::Lost) {
            rank.resendDelay = settings_.resendInterval;
        } else {
            raiseFence(answer == MapOrderAnswer::Fenced);
            // Nothing is armed; the next proposal uses a higher version.
            enterPhase(Phase::Idle, now);
        }
    } else if (phase_ == Phase::Holding && kind == MapOrderKind::Hold && number == holder_
               && order.step == step_) {
        onHoldAnswer(answer, now);
    } else if (phase_ == Phase::Arming && kind == MapOrderKind::Arm) {
        onArmAnswer(rank, answer, now);
    } else if (phase_ == Phase::Clearing && kind == MapOrderKind::Disarm) {
        if (answer == MapOrderAnswer::Fenced) {
            raiseFence(true);
            startClearing(now, excludedRank_);
        } else if (answer == MapOrderAnswer::Done) {
            rank.confirmed = true;
            rank.answeredAt = now;
        }
    } else if (phase_ == Phase::Releasing && kind == MapOrderKind::Go) {
        if (answer == MapOrderAnswer::Fenced) {
            enterPhase(Phase::Idle, now); // Another decider is active and releases its hold.
        } else if (answer != MapOrderAnswer::Lost) {
            rank.confirmed = true;
        }
    }
    advance(now);
}

void GroupDecider::recordArmTime(Duration time)
{
    armTimes_.push_back(time);
    if (armTimes_.size() > settings_.maxArmTimes) {
        armTimes_.pop_front();
    }
}

// Enters the next phase if the confirmations received so far allow it.
void GroupDecider::advance(TimePoint now)
{
    const std::size_t silent = excludedRank_ && !ranks_.contains(*excludedRank_) ? 1 : 0;
    if (ranks_.size() + silent != size_ || size_ == 0) {
        return;
    }
    if (phase_ == Phase::Preparing && allConfirmed() && allRanksCurrent(now)) {
        chooseStep();
        holder_ = armsOwnRankLast() ? successor() : settings_.ownRank;
        enterPhase(Phase::Holding, now);
    } else if (phase_ == Phase::Arming && allConfirmed()) {
        committed_ = true;
        settings_.epochOfUnresolvedArms.reset();
        recordArmTime(now - phaseSince_);
        enterPhase(Phase::Releasing, now);
    } else if (phase_ == Phase::Clearing && allConfirmed()) {
        // The own engine has accepted the fence by now, so it refuses any earlier order that this
        // agent has not forwarded yet.
        const bool cleared = !excludedRank_ || canClearWithout(*excludedRank_);
        cleared_ += cleared ? 1 : 0;
        if (!excludedRank_) {
            settings_.epochOfUnresolvedArms.reset();
        }
        enterPhase(cleared ? Phase::Releasing : Phase::Idle, now);
    } else if (phase_ == Phase::Releasing && allHoldsReleased()) {
        changes_ += committed_ ? 1 : 0;
        releasedAt_ = now;
        enterPhase(Phase::Idle, now);
    }
}

// Returns whether every hold that this decider has to release is released.
bool GroupDecider::allHoldsReleased() const
{
    return std::all_of(ranks_.begin(), ranks_.end(), [this](const auto &entry) {
        const bool holds = entry.second.report.held.has_value() && !isExcluded(entry.first);
        const bool mustRelease = entry.first == holder_ || (clearing_ && holds);
        return !mustRelease || entry.second.confirmed;
    });
}

// Returns whether a current report says that the group does not accept requests. The group then
// re-forms in a new epoch, which invalidates all state of this one.
bool GroupDecider::isGroupClosed(TimePoint now) const
{
    return std::any_of(ranks_.begin(), ranks_.end(), [&](const auto &entry) {
        const Rank &rank = entry.second;
        return rank.hasReported && !rank.report.open
               && now - rank.requestedAt <= settings_.reportTimeToLive;
    });
}

bool GroupDecider::abandon(TimePoint now)
{
    if (phase_ != Phase::Preparing) {
        return false;
    }
    enterPhase(Phase::Idle, now);
    return true;
}

void GroupDecider::onTick(TimePoint now, MapOrders &orders)
{
    if (phase_ != Phase::Idle && isGroupClosed(now)) {
        enterPhase(Phase::Idle, now);
    }
    if (phase_ == Phase::Preparing && now - phaseSince_ > settings_.prepareTimeout) {
        enterPhase(Phase::Idle, now); // Nothing is armed; the copies do no harm.
    } else if (phase_ == Phase::Arming && now - phaseSince_ > settings_.armTimeout) {
        startClearing(now);
    } else if (phase_ == Phase::Holding && !clearing_ && now - phaseSince_ > settings_.armTimeout) {
        startClearing(now); // It is unknown whether the rank holds the step.
    }
    switch (phase_) {
    case Phase::Idle:
        checkForeignState(now);
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
