// Changes the expert map of a group of ranks whose engines accept orders, such that no pass ever
// runs with two different maps. Passes are numbered; a *step* is the number of a pass.
//
// The engines do not compare maps: a rank switches to an armed map when the armed step begins,
// regardless of the other ranks. The ranks are kept consistent by a *hold*: while any rank holds a
// step, the whole group does not begin that step. A change proceeds in four phases:
//   1. prepare: every rank copies the experts of the new map;
//   2. hold: one rank, the decider's own if possible, holds a step S that has not begun;
//   3. arm: every rank is ordered to switch to the map at S;
//   4. go: once every rank has confirmed its arm, the hold is released.
// If an arm remains unconfirmed, the change is cleared instead: under the hold, every rank confirms
// a disarm with a higher fence before the hold is released. A rank that has seen the higher fence
// refuses orders with a lower one, including orders that are executed seconds late.
//
// Any agent of the group may assume the role of decider, because two deciders do no harm: each arms
// and disarms only under its own hold and does not assume that any order was executed. A decider
// that finds arms or holds of another decider clears them in the same way. A new epoch, which
// starts when the group re-forms, invalidates all state; every order names its epoch.
//
// If the machine of a decider froze under its hold, the group would be blocked until the machine
// resumes, because nobody could query what is armed at the decider's own rank. Therefore, when all
// agents take part in a change, the decider arms its own rank last and its successor's rank, which
// is the lowest other rank, second to last. The successor's engine holds the step, and the map
// version encodes the decider's rank. The agent beside a rank knows whether it has forwarded an arm
// of that version. If it has not, and its engine has since accepted a higher fence, its own
// confirmation can never be given; hence the decider's rank is not armed and never will be, and the
// agent clears the change without that rank. No arm bypasses an agent, because such a change is
// armed through agents only.
//
// The class is a deterministic state machine without I/O: reports, answers and the time are its
// inputs, orders are its outputs. Not thread-safe.
#pragma once

#include "decision/expertmap/deciderfence.h"
#include "decision/expertmap/evenplacement.h"
#include "decision/expertmap/passmeter.h"
#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace seamarch {

// The experts of a map, by set of layers.
using ExpertMap = std::vector<RankExperts>;

// The state that a rank reports.
struct RankReport
{
    std::uint32_t rank = 0;
    std::uint32_t ranks = 0;
    std::uint64_t epoch = 0;
    bool open = false;                 // Whether the group accepts requests.
    std::uint64_t step = 0;            // The last step that has begun.
    std::uint64_t map = 0;             // Version in use; zero for the first map of an epoch.
    std::uint64_t prepared = 0;        // Last version whose experts are copied, or zero.
    std::uint64_t armed = 0;           // Version to switch to at a future step, or zero.
    std::optional<std::uint64_t> held; // The step that the rank holds.
    std::uint64_t fence = 0;           // The highest fence known to have been used at the rank.
    double pace = 1.0;                 // Time for a given load relative to a healthy rank.
    // Ranks, epochs, steps and versions are only meaningful within one group.
    GroupId group;
    // The version for which the agent beside the rank has forwarded a prepare but no arm. Zero if
    // there is none or the agent does not know, as after its start. Set only in the agent's report
    // to itself.
    std::uint64_t unarmedVersion = 0;
    bool byAgent = true; // Sent by the agent beside the rank, otherwise by the engine itself.
};

// The kinds of orders; see the protocol above.
enum class MapOrderKind : std::uint16_t { Prepare, Arm, Disarm, Hold, Go };

// An order of a decider to the engine of one rank.
struct MapOrder
{
    MapOrderKind kind = MapOrderKind::Prepare;
    std::uint64_t version = 0;
    std::uint64_t step = 0;
    std::uint64_t epoch = 0;
    std::uint64_t fence = 0;
    std::shared_ptr<const ExpertMap> experts; // Set in a prepare only; the same for all ranks.
    GroupId group;                            // Engines of other groups must refuse the order.
};

// The outcome of an order.
enum class MapOrderAnswer {
    Done,    // Executed, started, or already in effect.
    Refused, // Not applicable in the state of the rank.
    Fenced,  // Another decider has used a higher fence.
    Lost,    // No answer; the order may have been executed, or may be executed later.
    Copied,  // Prepare only: done, and all experts that are new to the rank are copied.
};

