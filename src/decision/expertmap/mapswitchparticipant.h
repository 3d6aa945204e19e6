// The change of expert map in a group of ranks: all ranks at one step boundary, or none.
//
// A change goes through two rounds. First every rank loads the new map's weights. Then every rank
// *arms*: it promises to stop before the step `boundary` until the outcome is known. The outcome
// needs no decider: the change is committed exactly if all ranks have armed. A rank that has not
// armed may vow never to arm for that change, and then it is aborted for all. An armed rank that
// reaches the boundary undecided asks its peers: one vow means abort, one that knows the outcome
// settles it, and all armed means commit. Armed ranks never vow and ranks that vowed never arm, so
// no two ranks can come to different outcomes. A peer that cannot be reached holds the group up,
// but a lock-step group without that rank could not step anyway.
//
// A replaced rank has lost its promises. Ranks therefore work in a *generation*, named by the lives
// (incarnations) of all ranks. A rank that learns of a new life joins the new generation: it
// decides nothing more in the old one, and tells the last map that it saw committed. Steps are
// taken in a generation only when all of its ranks have joined, and start with the newest map that
// any of them had committed. A step is a collective of all ranks of one generation, so none can be
// taken in a generation that a rank has left.
//
// There is no quorum and no store: everything is unanimous, and the group's own state is in the
// ranks that run it. Each rank's class is pure; time comes in as an argument. Single-threaded.
#pragma once

#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace seamarch {

// Names a change and orders changes; the map that it brings has the same name.
struct MapFence
{
    std::uint64_t configVersion = 0;
    std::uint64_t ballot = 0;
    std::uint32_t rank = 0; // Of the proposer; keeps the fences of two proposers apart.

    friend auto operator<=>(const MapFence &, const MapFence &) = default;
};

// One life of a rank's agent. Later lives of one rank compare higher; only progress depends on it.
using RankIncarnation = std::uint64_t;

// The lives of all ranks, by rank.
using Generation = std::vector<RankIncarnation>;

// What a rank says of a change.
enum class ChangeState { Refused, Loading, Loaded, Armed, Committed, Aborted };

// A message between the agents of a group.
struct GroupMessage
{
    enum class Kind { Hello, Join, Prepare, Prepared, Arm, ArmAnswer, Query, QueryAnswer };

    Kind kind = Kind::Hello;
    RankIndex from;
    Generation generation; // Hello: the lives that the sender knows.
    MapFence fence;
    ChangeState state = ChangeState::Refused;
    std::uint64_t step = 0;
    std::uint64_t boundary = 0;
};

// Send a message to the agent of a rank.
struct SendToRank
{
    RankIndex to;
    GroupMessage message;
};

// Have the engine load a map's weights; onLoaded() follows.
struct LoadMap
{
    MapFence map;
};

// Have the engine use a map from its next step on.
struct ActivateMap
{
    MapFence map;
};

// Have the engine drop a loaded map that will not be used.
struct ReleaseMap
{
    MapFence map;
};

using GroupAction = std::variant<SendToRank, LoadMap, ActivateMap, ReleaseMap>;
using GroupActions = std::vector<GroupAction>;

class MapSwitchParticipant
{
public:
    struct Settings
    {
        RankIndex rank;
        std::uint32_t ranks = 0;
        RankIncarnation incarnation = 0;
        Duration resendInterval = std::chrono::milliseconds(200);
        Duration changeTimeout = std::chrono::seconds(10); // A proposal that has not finished.
        std::uint64_t boundaryMargin = 4;                  // Steps between arming and the boundary.
    };

    // A fresh life: it knows no map and takes part in nothing until its group has formed.
    explicit MapSwitchParticipant(const Settings &settings);

    void onMessage(const GroupMessage &message, TimePoint now, GroupActions &actions);
    // The engine has loaded a map's weights.
    void onLoaded(const MapFence &map, GroupActions &actions);
    void onTick(TimePoint now, GroupActions &actions);

    // Proposes a change to a new map. Returns its fence, or nothing while another change is under
    // way here or the group has not formed.
    std::optional<MapFence> propose(std::uint64_t configVersion, TimePoint now,
                                    GroupActions &actions);

    // Tells whether the engine may take its next step.
    bool mayStep() const;
    // The engine has taken a step with all ranks of generation().
    void onStepped(GroupActions &actions);

    std::uint64_t step() const { return step_; }
    const Generation &generation() const { return generation_; }
    const MapFence &activeMap() const { return activeMap_; }
    // A newer life of this rank exists: this one must stop.
    bool retired() const { return retired_; }
    // Returns the change that is under way at this rank and how far it is.
    std::optional<std::pair<MapFence, ChangeState>> change() const;

private:
    // The change that this rank takes part in.
    struct Change
    {
        MapFence fence;
        ChangeState state = ChangeState::Loading;
        std::uint64_t boundary = 0;
        std::set<RankIndex> armed; // Peers that are known to have armed.
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

    struct JoinState
    {
        MapFence committed;
        std::uint64_t step = 0;
    };

    GroupMessage makeMessage(GroupMessage::Kind kind) const;
    void send(RankIndex to, const GroupMessage &message, GroupActions &actions) const;
    void sendAll(const GroupMessage &message, GroupActions &actions) const;

    void mergeIncarnations(const GroupMessage &message, GroupActions &actions);
    void joinIfComplete(GroupActions &actions);
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
    Generation incarnations_;
    Generation generation_;
    std::map<RankIndex, JoinState> joinsByRank_;
    bool formed_ = false;
    bool mapLoaded_ = false;
    bool retired_ = false;
    MapFence activeMap_;
    MapFence fenceFloor_; // No fence at or below it is armed any more.
    std::uint64_t highestBallot_ = 0;
    std::uint64_t step_ = 0;
    std::optional<Change> change_;
    std::optional<Proposal> proposal_;
    std::map<MapFence, bool> outcomes_; // The last few decided changes.
    TimePoint lastSent_{};
};

} // namespace seamarch
