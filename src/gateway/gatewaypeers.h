// Exchanges state with the other gateways of the site: long-polls them for their copy of the
// platform's store, answers their polls, and requests and grants permits to send to upstreams.
//
// A poll waits at the other gateway until that has something newer than the poller, so updates
// propagate with the latency of a connection. An answer gives the age of the store's confirmation.
// The poller subtracts it from the time of its own poll, plus the time that the answer was held
// back, so it never takes the data for younger than it is.
//
// Crashes of upstreams under a request, and the rate limits that upstreams report for all gateways
// together, cannot wait for the next poll. This gateway notifies the first gateway of each hall at
// once; that one polls for the update, and the other gateways of its hall have polls waiting there.
//
// StateSynchronizer decides which gateways are polled. Single-threaded. The constructor's arguments
// must outlive the object.
#pragma once

#include "decision/membership/gatewaydirectory.h"
#include "gateway/gatewaylistexchange.h"
#include "gateway/gatewaystoreview.h"
#include "gateway/gossipstate.h"
#include "gateway/storeprotocol.h"
#include "gateway/upstreamlistexchange.h"
#include "net/changenotifier.h"
#include "net/eventloop.h"
#include "net/rawtransport.h"
#include "net/rpclink.h"
#include "net/rpcpeer.h"
#include "wire/seamarch.capnp.h"

#include <functional>
#include <kj/async.h>
#include <map>
#include <memory>
#include <optional>
#include <tl/expected.hpp>

namespace seamarch {

namespace detail {

// The timeout of a call, beyond the time that a poll may wait: some round trips between halls.
inline constexpr Duration kPeerTimeout = std::chrono::milliseconds(350);
// A gateway that failed, or whose update was not applied, is not polled again for this long.
inline constexpr Duration kPeerRetryDelay = std::chrono::milliseconds(150);

} // namespace detail

// The client and server sides of the protocol between gateways.
class GatewayPeers final : private kj::TaskSet::ErrorHandler
{
public:
    // Called with another gateway's state, which the store confirmed at `confirmedAt`. Returns
    // whether the state was adopted; if not, that gateway is not polled again for a short time.
    using StateReceived = std::function<bool(const PeerStoreState &, TimePoint confirmedAt)>;

    // Listens on the address in the directory's own record. Fails if it cannot be opened.
    static tl::expected<std::unique_ptr<GatewayPeers>, NetError>
    create(EventLoop &loop, GatewayStoreView &storeView, const GossipState &gossip,
           const StoreProtocol &store, GatewayDirectory &directory, StateReceived onStateReceived);
    ~GatewayPeers();
    GatewayPeers(const GatewayPeers &) = delete;
    GatewayPeers &operator=(const GatewayPeers &) = delete;

    // Whether a poll also requests the list of gateways that the other gateway knows.
    enum class ListRequest { IfDue, Always };

    // Polls a gateway, unless a poll of it is in flight or it has to be left alone after a failure.
    // The answer may be held back for `maxWait`. `id` is empty if only the address is known.
    void poll(const SocketAddress &address, const InstanceId &id, Duration maxWait,
              ListRequest list = ListRequest::IfDue);
    using PermitsCallback = std::function<void(const PermitGrant &)>;
    // A request for permits to send to one upstream.
    struct PermitRequest
    {
        InstanceId upstream;
        UpstreamStart start;
        std::uint32_t wanted = 0;          // The number of permits.
        std::optional<LimitReport> limit;  // Empty if the upstream reports none.
        std::optional<RequestRate> warmUp; // The warm-up limit; empty if the upstream is warm.
    };
    // Requests permits from the gateway `issuer`. Calls `onAnswer` exactly once; with no permits if
    // the gateway does not answer in time or fails.
    void requestPermits(const GatewayRecord &issuer, const PermitRequest &permitRequest,
                        PermitsCallback onAnswer);
    // Answers the polls that wait here if there is an update for them, announces crashes and
    // limits, and closes idle connections. Must be called often, as updates wait for the next call.
    void tick();
    // Returns when another gateway last answered that it has no configuration; the distant past if
    // none did.
    TimePoint lastUnconfiguredAnswerAt() const { return lastUnconfiguredAnswerAt_; }
    // Returns when any gateway last answered; the distant past if none did.
    TimePoint lastAnswerAt() const { return lastAnswerAt_; }

private:
    class Server;

    // The connection to another gateway, and which of its updates have been received.
    struct Link
    {
        std::unique_ptr<RpcLink> rpc;
        InstanceId id; // Empty until it has answered.
        bool polling = false;
        bool pollAgain = false; // It announced an update during a poll; poll again after it.
        std::uint64_t groupsDigest = 0;  // Digest of the groups last received from it. Zero: the
                                         // next poll names those known here.
        std::uint64_t crashCursor = 0;   // Its crash record has been received up to this cursor.
        std::uint64_t limitsVersion = 0; // Version of the limits last received from it.
        TimePoint notBefore{};           // It is not polled before this time.
        TimePoint usedAt{};
    };

