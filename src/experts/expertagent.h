// The agent beside one rank of a group of engines: it hands orders about expert maps to its rank,
// tells the other agents of the group what its rank reports, and, when it is the one that decides,
// keeps the group's map fit for what is asked of it.
//
// The agent of the lowest rank that answers decides. Two that both think so are harmless: see
// GroupDecider. Requests never pass through an agent; one that is dead or cut off costs nothing but
// map changes.
#pragma once

#include "decision/expertmap/expertplanner.h"
#include "decision/expertmap/groupdecider.h"
#include "decision/gateway/upstreamtable.h"
#include "experts/rankclient.h"
#include "gateway/storewatcher.h"
#include "net/eventloop.h"
#include "net/httpclient.h"
#include "net/rawtransport.h"
#include "net/rpclink.h"
#include "observe/metrics.h"
#include "observe/operatorserver.h"
#include "wire/seamarch.capnp.h"

#include <kj/async.h>
#include <map>
#include <memory>
#include <optional>
#include <tl/expected.hpp>

namespace seamarch {

struct ExpertAgentSettings
{
    InstanceId instance;
    HallId hall;
    TargetName service;   // Whose replicas form the group.
    SocketAddress engine; // The rank beside this agent.
    SocketAddress listen; // For the other agents; they listen at the same port.
    std::optional<SocketAddress> metricsListen;
    SocketAddress store;
    Duration stopDelay = std::chrono::milliseconds(100);
};

class ExpertAgent final : private StoreListener, private StatusSource
{
public:
    static tl::expected<std::unique_ptr<ExpertAgent>, NetError>
    create(EventLoop &loop, const ExpertAgentSettings &settings, const MetadataStore &store,
           const EngineCalls &engineCalls);
    ~ExpertAgent() noexcept override;
    ExpertAgent(const ExpertAgent &) = delete;
    ExpertAgent &operator=(const ExpertAgent &) = delete;

    // Ends the agent. A change that is under way is cleared by the next decider.
    void stop();

private:
    class Server;
    class CallErrors;

    // The agent beside another rank, and its engine.
    struct Peer
    {
        SocketAddress engine;
        std::unique_ptr<RpcLink> link;
        std::optional<std::uint32_t> rank;
        TimePoint answeredAt{}; // By the agent.
        TimePoint askedAt{};
        bool asking = false;
        bool askingEngine = false;
    };

    ExpertAgent(EventLoop &loop, const ExpertAgentSettings &settings, const MetadataStore &store,
                const EngineCalls &engineCalls);
    tl::expected<void, NetError> open();

    void onStoreListed(const StoreItems &items, TimePoint askedAt) override;
    void onStoreChanged(const StoreItems &items, TimePoint askedAt) override;
    void onStoreFailed(std::string_view cause) override;
    bool ready(std::string &reason) const override;
    nlohmann::json status() const override;

    void takeItem(const StoreItem &item);
    void updatePeers();
    void tick();
    void updateRole();
    void askOwn();
    void askPeers();
    void askAgent(const InstanceId &id, RankQuestion question);
    void askEngine(const InstanceId &id, RankQuestion question);
    void onFacts(const RankFacts &facts, TimePoint askedAt);
    void onAgentAnswer(const InstanceId &id, TimePoint askedAt, wire::RankState::Reader state);
    void runDecider();
    void proposeChange(MapOrders &orders);
    void send(const SendMapOrder &action);
    void sendThroughAgent(const InstanceId &id, const SendMapOrder &action);
    void handToOwn(const MapOrder &order, std::function<void(MapOrderAnswer)> done);
    void onOrderAnswer(std::uint32_t rank, const MapOrder &order, MapOrderAnswer answer);
    std::optional<ExpertMap> currentMap() const;
    void notePhase();
    const InstanceId *peerOfRank(std::uint32_t rank) const;
    bool agentAnswers(const Peer &peer) const;

    EventLoop &loop_;
    ExpertAgentSettings settings_;
    const MetadataStore &store_;
    const EngineCalls &engineCalls_;
    Metrics metrics_;
    UpstreamTable upstreams_;
    std::unique_ptr<HttpClient> client_;
    std::unique_ptr<RawTransport> transport_;
    std::unique_ptr<OperatorServer> metricsServer_;
    std::unique_ptr<StoreWatcher> watcher_;
    std::unique_ptr<RankClient> ranks_;
    std::map<std::uint64_t, std::unique_ptr<RpcPeer>> incoming_;
    std::map<InstanceId, Peer> peers_;
    std::optional<std::uint32_t> ownRank_;
    std::uint64_t ownFence_ = 0; // The highest that was handed to the own rank.
    std::unique_ptr<GroupDecider> decider_;
    ExpertPlanner planner_;
    std::optional<ExpertRule> rule_;
    std::map<std::uint32_t, ExpertsOfRank> experts_; // By rank.
    std::uint64_t epoch_ = 0;
    GroupDecider::Phase notedPhase_ = GroupDecider::Phase::Idle;
    std::uint64_t notedChanges_ = 0;
    std::uint64_t notedCleared_ = 0;
    TimePoint startedAt_{};
    TimePoint ownAskedAt_{};
    TimePoint countsAskedAt_{};
    bool askingOwn_ = false;
    bool deciding_ = false;
    std::uint64_t nextIncoming_ = 1;
    std::unique_ptr<PeriodicTimer> tickTimer_;
    std::unique_ptr<CallErrors> callErrors_;
    kj::TaskSet tasks_;
};

} // namespace seamarch
