#include "experts/expertagent.h"

#include "base/digest.h"
#include "base/log.h"
#include "base/wallclock.h"
#include "decision/expertmap/collectionplan.h"
#include "experts/mapwords.h"
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

constexpr Duration kTick = std::chrono::milliseconds(50);
// Counts of less than about a pass tell nothing new.
constexpr Duration kLeastCountsGap = std::chrono::milliseconds(100);
// How often an agent that does not decide asks its own engine for its rank, unless the agent that
// decides has asked it meanwhile. Such calls are free.
constexpr Duration kOwnGap = std::chrono::milliseconds(200);
// A decider that has not asked for this long is taken for dead or cut off. It asks some five times
// in it, whatever the size of the group. Two that both decide are harmless, and a group that one
// has left held makes no pass.
constexpr Duration kDeciderLife = std::chrono::milliseconds(500);
constexpr Duration kDeciderLifePerRank = std::chrono::milliseconds(10);
// While its own engine holds a step, the successor of a decider waits for this part of that life
// alone, and for no turn: the whole group stands still for a decider that is dead, and one that
// lives asks several times in it, most often during a change.
constexpr int kLifePartWhenHeld = 2;
// Each rank waits this much longer than the one before it, so that one takes the role and is heard
// before the next would take it: a question and a tick later.
constexpr Duration kTurnPerRank = std::chrono::milliseconds(100);
// What every rank but the first waits besides: connections to all ranks take some time to make.
constexpr Duration kTurnOfOthers = std::chrono::milliseconds(200);
// How long a new agent listens before it may decide: a decider that lives has asked by then.
constexpr Duration kStartDelay = std::chrono::milliseconds(600);
// Fences start at the time of day, in units of this; a decider raises its fence less often.
constexpr std::chrono::milliseconds kFenceUnit{100};
// A store's watch waits this long here: only the list of engines is wanted, and calls have a price.
constexpr Duration kWatchWait = std::chrono::seconds(10);
// Changes of the list are gathered for this long: an engine that is new forms its group later.
constexpr Duration kWatchRest = std::chrono::milliseconds(200);

} // namespace

// The serving end for the agents of the other ranks.
class ExpertAgent::Server final : public wire::RankAgent::Server
{
public:
    Server(ExpertAgent &agent, std::string peerHost)
        : agent_(agent)
        , peerHost_(std::move(peerHost))
    {}

    kj::Promise<void> state(StateContext context) override
    {
        auto waiting = kj::newPromiseAndFulfiller<void>();
        auto fulfiller =
            std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(waiting.fulfiller));
        const auto params = context.getParams();
        const GroupId askerGroup(params.getAskerGroup().cStr());
        agent_.onAsked(askerGroup, params.getAskerRank(), peerHost_);
        const bool ownGroup = askerGroup == agent_.ownGroup_;
        const RankQuestion question{ownGroup && params.getCounts(), ownGroup && params.getExperts(),
                                    params.getCountsSince()};
        agent_.answer(question, [context, fulfiller](std::optional<RankFacts> facts) mutable {
            if (facts) {
                writeFacts(*facts, context.getResults().initState());
            }
            (*fulfiller)->fulfill();
        });
        return kj::mv(waiting.promise);
    }

    kj::Promise<void> order(OrderContext context) override
    {
        auto waiting = kj::newPromiseAndFulfiller<void>();
        auto fulfiller =
            std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(waiting.fulfiller));
        const auto order = readOrder(context.getParams().getOrder());
        if (!order) {
            logLine(LogLevel::Warning, "order.unreadable", {});
            context.getResults().setStatus(static_cast<std::uint16_t>(MapOrderAnswer::Refused));
            return kj::READY_NOW;
        }
        agent_.handToOwn(*order, [context, fulfiller](MapOrderAnswer answer) mutable {
            context.getResults().setStatus(static_cast<std::uint16_t>(answer));
            (*fulfiller)->fulfill();
        });
        return kj::mv(waiting.promise);
    }

    kj::Promise<void> relay(RelayContext context) override
    {
        auto waiting = kj::newPromiseAndFulfiller<void>();
        auto fulfiller =
            std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(waiting.fulfiller));
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
        return kj::mv(waiting.promise);
    }

    kj::Promise<void> group(GroupContext context) override
    {
        return agent_.reporter_.answer(context);
    }

