// The agent that runs beside one rank of a group of engines. It forwards expert map orders to its
// own engine, serves that engine's reports to the other agents of the group, and, while it is the
// group's decider, adapts the expert map to current demand. A service may have several groups; each
// has its own decider, and the groups share no state.
//
// The decider polls all other agents several times a second and includes its rank in each query; an
// agent that receives none takes over (see deciderrole.h). Only the decider connects to the store
// and to other ranks, so traffic grows linearly with the number of ranks, not quadratically. Two
// concurrent deciders are harmless; see GroupDecider. Inference requests never pass through an
// agent: if one crashes or is partitioned, only map changes stop.
#pragma once

#include "experts/engineclient.h"
#include "experts/grouplisting.h"
#include "experts/groupreporter.h"
#include "experts/mapchanger.h"
#include "experts/orderrelay.h"
#include "experts/ownengine.h"
#include "experts/rankpeers.h"
#include "experts/rankserver.h"
#include "net/eventloop.h"
#include "net/httpclient.h"
#include "net/rawtransport.h"
#include "net/rpcpeer.h"
#include "observe/metrics.h"
#include "observe/operatorserver.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace seamarch {

struct ExpertAgentSettings
{
    InstanceId instance;
    HallId hall;
    TargetName service;   // The service whose replicas form the group.
    SocketAddress engine; // The engine of this agent's rank.
    SocketAddress listen; // For RPCs from other agents and gateways; all agents use one port.
    std::optional<SocketAddress> metricsListen;
    SocketAddress store;
    // Bandwidth of the machine's link; the rate of queries, counts and orders is limited to fit it.
    double linkBytesPerSecond = 2'500'000.0; // 20 Mbit/s.
    // Time between stop() and the end of the event loop.
    Duration stopDelay = std::chrono::milliseconds(100);
};

// Runs the agent of one rank on an event loop. Single-threaded; the constructor's references
// outlive the object.
class ExpertAgent final : private StatusSource, private RankPeersListener, private RankService
{
public:
    // Opens the listening sockets and starts the agent. If the address for other agents cannot be
    // opened, fails and shuts the loop down; the one for metrics is opened once it is free.
    static tl::expected<std::unique_ptr<ExpertAgent>, NetError>
    create(EventLoop &loop, const ExpertAgentSettings &settings, const StoreProtocol &store,
           const EngineProtocol &engineProtocol);
    ~ExpertAgent() noexcept override;
    ExpertAgent(const ExpertAgent &) = delete;
    ExpertAgent &operator=(const ExpertAgent &) = delete;

    // Stops the event loop after `stopDelay`. The next decider clears a change in progress.
    void stop();

private:
    // The other decider of the group that most recently queried this agent.
    struct QueryingDecider
    {
        std::uint32_t rank = 0;
        TimePoint lastQueryAt{};
        std::string host;
    };

    ExpertAgent(EventLoop &loop, const ExpertAgentSettings &settings, const StoreProtocol &store,
                const EngineProtocol &engineProtocol);
    tl::expected<void, NetError> open();

    bool ready(std::string &reason) const override;
    nlohmann::json status() const override;

    void onListingChanged();
    void tick();
    void updateRole();
    bool isDecider() const { return mapChanger_.isDecider(); }
    Duration queryInterval() const;
    void checkStoodStill();
    bool shouldDecide() const;
    void becomeDecider();
    void stepDown();
    const GroupId &ownGroup() const override { return ownGroup_; }
    void onDeciderQuery(const GroupId &deciderGroup, std::uint32_t deciderRank,
                        const std::string &deciderHost) override;
    void publishGroupFacts();
    void fetchOwnFacts(RankQuery query, OwnEngine::FactsDone done) override;
    void pollOwnEngine(RankQuery query);
    void pollGroup();
    void onPeerFacts(const RankFacts &facts, TimePoint requestedAt) override;
    void onPeerOrderAnswer(std::uint32_t rank, const MapOrder &order,
                           MapOrderAnswer answer) override;
    void updateOwnRank(const RankReport &report);
    void runDecider();
    void send(const MapOrders &orders);
    void sendToOwnEngine(const MapOrder &order, OwnEngine::OrderDone done) override;
    void relay(const MapOrder &order, const std::vector<RelayTarget> &targets,
               const OrderRelay::Done &done) override;
    kj::Promise<void> answerGroupQuery(GroupReporter::Context context) override
    {
        return groupReporter_.answer(context);
    }

    EventLoop &loop_;
    ExpertAgentSettings settings_;
    const StoreProtocol &store_;
    const EngineProtocol &engineProtocol_;
    Metrics metrics_;
    std::unique_ptr<HttpClient> client_;
    std::unique_ptr<RawTransport> transport_;
    std::unique_ptr<OperatorServer> metricsServer_;
    std::unique_ptr<EngineClient> engineClient_;
    std::unique_ptr<OwnEngine> ownEngine_;
    std::unique_ptr<GroupListing> listing_;  // Started while this agent is the decider.
    std::unique_ptr<OrderRelay> orderRelay_; // Forwards orders from the decider to other agents.
    GroupReporter groupReporter_;
    std::map<std::uint64_t, std::unique_ptr<RpcPeer>> inboundPeers_;
    GroupId ownGroup_; // Empty until the own engine has first reported.
    std::optional<std::uint32_t> ownRank_;
    std::uint32_t groupSize_ = 0;     // Number of ranks, from the own engine's last report.
    bool ownEngineHoldsStep_ = false; // From the own engine's last report.
    std::optional<QueryingDecider> otherDecider_;
    std::uint64_t ownCountsSnapshotId_ = 0; // Snapshot of the own rank's last counts.
    TimePoint startedAt_{}; // Also set when the agent continues after it stood still.
    TimePoint lastTickAt_{};
    TimePoint ownPolledAt_{};  // Last poll of the own engine by this agent.
    TimePoint ownFetchedAt_{}; // Last query of the own engine, by this agent or for a decider.
    bool ownPollPending_ = false;
    std::uint64_t nextInboundId_ = 1;
    MapChanger mapChanger_;
    std::unique_ptr<RankPeers> rankPeers_; // Null while another agent decides.
    TimePoint countsRequestedAt_{};
    std::unique_ptr<PeriodicTimer> tickTimer_;
};

} // namespace seamarch
