// The agent beside one rank of a group of engines: it hands orders about expert maps to its rank,
// tells the other agents of the group what its rank reports, and, when it is the one that decides,
// keeps the group's map fit for what is asked of it. A service may have several groups; each has
// its own decider, and nothing of one group counts in another.
//
// The agent that decides asks all others several times a second, and names its rank. An agent that
// has not been asked by one of a lower rank for a while takes the role; those of higher ranks wait
// longer, so that one comes first. Only the agent that decides speaks to the store or to other
// ranks, so the traffic grows with the ranks and not with their square. Two that both decide are
// harmless: see GroupDecider. Requests never pass through an agent; one that is dead or cut off
// costs nothing but map changes.
#pragma once

#include "decision/expertmap/expertplanner.h"
#include "decision/expertmap/groupdecider.h"
#include "decision/gateway/upstreamtable.h"
#include "experts/groupreporter.h"
#include "experts/orderrelay.h"
#include "experts/ownengine.h"
#include "experts/rankclient.h"
#include "experts/rankpeers.h"
#include "gateway/storewatcher.h"
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
#include <string_view>
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
    // What the machine's link carries: questions, counts and orders are fitted to it.
    double linkBytesPerSecond = 2'500'000.0; // 20 Mbit/s.
    Duration stopDelay = std::chrono::milliseconds(100);
};

class ExpertAgent final : private StoreListener, private StatusSource, private RankPeersListener
{
public:
    static tl::expected<std::unique_ptr<ExpertAgent>, NetError>
    create(EventLoop &loop, const ExpertAgentSettings &settings, const StoreProtocol &store,
           const EngineCalls &engineCalls);
    ~ExpertAgent() noexcept override;
    ExpertAgent(const ExpertAgent &) = delete;
    ExpertAgent &operator=(const ExpertAgent &) = delete;

    // Ends the agent. A change that is under way is cleared by the next decider.
    void stop();

private:
    class Server;

    // The agent of a lower rank that asked last.
    struct LowerDecider
    {
        std::uint32_t rank = 0;
        TimePoint askedAt{};
        std::string host;
    };

    // A map that was in use when it was last asked for, in this epoch.
    struct KnownMap
    {
        std::uint64_t version = 0;
        ExpertMap map;
    };

    ExpertAgent(EventLoop &loop, const ExpertAgentSettings &settings, const StoreProtocol &store,
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
    bool deciding() const { return decider_ != nullptr; }
    bool shouldDecide() const;
    void takeRole();
    void leaveRole();
    void onAsked(const GroupId &askerGroup, std::uint32_t askerRank, const std::string &askerHost);
    void reportGroup();
    GroupFacts groupFacts() const;
    void answer(RankQuestion question, OwnEngine::FactsDone done);
    void askOwn(RankQuestion question);
    void askGroup();
    void onPeerFacts(const RankFacts &facts, TimePoint askedAt) override;
    void onPeerOrderAnswer(std::uint32_t rank, const MapOrder &order,
                           MapOrderAnswer answer) override;
    void noteOwnPlace(const RankReport &report);
    void noteFormed(const RankReport &report);
    void runDecider();
    void replaceChange(MapOrders &orders);
    void proposeChange(MapOrders &orders);
    void propose(ExpertMap planned, MapOrders &orders);
    void send(const MapOrders &orders);
    void handToOwn(const MapOrder &order, OwnEngine::OrderDone done);
    void relay(const MapOrder &order, const std::vector<RelayTarget> &targets,
               const OrderRelay::Done &done);
    std::optional<ExpertMap> mapInUse();
    std::optional<ExpertMap> mapFromRanks(std::uint64_t version) const;
    void notePhase();
    void noteObstacle(std::string_view obstacle);

    EventLoop &loop_;
    ExpertAgentSettings settings_;
    const StoreProtocol &store_;
    const EngineCalls &engineCalls_;
    Metrics metrics_;
    UpstreamTable upstreams_;
    StorePosition storePlace_; // Of the last list.
    std::unique_ptr<HttpClient> client_;
    std::unique_ptr<RawTransport> transport_;
    std::unique_ptr<OperatorServer> metricsServer_;
    std::unique_ptr<RankClient> ranks_;
    std::unique_ptr<OwnEngine> engine_;
    std::unique_ptr<OrderRelay> relay_; // Of the orders of other agents.
    GroupReporter reporter_;
    std::map<std::uint64_t, std::unique_ptr<RpcPeer>> incoming_;
    GroupId ownGroup_; // Empty until the own engine has answered.
    std::optional<std::uint32_t> ownRank_;
    std::uint32_t groupRanks_ = 0; // As the own engine has told.
    Duration pauseGoal_{};         // Of the service's routes; zero: not known.
    bool ownHeld_ = false;         // The own engine holds a step, by its last report.
    std::optional<LowerDecider> lower_;
    std::uint64_t ownCountsMark_ = 0; // Of the own rank's last counts.
    std::uint64_t epoch_ = 0;
    TimePoint startedAt_{};
    TimePoint ownAskedAt_{};  // For this agent itself.
    TimePoint ownLookedAt_{}; // For anyone.
    bool askingOwn_ = false;
    std::uint64_t nextIncoming_ = 1;
    // What the agent that decides has; the others have none of it.
    std::unique_ptr<StoreWatcher> watcher_;
    std::unique_ptr<RankPeers> peers_;
    std::unique_ptr<GroupDecider> decider_;
    ExpertPlanner planner_;
    std::optional<ExpertRule> rule_;
    std::map<std::uint32_t, ExpertsOfRank> experts_; // By rank.
    std::optional<KnownMap> known_;
    std::optional<ExpertMap> current_;  // The map in use, once it is known whole.
    ExpertMap proposed_;                // That was last ordered here, and its version;
    std::uint64_t proposedVersion_ = 0; // zero: none in this epoch.
    TimePoint proposedAt_{};
    GroupDecider::Phase notedPhase_ = GroupDecider::Phase::Idle;
    std::string_view notedObstacle_;
    std::uint64_t notedChanges_ = 0;
    std::uint64_t notedCleared_ = 0;
    TimePoint countsAskedAt_{};
    std::unique_ptr<PeriodicTimer> tickTimer_;
};

} // namespace seamarch