    GatewayPeers(EventLoop &loop, GatewayStoreView &storeView, const GossipState &gossip,
                 const StoreProtocol &store, GatewayDirectory &directory,
                 StateReceived onStateReceived);
    tl::expected<void, NetError> open();

    Link &linkTo(const SocketAddress &address);
    void onNews(const SocketAddress &address, TimePoint sentAt, wire::GatewayNews::Reader news);
    void onFailed(const SocketAddress &address);
    bool applyNews(TimePoint sentAt, wire::GatewayNews::Reader news);
    void applyGroups(Link &link, TimePoint sentAt, wire::GatewayNews::Reader news);
    void applyCrashes(Link &link, TimePoint sentAt, wire::GatewayNews::Reader news);
    void applyLimits(Link &link, TimePoint sentAt, wire::GatewayNews::Reader news);
    wire::GatewayPeer::ExchangeParams::Builder
    initPoll(capnp::Request<capnp::AnyPointer, capnp::AnyPointer> &request, const Link &link);
    wire::GatewayNews::Builder initNews(wire::GatewayPeer::ExchangeResults::Builder results,
                                        const GatewayRecord &poller);
    void applyDemand(const GatewayRecord &from, wire::GatewayPeer::ExchangeParams::Reader params);
    void applyDemand(const Link &link, TimePoint sentAt, wire::GatewayNews::Reader news);
    PermitGrant grantPermits(wire::GatewayPeer::PermitsParams::Reader permitRequest);
    void onHasNews(const GatewayRecord &from);
    // Counts the changes to crashes and limits that this gateway observed itself.
    std::uint64_t ownEventCount() const
    {
        return crashes_.cursor() - peerCrashChanges_ + limits_.localChanges();
    }
    void announce(TimePoint now);
    void announceTo(const HallId &hall, TimePoint now);
    // What a polling gateway has already, and what it wants.
    struct PollRequest
    {
        ConfigVersion version;
        std::uint64_t upstreamsDigest = 0;
        bool takesChanges = false; // Earlier software versions accept only full lists.
        std::uint64_t groupsDigest = 0;
        std::uint64_t crashCursor = 0;
        bool wantsGateways = false;
        std::uint64_t gatewaysDigest = 0;
        bool wantsLimits = false; // Earlier software versions do not support limits.
        std::uint64_t limitsVersion = 0;
    };
    bool hasNewsFor(const PollRequest &pollRequest) const;
    void writeNews(wire::GatewayNews::Builder news, const PollRequest &pollRequest, Duration held);
    void writeGroups(wire::GatewayNews::Builder news, std::uint64_t knownDigest) const;
    void writeCrashes(wire::GatewayNews::Builder news, std::uint64_t cursor) const;
    void writeLimits(wire::GatewayNews::Builder news, const PollRequest &pollRequest) const;
    void taskFailed(kj::Exception &&exception) override;

    EventLoop &loop_;
    GatewayStoreView &storeView_;
    GroupTable &groups_;
    CrashRecord &crashes_;
    UpstreamLimits &limits_;
    PermitIssuer &permitIssuer_;
    DemandExchange *demand_; // Null if gateways do not tell each other demand.
    const StoreProtocol &store_;
    GatewayDirectory &directory_;
    StateReceived onStateReceived_;
    std::unique_ptr<RawTransport> transport_;
    ChangeNotifier waitingPolls_; // The polls of other gateways that wait for an update.
    std::map<std::uint64_t, std::unique_ptr<RpcPeer>> incoming_; // By number of the connection.
    std::uint64_t nextIncoming_ = 1;
    std::map<std::pair<std::string, int>, Link> links_; // By address.
    std::vector<std::uint8_t> compressedDocument_;      // The document of `compressedVersion_`.
    ConfigVersion compressedVersion_;
    GatewayListExchange gatewayList_;
    UpstreamListExchange upstreamList_;
    // The state at the last tick. A difference means that there is an update for waiting polls.
    std::uint64_t lastUpstreamsDigest_ = 0;
    ConfigVersion lastVersion_;
    std::uint64_t lastGroupsDigest_ = 0;
    std::uint64_t lastCrashCursor_ = 0;
    std::uint64_t lastLimitsVersion_ = 0;
    std::uint64_t peerCrashChanges_ = 0;     // Changes to `crashes_` received from other gateways.
    std::uint64_t initialOwnEventCount_ = 0; // `ownEventCount` at the start.
    std::uint64_t announcedEventCount_ = 0;  // `ownEventCount` when all halls had acknowledged.
    // The notification to the first gateway of a hall that there is an update here.
    struct Announcement
    {
        std::uint64_t acknowledged = 0; // The value of `ownEventCount` that was acknowledged last.
        bool requestInFlight = false;
        TimePoint notBefore{};
    };
    std::map<HallId, Announcement> announcements_;
    TimePoint lastUnconfiguredAnswerAt_{};
    TimePoint lastAnswerAt_{};
    TimePoint configNotBefore_{}; // No configuration is requested before this time, which bounds
                                  // the CPU time spent on reading configurations.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    kj::TaskSet tasks_;
};

} // namespace seamarch