private:
    ExpertAgent &agent_;
    std::string peerHost_; // Of the agent or gateway that asks.
};

ExpertAgent::ExpertAgent(EventLoop &loop, const ExpertAgentSettings &settings,
                         const StoreProtocol &store, const EngineCalls &engineCalls)
    : loop_(loop)
    , settings_(settings)
    , store_(store)
    , engineCalls_(engineCalls)
    , metrics_(0)
    , reporter_(loop)
    , startedAt_(loop.now())
{}

ExpertAgent::~ExpertAgent() noexcept = default;

tl::expected<std::unique_ptr<ExpertAgent>, NetError>
ExpertAgent::create(EventLoop &loop, const ExpertAgentSettings &settings,
                    const StoreProtocol &store, const EngineCalls &engineCalls)
{
    std::unique_ptr<ExpertAgent> agent(new ExpertAgent(loop, settings, store, engineCalls));
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
        const std::uint64_t id = nextIncoming_++;
        auto server = kj::heap<Server>(*this, stream->peerHost());
        auto peer = RpcPeer::server(kj::mv(stream), kj::mv(server));
        peer->onClosed([this, id] { loop_.post([this, id] { incoming_.erase(id); }); });
        incoming_.emplace(id, std::move(peer));
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
    ranks_ = std::make_unique<RankClient>(loop_, *client_, engineCalls_);
    engine_ = std::make_unique<OwnEngine>(loop_, *ranks_, settings_.engine);
    relay_ = std::make_unique<OrderRelay>(loop_, *transport_, settings_.listen.port);
    tickTimer_ = std::make_unique<PeriodicTimer>(loop_, kTick, [this] { tick(); });
    return {};
}

void ExpertAgent::onStoreListed(const StoreItems &items, TimePoint /*askedAt*/)
{
    std::vector<UpstreamRecord> records;
    for (const StoreItem &item : items.items) {
        if (const auto *record = std::get_if<UpstreamRecord>(&item)) {
            records.push_back(*record);
        } else {
            takeItem(item);
        }
    }
    if (wasRolledBack(storePlace_, items.position)) {
        upstreams_.onStoreWentBack(loop_.now());
    }
    storePlace_ = items.position;
    upstreams_.replaceAll(records, loop_.now());
    updatePeers();
}

void ExpertAgent::onStoreChanged(const StoreItems &items, TimePoint /*askedAt*/)
{
    for (const StoreItem &item : items.items) {
        takeItem(item);
    }
    updatePeers();
}

void ExpertAgent::onStoreFailed(std::string_view cause)
{
    upstreams_.onOutage(loop_.now());
    metrics_.count("seamarch_store_failures_total", cause);
}

void ExpertAgent::takeItem(const StoreItem &item)
{
    if (const auto *document = std::get_if<RoutingDocument>(&item)) {
        pauseGoal_ = shortestPauseGoal(*document, settings_.service);
        for (const ServiceRule &service : document->services) {
            if (service.name == settings_.service && service.experts) {
                rule_ = service.experts;
                planner_.setRule(*rule_);
            }
        }
    } else if (const auto *record = std::get_if<UpstreamRecord>(&item)) {
        upstreams_.put(*record);
    } else if (const auto *gone = std::get_if<UpstreamRemoval>(&item)) {
        if (gone->unreadable) {
            upstreams_.drop(gone->id, loop_.now());
        } else {
            upstreams_.remove(gone->id, loop_.now());
        }
    }
}

// Keeps one peer for each listed engine of the service but the own one. An engine that is leaving
// still takes part in its group's passes.
void ExpertAgent::updatePeers()
{
    std::map<InstanceId, SocketAddress> listed;
    for (const UpstreamRecord *record : upstreams_.all()) {
        const SocketAddress engine{record->host, record->port};
        if (record->service == settings_.service && engine != settings_.engine) {
            listed.emplace(record->id, engine);
        }
    }
    peers_->setListed(listed);
}

