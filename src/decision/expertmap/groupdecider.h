// Changes the expert map of a group of ranks whose engines take orders, so that no pass is ever
// made with two maps.
//
// The engines compare nothing: a rank takes an armed map when its step begins, whatever the others
// do. What keeps them together is the *hold*: a rank that holds a step keeps the whole group from
// beginning it until it is told to go on. A change goes
//   1. prepare: every rank copies the new map's experts;
//   2. hold: one rank, the decider's own if it can, holds a step S that has not begun;
//   3. arm: every rank is told to take the map at S;
//   4. go: once every rank has confirmed its arm, the hold is released.
// If any arm stays unconfirmed, the change is cleared instead: under the hold, every rank confirms
// a disarm that carries a higher fence, and only then the hold is released. A rank that has seen
// the higher fence refuses older orders, also those that are carried out seconds late.
//
// Any agent of the group may take itself for the decider, because two are harmless: each arms and
// disarms only under a hold of its own, and no order is assumed to have been carried out. A decider
// that finds arms or holds that are not its own clears them in the same way. The group's forming
// anew (a new epoch) voids everything, which every order names.
//
// A decider whose machine freezes under its hold would stop the group until it wakes, since nobody
// can ask its own rank what is armed there. So a change that all agents take part in arms the
// decider's own rank last of all, and its successor's, the lowest other rank, last but one; the
// successor's engine holds the step, and the version names the decider's rank. The agent beside a
// rank knows whether it has handed on an arm of the version. One that has not, and whose engine has
// taken a higher fence since, knows that its confirmation will never come, hence that the decider's
// rank is not armed and never will be: it clears the change without that rank. No arm passes an
// agent by, because such a change is armed through agents alone.
//
// The class is a pure state machine: reports, answers and the time come in, orders go out.
// Single-threaded.
#pragma once

#include "decision/expertmap/evenplacement.h"
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

// What a rank reports of itself.
struct RankReport
{
    std::uint32_t rank = 0;
    std::uint32_t ranks = 0;
    std::uint64_t epoch = 0;
    bool open = false;
    std::uint64_t step = 0;            // The last pass that began.
    std::uint64_t map = 0;             // Version in use; zero is the first map of an epoch.
    std::uint64_t prepared = 0;        // Zero: none.
    std::uint64_t armed = 0;           // Version that is to be taken at a step to come; zero: none.
    std::optional<std::uint64_t> held; // The step that it holds.
    std::uint64_t fence = 0;           // The highest fence that is known to have been used there.
    double pace = 1.0;                 // Over 1: it takes so many times as long for its work.
    // Ranks, epochs, steps and versions of two groups have nothing to do with each other.
    GroupId group;
    // The version that the agent beside the rank has handed on a prepare of, and no arm. Zero:
    // none, or the agent does not know, as after its start. Only that agent itself is told.
    std::uint64_t unarmedVersion = 0;
    bool byAgent = true; // Told by the agent beside the rank, else by the engine itself.
};

enum class MapOrderKind : std::uint16_t { Prepare, Arm, Disarm, Hold, Go };

struct MapOrder
{
    MapOrderKind kind = MapOrderKind::Prepare;
    std::uint64_t version = 0;
    std::uint64_t step = 0;
    std::uint64_t epoch = 0;
    std::uint64_t fence = 0;
    std::shared_ptr<const ExpertMap> experts; // Of a prepare; the same for all ranks.
    GroupId group;                            // An engine of another group must not take it.
};

// What became of an order.
enum class MapOrderAnswer {
    Done,    // Begun, or it held already.
    Refused, // It does not fit the rank's state.
    Fenced,  // Another decider has used a higher fence.
    Lost,    // No answer: it may have been carried out, or may be later.
    Copied,  // Of a prepare: done, and all experts that are new to the rank are copied.
};

// Which way an order goes to a rank.
enum class OrderRoute {
    Any,        // Through the agent beside the rank, or to the engine when the agent is silent.
    AgentOnly,  // The agent must know of it.
    EngineOnly, // An agent that froze with it would leave nobody who can tell what became of it.
};

