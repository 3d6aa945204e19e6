// An atomic change of the expert map in a group of ranks: all ranks switch at the same step
// boundary, or none does.
//
// A change takes two rounds. First, every rank loads the weights of the new map. Then every rank
// *arms*: it promises to stop before the step `boundary` until the outcome is known. The outcome
// needs no coordinator: the change is committed if and only if all ranks have armed. A rank that
// has not armed may refuse the change, which means that it will never arm for it; the change is
// then aborted for all ranks. An armed rank that reaches the boundary without an outcome queries
// its peers: one refusal means abort, a peer that knows the outcome settles it, and if all ranks
// are armed, the change is committed. Armed ranks never refuse and refusing ranks never arm, so no
// two ranks can reach different outcomes. An unreachable peer blocks the group, but a lock-step
// group cannot step without that rank anyway.
//
// A replaced rank has lost its promises. Ranks therefore work in a *generation*, identified by the
// incarnations of all ranks. A rank that learns of a new incarnation joins the new generation: it
// decides nothing more in the old one, and announces the last map that it saw committed. Steps are
// taken in a generation only after all of its ranks have joined, starting with the newest map that
// any of them saw committed. A step is a collective operation of all ranks of one generation, so no
// step can be taken in a generation that a rank has left.
//
// There is no quorum and no store: every decision is unanimous, and the state of the group resides
// in its ranks. The class performs no I/O; the time is passed as an argument. Not thread-safe.
#pragma once

#include "decision/expertmap/generationmembership.h"
#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace seamarch {

// The state of a change at one rank.
enum class ChangeState { Refused, Loading, Loaded, Armed, Committed, Aborted };

// A message between the agents of a group.
struct GroupMessage
{
    enum class Kind { Hello, Join, Prepare, Prepared, Arm, ArmAnswer, Query, QueryAnswer };

    Kind kind = Kind::Hello;
    RankIndex from;
    Generation generation; // In a Hello: the incarnations known to the sender.
    MapFence fence;
    ChangeState state = ChangeState::Refused;
    std::uint64_t step = 0;
    std::uint64_t boundary = 0;
};

// An action for the caller: sends a message to the agent of a rank.
struct SendToRank
{
    RankIndex to;
    GroupMessage message;
};

// An action for the caller: the engine loads the weights of a map, then onLoaded() is called.
struct LoadMap
{
    MapFence map;
};

// An action for the caller: the engine uses a map from its next step on.
struct ActivateMap
{
    MapFence map;
};

// An action for the caller: the engine unloads a map that is not, or no longer, used.
struct ReleaseMap
{
    MapFence map;
};

using GroupAction = std::variant<SendToRank, LoadMap, ActivateMap, ReleaseMap>;
using GroupActions = std::vector<GroupAction>;

// The state machine of one rank in the protocol above.
class MapSwitchParticipant
{
public:
    struct Settings
    {
        RankIndex rank;
        std::uint32_t ranks = 0;
        RankIncarnation incarnation = 0;
        Duration resendInterval = std::chrono::milliseconds(200);
        Duration changeTimeout =
            std::chrono::seconds(10);     // Drops a proposal, or a change that has not armed.
        std::uint64_t boundaryMargin = 4; // Steps from arming to the boundary.
    };

    // Creates a new incarnation. It knows no map and takes part in no change until the group has
    // formed.
    explicit MapSwitchParticipant(const Settings &settings);

    // Handles a message of a peer and appends the resulting actions to `actions`, as all handlers
    // do.
    void onMessage(const GroupMessage &message, TimePoint now, GroupActions &actions);
    // Handles completion of a LoadMap action.
    void onLoaded(const MapFence &map, GroupActions &actions);
    // Abandons expired changes and resends messages that are due.
    void onTick(TimePoint now, GroupActions &actions);

    // Proposes a change to a new map. Returns its fence, or nothing if another change is in
    // progress at this rank or the group has not formed.
    std::optional<MapFence> propose(std::uint64_t configVersion, TimePoint now,
                                    GroupActions &actions);

    // Returns whether the engine may take its next step.
    bool mayStep() const;
    // Handles a step that the engine has taken with all ranks of generation().
    void onStepped(GroupActions &actions);

    std::uint64_t step() const { return step_; }
    const Generation &generation() const { return membership_.present(); }
    const MapFence &activeMap() const { return activeMap_; }
    // Returns whether a newer incarnation of this rank exists, so that this one must stop.
    bool retired() const { return retired_; }
    // Returns the change in progress at this rank and its state, if any.
    std::optional<std::pair<MapFence, ChangeState>> change() const;

private:
    // The change that this rank takes part in.
    struct Change
    {
        MapFence fence;
        ChangeState state = ChangeState::Loading;
        std::uint64_t boundary = 0;
        std::set<RankIndex> armed; // Peers known to have armed.
        TimePoint startedAt{};
    };

    // The change that this rank proposes.
    struct Proposal
    {
        MapFence fence;
        std::set<RankIndex> loaded;
        std::uint64_t highestStep = 0;
        bool arming = false;
        std::uint64_t boundary = 0;
        TimePoint startedAt{};
    };

    GroupMessage makeMessage(GroupMessage::Kind kind) const;
    void send(RankIndex to, const GroupMessage &message, GroupActions &actions) const;
    void sendAll(const GroupMessage &message, GroupActions &actions) const;

    void mergeIncarnations(const GroupMessage &message, GroupActions &actions);
    void joinGeneration(GroupActions &actions);
    void onJoin(const GroupMessage &message, GroupActions &actions);
    void formIfAllJoined(GroupActions &actions);
    void onPrepare(const GroupMessage &message, TimePoint now, GroupActions &actions);
    void onPrepared(const GroupMessage &message, GroupActions &actions);
    void onArm(const GroupMessage &message, GroupActions &actions);
    void onQuery(const GroupMessage &message, GroupActions &actions);
    void onPeerState(const GroupMessage &message, GroupActions &actions);

    ChangeState stateOf(const MapFence &fence) const;
    void refuse(const MapFence &fence, GroupActions &actions);
    void decide(bool commit, GroupActions &actions);
    void recordArmed(RankIndex peer, GroupActions &actions);
    void activateAtBoundary(GroupActions &actions);
    void abandonExpired(TimePoint now, GroupActions &actions);
    void resendPending(GroupActions &actions);
    bool isArmedOrCommitted() const;

    Settings settings_;
    GenerationMembership membership_;
    bool formed_ = false;
    bool mapLoaded_ = false;
    bool retired_ = false;
    MapFence activeMap_;
    MapFence fenceFloor_; // Fences at or below this are no longer armed.
    std::uint64_t highestBallot_ = 0;
    std::uint64_t step_ = 0;
    std::optional<Change> change_;
    std::optional<Proposal> proposal_;
    std::map<MapFence, bool> outcomes_; // True if committed; for the last kMaxOutcomes changes.
    TimePoint lastSent_{};
};

} // namespace seamarch