void ExpertAgent::tick()
{
    updateRole();
    if (!deciding()) {
        if (loop_.now() - ownLookedAt_ >= kOwnGap) {
            askOwn({});
        }
        reportGroup();
        return;
    }
    if (!upstreams_.expire(loop_.now()).empty()) {
        updatePeers();
    }
    current_ = mapInUse();
    planner_.look(current_, loop_.now());
    askGroup();
    runDecider();
    reportGroup();
}

void ExpertAgent::onAsked(const GroupId &askerGroup, std::uint32_t askerRank,
                          const std::string &askerHost)
{
    if (ownRank_ && askerGroup == ownGroup_ && askerRank < *ownRank_) {
        lower_ = LowerDecider{askerRank, loop_.now(), askerHost};
    }
}

void ExpertAgent::reportGroup()
{
    if (deciding() && decider_->size() > 0) {
        reporter_.set(groupFacts(), decider_->heardAt());
    } else {
        reporter_.refer(lower_ ? lower_->host : std::string());
    }
}

// Puts together what gateways are told of the group. Paces are rounded, so that small changes wake
// nobody.
GroupFacts ExpertAgent::groupFacts() const
{
    constexpr double kPaceStep = 0.25;
    GroupFacts facts;
    facts.group = ownGroup_;
    facts.epoch = decider_->epoch();
    facts.open = decider_->takesRequests();
    facts.forming = decider_->forming(loop_.now());
    const std::vector<double> paces = decider_->paces();
    std::map<std::uint32_t, SocketAddress> engines = peers_->engines();
    engines[*ownRank_] = settings_.engine;
    for (const auto &[rank, engine] : engines) {
        const double pace = rank < paces.size() ? paces[rank] : 1.0;
        facts.members.push_back(
            {engine.host, engine.port, std::round(pace / kPaceStep) * kPaceStep});
    }
    return facts;
}

bool ExpertAgent::shouldDecide() const
{
    const TimePoint now = loop_.now();
    if (!ownRank_ || now - startedAt_ < kStartDelay) {
        return false;
    }
    const Duration whole =
        kDeciderLife + kDeciderLifePerRank * static_cast<Duration::rep>(groupRanks_);
    const Duration life = ownHeld_ ? whole / kLifePartWhenHeld : whole;
    const bool lowerLives = lower_ && lower_->rank < *ownRank_ && now - lower_->askedAt < life;
    if (deciding() || lowerLives) {
        return !lowerLives;
    }
    const TimePoint from =
        std::max(startedAt_ + kStartDelay, lower_ ? lower_->askedAt + life : TimePoint{});
    const bool atOnce = *ownRank_ == 0 || ownHeld_;
    const Duration turn = atOnce ? Duration{} : kTurnOfOthers + kTurnPerRank * *ownRank_;
    return now - from >= turn;
}

void ExpertAgent::updateRole()
{
    if (deciding() && (decider_->ownRank() != *ownRank_ || decider_->group() != ownGroup_)) {
        leaveRole(); // The group has formed with other places, or the rank is in another group.
    }
    const bool decides = shouldDecide();
    if (decides == deciding()) {
        return;
    }
    logLine(LogLevel::Info, decides ? "decider.taken" : "decider.left",
            {{"group", ownGroup_.value()},
             {"rank", ownRank_.value_or(0)},
             {"epoch", epoch_},
             {"lowerRank", lower_ ? json(lower_->rank) : json()},
             {"lowerAskedMsAgo", lower_ ? json(toMillis(loop_.now() - lower_->askedAt)) : json()}});
    if (decides) {
        takeRole();
    } else {
        leaveRole();
    }
}

