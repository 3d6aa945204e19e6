#include "experts/expertagent.h"

#include "base/digest.h"
#include "base/log.h"
#include "base/wallclock.h"
#include "decision/expertmap/collectionplan.h"
#include "decision/expertmap/deciderrole.h"
#include "experts/maplognames.h"
#include "experts/rankwire.h"
#include "net/rpcpeer.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace seamarch {
namespace {

using nlohmann::json;

constexpr Duration kTickInterval = std::chrono::milliseconds(50);
// Counts over less than about one pass carry no new information.
constexpr Duration kMinCountsInterval = std::chrono::milliseconds(100);
// How often an agent that is not the decider polls its own engine for its rank, unless a query from
// the decider has fetched the report in the meantime. Calls to the own engine have no cost.
constexpr Duration kOwnPollInterval = std::chrono::milliseconds(200);
// Fences start at the wall-clock time in these units. A decider raises its fence less often than
// once per unit, so a later decider normally starts above it.
constexpr std::chrono::milliseconds kFenceUnit{100};
// How long a store watch waits for changes. Long, because only the list of engines is needed and
// every store call has a cost.
constexpr Duration kStoreLongPollWait = std::chrono::seconds(10);
// Delay of the store watch after a change, in which further changes are coalesced. A new engine
// takes longer than this to form its group.
constexpr Duration kStoreCoalesceDelay = std::chrono::milliseconds(200);

} // namespace

// Serves RPCs from the agents of other ranks and from gateways, one object per connection.
class ExpertAgent::Server final : public wire::RankAgent::Server
{
public:
    Server(ExpertAgent &agent, std::string peerHost)
        : agent_(agent)
        , peerHost_(std::move(peerHost))
    {}

    kj::Promise<void> state(StateContext context) override
    {
        auto pending = kj::newPromiseAndFulfiller<void>();
        auto fulfiller =
            std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(pending.fulfiller));
        const auto params = context.getParams();
        const GroupId deciderGroup(params.getAskerGroup().cStr());
        agent_.onDeciderQuery(deciderGroup, params.getAskerRank(), peerHost_);
        const bool ownGroup = deciderGroup == agent_.ownGroup_;
        const RankQuery query{ownGroup && params.getCounts(), ownGroup && params.getExperts(),
                              params.getCountsSince()};
        agent_.fetchOwnFacts(query, [context, fulfiller](std::optional<RankFacts> facts) mutable {
            if (facts) {
                writeFacts(*facts, context.getResults().initState());
            }
            (*fulfiller)->fulfill();
        });
        return kj::mv(pending.promise);
    }

    kj::Promise<void> order(OrderContext context) override
    {
        auto pending = kj::newPromiseAndFulfiller<void>();
        auto fulfiller =
            std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(pending.fulfiller));
        const auto order = readOrder(context.getParams().getOrder());
        if (!order) {
            logLine(LogLevel::Warning, "order.unreadable", {});
            context.getResults().setStatus(static_cast<std::uint16_t>(MapOrderAnswer::Refused));
            return kj::READY_NOW;
        }
        agent_.sendToOwnEngine(*order, [context, fulfiller](MapOrderAnswer answer) mutable {
            context.getResults().setStatus(static_cast<std::uint16_t>(answer));
            (*fulfiller)->fulfill();
        });
        return kj::mv(pending.promise);
    }

    kj::Promise<void> relay(RelayContext context) override
    {
        auto pending = kj::newPromiseAndFulfiller<void>();
        auto fulfiller =
            std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(pending.fulfiller));
        const auto order = readOrder(context.getParams().getOrder());
        if (!order || order->kind != MapOrderKind::Prepare) {
            logLine(LogLevel::Warning, "order.unreadable", {{"relayed", true}});
            return kj::READY_NOW;
        }
        std::vector<RelayTarget> targets;
        for (const auto target : context.getParams().getTargets()) {
            targets.push_back({target.getRank(), target.getHost().cStr()});
        }
        const auto done = [context, fulfiller](const std::vector<RelayedAnswer> &answers) mutable {
            auto list =
                context.getResults().initAnswers(static_cast<std::uint32_t>(answers.size()));
            for (std::uint32_t index = 0; index < list.size(); ++index) {
                list[index].setRank(answers[index].rank);
                list[index].setStatus(static_cast<std::uint16_t>(answers[index].answer));
            }
            (*fulfiller)->fulfill();
        };
        agent_.relay(*order, targets, done);
        return kj::mv(pending.promise);
    }

    kj::Promise<void> group(GroupContext context) override
    {
        return agent_.groupReporter_.answer(context);
    }