// Hand an order to a rank.
struct SendMapOrder
{
    std::uint32_t rank = 0;
    MapOrder order;
    OrderRoute route = OrderRoute::Any;
};

using MapOrders = std::vector<SendMapOrder>;

class GroupDecider
{
public:
    struct Settings
    {
        GroupId group; // Reports of other groups are passed over.
        std::uint32_t ownRank = 0;
        std::uint64_t seed = 0;
        // Fences start above this many strides. A clock makes a good floor: engines remember the
        // fences of deciders that are gone, and the agents that knew them may be gone too.
        std::uint64_t fenceFloor = 0;
        // When the decider before this one was last heard, if it was: its patience with what that
        // one left armed or held runs from then.
        std::optional<TimePoint> predecessorLastSeenAt;
        // A hold is placed before the first pass that begins after the lead; so many passes ahead
        // while their time is not known. The hold, the arms and their answers take some ten
        // milliseconds and more on a large group; a lead that is too short stops the group, which
        // every stream feels, a long one only keeps it on the old map. Before any arms were
        // measured, the lead grows with the group; then it is a multiple of the longest of the last
        // few, and no shorter than `lead`.
        std::uint64_t defaultMarginPasses = 2;
        Duration lead = std::chrono::milliseconds(120);
        Duration leadPerRank = std::chrono::milliseconds(3);
        double leadPerArmTime = 2.0;
        std::size_t maxArmTimes = 4;
        // Added when orders of the change were not answered: arms then take some rounds as well.
        Duration lossyLeadExtra = std::chrono::milliseconds(450);
        // An arm that was not answered is sent again after this: the group may be waiting for it.
        Duration armResendInterval = std::chrono::milliseconds(100);
        // The time of a pass is measured over this long.
        Duration passWindow = std::chrono::milliseconds(400);
        // An order that was not answered is sent again after this.
        Duration resendInterval = std::chrono::milliseconds(250);
        // A prepare is large, and is answered when its experts are copied or that takes long.
        Duration prepareResendInterval = std::chrono::milliseconds(800);
        // A hold whose step had begun already is placed anew after this.
        Duration holdRetryDelay = std::chrono::milliseconds(50);
        // Copying takes a second or two; a rank that has not copied by then holds the change up.
        Duration prepareTimeout = std::chrono::seconds(8);
        // A change whose arms are not all confirmed by then is cleared, because the group waits.
        Duration armTimeout = std::chrono::milliseconds(1500);
        // A report counts as current for this long, unless setReportTtl() says otherwise.
        Duration reportTtl = std::chrono::milliseconds(700);
        // Arms and holds that nobody resolves are cleared after this; their decider may be at it.
        Duration foreignTimeout = std::chrono::milliseconds(1200);
        // The same where all ranks answer but that of their decider, which was silent for longer
        // before another took the role: a first answer takes some ten milliseconds.
        Duration silentRankTimeout = std::chrono::milliseconds(150);
    };

    // What keeps a change from starting.
    enum class Obstacle {
        None,
        ChangeUnderWay,
        RanksUnknown, // Not every rank has reported in this epoch.
        GroupBroken,  // A rank reports that the group takes no requests.
        ReportsOld,   // A rank has not reported for the life of a report.
        MapsDiffer,   // Ranks report different maps: a change is coming into use.
        ArmLeft,      // A rank has not yet taken the last map.
        Foreign,      // Another decider has armed a map or holds a step.
    };

    enum class Phase { Idle, Preparing, Holding, Arming, Clearing, Releasing };

    explicit GroupDecider(const Settings &settings);

    void onReport(const RankReport &report, TimePoint askedAt, TimePoint now);
    void onAnswer(std::uint32_t rank, const MapOrder &order, MapOrderAnswer answer, TimePoint now);
    void onTick(TimePoint now, MapOrders &orders);

