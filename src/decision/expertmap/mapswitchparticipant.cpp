#include "decision/expertmap/mapswitchparticipant.h"

#include <algorithm>

namespace seamarch {
namespace {

constexpr std::size_t kMaxOutcomes = 8;

} // namespace

MapSwitchParticipant::MapSwitchParticipant(const Settings &settings)
    : settings_(settings)
    , membership_(settings.rank, settings.ranks, settings.incarnation)
{}

GroupMessage MapSwitchParticipant::makeMessage(GroupMessage::Kind kind) const
{
    GroupMessage message;
    message.kind = kind;
    message.from = settings_.rank;
    message.generation = generation();
    message.step = step_;
    return message;
}

void MapSwitchParticipant::send(RankIndex to, const GroupMessage &message,
                                GroupActions &actions) const
{
    actions.emplace_back(SendToRank{to, message});
}

void MapSwitchParticipant::sendAll(const GroupMessage &message, GroupActions &actions) const
{
    for (std::uint32_t rank = 0; rank < settings_.ranks; ++rank) {
        if (RankIndex(rank) != settings_.rank) {
            send(RankIndex(rank), message, actions);
        }
    }
}

void MapSwitchParticipant::onMessage(const GroupMessage &message, TimePoint now,
                                     GroupActions &actions)
{
    if (retired_) {
        return;
    }
    if (message.kind == GroupMessage::Kind::Hello || message.kind == GroupMessage::Kind::Join) {
        mergeIncarnations(message, actions);
        if (message.kind == GroupMessage::Kind::Join) {
            onJoin(message, actions);
        }
        return;
    }
    // Ignore messages of another generation, because their sender may have lost its promises.
    if (!formed_ || message.generation != generation()) {
        return;
    }
    switch (message.kind) {
    case GroupMessage::Kind::Prepare:
        onPrepare(message, now, actions);
        return;
    case GroupMessage::Kind::Prepared:
        onPrepared(message, actions);
        return;
    case GroupMessage::Kind::Arm:
        onArm(message, actions);
        return;
    case GroupMessage::Kind::Query:
        onQuery(message, actions);
        return;
    case GroupMessage::Kind::ArmAnswer:
    case GroupMessage::Kind::QueryAnswer:
        onPeerState(message, actions);
        return;
    case GroupMessage::Kind::Hello:
    case GroupMessage::Kind::Join:
        return;
    }
}

void MapSwitchParticipant::mergeIncarnations(const GroupMessage &message, GroupActions &actions)
{
    retired_ = !membership_.merge(message.generation);
    if (!retired_ && membership_.hasNewGeneration()) {
        joinGeneration(actions);
    }
}

void MapSwitchParticipant::joinGeneration(GroupActions &actions)
{
    // No change is decided in the old generation any more. A change that was committed there is
    // announced to the new one, whether or not its boundary has been reached.
    MapFence committed = activeMap_;
    if (change_ && change_->state == ChangeState::Committed) {
        committed = change_->fence;
        change_.reset();
    }
    if (change_) {
        actions.emplace_back(ReleaseMap{change_->fence});
        change_.reset();
    }
    proposal_.reset();
    formed_ = false;
    mapLoaded_ = false;
    membership_.join({committed, step_});
    GroupMessage join = makeMessage(GroupMessage::Kind::Join);
    join.fence = committed;
    sendAll(join, actions);
    formIfAllJoined(actions);
}

void MapSwitchParticipant::onJoin(const GroupMessage &message, GroupActions &actions)
{
    if (membership_.recordJoin(message.from, message.generation, {message.fence, message.step})) {
        formIfAllJoined(actions);
    }
}

void MapSwitchParticipant::formIfAllJoined(GroupActions &actions)
{
    if (formed_ || !membership_.allJoined()) {
        return;
    }
    formed_ = true;
    const auto [start, step] = membership_.start();
    step_ = std::max(step_, step);
    fenceFloor_ = std::max(fenceFloor_, start);
    highestBallot_ = std::max(highestBallot_, start.ballot);
    if (start == activeMap_) {
        mapLoaded_ = true;
        return;
    }
    activeMap_ = start;
    actions.emplace_back(LoadMap{start});
}

void MapSwitchParticipant::onLoaded(const MapFence &map, GroupActions &actions)
{
    if (formed_ && !mapLoaded_ && map == activeMap_) {
        mapLoaded_ = true;
        actions.emplace_back(ActivateMap{map});
        return;
    }
    if (!change_ || change_->fence != map || change_->state != ChangeState::Loading) {
        return;
    }
    change_->state = ChangeState::Loaded;
    GroupMessage answer = makeMessage(GroupMessage::Kind::Prepared);
    answer.fence = map;
    answer.state = ChangeState::Loaded;
    const RankIndex proposer(map.rank);
    if (proposer == settings_.rank) {
        onPrepared(answer, actions);
    } else {
        send(proposer, answer, actions);
    }
}

ChangeState MapSwitchParticipant::stateOf(const MapFence &fence) const
{
    // No later change can commit while a rank still waits for the outcome of the newest commit. The
    // active map is therefore the only commit that a peer may query, and it is always known.
    if (fence == activeMap_) {
        return ChangeState::Committed;
    }
    const auto outcome = outcomes_.find(fence);
    if (outcome != outcomes_.end()) {
        return outcome->second ? ChangeState::Committed : ChangeState::Aborted;
    }
    if (change_ && change_->fence == fence) {
        return change_->state;
    }
    return ChangeState::Refused;
}

void MapSwitchParticipant::refuse(const MapFence &fence, GroupActions &actions)
{
    fenceFloor_ = std::max(fenceFloor_, fence);
    // A rank cannot revoke an armed change, or a committed change that waits for its boundary.
    if (change_ && !isArmedOrCommitted() && change_->fence <= fenceFloor_) {
        actions.emplace_back(ReleaseMap{change_->fence});
        change_.reset();
    }
}

std::optional<MapFence> MapSwitchParticipant::propose(std::uint64_t configVersion, TimePoint now,
                                                      GroupActions &actions)
{
    if (!formed_ || !mapLoaded_ || change_ || proposal_ || retired_) {
        return std::nullopt;
    }
    Proposal proposal;
    proposal.fence = {configVersion, highestBallot_ + 1, settings_.rank.value()};
    if (proposal.fence <= fenceFloor_) {
        return std::nullopt;
    }
    proposal.startedAt = now;
    proposal_ = proposal;
    GroupMessage message = makeMessage(GroupMessage::Kind::Prepare);
    message.fence = proposal.fence;
    sendAll(message, actions);
    onPrepare(message, now, actions);
    return proposal.fence;
}

bool MapSwitchParticipant::isArmedOrCommitted() const
{
    return change_
           && (change_->state == ChangeState::Armed || change_->state == ChangeState::Committed);
}

void MapSwitchParticipant::onPrepare(const GroupMessage &message, TimePoint now,
                                     GroupActions &actions)
{
    highestBallot_ = std::max(highestBallot_, message.fence.ballot);
    if (change_ && change_->fence == message.fence) {
        // The previous answer was lost, or the weights are still being loaded.
        if (change_->state == ChangeState::Loaded && message.from != settings_.rank) {
            GroupMessage answer = makeMessage(GroupMessage::Kind::Prepared);
            answer.fence = message.fence;
            answer.state = ChangeState::Loaded;
            send(message.from, answer, actions);
        }
        return;
    }
    if (isArmedOrCommitted() || message.fence <= fenceFloor_) {
        return;
    }
    // A change with a higher fence replaces one that has not armed; that one can no longer commit.
    if (change_) {
        if (change_->fence > message.fence) {
            return;
        }
        refuse(change_->fence, actions);
    }
    change_ = Change{message.fence, ChangeState::Loading, 0, {}, now};
    actions.emplace_back(LoadMap{message.fence});
}

void MapSwitchParticipant::onPrepared(const GroupMessage &message, GroupActions &actions)
{
    if (!proposal_ || proposal_->fence != message.fence || proposal_->arming) {
        return;
    }
    proposal_->loaded.insert(message.from);
    proposal_->highestStep = std::max(proposal_->highestStep, message.step);
    if (proposal_->loaded.size() != settings_.ranks) {
        return;
    }
    proposal_->arming = true;
    proposal_->boundary = std::max(proposal_->highestStep, step_) + settings_.boundaryMargin;
    GroupMessage arm = makeMessage(GroupMessage::Kind::Arm);
    arm.fence = proposal_->fence;
    arm.boundary = proposal_->boundary;
    sendAll(arm, actions);
    onArm(arm, actions);
}

void MapSwitchParticipant::onArm(const GroupMessage &message, GroupActions &actions)
{
    const bool isCurrentChange = change_ && change_->fence == message.fence;
    if (isCurrentChange && change_->state == ChangeState::Loaded) {
        if (step_ >= message.boundary) {
            refuse(message.fence, actions);
        } else {
            change_->state = ChangeState::Armed;
            change_->boundary = message.boundary;
        }
    } else if (!isCurrentChange && !outcomes_.contains(message.fence)) {
        refuse(message.fence, actions);
    }
    GroupMessage answer = makeMessage(GroupMessage::Kind::ArmAnswer);
    answer.fence = message.fence;
    answer.state = stateOf(message.fence);
    if (message.from != settings_.rank) {
        send(message.from, answer, actions);
    } else if (settings_.ranks == 1 && change_ && change_->state == ChangeState::Armed) {
        decide(true, actions);
    }
}

void MapSwitchParticipant::onQuery(const GroupMessage &message, GroupActions &actions)
{
    const ChangeState state = stateOf(message.fence);
    if (state != ChangeState::Armed && state != ChangeState::Committed
        && state != ChangeState::Aborted) {
        // The sender waits at the boundary. Refusing the change aborts it and releases the sender.
        refuse(message.fence, actions);
    }
    GroupMessage answer = makeMessage(GroupMessage::Kind::QueryAnswer);
    answer.fence = message.fence;
    answer.state = stateOf(message.fence);
    send(message.from, answer, actions);
}

void MapSwitchParticipant::onPeerState(const GroupMessage &message, GroupActions &actions)
{
    if (!change_ || change_->fence != message.fence || change_->state != ChangeState::Armed) {
        return;
    }
    switch (message.state) {
    case ChangeState::Committed:
        decide(true, actions);
        return;
    case ChangeState::Aborted:
    case ChangeState::Refused:
        decide(false, actions);
        return;
    case ChangeState::Armed:
        recordArmed(message.from, actions);
        return;
    case ChangeState::Loading:
    case ChangeState::Loaded:
        return;
    }
}

void MapSwitchParticipant::recordArmed(RankIndex peer, GroupActions &actions)
{
    change_->armed.insert(peer);
    if (change_->armed.size() + 1 == settings_.ranks) {
        decide(true, actions);
    }
}

void MapSwitchParticipant::decide(bool commit, GroupActions &actions)
{
    const MapFence fence = change_->fence;
    outcomes_[fence] = commit;
    if (outcomes_.size() > kMaxOutcomes) {
        outcomes_.erase(outcomes_.begin());
    }
    fenceFloor_ = std::max(fenceFloor_, fence);
    if (proposal_ && proposal_->fence == fence) {
        proposal_.reset();
    }
    if (!commit) {
        actions.emplace_back(ReleaseMap{fence});
        change_.reset();
        return;
    }
    change_->state = ChangeState::Committed;
    GroupMessage notice = makeMessage(GroupMessage::Kind::QueryAnswer);
    notice.fence = fence;
    notice.state = ChangeState::Committed;
    sendAll(notice, actions);
    activateAtBoundary(actions);
}

void MapSwitchParticipant::activateAtBoundary(GroupActions &actions)
{
    const bool boundaryReached =
        change_ && change_->state == ChangeState::Committed && step_ >= change_->boundary;
    if (!boundaryReached) {
        return;
    }
    const MapFence before = activeMap_;
    activeMap_ = change_->fence;
    change_.reset();
    actions.emplace_back(ActivateMap{activeMap_});
    actions.emplace_back(ReleaseMap{before});
}

void MapSwitchParticipant::onStepped(GroupActions &actions)
{
    ++step_;
    activateAtBoundary(actions);
}

std::optional<std::pair<MapFence, ChangeState>> MapSwitchParticipant::change() const
{
    if (!change_) {
        return std::nullopt;
    }
    return std::pair(change_->fence, change_->state);
}

bool MapSwitchParticipant::mayStep() const
{
    if (retired_ || !formed_ || !mapLoaded_) {
        return false;
    }
    const bool undecided = change_ && change_->state == ChangeState::Armed;
    return !undecided || step_ < change_->boundary;
}

void MapSwitchParticipant::abandonExpired(TimePoint now, GroupActions &actions)
{
    // No message is needed: armed ranks query the outcome, and other ranks are free to refuse.
    if (proposal_ && now - proposal_->startedAt > settings_.changeTimeout) {
        proposal_.reset();
    }
    if (change_ && !isArmedOrCommitted() && now - change_->startedAt > settings_.changeTimeout) {
        refuse(change_->fence, actions);
    }
}

void MapSwitchParticipant::resendPending(GroupActions &actions)
{
    GroupMessage hello = makeMessage(GroupMessage::Kind::Hello);
    hello.generation = membership_.incarnations();
    sendAll(hello, actions);
    if (!generation().empty()) {
        // A peer may have missed the join even if the generation has already formed here.
        GroupMessage join = makeMessage(GroupMessage::Kind::Join);
        join.fence = membership_.ownJoin().committed;
        join.step = membership_.ownJoin().step;
        sendAll(join, actions);
    }
    if (proposal_) {
        const auto kind = proposal_->arming ? GroupMessage::Kind::Arm : GroupMessage::Kind::Prepare;
        GroupMessage message = makeMessage(kind);
        message.fence = proposal_->fence;
        message.boundary = proposal_->boundary;
        sendAll(message, actions);
    }
    // An earlier query would make peers refuse the change while their own Arm message is in
    // transit.
    const bool waitsAtBoundary =
        change_ && change_->state == ChangeState::Armed && step_ >= change_->boundary;
    if (waitsAtBoundary) {
        GroupMessage query = makeMessage(GroupMessage::Kind::Query);
        query.fence = change_->fence;
        sendAll(query, actions);
    }
}

void MapSwitchParticipant::onTick(TimePoint now, GroupActions &actions)
{
    if (retired_) {
        return;
    }
    abandonExpired(now, actions);
    if (now - lastSent_ >= settings_.resendInterval) {
        lastSent_ = now;
        resendPending(actions);
    }
}

} // namespace seamarch
