// Keeps a gateway's copy of the platform's state up to date, from the store or from other gateways.
//
// One gateway of each hall follows the store (see GatewayDirectory), and the other gateways of the
// hall follow that gateway. The one that is followed may be dead, partitioned or refused by the
// store. A gateway whose state becomes stale for such a reason polls the store itself and the
// other gateways in turn, and adopts the most recently confirmed state. A new gateway polls the
// other gateways before the store.
//
// Single-threaded; the constructor's arguments must outlive the object.
#pragma once

#include "decision/gateway/sendpermits.h"
#include "decision/membership/gatewaycensus.h"
#include "decision/membership/gatewaydirectory.h"
#include "decision/membership/storepollschedule.h"
#include "gateway/gatewaypeers.h"
#include "gateway/gatewaystoreview.h"
#include "gateway/gossipstate.h"
#include "gateway/grouppoller.h"
#include "gateway/storeprotocol.h"
#include "gateway/storewatcher.h"
#include "net/eventloop.h"
#include "net/httpclient.h"

#include <memory>
#include <optional>
#include <set>
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
        // Listening address for other gateways; empty if there are none.
        std::optional<SocketAddress> peerListen;
        // Addresses of some gateways, which may no longer exist.
        std::vector<SocketAddress> seeds;
        // Port of the agents beside engines; empty if there are none.
        std::optional<int> agentPort;
        // Delay after a change of the store, in which further changes are coalesced.
        Duration storeCoalesceDelay{};
        std::set<HallId> halls; // Of the site; empty if not known.
    };

    static tl::expected<std::unique_ptr<StateSynchronizer>, NetError>
    create(EventLoop &loop, HttpClient &client, const StoreProtocol &store,
           GatewayStoreView &storeView, const GossipState &gossip, const Settings &settings);

    // Requests permits to send to an upstream that reports a limit or is warming up, from the
    // gateway that issues them or, if there is no such peer, from this gateway's own issuer.
    // `answered` is called once, possibly before this function returns.
    void requestPermits(const SendPermits::Query &query, GatewayPeers::PermitsCallback answered);

    // Starts the polls that are due. Must be called at short intervals.
    void tick();

    // Ends all polls, because the gateway is stopping.
    void stop();

    std::uint64_t storeCalls() const;
    bool followsStore() const { return watcher_ != nullptr; }
    std::size_t gateways() const { return directory_.size(); }
    const GatewayCensus &census() const { return census_; }
    // Returns the position of this gateway among the gateways of its hall.
    HallPosition hallPosition() const { return directory_.hallPosition(); }

private:
    StateSynchronizer(EventLoop &loop, HttpClient &client, const StoreProtocol &store,
                      GatewayStoreView &storeView, const GossipState &gossip,
                      const Settings &settings);
    tl::expected<void, NetError> open();

    bool onPeerState(const PeerStoreState &peerState, TimePoint confirmedAt);
    bool isSeed() const;
    void takeCensus(TimePoint now);
    bool isDiscovering(TimePoint now) const;
    bool waitsForPeers(TimePoint now) const;
    StorePollSchedule pollSchedule() const;
    bool isStorePollDue(TimePoint now) const;
    bool peersPollStore(TimePoint now) const;
    void pollGroups(bool active, TimePoint now);
    void pollPeers(const InstanceId &followed, TimePoint now);
    void pollSeeds(bool follows, TimePoint now);
    std::optional<InstanceId> nextRemoteGateway(TimePoint now);
    void pollOtherHalls(TimePoint now);
    void pollNextSeed();
    void shareDemand(bool isFirst, TimePoint now);
    void pollGateway(const std::optional<InstanceId> &id, Duration longPollWait,
                     GatewayPeers::ListRequest list = GatewayPeers::ListRequest::IfDue);
    void followStore(bool follow, std::string_view reason);

    EventLoop &loop_;
    HttpClient &client_;
    const StoreProtocol &store_;
    GatewayStoreView &storeView_;
    GossipState gossip_;
    Settings settings_;
    GatewayDirectory directory_;
    GatewayCensus census_;
    TimePoint censusTakenAt_{};
    std::unique_ptr<GatewayPeers> peers_;
    std::unique_ptr<GroupPoller> groupPoller_;
    TimePoint groupsPolledAt_{};
    std::unique_ptr<StoreWatcher> watcher_;
    std::uint64_t endedWatcherCalls_ = 0; // Store calls made by earlier watchers.
    bool stopped_ = false;
    TimePoint startedAt_{};
    std::size_t nextHall_ = 0;   // Selects the hall whose first gateway is polled next.
    std::uint64_t nextSeed_ = 0; // Starts at a random value to spread new gateways over the seeds.
    TimePoint fallbackWatchUntil_{}; // End of a watch that was started because the state was stale.
    // Until then the store is not polled, because another gateway has newer state.
    TimePoint storeBackoffUntil_{};
    TimePoint listsPolledAt_{};
    TimePoint stalePolledAt_{};
    TimePoint seedsPolledAt_{};
};

} // namespace seamarch
