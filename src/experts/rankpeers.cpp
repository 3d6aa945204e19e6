#include "experts/rankpeers.h"

#include "base/log.h"

#include <utility>

namespace seamarch {
namespace {

// An agent that has not answered for this long is taken for dead or cut off.
constexpr Duration kAgentLife = std::chrono::milliseconds(1000);
// How long one that has never answered counts as answering: a question and its answer take some
// milliseconds, and a group that is held can't wait for an agent that is frozen.
constexpr Duration kFirstAnswer = std::chrono::milliseconds(250);
// How long an agent waits for another one's answer.
constexpr Duration kPeerPatience = std::chrono::milliseconds(600);
// What an engine tells to others than its own agent may be this old already.
constexpr Duration kReportLag = std::chrono::milliseconds(300);

} // namespace

// Hears of calls to other agents that failed in a way that nobody handled.
class RankPeers::CallErrors final : public kj::TaskSet::ErrorHandler
{
public:
    void taskFailed(kj::Exception &&exception) override
    {
        logLine(LogLevel::Warning, "peer.call_failed",
                {{"message", exception.getDescription().cStr()}});
    }
};

RankPeers::RankPeers(EventLoop &loop, RawTransport &transport, RankClient &ranks, int agentPort,
                     GroupId group, RankPeersListener &listener)
    : loop_(loop)
    , transport_(transport)
    , ranks_(ranks)
    , agentPort_(agentPort)
    , listener_(listener)
    , group_(std::move(group))
    , roster_(group_)
    , callErrors_(std::make_unique<CallErrors>())
    , tasks_(*callErrors_)
{}

RankPeers::~RankPeers()
{
    *alive_ = false;
}

void RankPeers::setListed(const std::map<InstanceId, SocketAddress> &engines)
{
    std::erase_if(peers_, [&engines](const auto &entry) { return !engines.contains(entry.first); });
    std::vector<InstanceId> listed;
    for (const auto &[id, engine] : engines) {
        listed.push_back(id);
        Peer &peer = peers_[id];
        if (peer.link == nullptr) {
            peer.engine = engine;
            peer.answeredAt = loop_.now() - (kAgentLife - kFirstAnswer);
            connect(peer);
        }
    }
    roster_.setListed(listed);
}

void RankPeers::connect(Peer &peer)
{
    peer.linkedAt = loop_.now();
    peer.link =
        std::make_unique<RpcLink>(loop_, transport_, SocketAddress{peer.engine.host, agentPort_});
}

bool RankPeers::agentAnswers(const Peer &peer) const
{
    return loop_.now() - peer.answeredAt < kAgentLife;
}

RankPeers::Peer *RankPeers::peerOfRank(std::uint32_t rank)
{
    const auto id = roster_.engineOf(rank);
    const auto found = id ? peers_.find(*id) : peers_.end();
    return found == peers_.end() ? nullptr : &found->second;
}

void RankPeers::ask(RankQuestion question, Duration gap, std::uint32_t ownRank)
{
    const TimePoint now = loop_.now();
    for (auto &[id, peer] : peers_) {
        if (peer.asking || now - peer.askedAt < roster_.gapFor(id, gap)) {
            continue;
        }
        peer.askedAt = now;
        // A connection may have gone silent for good while a new one works.
        if (!agentAnswers(peer) && now - peer.linkedAt >= kAgentLife) {
            connect(peer);
        }
        askAgent(id, question, ownRank);
        if (!agentAnswers(peer) && !roster_.isForeign(id)) {
            askEngine(id, {false, question.experts, 0});
        }
    }
}

void RankPeers::askAgent(const InstanceId &id, RankQuestion question, std::uint32_t ownRank)
{
    Peer &peer = peers_.at(id);
    peer.asking = true;
    const TimePoint askedAt = loop_.now();
    auto request = peer.link->capability().castAs<wire::RankAgent>().stateRequest();
    request.setCounts(question.counts);
    request.setCountsSince(peer.countsMark);
    request.setExperts(question.experts);
    request.setAskerRank(ownRank);
    request.setAskerGroup(group_.value());
    const auto over = std::make_shared<bool>(false);
    const auto finish = [this, id, over, alive = alive_] {
        if (!*alive || std::exchange(*over, true)) {
            return;
        }
        const auto found = peers_.find(id);
        if (found != peers_.end()) {
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

void RankPeers::onAgentAnswer(const InstanceId &id, TimePoint askedAt,
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
        peer.countsMark = facts.choices->mark;
    }
    takeFacts(id, facts, askedAt);
}

// Notes where the engine belongs, and passes on what concerns the own group.
void RankPeers::takeFacts(const InstanceId &id, const RankFacts &facts, TimePoint askedAt)
{
    roster_.note(id, facts.report.group, facts.report.rank);
    if (!roster_.isForeign(id)) {
        listener_.onPeerFacts(facts, askedAt);
    }
}

// Asks the engine of a rank whose agent does not answer. Its report lags, which only delays.
void RankPeers::askEngine(const InstanceId &id, RankQuestion question)
{
    Peer &peer = peers_.at(id);
    if (peer.askingEngine) {
        return;
    }
    peer.askingEngine = true;
    const TimePoint askedAt = loop_.now() - kReportLag;
    const auto answered = [this, id, askedAt, alive = alive_](std::optional<EngineFacts> facts) {
        if (!*alive) {
            return;
        }
        const auto found = peers_.find(id);
        if (found == peers_.end()) {
            return;
        }
        found->second.askingEngine = false;
        if (facts) {
            takeFacts(id, {facts->report, std::nullopt, std::move(facts->experts)}, askedAt);
        }
    };
    ranks_.ask(peer.engine, question, answered);
}

void RankPeers::send(const SendMapOrder &action)
{
    Peer *peer = peerOfRank(action.rank);
    if (peer == nullptr) {
        return;
    }
    if (agentAnswers(*peer)) {
        sendThroughAgent(*peer, action);
        return;
    }
    ranks_.order(peer->engine, action.order, [this, action, alive = alive_](MapOrderAnswer answer) {
        if (*alive) {
            listener_.onPeerOrderAnswer(action.rank, action.order, answer);
        }
    });
}

void RankPeers::sendThroughAgent(Peer &peer, const SendMapOrder &action)
{
    auto request = peer.link->capability().castAs<wire::RankAgent>().orderRequest();
    writeOrder(action.order, request.initOrder());
    tasks_.add(request.send().then(
        [this, action](capnp::Response<wire::RankAgent::OrderResults> answer) {
            listener_.onPeerOrderAnswer(action.rank, action.order,
                                        static_cast<MapOrderAnswer>(answer.getStatus()));
        },
        [this, action](kj::Exception && /*gone*/) {
            listener_.onPeerOrderAnswer(action.rank, action.order, MapOrderAnswer::Lost);
        }));
}

} // namespace seamarch