// The route by which an order is delivered to a rank.
enum class OrderRoute {
    Any,        // Through the agent beside the rank, or to the engine if the agent does not answer.
    AgentOnly,  // Through the agent, which must record the order.
    EngineOnly, // To the engine: if an agent froze with the order, its outcome would be unknown.
};

// An action for the caller: delivers an order to a rank.
struct SendMapOrder
{
    std::uint32_t rank = 0;
    MapOrder order;
    OrderRoute route = OrderRoute::Any;
};

using MapOrders = std::vector<SendMapOrder>;

// Relative costs of a pass (see PassForecast) and the pauses that callers tolerate.
struct PassOutlook
{
    double costNow = 1.0;         // With the map in use.
    double costAfterChange = 1.0; // With the map that is being changed to.
    Duration gapTarget{}; // Longest pause between events that callers tolerate; zero: unknown.
};

// Coordinates changes of the expert map of one group, and clears changes that another decider has
// left unfinished.
class GroupDecider
{
public:
    struct Settings
    {
        GroupId group; // Reports of other groups are ignored.
        std::uint32_t ownRank = 0;
        std::uint64_t seed = 0;
        // Lower bound of the fences, in units of 2^18. Should be derived from a clock, because
        // engines remember the fences of earlier deciders, and the agents that knew them may be
        // gone as well.
        std::uint64_t fenceFloor = 0;
        // Time of the last contact with the previous decider, if any. `foreignTimeout` for arms and
        // holds that it has left runs from then.
        std::optional<TimePoint> predecessorLastSeenAt;
        // An earlier decider of this agent has armed ranks in this epoch and did not learn the
        // outcome.
        std::optional<std::uint64_t> epochOfUnresolvedArms;
        // A hold is placed at the first step that begins after the lead time, or
        // `defaultMarginPasses` ahead while the pass time is unknown. The hold, the arms and their
        // answers take some ten milliseconds, and more in a large group. A lead that is too short
        // pauses the group and thereby every stream; a long one only keeps the old map in use. The
        // lead is `lead` plus `leadPerRank` for each rank until arms have been measured. After
        // that, it is `leadPerArmTime` times the longest of the last `maxArmTimes` measurements,
        // bounded by `lead` and the initial value.
        std::uint64_t defaultMarginPasses = 2;
        Duration lead = std::chrono::milliseconds(120);
        Duration leadPerRank = std::chrono::milliseconds(3);
        double leadPerArmTime = 2.0;
        std::size_t maxArmTimes = 4;
        // Added to the lead if orders of the change had to be sent again, because arms are then
        // likely to need several attempts, too.
        Duration lossyLeadExtra = std::chrono::milliseconds(450);
        // Resend interval of arms; short, because the group may be waiting for them.
        Duration armResendInterval = std::chrono::milliseconds(100);
        // Period over which the pass time is measured.
        Duration passWindow = std::chrono::milliseconds(400);
        // Resend interval of orders without an answer, other than arms and prepares.
        Duration resendInterval = std::chrono::milliseconds(250);
        // Resend interval of prepares; long, because a prepare is large and is answered only once
        // its experts are copied or the copying takes long.
        Duration prepareResendInterval = std::chrono::milliseconds(800);
        // Delay before a hold is sent again whose step had already begun or whose fence was too
        // low.
        Duration holdRetryDelay = std::chrono::milliseconds(50);
        // Timeout of the prepare phase. Copying takes one to two seconds; a rank that is not done
        // after this time would delay the change.
        Duration prepareTimeout = std::chrono::seconds(8);
        // A change whose arms are not all confirmed after this time is cleared, because the group
        // is waiting.
        Duration armTimeout = std::chrono::milliseconds(1500);
        // Time for which a report counts as current, unless setReportTimeToLive() sets another
        // value.
        Duration reportTimeToLive = std::chrono::milliseconds(700);
        // Time after which unresolved arms and holds of other deciders are cleared. Until then,
        // their decider may still be working on them.
        Duration foreignTimeout = std::chrono::milliseconds(1200);
        // The same timeout if all ranks answer except that of their decider. It is short, because
        // that rank was already silent for longer before another agent took over the role, and a
        // first answer takes some ten milliseconds.
        Duration silentRankTimeout = std::chrono::milliseconds(150);
    };

