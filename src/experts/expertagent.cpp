#include "experts/expertagent.h"

#include "base/digest.h"
#include "base/log.h"
#include "experts/rankwire.h"
#include "net/rpcpeer.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace seamarch {
namespace {

using nlohmann::json;

constexpr Duration kTick = std::chrono::milliseconds(50);
// How often the decider asks all ranks. Orders follow at the next tick.
constexpr Duration kAskGap = std::chrono::milliseconds(100);
// How often it asks for counts as well, which are longer.
constexpr Duration kCountsGap = std::chrono::milliseconds(200);
// How often an agent that does not decide asks whether the decider lives.
constexpr Duration kWatchGap = std::chrono::milliseconds(400);
// An agent that has not answered for this long is taken for dead or cut off.
constexpr Duration kAgentLife = std::chrono::milliseconds(1000);
// How long a new agent listens before it may decide.
constexpr Duration kStartDelay = std::chrono::milliseconds(1500);
// How long an agent waits for another one's answer.
constexpr Duration kPeerPatience = std::chrono::milliseconds(600);
// A store's watch waits this long here: only the list of engines is wanted, and calls have a price.
constexpr Duration kWatchWait = std::chrono::seconds(10);

std::string_view wordFor(GroupDecider::Phase phase)
{
    switch (phase) {
    case GroupDecider::Phase::Idle:
        return "idle";
    case GroupDecider::Phase::Preparing:
        return "preparing";
    case GroupDecider::Phase::Holding:
        return "holding";
    case GroupDecider::Phase::Arming:
        return "arming";
    case GroupDecider::Phase::Clearing:
        return "clearing";
    case GroupDecider::Phase::Releasing:
        return "releasing";
    }
    return "unknown";
}

std::string_view wordFor(MapOrderKind kind)
{
    switch (kind) {
    case MapOrderKind::Prepare:
        return "prepare";
    case MapOrderKind::Arm:
        return "arm";
    case MapOrderKind::Disarm:
        return "disarm";
    case MapOrderKind::Hold:
        return "hold";
    case MapOrderKind::Go:
        return "go";
    }
    return "unknown";
}

std::string_view wordFor(MapOrderAnswer answer)
{
    switch (answer) {
    case MapOrderAnswer::Done:
        return "done";
    case MapOrderAnswer::Refused:
        return "refused";
    case MapOrderAnswer::Fenced:
        return "fenced";
    case MapOrderAnswer::Lost:
        return "lost";
    }
    return "unknown";
}

} // namespace

// Hears of calls to other agents that failed in a way that nobody handled.
class ExpertAgent::CallErrors final : public kj::TaskSet::ErrorHandler
{
public:
    void taskFailed(kj::Exception &&exception) override
    {
        logLine(LogLevel::Warning, "peer.call_failed",
                {{"message", exception.getDescription().cStr()}});
    }
};

// The serving end for the agents of the other ranks.
class ExpertAgent::Server final : public wire::RankAgent::Server
{
public:
    explicit Server(ExpertAgent &agent)
        : agent_(agent)
    {}