void ExpertAgent::takeRole()
{
    GroupDecider::Settings settings;
    settings.group = ownGroup_;
    settings.ownRank = *ownRank_;
    settings.seed = randomIdentity();
    settings.fenceFloor = static_cast<std::uint64_t>(wallNow() / kFenceUnit);
    if (lower_) {
        settings.predecessorHeardAt = lower_->askedAt;
    }
    decider_ = std::make_unique<GroupDecider>(settings);
    RankPeersListener &listener = *this;
    const RankPeers::Settings peers{settings_.listen.port, ownGroup_, settings_.linkBytesPerSecond};
    peers_ = std::make_unique<RankPeers>(loop_, *transport_, *ranks_, peers, listener);
    notedPhase_ = GroupDecider::Phase::Idle;
    notedChanges_ = 0;
    notedCleared_ = 0;
    StoreWatcher::Settings watch;
    watch.longPollWait = kWatchWait;
    watch.coalesceDelay = kWatchRest;
    watch.seed = randomIdentity();
    StoreListener &storeListener = *this;
    watcher_ = std::make_unique<StoreWatcher>(loop_, *client_, store_, storeListener, watch);
    watcher_->start();
}

// What is under way stays as it is; the agent that decides now clears it.
void ExpertAgent::leaveRole()
{
    watcher_.reset();
    peers_.reset();
    decider_.reset();
    experts_.clear();
    known_.reset();
    current_.reset();
    proposedVersion_ = 0;
}

// Answers for the own rank.
void ExpertAgent::answer(RankQuestion question, OwnEngine::FactsDone done)
{
    ownLookedAt_ = loop_.now();
    engine_->ask(question, [this, done = std::move(done)](std::optional<RankFacts> facts) {
        if (facts) {
            ownHeld_ = facts->report.held.has_value();
            noteOwnPlace(facts->report);
            noteFormed(facts->report);
        }
        done(std::move(facts));
    });
}

void ExpertAgent::askOwn(RankQuestion question)
{
    if (askingOwn_) {
        return;
    }
    askingOwn_ = true;
    const TimePoint now = loop_.now();
    ownAskedAt_ = now;
    question.countsSince = ownCountsMark_;
    answer(question, [this, now](std::optional<RankFacts> facts) {
        askingOwn_ = false;
        if (!facts) {
            return;
        }
        if (facts->choices) {
            ownCountsMark_ = facts->choices->mark;
        }
        onPeerFacts(*facts, now);
    });
}

// Asks the ranks whose turn it is for reports, and some of them for counts of chosen experts. The
// own engine is asked at every tick of a change, because a hold must name a step that is near.
void ExpertAgent::askGroup()
{
    const TimePoint now = loop_.now();
    CollectionInputs inputs;
    inputs.ranks = decider_->size();
    inputs.countsBytes = rule_ ? std::uint64_t{rule_->sets} * rule_->experts : 0;
    inputs.linkBytesPerSecond = settings_.linkBytesPerSecond;
    const CollectionPlan plan = planCollection(inputs);
    decider_->setReportLife(plan.reportLife);
    planner_.setRoundSpan(plan.roundSpan);
    // An alarm is confirmed or dropped as soon as a round can be.
    const Duration countsGap =
        planner_.doubting() ? std::max(plan.countsGap / 2, plan.roundSpan) : plan.countsGap;
    const bool counts = now - countsAskedAt_ >= std::max(countsGap, kLeastCountsGap);
    const RankQuestion question{false, !known_, 0};
    if (counts) {
        countsAskedAt_ = now;
        askOwn({true, question.experts, 0});
        peers_->askCounts(question, plan.countedRanks, decider_->size(), *ownRank_);
    } else if (decider_->phase() != GroupDecider::Phase::Idle
               || now - ownAskedAt_ >= plan.reportGap) {
        askOwn(question);
    }
    peers_->askReports(question, plan.reportGap, kTick, *ownRank_);
}

// Takes the group and rank that the own engine names. In another group, what was known of the one
// before means nothing, its epochs included.
void ExpertAgent::noteOwnPlace(const RankReport &report)
{
    ownRank_ = report.rank;
    groupRanks_ = report.ranks;
    if (report.group == ownGroup_) {
        return;
    }
    logLine(LogLevel::Info, "group.entered",
            {{"group", report.group.value()},
             {"before", ownGroup_.value()},
             {"rank", report.rank},
             {"ranks", report.ranks}});
    ownGroup_ = report.group;
    lower_.reset();
    epoch_ = 0;
    engine_->forgetOrders();
    experts_.clear();
    known_.reset();
    proposedVersion_ = 0;
}

