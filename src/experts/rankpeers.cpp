#include "experts/rankpeers.h"

#include "base/log.h"
#include "decision/expertmap/relayplan.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace seamarch {
namespace {

// An agent that has not answered for this long is considered dead or partitioned.
constexpr Duration kAgentTimeout = std::chrono::milliseconds(1000);
// How long a new agent counts as responding before its first answer. A round trip takes a few
// milliseconds, and a group that is held must not wait for a frozen agent.
constexpr Duration kFirstAnswerTimeout = std::chrono::milliseconds(250);
// How long an answer to a query is awaited before the peer may be queried again.
constexpr Duration kAgentQueryTimeout = std::chrono::milliseconds(600);
// A counts query starts at the previous one's snapshot if that query is younger than this.
constexpr Duration kMaxSnapshotAge = std::chrono::seconds(1);
// Up to this many queries are always allowed per call, because so few answers never queue at the
// link: 16 reports take about 6 KB.
constexpr std::size_t kMinQueriesPerCall = 16;
// Reports that an engine returns to remote callers may be up to this old.
constexpr Duration kMaxEngineReportAge = std::chrono::milliseconds(300);

} // namespace

// Logs failures of RPC calls that no handler caught.
class RankPeers::CallErrorLogger final : public kj::TaskSet::ErrorHandler
{
public:
    void taskFailed(kj::Exception &&exception) override
    {
        logLine(LogLevel::Warning, "peer.call_failed",
                {{"message", exception.getDescription().cStr()}});
    }
};

RankPeers::RankPeers(EventLoop &loop, RawTransport &transport, EngineClient &engineClient,
                     const Settings &settings, RankPeersListener &listener)
    : loop_(loop)
    , transport_(transport)
    , engineClient_(engineClient)
    , settings_(settings)
    , listener_(listener)
    , membership_(settings.group)
    , callErrorLogger_(std::make_unique<CallErrorLogger>())
    , tasks_(*callErrorLogger_)
{}

RankPeers::~RankPeers()
{
    *alive_ = false;
}

void RankPeers::setEngines(const std::map<InstanceId, SocketAddress> &engines)
{
    std::erase_if(peers_, [&engines](const auto &entry) { return !engines.contains(entry.first); });
    std::vector<InstanceId> listed;
    for (const auto &[id, engine] : engines) {
        listed.push_back(id);
        Peer &peer = peers_[id];
        if (peer.link == nullptr) {
            peer.engine = engine;
            peer.answeredAt = loop_.now() - (kAgentTimeout - kFirstAnswerTimeout);
            connect(peer);
        }
    }
    membership_.setListed(listed);
}

void RankPeers::connect(Peer &peer)
{
    peer.connectedAt = loop_.now();
    peer.link = std::make_unique<RpcLink>(loop_, transport_,
                                          SocketAddress{peer.engine.host, settings_.agentPort});
}

bool RankPeers::agentResponds(const Peer &peer) const
{
    return loop_.now() - peer.answeredAt < kAgentTimeout;
}

RankPeers::Peer *RankPeers::peerOfRank(std::uint32_t rank)
{
    const auto id = membership_.engineOf(rank);
    const auto found = id ? peers_.find(*id) : peers_.end();
    return found == peers_.end() ? nullptr : &found->second;
}

std::map<std::uint32_t, SocketAddress> RankPeers::engines() const
{
    std::map<std::uint32_t, SocketAddress> engines;
    for (const auto &[rank, id] : membership_.engines()) {
        const auto found = peers_.find(id);
        if (found != peers_.end()) {
            engines.emplace(rank, found->second.engine);
        }
    }
    return engines;
}

void RankPeers::requestReports(const RankQuery &query, Duration interval, Duration callInterval,
                               std::uint32_t ownRank)
{
    const TimePoint now = loop_.now();
    std::vector<std::pair<TimePoint, InstanceId>> due;
    for (const auto &[id, peer] : peers_) {
        if (!peer.agentQueryPending
            && now - peer.requestedAt >= membership_.pollIntervalFor(id, interval)) {
            due.emplace_back(peer.requestedAt, id);
        }
    }
    // 10% more than the even share per call, because calls come slightly late.
    constexpr double kLateCallFactor = 1.1;
    const double share =
        static_cast<double>(peers_.size()) * toSeconds(callInterval) / toSeconds(interval);
    const auto maxQueries =
        std::max(kMinQueriesPerCall, static_cast<std::size_t>(std::ceil(share * kLateCallFactor)));
    std::sort(due.begin(), due.end());
    due.resize(std::min(due.size(), maxQueries));
    for (const auto &[requestedAt, id] : due) {
        requestFacts(id, query, ownRank);
    }
}

