#include "experts/expertagent.h"

#include "base/digest.h"
#include "base/log.h"
#include "base/wallclock.h"
#include "decision/expertmap/collectionplan.h"
#include "decision/expertmap/deciderrole.h"
#include "experts/maplognames.h"

#include <algorithm>
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

} // namespace

ExpertAgent::ExpertAgent(EventLoop &loop, const ExpertAgentSettings &settings,
                         const StoreProtocol &store, const EngineProtocol &engineProtocol)
    : loop_(loop)
    , settings_(settings)
    , store_(store)
    , engineProtocol_(engineProtocol)
    , metrics_(0)
    , groupReporter_(loop)
    , startedAt_(loop.now())
    , mapChanger_(metrics_)
{}

ExpertAgent::~ExpertAgent() noexcept = default;

tl::expected<std::unique_ptr<ExpertAgent>, NetError>
ExpertAgent::create(EventLoop &loop, const ExpertAgentSettings &settings,
                    const StoreProtocol &store, const EngineProtocol &engineProtocol)
{
    std::unique_ptr<ExpertAgent> agent(new ExpertAgent(loop, settings, store, engineProtocol));
    if (auto opened = agent->open(); !opened) {
        loop.shutDown(); // Its sockets refer to parts of the agent.
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
        auto server = makeRankServer(*this, stream->peerHost());
        auto peer = RpcPeer::server(kj::mv(stream), kj::mv(server));
        peer->onClosed([this, id] { loop_.post([this, id] { inboundPeers_.erase(id); }); });
        inboundPeers_.emplace(id, std::move(peer));
    });
    if (!listening) {
        return listening;
    }
    if (settings_.metricsListen) {
        auto server = OperatorServer::create(loop_, *settings_.metricsListen, *this, metrics_,
                                             AddressNeed::Optional);
        if (!server) {
            return tl::unexpected(server.error());
        }
        metricsServer_ = std::move(*server);
    }
    engineClient_ = std::make_unique<EngineClient>(loop_, *client_, engineProtocol_);
    ownEngine_ = std::make_unique<OwnEngine>(loop_, *engineClient_, settings_.engine);
    listing_ = std::make_unique<GroupListing>(loop_, *client_, store_, settings_.service, metrics_,
                                              [this] { onListingChanged(); });
    orderRelay_ = std::make_unique<OrderRelay>(loop_, *transport_, settings_.listen.port);
    tickTimer_ = std::make_unique<PeriodicTimer>(loop_, kTickInterval, [this] { tick(); });
    return {};
}

void ExpertAgent::onListingChanged()
{
    mapChanger_.setService(listing_->rule(), listing_->gapTarget());
    rankPeers_->setEngines(listing_->enginesExcept(settings_.engine));
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
    if (listing_->expire()) {
        rankPeers_->setEngines(listing_->enginesExcept(settings_.engine));
    }
    mapChanger_.endRound(loop_.now());
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
    if (isDecider() && mapChanger_.decider().size() > 0) {
        std::map<std::uint32_t, SocketAddress> engines = rankPeers_->engines();
        engines[*ownRank_] = settings_.engine;
        groupReporter_.publish(mapChanger_.groupFacts(engines, loop_.now()),
                               mapChanger_.decider().lastReportAt());
    } else {
        groupReporter_.referTo(otherDecider_ ? otherDecider_->host : std::string());
    }
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
    if (isDecider()
        && (mapChanger_.decider().ownRank() != *ownRank_
            || mapChanger_.decider().group() != ownGroup_)) {
        stepDown(); // The group has re-formed with a new own rank, or the engine changed groups.
    }
    const bool decides = shouldDecide();
    if (decides == isDecider()) {
        return;
    }
    logLine(LogLevel::Info, decides ? "decider.taken" : "decider.left",
            {{"group", ownGroup_.value()},
             {"rank", ownRank_.value_or(0)},
             {"epoch", mapChanger_.epoch()},
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
    settings.fenceFloor = static_cast<std::uint64_t>(wallClockNow() / kFenceUnit);
    if (otherDecider_) {
        settings.predecessorLastSeenAt = otherDecider_->lastQueryAt;
    }
    mapChanger_.takeRole(settings);
    RankPeersListener &listener = *this;
    const RankPeers::Settings peers{settings_.listen.port, ownGroup_, settings_.linkBytesPerSecond};
    rankPeers_ = std::make_unique<RankPeers>(loop_, *transport_, *engineClient_, peers, listener);
    listing_->start();
}

// Leaves a change in progress as it is; the new decider clears it.
void ExpertAgent::stepDown()
{
    listing_->stop();
    rankPeers_.reset();
    mapChanger_.leaveRole();
}

// Fetches the own rank's facts and updates the own rank and epoch from its report.
void ExpertAgent::fetchOwnFacts(RankQuery query, OwnEngine::FactsDone done)
{
    ownFetchedAt_ = loop_.now();
    ownEngine_->fetchFacts(query, [this, done = std::move(done)](std::optional<RankFacts> facts) {
        if (facts) {
            ownEngineHoldsStep_ = facts->report.held.has_value();
            updateOwnRank(facts->report);
            mapChanger_.updateEpoch(facts->report);
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
    const CollectionPlan plan = mapChanger_.planCollection(settings_.linkBytesPerSecond);
    // Half a tick of tolerance, because a tick that is slightly early would cost a whole one.
    const bool counts =
        now - countsRequestedAt_
        >= std::max(mapChanger_.countsInterval(plan), kMinCountsInterval) - kTickInterval / 2;
    const RankQuery query{false, mapChanger_.needsExperts(), 0};
    if (counts) {
        countsRequestedAt_ = now;
        pollOwnEngine({true, query.experts, 0});
        const std::uint32_t polledPeers = rankPeers_->requestCounts(
            query, plan.sampledRanks, mapChanger_.decider().size(), *ownRank_);
        mapChanger_.expectAnswers(polledPeers + 1);
    } else if (mapChanger_.decider().phase() != GroupDecider::Phase::Idle
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
    otherDecider_.reset();
    ownEngine_->resetOrders();
    mapChanger_.leaveGroup();
}

void ExpertAgent::onPeerFacts(const RankFacts &facts, TimePoint requestedAt)
{
    if (mapChanger_.onFacts(facts, requestedAt, loop_.now())) {
        mapChanger_.endRound(loop_.now());
        runDecider();
    }
}

void ExpertAgent::runDecider()
{
    MapOrders orders;
    mapChanger_.run(loop_.now(), orders);
    send(orders);
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
        mapChanger_.onAnswer(rank, order, answer, loop_.now());
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
            {"epoch", mapChanger_.epoch()},
            {"decides", isDecider()},
            {"ranks", isDecider() ? mapChanger_.decider().size() : 0},
            {"changes", mapChanger_.changes()},
            {"cleared", mapChanger_.cleared()}};
}

void ExpertAgent::stop()
{
    logLine(LogLevel::Info, "agent.stopping", {{"decides", isDecider()}});
    loop_.schedule(settings_.stopDelay, [this] { loop_.stop(); });
}

} // namespace seamarch