private:
    ExpertAgent &agent_;
    std::string peerHost_; // Host of the calling agent or gateway.
};

ExpertAgent::ExpertAgent(EventLoop &loop, const ExpertAgentSettings &settings,
                         const StoreProtocol &store, const EngineProtocol &engineProtocol)
    : loop_(loop)
    , settings_(settings)
    , store_(store)
    , engineProtocol_(engineProtocol)
    , metrics_(0)
    , groupReporter_(loop)
    , startedAt_(loop.now())
{}

ExpertAgent::~ExpertAgent() noexcept = default;

tl::expected<std::unique_ptr<ExpertAgent>, NetError>
ExpertAgent::create(EventLoop &loop, const ExpertAgentSettings &settings,
                    const StoreProtocol &store, const EngineProtocol &engineProtocol)
{
    std::unique_ptr<ExpertAgent> agent(new ExpertAgent(loop, settings, store, engineProtocol));
    if (auto opened = agent->open(); !opened) {
        return tl::unexpected(opened.error());
    }
    return agent;
}

tl::expected<void, NetError> ExpertAgent::open()
{
    auto client = HttpClient::create(loop_);
    if (!client) {
        return tl::unexpected(client.error());
    }
    client_ = std::move(*client);
    auto transport = RawTransport::create(loop_);
    if (!transport) {
        return tl::unexpected(transport.error());
    }
    transport_ = std::move(*transport);
    auto listening = transport_->listen(settings_.listen, [this](kj::Own<RawStream> stream) {
        const std::uint64_t id = nextInboundId_++;
        auto server = kj::heap<Server>(*this, stream->peerHost());
        auto peer = RpcPeer::server(kj::mv(stream), kj::mv(server));
        peer->onClosed([this, id] { loop_.post([this, id] { inboundPeers_.erase(id); }); });
        inboundPeers_.emplace(id, std::move(peer));
    });
    if (!listening) {
        return listening;
    }
    if (settings_.metricsListen) {
        auto server = OperatorServer::create(loop_, *settings_.metricsListen, *this, metrics_);
        if (!server) {
            return tl::unexpected(server.error());
        }
        metricsServer_ = std::move(*server);
    }
    engineClient_ = std::make_unique<EngineClient>(loop_, *client_, engineProtocol_);
    ownEngine_ = std::make_unique<OwnEngine>(loop_, *engineClient_, settings_.engine);
    orderRelay_ = std::make_unique<OrderRelay>(loop_, *transport_, settings_.listen.port);
    tickTimer_ = std::make_unique<PeriodicTimer>(loop_, kTickInterval, [this] { tick(); });
    return {};
}

void ExpertAgent::onStoreListed(const StoreItems &items, TimePoint /*requestedAt*/)
{
    std::vector<UpstreamRecord> records;
    for (const StoreItem &item : items.items) {
        if (const auto *record = std::get_if<UpstreamRecord>(&item)) {
            records.push_back(*record);
        } else {
            applyStoreItem(item);
        }
    }
    if (wasRolledBack(storePosition_, items.position)) {
        upstreams_.onStoreRolledBack(loop_.now());
    }
    storePosition_ = items.position;
    upstreams_.replaceAll(records, loop_.now());
    updatePeers();
}