std::uint32_t RankPeers::requestCounts(const RankQuery &query, std::uint32_t count,
                                       std::uint32_t ranks, std::uint32_t ownRank)
{
    std::uint32_t sent = 0;
    const std::map<std::uint32_t, InstanceId> engines = membership_.engines();
    std::uint64_t credit = 0; // Queries due, in units of 1 / `ranks`.
    for (std::uint32_t rank = 0; rank < ranks; ++rank) {
        credit += count;
        if (credit < ranks) {
            continue;
        }
        const auto engine = engines.find(rank);
        if (rank == ownRank) {
            credit -= ranks; // The caller polls the own engine, which does not use the link.
        } else if (engine != engines.end()) {
            Peer &peer = peers_.at(engine->second);
            if (peer.agentQueryPending || !agentResponds(peer)) {
                continue;
            }
            credit -= ranks;
            RankQuery countsQuery = query;
            countsQuery.counts = true;
            requestFacts(engine->second, countsQuery, ownRank);
            ++sent;
        }
    }
    return sent;
}

void RankPeers::requestFacts(const InstanceId &id, const RankQuery &query, std::uint32_t ownRank)
{
    const TimePoint now = loop_.now();
    Peer &peer = peers_.at(id);
    peer.requestedAt = now;
    if (query.counts) {
        // Counts over a long period would mix past demand with current demand.
        peer.countsSnapshotId =
            now - peer.countsRequestedAt < kMaxSnapshotAge ? peer.countsSnapshotId : 0;
        peer.countsRequestedAt = now;
    }
    // A connection may be silent for good while a new one would work.
    if (!agentResponds(peer) && now - peer.connectedAt >= kAgentTimeout) {
        connect(peer);
    }
    requestFromAgent(id, query, ownRank);
    if (!agentResponds(peer) && !membership_.isInOtherGroup(id)) {
        requestFromEngine(id, {false, query.experts, 0});
    }
}

void RankPeers::requestFromAgent(const InstanceId &id, const RankQuery &query,
                                 std::uint32_t ownRank)
{
    Peer &peer = peers_.at(id);
    peer.agentQueryPending = true;
    const TimePoint requestedAt = loop_.now();
    auto request = peer.link->capability().castAs<wire::RankAgent>().stateRequest();
    request.setCounts(query.counts);
    request.setCountsSince(peer.countsSnapshotId);
    request.setExperts(query.experts);
    request.setAskerRank(ownRank);
    request.setAskerGroup(settings_.group.value());
    const auto finished = std::make_shared<bool>(false);
    const auto finish = [this, id, finished, alive = alive_] {
        if (!*alive || std::exchange(*finished, true)) {
            return;
        }
        const auto found = peers_.find(id);
        if (found != peers_.end()) {
            found->second.agentQueryPending = false;
        }
    };
    loop_.schedule(kAgentQueryTimeout, finish);
    tasks_.add(request.send().then(
        [this, id, requestedAt, finish](capnp::Response<wire::RankAgent::StateResults> answer) {
            finish();
            onAgentAnswer(id, requestedAt, answer.getState());
        },
        [finish](kj::Exception && /*exception*/) { finish(); }));
}

void RankPeers::onAgentAnswer(const InstanceId &id, TimePoint requestedAt,
                              wire::RankState::Reader state)
{
    const auto found = peers_.find(id);
    if (found == peers_.end() || !state.getKnown()) {
        return;
    }
    Peer &peer = found->second;
    peer.answeredAt = loop_.now();
    const RankFacts facts = readFacts(state);
    if (facts.choices) {
        peer.countsSnapshotId = facts.choices->snapshotId;
    }
    deliverFacts(id, facts, requestedAt);
}

// Records the engine's group and rank, and passes its facts to the listener unless it belongs to
// another group.
void RankPeers::deliverFacts(const InstanceId &id, const RankFacts &facts, TimePoint requestedAt)
{
    membership_.recordMember(id, facts.report.group, facts.report.rank);
    if (!membership_.isInOtherGroup(id)) {
        listener_.onPeerFacts(facts, requestedAt);
    }
}

// Queries the engine of a rank whose agent does not respond. Its report lags, which only delays
// decisions.
void RankPeers::requestFromEngine(const InstanceId &id, const RankQuery &query)
{
    Peer &peer = peers_.at(id);
    if (peer.engineQueryPending) {
        return;
    }
    peer.engineQueryPending = true;
    const TimePoint requestedAt = loop_.now() - kMaxEngineReportAge;
    const auto onFacts = [this, id, requestedAt, alive = alive_](std::optional<EngineFacts> facts) {
        if (!*alive) {
            return;
        }
        const auto found = peers_.find(id);
        if (found == peers_.end()) {
            return;
        }
        found->second.engineQueryPending = false;
        if (facts) {
            facts->report.byAgent = false;
            deliverFacts(id, {facts->report, std::nullopt, std::move(facts->experts)}, requestedAt);
        }
    };
    engineClient_.fetchFacts(peer.engine, query, onFacts);
}

