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
#include "decision/membership/storepollschedule.h"
#include "gateway/gatewayknowledge.h"
#include "gateway/gatewaypeers.h"
#include "gateway/groupwatch.h"
#include "gateway/metadatastore.h"
#include "gateway/sharedbeliefs.h"
#include "gateway/storewatcher.h"
#include "net/eventloop.h"
#include "net/httpclient.h"

#include <memory>
#include <optional>
#include <tl/expected.hpp>
#include <vector>

namespace seamarch {

class KnowledgeSources
{
public:
    struct Settings
    {
        InstanceId instance;
        HallId hall;
        std::optional<SocketAddress> peerListen; // For other gateways; nothing: there are none.
        std::vector<SocketAddress> seeds;        // Of some gateways, maybe gone by now.
        std::optional<int> agentPort;            // Of the agents beside engines; nothing: none.
        Duration storeRest{};                    // For which the store's changes are gathered.
    };

    static tl::expected<std::unique_ptr<KnowledgeSources>, NetError>
    create(EventLoop &loop, HttpClient &client, const MetadataStore &store,
           GatewayKnowledge &knowledge, const SharedBeliefs &beliefs, const Settings &settings);

    // Asks for permits to send to an upstream that names a limit, the gateway whose turn that is or
    // this one itself. `answered` is called once, maybe before this returns.
    void askForPermits(const SendPermits::Ask &ask, GatewayPeers::PermitsAnswered answered);

    // Asks those whose turn it is. Call it often.
    void tick();

    // The gateway stops: asks nobody any more.
    void stop();

    std::uint64_t storeCalls() const;
    bool followsStore() const { return watcher_ != nullptr; }
    std::size_t gateways() const { return directory_.size(); }
    // Returns where this gateway stands among those of its hall.
    HallPlace place() const { return directory_.hallPlace(); }

private:
    KnowledgeSources(EventLoop &loop, HttpClient &client, const MetadataStore &store,
                     GatewayKnowledge &knowledge, const SharedBeliefs &beliefs,
                     const Settings &settings);
    tl::expected<void, NetError> open();

    bool takeShared(const SharedKnowledge &shared, TimePoint confirmedAt);
    bool isSeed() const;
    bool isYoung(TimePoint now) const;
    bool hearsFirst(TimePoint now) const;
    StorePollSchedule times() const;
    bool asksStore(TimePoint now) const;
    bool leavesStoreToOthers(TimePoint now) const;
    void watchGroups(bool watches, TimePoint now);
    void askPeers(const InstanceId &followed, TimePoint now);
    void askSeeds(bool follows, TimePoint now);
    std::optional<InstanceId> firstElsewhere(TimePoint now);
    void askOtherHalls(TimePoint now);
    void askSeedInTurn();
    void askGateway(const std::optional<InstanceId> &id, Duration longest,
                    GatewayPeers::AskList list = GatewayPeers::AskList::IfDue);
    void followStore(bool wanted, std::string_view reason);

    EventLoop &loop_;
    HttpClient &client_;
    const MetadataStore &store_;
    GatewayKnowledge &knowledge_;
    SharedBeliefs beliefs_;
    Settings settings_;
    GatewayDirectory directory_;
    std::unique_ptr<GatewayPeers> peers_;
    std::unique_ptr<GroupWatch> groupWatch_;
    TimePoint groupsAskedAt_{};
    std::unique_ptr<StoreWatcher> watcher_;
    std::uint64_t earlierCalls_ = 0; // Of watchers that are gone.
    bool stopped_ = false;
    TimePoint startedAt_{};
    std::size_t hallTurn_ = 0;   // Whose first is asked next.
    std::uint64_t seedTurn_ = 0; // Drawn at random at first, so that new gateways spread.
    TimePoint storeUntil_{};     // An own watch on the store goes on until then.
    TimePoint storeNotBefore_{}; // Another gateway knows more; the store is asked again from then.
    TimePoint listsAskedAt_{};
    TimePoint anyAskedAt_{};
    TimePoint seedsAskedAt_{};
};

} // namespace seamarch