void ExpertAgent::onStoreChanged(const StoreItems &items, TimePoint /*requestedAt*/)
{
    for (const StoreItem &item : items.items) {
        applyStoreItem(item);
    }
    updatePeers();
}

void ExpertAgent::onStoreFailed(std::string_view cause)
{
    upstreams_.onOutage(loop_.now());
    metrics_.count("seamarch_store_failures_total", cause);
}

void ExpertAgent::applyStoreItem(const StoreItem &item)
{
    if (const auto *document = std::get_if<RoutingDocument>(&item)) {
        gapTarget_ = shortestGapTarget(*document, settings_.service);
        for (const ServiceRule &service : document->services) {
            if (service.name == settings_.service && service.experts) {
                rule_ = service.experts;
                planner_.setRule(*rule_);
            }
        }
    } else if (const auto *record = std::get_if<UpstreamRecord>(&item)) {
        upstreams_.put(*record);
    } else if (const auto *removal = std::get_if<UpstreamRemoval>(&item)) {
        if (removal->unreadable) {
            upstreams_.dropUnreadable(removal->id, loop_.now());
        } else {
            upstreams_.remove(removal->id, loop_.now());
        }
    }
}

// Sets one peer for each listed engine of the service except the own one. Engines that are leaving
// are included, because they still take part in their group's passes.
void ExpertAgent::updatePeers()
{
    std::map<InstanceId, SocketAddress> listed;
    for (const UpstreamRecord *record : upstreams_.all()) {
        const SocketAddress engine{record->host, record->port};
        if (record->service == settings_.service && engine != settings_.engine) {
            listed.emplace(record->id, engine);
        }
    }
    rankPeers_->setEngines(listed);
}

void ExpertAgent::tick()
{
    updateRole();
    if (!isDecider()) {
        if (loop_.now() - ownFetchedAt_ >= kOwnPollInterval) {
            pollOwnEngine({});
        }
        publishGroupFacts();
        return;
    }
    if (!upstreams_.expire(loop_.now()).empty()) {
        updatePeers();
    }
    endRound();
    pollGroup();
    runDecider();
    publishGroupFacts();
}

void ExpertAgent::onDeciderQuery(const GroupId &deciderGroup, std::uint32_t deciderRank,
                                 const std::string &deciderHost)
{
    if (ownRank_ && deciderGroup == ownGroup_ && deciderRank != *ownRank_) {
        otherDecider_ = QueryingDecider{deciderRank, loop_.now(), deciderHost};
    }
}

void ExpertAgent::publishGroupFacts()
{
    if (isDecider() && decider_->size() > 0) {
        groupReporter_.publish(groupFacts(), decider_->lastReportAt());
    } else {
        groupReporter_.referTo(otherDecider_ ? otherDecider_->host : std::string());
    }
}

// Builds the group's state for gateways. Paces are rounded so that small changes do not wake
// waiting calls.
GroupFacts ExpertAgent::groupFacts() const
{
    constexpr double kPaceStep = 0.25;
    GroupFacts facts;
    facts.group = ownGroup_;
    facts.epoch = decider_->epoch();
    facts.open = decider_->acceptsRequests();
    facts.forming = decider_->forming(loop_.now());
    const std::vector<double> paces = decider_->paces();
    std::map<std::uint32_t, SocketAddress> engines = rankPeers_->engines();
    engines[*ownRank_] = settings_.engine;
    for (const auto &[rank, engine] : engines) {
        const double pace = rank < paces.size() ? paces[rank] : 1.0;
        facts.members.push_back(
            {engine.host, engine.port, std::round(pace / kPaceStep) * kPaceStep});
    }
    return facts;
}