    kj::Promise<void> state(StateContext context) override
    {
        auto waiting = kj::newPromiseAndFulfiller<void>();
        auto fulfiller =
            std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(waiting.fulfiller));
        const auto params = context.getParams();
        const RankQuestion question{params.getCounts(), params.getExperts()};
        ExpertAgent &agent = agent_;
        agent_.ranks_->ask(agent_.settings_.engine, question,
                           [&agent, context, fulfiller](std::optional<RankFacts> facts) mutable {
                               if (facts) {
                                   facts->report.fence = agent.ownFence_;
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
        const MapOrder order = readOrder(context.getParams().getOrder());
        agent_.handToOwn(order, [context, fulfiller](MapOrderAnswer answer) mutable {
            context.getResults().setStatus(static_cast<std::uint16_t>(answer));
            (*fulfiller)->fulfill();
        });
        return kj::mv(waiting.promise);
    }

private:
    ExpertAgent &agent_;
};

ExpertAgent::ExpertAgent(EventLoop &loop, const ExpertAgentSettings &settings,
                         const MetadataStore &store, const EngineCalls &engineCalls)
    : loop_(loop)
    , settings_(settings)
    , store_(store)
    , engineCalls_(engineCalls)
    , metrics_(0)
    , startedAt_(loop.now())
    , callErrors_(std::make_unique<CallErrors>())
    , tasks_(*callErrors_)
{}

ExpertAgent::~ExpertAgent() noexcept = default;

tl::expected<std::unique_ptr<ExpertAgent>, NetError>
ExpertAgent::create(EventLoop &loop, const ExpertAgentSettings &settings,
                    const MetadataStore &store, const EngineCalls &engineCalls)
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
        auto peer = RpcPeer::server(kj::mv(stream), kj::heap<Server>(*this));
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
    StoreWatcher::Settings watch;
    watch.wait = kWatchWait;
    watch.seed = randomIdentity();
    StoreListener &listener = *this;
    watcher_ = std::make_unique<StoreWatcher>(loop_, *client_, store_, listener, watch);
    watcher_->start();
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
        for (const ServiceRule &service : document->services) {
            if (service.name == settings_.service && service.experts) {
                rule_ = service.experts;
                planner_.setRule(*rule_);
            }
        }
    } else if (const auto *record = std::get_if<UpstreamRecord>(&item)) {
        upstreams_.put(*record);
    } else if (const auto *gone = std::get_if<UpstreamGone>(&item)) {
        upstreams_.remove(gone->id, loop_.now());
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
    std::erase_if(peers_, [&listed](const auto &entry) { return !listed.contains(entry.first); });
    for (const auto &[id, engine] : listed) {
        Peer &peer = peers_[id];
        if (peer.link == nullptr) {
            peer.engine = engine;
            peer.link = std::make_unique<RpcLink>(
                loop_, *transport_, SocketAddress{engine.host, settings_.listen.port});
        }
    }
}

bool ExpertAgent::agentAnswers(const Peer &peer) const
{
    return peer.answeredAt != TimePoint{} && loop_.now() - peer.answeredAt < kAgentLife;
}

const InstanceId *ExpertAgent::peerOfRank(std::uint32_t rank) const
{
    for (const auto &[id, peer] : peers_) {
        if (peer.rank == rank) {
            return &id;
        }
    }
    return nullptr;
}

void ExpertAgent::tick()
{
    upstreams_.expire(loop_.now());
    updateRole();
    askOwn();
    askPeers();
    if (deciding_) {
        runDecider();
    }
}

void ExpertAgent::updateRole()
{
    const bool lower = std::any_of(peers_.begin(), peers_.end(), [this](const auto &entry) {
        return entry.second.rank && ownRank_ && *entry.second.rank < *ownRank_
               && agentAnswers(entry.second);
    });
    const bool decides = ownRank_ && !lower && loop_.now() - startedAt_ > kStartDelay;
    if (decides == deciding_) {
        return;
    }
    deciding_ = decides;
    logLine(LogLevel::Info, decides ? "decider.taken" : "decider.left",
            {{"rank", ownRank_.value_or(0)}, {"epoch", epoch_}});
    if (!decides) {
        decider_->resign();
        return;
    }
    GroupDecider::Settings settings;
    settings.ownRank = *ownRank_;
    settings.seed = randomIdentity();
    decider_ = std::make_unique<GroupDecider>(settings);
    notedChanges_ = 0;
    notedCleared_ = 0;
    planner_.reset();
}

void ExpertAgent::askOwn()
{
    const TimePoint now = loop_.now();
    const Duration gap = deciding_ ? kAskGap : kWatchGap;
    if (askingOwn_ || (ownAskedAt_ != TimePoint{} && now - ownAskedAt_ < gap)) {
        return;
    }
    askingOwn_ = true;
    ownAskedAt_ = now;
    const bool experts = deciding_ && !currentMap();
    ranks_->ask(settings_.engine, {deciding_, experts},
                [this, now](std::optional<RankFacts> facts) {
                    askingOwn_ = false;
                    if (!facts) {
                        return;
                    }
                    if (deciding_ && ownRank_ != facts->report.rank) {
                        // The group has formed with other places: a new decider goes on.
                        decider_->resign();
                        deciding_ = false;
                    }
                    ownRank_ = facts->report.rank;
                    facts->report.fence = ownFence_;
                    onFacts(*facts, now);
                });
}

void ExpertAgent::askPeers()
{
    const TimePoint now = loop_.now();
    const bool counts = now - countsAskedAt_ >= kCountsGap;
    const bool experts = deciding_ && !currentMap();
    if (deciding_ && counts) {
        countsAskedAt_ = now;
    }
    for (auto &[id, peer] : peers_) {
        const bool unknown = !peer.rank;
        const bool lower = peer.rank && ownRank_ && *peer.rank < *ownRank_;
        const Duration gap = deciding_ ? kAskGap : kWatchGap;
        if (peer.asking || now - peer.askedAt < gap || !(deciding_ || unknown || lower)) {
            continue;
        }
        peer.askedAt = now;
        askAgent(id, {deciding_ && counts, experts});
        if (deciding_ && !agentAnswers(peer)) {
            askEngine(id, {false, experts});
        }
    }
}

void ExpertAgent::askAgent(const InstanceId &id, RankQuestion question)
{
    Peer &peer = peers_.at(id);
    peer.asking = true;
    const TimePoint askedAt = loop_.now();
    auto request = peer.link->capability().castAs<wire::RankAgent>().stateRequest();
    request.setCounts(question.counts);
    request.setExperts(question.experts);
    const auto over = std::make_shared<bool>(false);
    const auto finish = [this, id, over] {
        const auto found = peers_.find(id);
        if (!std::exchange(*over, true) && found != peers_.end()) {
            found->second.asking = false;
        }
    };
    loop_.schedule(kPeerPatience, finish);
    tasks_.add(request.send().then(
        [this, id, askedAt, finish](capnp::Response<wire::RankAgent::StateResults> answer) {
            finish();
            onAgentAnswer(id, askedAt, answer.getState());
        },
        [finish](kj::Exception && /*gone*/) { finish(); }));
}

void ExpertAgent::onAgentAnswer(const InstanceId &id, TimePoint askedAt,
                                wire::RankState::Reader state)
{
    const auto found = peers_.find(id);
    if (found == peers_.end() || !state.getKnown()) {
        return;
    }
    found->second.answeredAt = loop_.now();
    found->second.rank = state.getRank();
    onFacts(readFacts(state), askedAt);
}

// Asks the engine of a rank whose agent does not answer. Its report lags, which only delays.
void ExpertAgent::askEngine(const InstanceId &id, RankQuestion question)
{
    Peer &peer = peers_.at(id);
    if (peer.askingEngine) {
        return;
    }
    peer.askingEngine = true;
    // What the engine tells to others may be this old already.
    constexpr Duration kReportLag = std::chrono::milliseconds(300);
    const TimePoint askedAt = loop_.now() - kReportLag;
    ranks_->ask(peer.engine, question, [this, id, askedAt](std::optional<RankFacts> facts) {
        const auto found = peers_.find(id);
        if (found == peers_.end()) {
            return;
        }
        found->second.askingEngine = false;
        if (facts) {
            found->second.rank = facts->report.rank;
            onFacts(*facts, askedAt);
        }
    });
}

void ExpertAgent::onFacts(const RankFacts &facts, TimePoint askedAt)
{
    const RankReport &report = facts.report;
    if (report.epoch > epoch_) {
        logLine(LogLevel::Info, "group.formed",
                {{"epoch", report.epoch}, {"before", epoch_}, {"ranks", report.ranks}});
        epoch_ = report.epoch;
        experts_.clear();
    }
    if (facts.experts && report.epoch == epoch_) {
        experts_[report.rank] = *facts.experts;
    }
    if (!deciding_) {
        return;
    }
    if (!facts.counts.empty()) {
        planner_.onCounts(report.rank, facts.counts, loop_.now());
    }
    decider_->onReport(report, askedAt, loop_.now());
}

std::optional<ExpertMap> ExpertAgent::currentMap() const
{
    if (!decider_) {
        return std::nullopt;
    }
    const auto version = decider_->mapInUse(loop_.now());
    if (!version) {
        return std::nullopt;
    }
    ExpertMap map;
    for (const auto &[rank, experts] : experts_) {
        if (experts.map != *version || rank != (map.empty() ? 0 : map.front().size())) {
            return std::nullopt;
        }
        map.resize(experts.bySet.size());
        for (std::size_t set = 0; set < map.size(); ++set) {
            map[set].push_back(experts.bySet[set]);
            std::sort(map[set].back().begin(), map[set].back().end());
        }
    }
    if (map.empty() || map.front().size() != peers_.size() + 1) {
        return std::nullopt;
    }
    return map;
}

void ExpertAgent::runDecider()
{
    MapOrders orders;
    decider_->onTick(loop_.now(), orders);
    if (decider_->phase() == GroupDecider::Phase::Idle) {
        proposeChange(orders);
    }
    notePhase();
    for (const SendMapOrder &order : orders) {
        send(order);
    }
}

void ExpertAgent::proposeChange(MapOrders &orders)
{
    const auto current = currentMap();
    if (!rule_ || !current || !decider_->settled(loop_.now())) {
        return;
    }
    logLine(LogLevel::Debug, "map.weighed",
            {{"distance", planner_.distance()}, {"skew", planner_.skew(*current)}});
    auto planned = planner_.plan(*current, loop_.now());
    if (!planned) {
        return;
    }
    const double before = planner_.skew(*current);
    const auto version = decider_->propose(std::move(*planned), loop_.now(), orders);
    if (version) {
        logLine(LogLevel::Info, "map.proposed",
                {{"version", *version},
                 {"epoch", epoch_},
                 {"skew", before},
                 {"expectedSkew", planner_.expectedSkew()},
                 {"shifts", planner_.shifts()}});
    }
}

void ExpertAgent::notePhase()
{
    const GroupDecider::Phase phase = decider_->phase();
    if (phase != notedPhase_) {
        logLine(LogLevel::Info, "map.phase", {{"phase", wordFor(phase)}, {"epoch", epoch_}});
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

void ExpertAgent::send(const SendMapOrder &action)
{
    const auto answered = [this, action](MapOrderAnswer answer) {
        onOrderAnswer(action.rank, action.order, answer);
    };
    if (ownRank_ == action.rank) {
        handToOwn(action.order, answered);
        return;
    }
    const InstanceId *id = peerOfRank(action.rank);
    if (id == nullptr) {
        return; // It is sent again; by then the rank may be known.
    }
    if (agentAnswers(peers_.at(*id))) {
        sendThroughAgent(*id, action);
    } else {
        ranks_->order(peers_.at(*id).engine, action.order, answered);
    }
}

void ExpertAgent::sendThroughAgent(const InstanceId &id, const SendMapOrder &action)
{
    auto request = peers_.at(id).link->capability().castAs<wire::RankAgent>().orderRequest();
    writeOrder(action.order, request.initOrder());
    tasks_.add(request.send().then(
        [this, action](capnp::Response<wire::RankAgent::OrderResults> answer) {
            onOrderAnswer(action.rank, action.order,
                          static_cast<MapOrderAnswer>(answer.getStatus()));
        },
        [this, action](kj::Exception && /*gone*/) {
            onOrderAnswer(action.rank, action.order, MapOrderAnswer::Lost);
        }));
}

void ExpertAgent::handToOwn(const MapOrder &order, std::function<void(MapOrderAnswer)> done)
{
    ownFence_ = std::max(ownFence_, order.fence);
    logLine(LogLevel::Info, "order.handed",
            {{"kind", wordFor(order.kind)},
             {"version", order.version},
             {"step", order.step},
             {"epoch", order.epoch},
             {"fence", order.fence}});
    ranks_->order(settings_.engine, order, std::move(done));
}

void ExpertAgent::onOrderAnswer(std::uint32_t rank, const MapOrder &order, MapOrderAnswer answer)
{
    if (answer != MapOrderAnswer::Done) {
        logLine(LogLevel::Info, "order.not_done",
                {{"kind", wordFor(order.kind)},
                 {"rank", rank},
                 {"answer", wordFor(answer)},
                 {"version", order.version},
                 {"step", order.step}});
    }
    if (deciding_) {
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
            {"rank", ownRank_ ? json(*ownRank_) : json()},
            {"epoch", epoch_},
            {"decides", deciding_},
            {"peers", peers_.size()},
            {"changes", notedChanges_},
            {"cleared", notedCleared_}};
}

void ExpertAgent::stop()
{
    logLine(LogLevel::Info, "agent.stopping", {{"decides", deciding_}});
    loop_.schedule(settings_.stopDelay, [this] { loop_.stop(); });
}

} // namespace seamarch