    // Tells whether a change may start: the group is whole, and the last change has come into use.
    bool canPropose(TimePoint now) const { return obstacle(now) == Obstacle::None; }
    // Tells what keeps a change from starting.
    Obstacle obstacle(TimePoint now) const;
    // Starts a change to `experts`. Returns the new map's version, or nothing while not settled.
    std::optional<std::uint64_t> propose(ExpertMap experts, TimePoint now, MapOrders &orders);

    // Gives up a change whose experts are still being copied: nothing is armed, and what was copied
    // does no harm. Returns false when there is none.
    bool abandon(TimePoint now);

    // Sets how long a report counts as current: it depends on how often ranks are asked.
    void setReportTtl(Duration life) { settings_.reportTtl = life; }

    // This agent no longer decides. What is under way stays as it is; whoever decides clears it.
    void resign();

    // Returns what the ranks report of their pace, by rank.
    std::vector<double> paces() const;
    // Returns how long passes take of late; zero while that is not known.
    Duration passTime() const { return passTime_; }
    std::uint32_t ownRank() const { return settings_.ownRank; }
    const GroupId &group() const { return settings_.group; }
    // Returns how many ranks the group has; zero while no report came.
    std::uint32_t size() const { return size_; }
    Phase phase() const { return phase_; }
    // Tells whether every rank has reported lately, in one epoch, and the group is open.
    bool allRanksCurrent(TimePoint now) const;
    // Tells whether the group takes requests, as the rank says that was asked last.
    bool acceptsRequests() const;
    // Tells whether all ranks have reported lately and the group does not take requests: it forms.
    bool forming(TimePoint now) const;
    // Returns when the rank was asked that was asked last and has answered.
    TimePoint lastReportAt() const;
    // Returns the version in use at every rank; nothing while they differ or are not known.
    std::optional<std::uint64_t> mapInUse(TimePoint now) const;
    std::uint64_t epoch() const { return epoch_; }
    std::uint64_t changes() const { return changes_; }
    std::uint64_t cleared() const { return cleared_; }
    // Returns the rank that the clearing under way leaves out, because its agent is silent.
    std::optional<std::uint32_t> excludedRank() const { return excludedRank_; }

private:
    struct Rank
    {
        RankReport report;
        TimePoint askedAt{};
        bool known = false;
        bool confirmed = false; // It has carried out the phase's order.
        TimePoint sentAt{};     // Of the phase's order; zero: not sent yet.
        Duration resendDelay{}; // From then on.
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
    void measurePasses(TimePoint askedAt);
    Duration lead() const;
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
    std::uint64_t fenceSuffix_ = 0; // The low digits of this decider's fences.
    std::map<std::uint32_t, Rank> ranks_;
    std::uint32_t size_ = 0;
    std::uint64_t epoch_ = 0;
    std::uint64_t fence_ = 0;
    std::uint64_t fenceBackoffStrides_ =
        1; // Added to a fence that was overtaken; doubles each time.
    Phase phase_ = Phase::Idle;
    TimePoint phaseSince_{};
    TimePoint releasedAt_{};    // When the last change or clearing ended.
    bool clearing_ = false;     // The hold serves to clear, and not to change.
    std::uint64_t version_ = 0; // Of the change under way, or of the last one.
    std::uint64_t step_ = 0;    // That is held.
    std::uint32_t holder_ = 0;  // The rank that holds it.
    bool committed_ = false;    // Every rank has armed `version_`.
    std::shared_ptr<const ExpertMap> experts_;
    std::uint64_t resentOrders_ = 0; // Orders of the change under way that were sent again.
    std::uint64_t measuredStep_ = 0; // Where the measurement of the passes' time began.
    TimePoint measuredAt_{};
    Duration passTime_{};           // Zero: not measured yet.
    std::deque<Duration> armTimes_; // From the first arm to the last answer, of the last changes.
    std::optional<TimePoint> foreignSince_;
    std::optional<TimePoint> silentSince_; // All ranks but one answer, and something is foreign.
    std::optional<std::uint32_t> excludedRank_; // The rank that the clearing under way leaves out.
    std::uint64_t changes_ = 0;
    std::uint64_t cleared_ = 0;
};

} // namespace seamarch
