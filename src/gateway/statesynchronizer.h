// Where a gateway's knowledge comes from: the platform's store, or another gateway.
//
// One gateway of each hall follows the store; see GatewayDirectory. The others of its hall follow
// it. A gateway whose knowledge grows old all the same, because the one it follows is dead, cut off
// or turned away by the store, asks the store itself and the other gateways in turn, and takes what
// was confirmed last. A new gateway hears the others before it asks the store.
//
// Single-threaded; what the constructor is given outlives the object.
#pragma once

#include "decision/gateway/sendpermits.h"
#include "decision/membership/gatewaydirectory.h"
#include "decision/membership/storeturn.h"
#include "gateway/gatewayknowledge.h"
#include "gateway/gatewaypeers.h"
#include "gateway/grouppoller.h"
#include "gateway/storeprotocol.h"
#include "gateway/gossipstate.h"
#include "gateway/storewatcher.h"
#include "net/eventloop.h"
#include "net/httpclient.h"

#include <memory>
#include <optional>
#include <tl/expected.hpp>
#include <vector>

namespace seamarch {

class StateSynchronizer
{
public:
    struct Settings
    {
        InstanceId instance;
        HallId hall;
        std::optional<SocketAddress> peerListen; // For other gateways; nothing: there are none.
        std::vector<SocketAddress> seeds;        // Of some gateways, maybe gone by now.
        std::optional<int> agentPort;            // Of the agents beside engines; nothing: none.
        Duration storeCoalesceDelay{};           // For which the store's changes are gathered.
    };

    static tl::expected<std::unique_ptr<StateSynchronizer>, NetError>
    create(EventLoop &loop, HttpClient &client, const StoreProtocol &store,
           GatewayKnowledge &knowledge, const GossipState &gossip, const Settings &settings);

    // Asks for permits to send to an upstream that names a limit, the gateway whose turn that is or
    // this one itself. `answered` is called once, maybe before this returns.
    void requestPermits(const SendPermits::Ask &ask, GatewayPeers::PermitsAnswered answered);

    // Asks those whose turn it is. Call it often.
    void tick();

    // The gateway stops: asks nobody any more.
    void stop();

    std::uint64_t storeCalls() const;
    bool followsStore() const { return watcher_ != nullptr; }
    std::size_t gateways() const { return directory_.size(); }
    // Returns where this gateway stands among those of its hall.
    HallPlace place() const { return directory_.place(); }

private:
    StateSynchronizer(EventLoop &loop, HttpClient &client, const StoreProtocol &store,
                      GatewayKnowledge &knowledge, const GossipState &gossip,
                      const Settings &settings);
    tl::expected<void, NetError> open();

    bool onSharedState(const SharedKnowledge &shared, TimePoint confirmedAt);
    bool isSeed() const;
    bool isDiscovering(TimePoint now) const;
    bool waitsForPeers(TimePoint now) const;
    KnowledgeTimes times() const;
    bool isStoreQueryDue(TimePoint now) const;
    bool peersQueryStore(TimePoint now) const;
    void pollGroups(bool active, TimePoint now);
    void queryPeers(const InstanceId &followed, TimePoint now);
    void querySeeds(bool follows, TimePoint now);
    std::optional<InstanceId> nextRemoteGateway(TimePoint now);
    void queryOtherHalls(TimePoint now);
    void queryNextSeed();
    void queryGateway(const std::optional<InstanceId> &id, Duration longPollWait,
                      GatewayPeers::AskList list = GatewayPeers::AskList::IfDue);
    void followStore(bool wanted, std::string_view reason);

    EventLoop &loop_;
    HttpClient &client_;
    const StoreProtocol &store_;
    GatewayKnowledge &knowledge_;
    GossipState gossip_;
    Settings settings_;
    GatewayDirectory directory_;
    std::unique_ptr<GatewayPeers> peers_;
    std::unique_ptr<GroupPoller> groupPoller_;
    TimePoint groupsPolledAt_{};
    std::unique_ptr<StoreWatcher> watcher_;
    std::uint64_t endedWatcherCalls_ = 0; // Of watchers that are gone.
    bool stopped_ = false;
    TimePoint startedAt_{};
    std::size_t nextHall_ = 0;       // Whose first is asked next.
    std::uint64_t nextSeed_ = 0;     // Drawn at random at first, so that new gateways spread.
    TimePoint fallbackWatchUntil_{}; // An own watch on the store goes on until then.
    TimePoint
        storeBackoffUntil_{}; // Another gateway knows more; the store is asked again from then.
    TimePoint listsQueriedAt_{};
    TimePoint staleQueriedAt_{};
    TimePoint seedsQueriedAt_{};
};

} // namespace seamarch