// Returns the interval between two queries of a decider to one agent.
Duration ExpertAgent::queryInterval() const
{
    CollectionInputs inputs;
    inputs.ranks = groupSize_;
    inputs.linkBytesPerSecond = settings_.linkBytesPerSecond;
    return planCollection(inputs).reportInterval;
}

// Continues as a new agent if this one stood still for so long that it has been replaced.
void ExpertAgent::checkStoodStill()
{
    const TimePoint now = loop_.now();
    const TimePoint lastTickAt = std::exchange(lastTickAt_, now);
    if (!hasStoodStill(lastTickAt, now, queryInterval())) {
        return;
    }
    logLine(LogLevel::Warning, "agent.stood_still",
            {{"rank", ownRank_.value_or(0)},
             {"decides", isDecider()},
             {"millis", toMillis(now - lastTickAt)}});
    startedAt_ = now;
}

bool ExpertAgent::shouldDecide() const
{
    if (!ownRank_) {
        return false;
    }
    DeciderRoleInputs inputs;
    inputs.now = loop_.now();
    inputs.startedAt = startedAt_;
    inputs.ownRank = *ownRank_;
    inputs.queryInterval = queryInterval();
    inputs.engineHoldsStep = ownEngineHoldsStep_;
    inputs.isDecider = isDecider();
    if (otherDecider_) {
        inputs.other = OtherDecider{otherDecider_->rank, otherDecider_->lastQueryAt};
    }
    return seamarch::shouldDecide(inputs);
}

void ExpertAgent::updateRole()
{
    checkStoodStill();
    if (isDecider() && (decider_->ownRank() != *ownRank_ || decider_->group() != ownGroup_)) {
        stepDown(); // The group has re-formed with a new own rank, or the engine changed groups.
    }
    const bool decides = shouldDecide();
    if (decides == isDecider()) {
        return;
    }
    logLine(LogLevel::Info, decides ? "decider.taken" : "decider.left",
            {{"group", ownGroup_.value()},
             {"rank", ownRank_.value_or(0)},
             {"epoch", epoch_},
             {"otherRank", otherDecider_ ? json(otherDecider_->rank) : json()},
             {"otherAskedMsAgo",
              otherDecider_ ? json(toMillis(loop_.now() - otherDecider_->lastQueryAt)) : json()}});
    if (decides) {
        becomeDecider();
    } else {
        stepDown();
    }
}

void ExpertAgent::becomeDecider()
{
    GroupDecider::Settings settings;
    settings.group = ownGroup_;
    settings.ownRank = *ownRank_;
    settings.seed = randomNonzeroId();
    settings.fenceFloor =
        std::max(fenceFloor_, static_cast<std::uint64_t>(wallClockNow() / kFenceUnit));
    settings.epochOfUnresolvedArms = epochOfUnresolvedArms_;
    if (otherDecider_) {
        settings.predecessorLastSeenAt = otherDecider_->lastQueryAt;
    }
    decider_ = std::make_unique<GroupDecider>(settings);
    RankPeersListener &listener = *this;
    const RankPeers::Settings peers{settings_.listen.port, ownGroup_, settings_.linkBytesPerSecond};
    rankPeers_ = std::make_unique<RankPeers>(loop_, *transport_, *engineClient_, peers, listener);
    loggedPhase_ = GroupDecider::Phase::Idle;
    loggedChanges_ = 0;
    loggedCleared_ = 0;
    StoreWatcher::Settings watch;
    watch.longPollWait = kStoreLongPollWait;
    watch.coalesceDelay = kStoreCoalesceDelay;
    watch.seed = randomNonzeroId();
    StoreListener &storeListener = *this;
    storeWatcher_ = std::make_unique<StoreWatcher>(loop_, *client_, store_, storeListener, watch);
    storeWatcher_->start();
}