    // The reason why no change can start.
    enum class Obstacle {
        None,
        ChangeUnderWay,
        RanksUnknown, // Not every rank has reported in this epoch.
        GroupBroken,  // A rank reports that the group does not accept requests.
        ReportsOld,   // The last report of a rank has expired.
        MapsDiffer,   // Ranks report different maps; a change is being activated.
        ArmPending,   // A rank has not yet switched to the last map.
        Foreign,      // Another decider has armed a map or holds a step.
    };

    // The phase of the current change or clearing.
    enum class Phase { Idle, Preparing, Holding, Arming, Clearing, Releasing };

    explicit GroupDecider(const Settings &settings);

    // Handles a report of a rank that was polled at `requestedAt`. Ignores reports of other groups
    // and earlier epochs.
    void onReport(const RankReport &report, TimePoint requestedAt, TimePoint now);
    // Handles the outcome of an order. Ignores outcomes of orders with another epoch or fence.
    void onAnswer(std::uint32_t rank, const MapOrder &order, MapOrderAnswer answer, TimePoint now);
    // Handles timeouts and appends the orders that are due to `orders`.
    void onTick(TimePoint now, MapOrders &orders);

    // Returns whether a change can start: all ranks are current, and the last change is active.
    bool canPropose(TimePoint now) const { return obstacle(now) == Obstacle::None; }
    // Returns the reason why no change can start, or None.
    Obstacle obstacle(TimePoint now) const;
    // Starts a change to `experts`. Returns the version of the new map, or nothing if no change can
    // start.
    std::optional<std::uint64_t> propose(ExpertMap experts, TimePoint now, MapOrders &orders);

    // Abandons a change whose experts are still being copied: nothing is armed yet, and the copies
    // do no harm. Returns false if no change is in that phase.
    bool abandon(TimePoint now);

    // Sets the time for which a report counts as current, which depends on the poll interval.
    void setReportTimeToLive(Duration ttl) { settings_.reportTimeToLive = ttl; }

    // Gives up the role of decider. A change in progress is left for the next decider to clear.
    void resign();

    // Returns the reported paces, by rank.
    std::vector<double> paces() const;
    // Sets what the caller knows about the cost of passes. Must be called on every tick.
    void setPassOutlook(const PassOutlook &outlook) { outlook_ = outlook; }

    // Returns the last measured pass time, or zero if unknown.
    Duration passTime() const { return passMeter_.forecast().lastMeasured(); }
    // Returns the pass time expected at the present cost of a pass, or zero if unknown.
    Duration expectedPassTime() const { return passMeter_.forecast().expectedAt(outlook_.costNow); }
    // Returns the pass time with the map in use: the last measured one, or the expected one if that
    // was measured with the map before. Zero if unknown.
    Duration currentPassTime() const { return passMeter_.timeSince(releasedAt_, outlook_.costNow); }
    // Returns the time of a pass whose load is spread evenly, or zero if unknown.
    Duration evenPassTime() const { return passMeter_.forecast().evenTimeScaledTo(1.0); }
    // Returns the fence floor for a later decider of this agent, above all fences of this one.
    // Orders of this decider may still be executed late; with a higher fence, one that releases a
    // hold would release that of the later decider.
    std::uint64_t nextFenceFloor() const { return fence_.nextFloor(); }
    // Returns the epoch in which this decider has sent arms whose outcome it does not know, if any.
    // A rank that is silent now may be armed with that map, even if it has prepared a later one
    // since.
    std::optional<std::uint64_t> epochOfUnresolvedArms() const
    {
        return settings_.epochOfUnresolvedArms;
    }
    std::uint32_t ownRank() const { return settings_.ownRank; }
    const GroupId &group() const { return settings_.group; }
    // Returns the number of ranks in the group, or zero before the first report.
    std::uint32_t size() const { return size_; }
    Phase phase() const { return phase_; }
    // Returns whether there is an unexpired report of every rank, all in one epoch, and all ranks
    // accept requests.
    bool allRanksCurrent(TimePoint now) const;
    // Returns whether the group accepts requests, according to the rank that was polled last.
    bool acceptsRequests() const;
    // Returns whether the group is forming: there is an unexpired report of every rank, and the
    // group does not accept requests.
    bool forming(TimePoint now) const;
    // Returns the latest poll time among the received reports.
    TimePoint lastReportAt() const;
    // Returns the version in use at every rank, or nothing if versions differ or a report is
    // missing.
    std::optional<std::uint64_t> mapInUse(TimePoint now) const;
    std::uint64_t epoch() const { return epoch_; }
    // Return the number of completed and of cleared changes.
    std::uint64_t changes() const { return changes_; }
    std::uint64_t cleared() const { return cleared_; }
    // Returns the rank that the clearing in progress excludes because its agent does not answer.
    std::optional<std::uint32_t> excludedRank() const { return excludedRank_; }

private:
    struct Rank
    {
        RankReport report;
        TimePoint requestedAt{};
        bool hasReported = false;
        bool confirmed = false; // The rank has executed the order of this phase.
        TimePoint sentAt{};     // When the order of this phase was sent; zero if not yet.
        Duration resendDelay{}; // Measured from `sentAt`.
        TimePoint answeredAt{};
    };