void RankPeers::send(const MapOrders &orders)
{
    MapOrders prepares;
    for (const SendMapOrder &action : orders) {
        Peer *peer = peerOfRank(action.rank);
        if (peer == nullptr) {
            continue;
        }
        const bool silent = !agentResponds(*peer);
        if (silent && action.route == OrderRoute::AgentOnly) {
            continue; // The decider retransmits it.
        }
        if (silent || action.route == OrderRoute::EngineOnly) {
            sendToEngine(*peer, action);
        } else if (action.order.kind == MapOrderKind::Prepare) {
            prepares.push_back(action);
        } else {
            sendToAgent(*peer, action);
        }
    }
    if (!prepares.empty()) {
        sendPrepares(prepares);
    }
}

// Sends the prepares of one map, which are identical for all ranks, through relays if that is
// faster.
void RankPeers::sendPrepares(const MapOrders &prepares)
{
    const MapOrder &order = prepares.front().order;
    RelayInputs inputs;
    for (const SendMapOrder &action : prepares) {
        inputs.ranks.push_back(action.rank);
    }
    inputs.orderBytes = order.experts == nullptr ? 0 : packExperts(*order.experts).size();
    inputs.linkBytesPerSecond = settings_.linkBytesPerSecond;
    inputs.rotation = relayRotation_++;
    const std::vector<RelayBlock> blocks = planRelays(inputs);
    logLine(LogLevel::Info, "map.prepares_sent",
            {{"version", order.version},
             {"ranks", inputs.ranks.size()},
             {"blocks", blocks.size()},
             {"bytes", inputs.orderBytes}});
    for (const RelayBlock &block : blocks) {
        if (block.size() == 1) {
            sendToAgent(*peerOfRank(block.front()), {block.front(), order, OrderRoute::Any});
        } else {
            sendToRelay(block, order);
        }
    }
}

void RankPeers::sendToEngine(const Peer &peer, const SendMapOrder &action)
{
    engineClient_.sendOrder(peer.engine, action.order,
                            [this, action, alive = alive_](MapOrderAnswer answer) {
                                if (*alive) {
                                    listener_.onPeerOrderAnswer(action.rank, action.order, answer);
                                }
                            });
}

// Sends an order to the agent of the block's first rank, which forwards it to its own engine and to
// the agents of the other ranks.
void RankPeers::sendToRelay(const std::vector<std::uint32_t> &block, const MapOrder &order)
{
    Peer &relay = *peerOfRank(block.front());
    auto request = relay.link->capability().castAs<wire::RankAgent>().relayRequest();
    writeOrder(order, request.initOrder());
    auto targets = request.initTargets(static_cast<std::uint32_t>(block.size() - 1));
    for (std::uint32_t index = 0; index < targets.size(); ++index) {
        const std::uint32_t rank = block[index + 1];
        targets[index].setRank(rank);
        targets[index].setHost(peerOfRank(rank)->engine.host);
    }
    tasks_.add(request.send().then(
        [this, order](capnp::Response<wire::RankAgent::RelayResults> results) {
            for (const auto answer : results.getAnswers()) {
                listener_.onPeerOrderAnswer(answer.getRank(), order,
                                            static_cast<MapOrderAnswer>(answer.getStatus()));
            }
        },
        [this, order, block](kj::Exception && /*exception*/) {
            for (const std::uint32_t rank : block) {
                listener_.onPeerOrderAnswer(rank, order, MapOrderAnswer::Lost);
            }
        }));
}

void RankPeers::sendToAgent(Peer &peer, const SendMapOrder &action)
{
    auto request = peer.link->capability().castAs<wire::RankAgent>().orderRequest();
    writeOrder(action.order, request.initOrder());
    tasks_.add(request.send().then(
        [this, action](capnp::Response<wire::RankAgent::OrderResults> answer) {
            listener_.onPeerOrderAnswer(action.rank, action.order,
                                        static_cast<MapOrderAnswer>(answer.getStatus()));
        },
        [this, action](kj::Exception && /*exception*/) {
            listener_.onPeerOrderAnswer(action.rank, action.order, MapOrderAnswer::Lost);
        }));
}

} // namespace seamarch
