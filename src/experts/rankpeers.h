// The decider's connections to the agents of the other ranks: it polls them for their ranks'
// reports and sends them orders.
//
// All engines of the service are peers, because only an engine itself knows its group. Engines of
// other groups are polled seldom and receive no orders. If an agent does not respond, its engine is
// queried and sent orders directly. Such calls have a cost and the engine's reports lag, but the
// group's map can still be changed.
//
// Only the decider has peers; all other agents just answer its queries.
#pragma once

#include "decision/expertmap/groupmembership.h"
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

// Receives the answers of peers. Outlives the RankPeers object.
class RankPeersListener
{
public:
    virtual ~RankPeersListener() = default;

    // Called with the facts of a rank of the own group, as of `requestedAt` or later.
    virtual void onPeerFacts(const RankFacts &facts, TimePoint requestedAt) = 0;
    // Called with the outcome of an order; Lost if no answer arrived.
    virtual void onPeerOrderAnswer(std::uint32_t rank, const MapOrder &order,
                                   MapOrderAnswer answer) = 0;
};

// Polls and orders the peers of one decider. Single-threaded. The constructor's references outlive
// the object.
class RankPeers
{
public:
    struct Settings
    {
        int agentPort = 0; // Port of all agents; each listens on the host of its engine.
        GroupId group;     // The decider's group.
        double linkBytesPerSecond = 0.0; // Bandwidth of the decider's link.
    };

    RankPeers(EventLoop &loop, RawTransport &transport, EngineClient &engineClient,
              const Settings &settings, RankPeersListener &listener);
    ~RankPeers();
    RankPeers(const RankPeers &) = delete;
    RankPeers &operator=(const RankPeers &) = delete;

    // Replaces the list of engines: all of the service except the own one.
    void setEngines(const std::map<InstanceId, SocketAddress> &engines);
    // Requests reports from peers whose last query is at least `interval` old and has been answered
    // or has timed out, those with the oldest query first. Must be called every `callInterval`;
    // limits the queries per call so that the answers do not queue at the link. `ownRank` tells the
    // peers which rank is the decider.
    void requestReports(const RankQuery &query, Duration interval, Duration callInterval,
                        std::uint32_t ownRank);
    // Requests reports with counts from about `count` of the group's `ranks` ranks, including the
    // own rank, which the caller polls itself. The ranks are spread evenly over the group; one that
    // does not respond is replaced by the next. Returns the number of queries sent.
    std::uint32_t requestCounts(const RankQuery &query, std::uint32_t count, std::uint32_t ranks,
                                std::uint32_t ownRank);
    // Returns the engines of the group's other ranks, by rank, as far as they have reported it.
    std::map<std::uint32_t, SocketAddress> engines() const;
    // Sends orders to other ranks. An order to a rank that is not known yet is dropped; the decider
    // retransmits it.
    void send(const MapOrders &orders);

private:
    class CallErrorLogger;

    struct Peer
    {
        SocketAddress engine;
        std::unique_ptr<RpcLink> link;
        TimePoint connectedAt{};
        std::uint64_t countsSnapshotId = 0; // Snapshot of the last counts; zero: none.
        TimePoint countsRequestedAt{};
        TimePoint answeredAt{}; // Last answer of the agent; set from the listing time at first.
        TimePoint requestedAt{};
        bool agentQueryPending = false;
        bool engineQueryPending = false;
    };

    void connect(Peer &peer);
    void requestFacts(const InstanceId &id, const RankQuery &query, std::uint32_t ownRank);
    void requestFromAgent(const InstanceId &id, const RankQuery &query, std::uint32_t ownRank);
    void requestFromEngine(const InstanceId &id, const RankQuery &query);
    void onAgentAnswer(const InstanceId &id, TimePoint requestedAt, wire::RankState::Reader state);
    void sendPrepares(const MapOrders &prepares);
    void sendToAgent(Peer &peer, const SendMapOrder &action);
    void sendToEngine(const Peer &peer, const SendMapOrder &action);
    void sendToRelay(const std::vector<std::uint32_t> &block, const MapOrder &order);
    void deliverFacts(const InstanceId &id, const RankFacts &facts, TimePoint requestedAt);
    Peer *peerOfRank(std::uint32_t rank);
    bool agentResponds(const Peer &peer) const;

    EventLoop &loop_;
    RawTransport &transport_;
    EngineClient &engineClient_;
    Settings settings_;
    RankPeersListener &listener_;
    GroupMembership membership_;
    std::uint64_t relayRotation_ = 0;
    std::map<InstanceId, Peer> peers_;
    // False once the object is destroyed; checked by timers and HTTP callbacks.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::unique_ptr<CallErrorLogger> callErrorLogger_;
    kj::TaskSet tasks_;
};

} // namespace seamarch