    Duration resendIntervalFor(Phase phase) const;
    void enterPhase(Phase phase, TimePoint now);
    void raiseFence(bool overtaken = false);
    std::uint64_t highestStep() const;
    bool allConfirmed() const;
    bool isGroupClosed(TimePoint now) const;
    bool isResendDue(const Rank &rank, TimePoint now) const;
    bool isCurrent(const Rank &rank, TimePoint now) const;
    bool armsOwnRankLast() const;
    std::uint32_t successor() const;
    bool canArm(std::uint32_t number) const;
    std::optional<std::uint32_t> soleSilentRank(TimePoint now) const;
    bool canClearWithout(std::uint32_t silent) const;
    bool isExcluded(std::uint32_t number) const { return excludedRank_ == number; }
    MapOrder orderFor(MapOrderKind kind) const;
    void sendPrepares(TimePoint now, MapOrders &orders);
    void sendHold(TimePoint now, MapOrders &orders);
    void sendDisarms(TimePoint now, MapOrders &orders);
    void sendReleases(TimePoint now, MapOrders &orders);
    void sendArms(TimePoint now, MapOrders &orders);
    void checkForeignState(TimePoint now);
    void checkSilentRank(bool foreign, TimePoint now);
    bool isForeign(const RankReport &report) const;
    void startClearing(TimePoint now, std::optional<std::uint32_t> excluded = std::nullopt);
    bool allHoldsReleased() const;
    Duration lead() const;
    Duration toleratedPause(Duration pass) const;
    std::uint64_t margin() const;
    void chooseStep();
    void chooseHolder();
    void onHoldAnswer(MapOrderAnswer answer, TimePoint now);
    void onArmAnswer(Rank &rank, MapOrderAnswer answer, TimePoint now);
    void recordArmTime(Duration time);
    void advance(TimePoint now);
    void startEpoch(std::uint64_t epoch, TimePoint now);

    Settings settings_;
    std::mt19937_64 random_;
    DeciderFence fence_;
    PassMeter passMeter_;
    std::map<std::uint32_t, Rank> ranks_;
    std::uint32_t size_ = 0;
    std::uint64_t epoch_ = 0;
    Phase phase_ = Phase::Idle;
    TimePoint phaseSince_{};
    TimePoint releasedAt_{};    // When the last change or clearing ended.
    bool clearing_ = false;     // The hold is for a clearing, not for a change.
    std::uint64_t version_ = 0; // Version of the current or the last change.
    std::uint64_t step_ = 0;    // The step that is held.
    std::uint32_t holder_ = 0;  // The rank that holds it.
    bool committed_ = false;    // Every rank has armed `version_`.
    std::shared_ptr<const ExpertMap> experts_;
    std::uint64_t resentOrders_ = 0; // Number of orders of the current change that were resent.
    PassOutlook outlook_;
    std::deque<Duration> armTimes_; // From the first arm to the last answer, for the last changes.
    std::optional<TimePoint> foreignSince_;
    std::optional<TimePoint> silentSince_; // All ranks but one answer, and foreign state exists.
    std::optional<std::uint32_t> excludedRank_; // The rank excluded from the clearing in progress.
    std::uint64_t changes_ = 0;
    std::uint64_t cleared_ = 0;
};

} // namespace seamarch
