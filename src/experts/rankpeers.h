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
#include "experts/engineclient.h"
#include "experts/rankwire.h"
#include "net/eventloop.h"
#include "net/rawtransport.h"
#include "net/rpclink.h"
#include "seamarch/ids.h"

#include <kj/async.h>
#include <map>
#include <memory>
#include <optional>
#include <vector>

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
    struct Settings
    {
        int agentPort = 0; // Agents listen at it, each at the address of its engine.
        GroupId group;     // The own one.
        double linkBytesPerSecond = 0.0;
    };

    RankPeers(EventLoop &loop, RawTransport &transport, EngineClient &engineClient,
              const Settings &settings, RankPeersListener &listener);
    ~RankPeers();
    RankPeers(const RankPeers &) = delete;
    RankPeers &operator=(const RankPeers &) = delete;

    // Takes the engines of the service but the own one.
    void setEngines(const std::map<InstanceId, SocketAddress> &engines);
    // Asks peers for reports whose last question is at least `gap` ago and answered, or given up,
    // the longest unasked first. Called every `turn`, it asks no more than it must at a time, so
    // that answers do not queue before the link. `ownRank` tells them who decides.
    void requestReports(const RankQuery &query, Duration interval, Duration callInterval,
                        std::uint32_t ownRank);
    // Asks about `count` of the group's `ranks` ranks, the own one included, for counts as well.
    // They are spread evenly over the group; for one that does not answer, the next is asked.
    void requestCounts(const RankQuery &query, std::uint32_t count, std::uint32_t ranks,
                       std::uint32_t ownRank);
    // Returns the engines of the group's other ranks that have said so, by rank.
    std::map<std::uint32_t, SocketAddress> engines() const;
    // Hands orders to other ranks. An order to a rank that is not known yet is dropped; the decider
    // sends it again.
    void send(const MapOrders &orders);

private:
    class CallErrors;

    struct Peer
    {
        SocketAddress engine;
        std::unique_ptr<RpcLink> link;
        TimePoint connectedAt{};
        std::uint64_t countsMark = 0; // Of the last counts; zero: none.
        TimePoint countsAskedAt{};
        TimePoint answeredAt{}; // By the agent; when it was listed, before its first answer.
        TimePoint askedAt{};
        bool agentQueryPending = false;
        bool engineQueryPending = false;
    };

    void connect(Peer &peer);
    void requestFacts(const InstanceId &id, const RankQuery &query, std::uint32_t ownRank);
    void requestFromAgent(const InstanceId &id, const RankQuery &query, std::uint32_t ownRank);
    void requestFromEngine(const InstanceId &id, const RankQuery &query);
    void onAgentAnswer(const InstanceId &id, TimePoint askedAt, wire::RankState::Reader state);
    void sendPrepares(const MapOrders &prepares);
    void sendToAgent(Peer &peer, const SendMapOrder &action);
    void sendToEngine(const Peer &peer, const SendMapOrder &action);
    void sendToRelay(const std::vector<std::uint32_t> &block, const MapOrder &order);
    void deliverFacts(const InstanceId &id, const RankFacts &facts, TimePoint askedAt);
    Peer *peerOfRank(std::uint32_t rank);
    bool agentResponds(const Peer &peer) const;

    EventLoop &loop_;
    RawTransport &transport_;
    EngineClient &engineClient_;
    Settings settings_;
    RankPeersListener &listener_;
    GroupRoster roster_;
    std::uint64_t relayTurn_ = 0;
    std::map<InstanceId, Peer> peers_;
    // Timers and answers of engines ask whether the peers still exist.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::unique_ptr<CallErrors> callErrors_;
    kj::TaskSet tasks_;
};

} // namespace seamarch