// Leaves a change in progress as it is; the new decider clears it.
void ExpertAgent::stepDown()
{
    fenceFloor_ = decider_->nextFenceFloor();
    epochOfUnresolvedArms_ = decider_->epochOfUnresolvedArms();
    storeWatcher_.reset();
    rankPeers_.reset();
    decider_.reset();
    rankExperts_.clear();
    cachedMap_.reset();
    currentMap_.reset();
    proposedVersion_ = 0;
}

// Fetches the own rank's facts and updates the own rank and epoch from its report.
void ExpertAgent::fetchOwnFacts(RankQuery query, OwnEngine::FactsDone done)
{
    ownFetchedAt_ = loop_.now();
    ownEngine_->fetchFacts(query, [this, done = std::move(done)](std::optional<RankFacts> facts) {
        if (facts) {
            ownEngineHoldsStep_ = facts->report.held.has_value();
            updateOwnRank(facts->report);
            updateEpoch(facts->report);
        }
        done(std::move(facts));
    });
}

void ExpertAgent::pollOwnEngine(RankQuery query)
{
    if (ownPollPending_) {
        return;
    }
    ownPollPending_ = true;
    const TimePoint now = loop_.now();
    ownPolledAt_ = now;
    query.countsSince = ownCountsSnapshotId_;
    fetchOwnFacts(query, [this, now](std::optional<RankFacts> facts) {
        ownPollPending_ = false;
        if (!facts) {
            return;
        }
        if (facts->choices) {
            ownCountsSnapshotId_ = facts->choices->snapshotId;
        }
        onPeerFacts(*facts, now);
    });
}

// Requests reports from the ranks that are due, and counts of chosen experts from some of them. The
// own engine is polled at every tick of a change, because a hold must name a step that begins soon.
void ExpertAgent::pollGroup()
{
    const TimePoint now = loop_.now();
    CollectionInputs inputs;
    inputs.ranks = decider_->size();
    inputs.countsBytes = rule_ ? std::uint64_t{rule_->sets} * rule_->experts : 0;
    inputs.linkBytesPerSecond = settings_.linkBytesPerSecond;
    const CollectionPlan plan = planCollection(inputs);
    decider_->setReportTimeToLive(plan.reportTimeToLive);
    planner_.setRoundWindow(plan.roundWindow);
    // After an alarm, polls as often as rounds allow, so that it is soon confirmed or dismissed.
    const Duration countsInterval = planner_.shiftSuspected()
                                        ? std::max(plan.countsInterval / 2, plan.roundWindow)
                                        : plan.countsInterval;
    // Half a tick of tolerance, because a tick that is slightly early would cost a whole one.
    const bool counts = now - countsRequestedAt_
                        >= std::max(countsInterval, kMinCountsInterval) - kTickInterval / 2;
    const RankQuery query{false, !cachedMap_, 0};
    if (counts) {
        countsRequestedAt_ = now;
        pollOwnEngine({true, query.experts, 0});
        const std::uint32_t polledPeers =
            rankPeers_->requestCounts(query, plan.sampledRanks, decider_->size(), *ownRank_);
        planner_.expectAnswers(polledPeers + 1);
    } else if (decider_->phase() != GroupDecider::Phase::Idle
               || now - ownPolledAt_ >= plan.reportInterval) {
        pollOwnEngine(query);
    }
    rankPeers_->requestReports(query, plan.reportInterval, kTickInterval, *ownRank_);
}

// Sets the group and rank that the own engine reports. If the group has changed, discards all state
// of the previous group, including the epoch, which is meaningless in the new one.
void ExpertAgent::updateOwnRank(const RankReport &report)
{
    ownRank_ = report.rank;
    groupSize_ = report.ranks;
    if (report.group == ownGroup_) {
        return;
    }
    logLine(LogLevel::Info, "group.entered",
            {{"group", report.group.value()},
             {"before", ownGroup_.value()},
             {"rank", report.rank},
             {"ranks", report.ranks}});
    ownGroup_ = report.group;
    epochOfUnresolvedArms_.reset();
    otherDecider_.reset();
    epoch_ = 0;
    ownEngine_->resetOrders();
    rankExperts_.clear();
    cachedMap_.reset();
    proposedVersion_ = 0;
}

