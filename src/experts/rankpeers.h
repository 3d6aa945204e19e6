// The agents beside the other ranks of a group, as the agent that decides sees them: it asks them
// what their ranks report and hands them orders. All engines of the service are peers, because only
// they know which group they are in; those of other groups are asked seldom and get no orders.
// Where an agent does not answer, its engine is
// asked and ordered directly, which has a price and lags, but keeps the group's map changeable.
//
// Only the agent that decides has peers; the others hear its questions, and ask nothing.
//
// Single-threaded. What the constructor is given outlives the object.
#pragma once

#include "decision/expertmap/grouproster.h"
#include "experts/rankclient.h"
#include "experts/rankwire.h"
#include "net/eventloop.h"
#include "net/rawtransport.h"
#include "net/rpclink.h"
#include "seamarch/ids.h"

#include <kj/async.h>
#include <map>
#include <memory>
#include <optional>

namespace seamarch {

// Hears what peers answer. Outlives the peers.
class RankPeersListener
{
public:
    virtual ~RankPeersListener() = default;

    // The facts of a rank of the own group, as of `askedAt` or later.
    virtual void onPeerFacts(const RankFacts &facts, TimePoint askedAt) = 0;
    virtual void onPeerOrderAnswer(std::uint32_t rank, const MapOrder &order,
                                   MapOrderAnswer answer) = 0;
};

class RankPeers
{
public:
    // Agents listen at `agentPort`, each at the address of its engine. `group` is the own group.
    RankPeers(EventLoop &loop, RawTransport &transport, RankClient &ranks, int agentPort,
              GroupId group, RankPeersListener &listener);
    ~RankPeers();
    RankPeers(const RankPeers &) = delete;
    RankPeers &operator=(const RankPeers &) = delete;

    // Takes the engines of the service but the own one.
    void setListed(const std::map<InstanceId, SocketAddress> &engines);
    // Asks every peer whose last question is at least `gap` ago and answered, or given up.
    // `ownRank` tells them who decides.
    void ask(RankQuestion question, Duration gap, std::uint32_t ownRank);
    // Hands an order to the rank. An order to a rank that is not known yet is dropped; the decider
    // sends it again.
    void send(const SendMapOrder &action);

private:
    class CallErrors;

    struct Peer
    {
        SocketAddress engine;
        std::unique_ptr<RpcLink> link;
        TimePoint linkedAt{};
        std::uint64_t countsMark = 0; // Of the last counts; zero: none.
        TimePoint answeredAt{};       // By the agent; when it was listed, before its first answer.
        TimePoint askedAt{};
        bool asking = false;
        bool askingEngine = false;
    };

    void connect(Peer &peer);
    void askAgent(const InstanceId &id, RankQuestion question, std::uint32_t ownRank);
    void askEngine(const InstanceId &id, RankQuestion question);
    void onAgentAnswer(const InstanceId &id, TimePoint askedAt, wire::RankState::Reader state);
    void sendThroughAgent(Peer &peer, const SendMapOrder &action);
    void takeFacts(const InstanceId &id, const RankFacts &facts, TimePoint askedAt);
    Peer *peerOfRank(std::uint32_t rank);
    bool agentAnswers(const Peer &peer) const;

    EventLoop &loop_;
    RawTransport &transport_;
    RankClient &ranks_;
    int agentPort_;
    RankPeersListener &listener_;
    GroupId group_;
    GroupRoster roster_;
    std::map<InstanceId, Peer> peers_;
    // Timers and answers of engines ask whether the peers still exist.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::unique_ptr<CallErrors> callErrors_;
    kj::TaskSet tasks_;
};

} // namespace seamarch