void ExpertAgent::noteFormed(const RankReport &report)
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
    experts_.clear();
    known_.reset();
    proposedVersion_ = 0;
}

void ExpertAgent::onPeerFacts(const RankFacts &facts, TimePoint askedAt)
{
    const RankReport &report = facts.report;
    if (!deciding() || report.group != decider_->group()) {
        return;
    }
    noteFormed(report);
    if (facts.experts && report.epoch == epoch_) {
        experts_[report.rank] = *facts.experts;
    }
    if (facts.choices) {
        planner_.onChoices(choicesOf(*facts.choices), loop_.now());
    }
    decider_->onReport(report, askedAt, loop_.now());
}

// Returns the map in use. No rank need be asked for one that was ordered here or is known already.
std::optional<ExpertMap> ExpertAgent::mapInUse()
{
    const auto version = decider_->mapInUse(loop_.now());
    if (!version) {
        return std::nullopt;
    }
    if (proposedVersion_ != 0 && *version == proposedVersion_) {
        if (!known_ || known_->version != *version) {
            planner_.noteInUse(loop_.now() - proposedAt_);
        }
        known_ = KnownMap{*version, proposed_};
    } else if (!known_ || known_->version != *version) {
        known_.reset();
        if (auto told = mapFromRanks(*version)) {
            known_ = KnownMap{*version, std::move(*told)};
        }
    }
    return known_ ? std::optional(known_->map) : std::nullopt;
}