// Discards all known maps if `report` names a later epoch, which voids the maps of earlier ones.
void ExpertAgent::updateEpoch(const RankReport &report)
{
    if (report.epoch <= epoch_) {
        return;
    }
    logLine(LogLevel::Info, "group.formed",
            {{"group", report.group.value()},
             {"epoch", report.epoch},
             {"before", epoch_},
             {"ranks", report.ranks}});
    epoch_ = report.epoch;
    rankExperts_.clear();
    cachedMap_.reset();
    proposedVersion_ = 0;
}

void ExpertAgent::onPeerFacts(const RankFacts &facts, TimePoint requestedAt)
{
    const RankReport &report = facts.report;
    if (!isDecider() || report.group != decider_->group()) {
        return;
    }
    updateEpoch(report);
    if (facts.experts && report.epoch == epoch_) {
        rankExperts_[report.rank] = *facts.experts;
    }
    if (facts.choices) {
        planner_.addChoices(decodeChoices(*facts.choices), loop_.now());
    }
    decider_->onReport(report, requestedAt, loop_.now());
    if (facts.choices && planner_.roundAnswered()) {
        endRound();
        runDecider();
    }
}

void ExpertAgent::endRound()
{
    currentMap_ = mapInUse();
    planner_.endRound(currentMap_, loop_.now());
}

// Returns the map in use, or nothing if it is not known for all ranks. A map that this agent
// proposed or has cached needs no query to the ranks.
std::optional<ExpertMap> ExpertAgent::mapInUse()
{
    const auto version = decider_->mapInUse(loop_.now());
    if (!version) {
        return std::nullopt;
    }
    if (proposedVersion_ != 0 && *version == proposedVersion_) {
        if (!cachedMap_ || cachedMap_->version != *version) {
            planner_.recordActivation(loop_.now() - proposedAt_);
        }
        cachedMap_ = CachedMap{*version, proposedMap_};
    } else if (!cachedMap_ || cachedMap_->version != *version) {
        cachedMap_.reset();
        if (auto assembled = assembleMap(*version)) {
            cachedMap_ = CachedMap{*version, std::move(*assembled)};
        }
    }
    return cachedMap_ ? std::optional(cachedMap_->map) : std::nullopt;
}

// Assembles map `version` from the experts that each rank has reported. Returns nothing if a rank
// is missing or has reported another version.
std::optional<ExpertMap> ExpertAgent::assembleMap(std::uint64_t version) const
{
    ExpertMap map;
    for (const auto &[rank, experts] : rankExperts_) {
        if (experts.mapVersion != version || rank != (map.empty() ? 0 : map.front().size())) {
            return std::nullopt;
        }
        map.resize(experts.bySet.size());
        for (std::size_t set = 0; set < map.size(); ++set) {
            map[set].push_back(experts.bySet[set]);
            std::sort(map[set].back().begin(), map[set].back().end());
        }
    }
    if (map.empty() || map.front().size() != decider_->size()) {
        return std::nullopt;
    }
    return map;
}

void ExpertAgent::updatePassOutlook()
{
    if (!currentMap_) {
        return; // The last outlook stands until the map in use is known again.
    }
    planner_.setPaces(decider_->paces());
    const double costNow = planner_.relativePassCost(planner_.skew(*currentMap_));
    const double costAfterChange = planner_.relativePassCost(planner_.expectedSkew());
    decider_->setPassOutlook({costNow, costAfterChange, gapTarget_});
}

void ExpertAgent::runDecider()
{
    MapOrders orders;
    updatePassOutlook();
    decider_->onTick(loop_.now(), orders);
    const bool proposalOutdated = decider_->phase() == GroupDecider::Phase::Preparing
                                  && planner_.planOutdated() && currentMap_;
    if (proposalOutdated) {
        replaceOutdatedChange(orders);
    } else if (decider_->phase() == GroupDecider::Phase::Idle) {
        proposeChange(orders);
    }
    if (decider_->phase() != GroupDecider::Phase::Idle) {
        logObstacleChange(logName(GroupDecider::Obstacle::ChangeUnderWay));
    }
    logPhaseChange();
    send(orders);
}

// Replaces a proposed map whose experts are still being copied after demand has shifted, provided
// that a map for the new demand is worth its cost.
void ExpertAgent::replaceOutdatedChange(MapOrders &orders)
{
    planner_.setPaces(decider_->paces());
    planner_.setPassTimes(decider_->currentPassTime(), decider_->evenPassTime(), gapTarget_);
    auto planned = planner_.plan(*currentMap_, loop_.now());
    if (planned && decider_->abandon(loop_.now())) {
        logLine(LogLevel::Info, "map.abandoned",
                {{"version", proposedVersion_}, {"epoch", epoch_}});
        orders.clear();
        propose(std::move(*planned), orders);
    }
}

void ExpertAgent::proposeChange(MapOrders &orders)
{
    const GroupDecider::Obstacle obstacle = decider_->obstacle(loop_.now());
    if (obstacle != GroupDecider::Obstacle::None) {
        logObstacleChange(logName(obstacle));
        return;
    }
    if (!rule_ || !currentMap_) {
        logObstacleChange(rule_ ? "experts of a rank unknown" : "no configuration");
        return;
    }
    logObstacleChange(kNoObstacleName);
    planner_.setPaces(decider_->paces());
    planner_.setPassTimes(decider_->currentPassTime(), decider_->evenPassTime(), gapTarget_);
    logLine(LogLevel::Debug, "map.weighed",
            {{"distance", planner_.roundDistance()}, {"skew", planner_.skew(*currentMap_)}});
    if (auto planned = planner_.plan(*currentMap_, loop_.now())) {
        propose(std::move(*planned), orders);
    }
}

void ExpertAgent::propose(ExpertMap planned, MapOrders &orders)
{
    proposedMap_ = std::move(planned);
    const auto version = decider_->propose(proposedMap_, loop_.now(), orders);
    proposedVersion_ = version.value_or(0);
    proposedAt_ = loop_.now();
    if (version) {
        logLine(LogLevel::Info, "map.proposed",
                {{"version", *version},
                 {"group", ownGroup_.value()},
                 {"epoch", epoch_},
                 {"skew", planner_.skew(*currentMap_)},
                 {"expectedSkew", planner_.expectedSkew()},
                 {"expectedCopyMs", toMillis(planner_.expectedCopying())},
                 {"expectedLifeMs", toMillis(planner_.expectedWorkloadDuration(loop_.now()))},
                 {"shifts", planner_.shifts()}});
    }
}

void ExpertAgent::logObstacleChange(std::string_view obstacle)
{
    if (obstacle != loggedObstacle_) {
        logLine(LogLevel::Info, "map.obstacle",
                {{"obstacle", obstacle}, {"before", loggedObstacle_}, {"epoch", epoch_}});
        loggedObstacle_ = obstacle;
    }
}

void ExpertAgent::logPhaseChange()
{
    const GroupDecider::Phase phase = decider_->phase();
    if (phase != loggedPhase_) {
        const auto excludedRank = decider_->excludedRank();
        logLine(LogLevel::Info, "map.phase",
                {{"phase", logName(phase)},
                 {"epoch", epoch_},
                 {"expectedPassMs", toMillis(decider_->expectedPassTime())},
                 {"measuredPassMs", toMillis(decider_->passTime())},
                 {"withoutRank", excludedRank ? json(*excludedRank) : json()}});
        loggedPhase_ = phase;
    }
    if (decider_->changes() != loggedChanges_) {
        loggedChanges_ = decider_->changes();
        metrics_.count("seamarch_map_changes_total", "changed");
        logLine(LogLevel::Info, "map.changed", {{"changes", loggedChanges_}});
    }
    if (decider_->cleared() != loggedCleared_) {
        loggedCleared_ = decider_->cleared();
        metrics_.count("seamarch_map_changes_total", "cleared");
        logLine(LogLevel::Warning, "map.cleared", {{"cleared", loggedCleared_}});
    }
}