// Puts together what all ranks have told of the map `version`.
std::optional<ExpertMap> ExpertAgent::mapFromRanks(std::uint64_t version) const
{
    ExpertMap map;
    for (const auto &[rank, experts] : experts_) {
        if (experts.map != version || rank != (map.empty() ? 0 : map.front().size())) {
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

void ExpertAgent::runDecider()
{
    MapOrders orders;
    decider_->onTick(loop_.now(), orders);
    const bool leftBehind =
        decider_->phase() == GroupDecider::Phase::Preparing && planner_.outdated() && current_;
    if (leftBehind) {
        replaceChange(orders);
    } else if (decider_->phase() == GroupDecider::Phase::Idle) {
        proposeChange(orders);
    }
    if (decider_->phase() != GroupDecider::Phase::Idle) {
        noteObstacle(wordFor(GroupDecider::Obstacle::ChangeUnderWay));
    }
    notePhase();
    send(orders);
}

// Demand has shifted while experts of the proposed map are still being copied. A map for what is
// asked now takes its place, as soon as there is one worth it.
void ExpertAgent::replaceChange(MapOrders &orders)
{
    planner_.setPaces(decider_->paces());
    planner_.setPasses(decider_->passTime(), pauseGoal_);
    auto planned = planner_.plan(*current_, loop_.now());
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
        noteObstacle(wordFor(obstacle));
        return;
    }
    if (!rule_ || !current_) {
        noteObstacle(rule_ ? "experts of a rank unknown" : "no configuration");
        return;
    }
    noteObstacle(kNoObstacle);
    planner_.setPaces(decider_->paces());
    planner_.setPasses(decider_->passTime(), pauseGoal_);
    logLine(LogLevel::Debug, "map.weighed",
            {{"distance", planner_.distance()}, {"skew", planner_.skew(*current_)}});
    if (auto planned = planner_.plan(*current_, loop_.now())) {
        propose(std::move(*planned), orders);
    }
}

void ExpertAgent::propose(ExpertMap planned, MapOrders &orders)
{
    proposed_ = std::move(planned);
    const auto version = decider_->propose(proposed_, loop_.now(), orders);
    proposedVersion_ = version.value_or(0);
    proposedAt_ = loop_.now();
    if (version) {
        logLine(LogLevel::Info, "map.proposed",
                {{"version", *version},
                 {"group", ownGroup_.value()},
                 {"epoch", epoch_},
                 {"skew", planner_.skew(*current_)},
                 {"expectedSkew", planner_.expectedSkew()},
                 {"expectedCopyMs", toMillis(planner_.expectedCopying())},
                 {"expectedLifeMs", toMillis(planner_.expectedLife(loop_.now()))},
                 {"shifts", planner_.shifts()}});
    }
}

void ExpertAgent::noteObstacle(std::string_view obstacle)
{
    if (obstacle != notedObstacle_) {
        logLine(LogLevel::Info, "map.obstacle",
                {{"obstacle", obstacle}, {"before", notedObstacle_}, {"epoch", epoch_}});
        notedObstacle_ = obstacle;
    }
}

void ExpertAgent::notePhase()
{
    const GroupDecider::Phase phase = decider_->phase();
    if (phase != notedPhase_) {
        const auto leftOut = decider_->leavesOut();
        logLine(LogLevel::Info, "map.phase",
                {{"phase", wordFor(phase)},
                 {"epoch", epoch_},
                 {"withoutRank", leftOut ? json(*leftOut) : json()}});
        notedPhase_ = phase;
    }
    if (decider_->changes() != notedChanges_) {
        notedChanges_ = decider_->changes();
        metrics_.count("seamarch_map_changes_total", "changed");
        logLine(LogLevel::Info, "map.changed", {{"changes", notedChanges_}});
    }
    if (decider_->cleared() != notedCleared_) {
        notedCleared_ = decider_->cleared();
        metrics_.count("seamarch_map_changes_total", "cleared");
        logLine(LogLevel::Warning, "map.cleared", {{"cleared", notedCleared_}});
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
        handToOwn(action.order, [this, action](MapOrderAnswer answer) {
            onPeerOrderAnswer(action.rank, action.order, answer);
        });
    }
    peers_->send(others);
}

void ExpertAgent::handToOwn(const MapOrder &order, OwnEngine::OrderDone done)
{
    if (order.group != ownGroup_) {
        logLine(LogLevel::Warning, "order.of_other_group",
                {{"kind", wordFor(order.kind)},
                 {"group", order.group.value()},
                 {"ownGroup", ownGroup_.value()}});
        // Before the own engine has named its group, nothing is known of what the order fits.
        done(ownGroup_ == GroupId() ? MapOrderAnswer::Lost : MapOrderAnswer::Refused);
        return;
    }
    engine_->order(order, std::move(done));
}

// Hands an order to the own engine and to the agents of other ranks. The answer of the own engine
// comes with theirs, or earlier.
void ExpertAgent::relay(const MapOrder &order, const std::vector<RelayTarget> &targets,
                        const OrderRelay::Done &done)
{
    struct Waiting
    {
        std::vector<RelayedAnswer> answers;
        int left = 2; // The own engine's answer, and the others'.
    };
    const auto waiting = std::make_shared<Waiting>();
    const auto add = [waiting, done](const std::vector<RelayedAnswer> &answers) {
        waiting->answers.insert(waiting->answers.end(), answers.begin(), answers.end());
        if (--waiting->left == 0) {
            done(waiting->answers);
        }
    };
    const std::uint32_t rank = ownRank_.value_or(0);
    handToOwn(order, [add, rank](MapOrderAnswer answer) { add({RelayedAnswer{rank, answer}}); });
    relay_->relay(order, targets, add);
}

void ExpertAgent::onPeerOrderAnswer(std::uint32_t rank, const MapOrder &order,
                                    MapOrderAnswer answer)
{
    if (answer != MapOrderAnswer::Done && answer != MapOrderAnswer::Copied) {
        logLine(LogLevel::Info, "order.not_done",
                {{"kind", wordFor(order.kind)},
                 {"rank", rank},
                 {"answer", wordFor(answer)},
                 {"version", order.version},
                 {"step", order.step}});
    }
    if (deciding()) {
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
            {"decides", deciding()},
            {"ranks", decider_ ? decider_->size() : 0},
            {"changes", notedChanges_},
            {"cleared", notedCleared_}};
}

void ExpertAgent::stop()
{
    logLine(LogLevel::Info, "agent.stopping", {{"decides", deciding()}});
    loop_.schedule(settings_.stopDelay, [this] { loop_.stop(); });
}

} // namespace seamarch