void ExpertAgent::send(const MapOrders &orders)
{
    MapOrders others;
    for (const SendMapOrder &action : orders) {
        if (ownRank_ != action.rank) {
            others.push_back(action);
            continue;
        }
        sendToOwnEngine(action.order, [this, action](MapOrderAnswer answer) {
            onPeerOrderAnswer(action.rank, action.order, answer);
        });
    }
    rankPeers_->send(others);
}

void ExpertAgent::sendToOwnEngine(const MapOrder &order, OwnEngine::OrderDone done)
{
    if (order.group != ownGroup_) {
        logLine(LogLevel::Warning, "order.of_other_group",
                {{"kind", logName(order.kind)},
                 {"group", order.group.value()},
                 {"ownGroup", ownGroup_.value()}});
        // Until the own engine has reported its group, the order may or may not apply to it.
        done(ownGroup_ == GroupId() ? MapOrderAnswer::Lost : MapOrderAnswer::Refused);
        return;
    }
    ownEngine_->sendOrder(order, std::move(done));
}

// Sends an order to the own engine and to the agents of other ranks. Calls `done` once, with all
// answers.
void ExpertAgent::relay(const MapOrder &order, const std::vector<RelayTarget> &targets,
                        const OrderRelay::Done &done)
{
    struct PendingRelay
    {
        std::vector<RelayedAnswer> answers;
        int missing = 2; // One for the own engine's answer and one for those of all other agents.
    };
    const auto pending = std::make_shared<PendingRelay>();
    const auto addAnswers = [pending, done](const std::vector<RelayedAnswer> &answers) {
        pending->answers.insert(pending->answers.end(), answers.begin(), answers.end());
        if (--pending->missing == 0) {
            done(pending->answers);
        }
    };
    const std::uint32_t rank = ownRank_.value_or(0);
    sendToOwnEngine(order, [addAnswers, rank](MapOrderAnswer answer) {
        addAnswers({RelayedAnswer{rank, answer}});
    });
    orderRelay_->relay(order, targets, addAnswers);
}

void ExpertAgent::onPeerOrderAnswer(std::uint32_t rank, const MapOrder &order,
                                    MapOrderAnswer answer)
{
    if (answer != MapOrderAnswer::Done && answer != MapOrderAnswer::Copied) {
        logLine(LogLevel::Info, "order.not_done",
                {{"kind", logName(order.kind)},
                 {"rank", rank},
                 {"answer", logName(answer)},
                 {"version", order.version},
                 {"step", order.step}});
    }
    if (isDecider()) {
        decider_->onAnswer(rank, order, answer, loop_.now());
        runDecider();
    }
}

bool ExpertAgent::ready(std::string & /*reason*/) const
{
    return true;
}

json ExpertAgent::status() const
{
    return {{"role", "expertagent"},
            {"instance", settings_.instance.value()},
            {"group", ownGroup_.value()},
            {"rank", ownRank_ ? json(*ownRank_) : json()},
            {"epoch", epoch_},
            {"decides", isDecider()},
            {"ranks", decider_ ? decider_->size() : 0},
            {"changes", loggedChanges_},
            {"cleared", loggedCleared_}};
}

void ExpertAgent::stop()
{
    logLine(LogLevel::Info, "agent.stopping", {{"decides", isDecider()}});
    loop_.schedule(settings_.stopDelay, [this] { loop_.stop(); });
}

} // namespace seamarch
