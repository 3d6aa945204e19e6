// The other gateways of the site: asks them what they know of the platform's store, and tells them
// what this one knows.
//
// A question waits at the other end until that knows more than the asker, so news passes on within
// a connection's delay. An answer says how long ago the store confirmed what it tells; measured on
// the asker's clock from when it asked, that is never too young.
//
// That upstreams have ended under a request cannot wait until somebody asks: the first gateway of
// each hall is told at once that there is news, asks for it, and the others of its hall wait there.
// So is what an upstream says that it takes from all gateways together.
//
// Whom to ask is decided elsewhere: see KnowledgeSources. Single-threaded; what the constructor is
// given outlives the object.
#pragma once

#include "decision/gateway/upstreamhistory.h"
#include "decision/membership/gatewaydirectory.h"
#include "gateway/gatewaystoreview.h"
#include "gateway/metadatastore.h"
#include "gateway/sharedbeliefs.h"
#include "net/eventloop.h"
#include "net/rawtransport.h"
#include "net/rpclink.h"
#include "net/rpcpeer.h"
#include "net/wakelist.h"
#include "wire/seamarch.capnp.h"

#include <functional>
#include <kj/async.h>
#include <map>
#include <memory>
#include <optional>
#include <tl/expected.hpp>

namespace seamarch {

namespace detail {

// How long an answer may take beyond its wait: some round trips between halls.
inline constexpr Duration kPeerTimeout = std::chrono::milliseconds(350);
// A gateway that failed, or whose news was not taken, is not asked again for this long.
inline constexpr Duration kPeerRetryDelay = std::chrono::milliseconds(150);

} // namespace detail

class GatewayPeers final : private kj::TaskSet::ErrorHandler
{
public:
    // Another gateway's knowledge, which the store confirmed at the time. Returns whether it was
    // taken; one that was not is not asked again for a moment.
    using StateReceived = std::function<bool(const PeerStoreState &, TimePoint confirmedAt)>;

    // Listens at the address of the directory's own record.
    static tl::expected<std::unique_ptr<GatewayPeers>, NetError>
    create(EventLoop &loop, GatewayStoreView &storeView, const SharedBeliefs &beliefs,
           const MetadataStore &store, GatewayDirectory &directory, StateReceived onStateReceived);
    ~GatewayPeers();
    GatewayPeers(const GatewayPeers &) = delete;
    GatewayPeers &operator=(const GatewayPeers &) = delete;

    // Whether a question also asks whom the other gateway has heard of.
    enum class ListRequest { IfDue, Always };

    // Asks a gateway, unless a question to it is under way; the answer may wait for `longest`. The
    // id of one that was never heard of is empty.
    void poll(const SocketAddress &address, const InstanceId &id, Duration maxWait,
              ListRequest list = ListRequest::IfDue);
    using PermitsCallback = std::function<void(const PermitAnswer &)>;
    // What permits are asked for.
    struct PermitRequest
    {
        InstanceId upstream;
        UpstreamStart start;
        std::uint32_t wanted = 0;
        std::optional<LimitWord> limit;    // That the upstream named; nothing: none.
        std::optional<RequestRate> warmUp; // What it takes while it warms up; nothing: it is warm.
    };
    // Asks the gateway `issuer` for permits. `answered` is called once, also when no answer comes.
    void requestPermits(const GatewayRecord &issuer, const PermitRequest &permitRequest,
                        PermitsCallback onAnswer);
    // Wakes the questions that wait here, if there is news for them. Call it often.
    void tick();
    // Returns when another gateway last answered that it has no configuration; the distant past
    // when none did.
    TimePoint lastUnconfiguredAnswerAt() const { return lastUnconfiguredAnswerAt_; }
    // Returns when any gateway last answered; the distant past when none did.
    TimePoint lastAnswerAt() const { return lastAnswerAt_; }

private:
    class Server;

    struct Link
    {
        std::unique_ptr<RpcLink> rpc;
        InstanceId id; // Empty until it has answered.
        bool polling = false;
        bool pollAgain = false;       // It has news; ask once more when the question is answered.
        std::uint64_t groupsMark = 0; // Of the groups that it has told last, or of those known here
                                      // when it was first asked.
        std::uint64_t crashCursor = 0; // Of what it has told of requests that end upstreams.
        std::uint64_t limitsMark = 0;  // Of the limits that it has told last.
        TimePoint notBefore{};
        TimePoint usedAt{};
    };

    GatewayPeers(EventLoop &loop, GatewayStoreView &storeView, const SharedBeliefs &beliefs,
                 const MetadataStore &store, GatewayDirectory &directory,
                 StateReceived onStateReceived);
    tl::expected<void, NetError> open();

    Link &linkTo(const SocketAddress &address);
    void onNews(const SocketAddress &address, TimePoint askedAt, wire::GatewayNews::Reader news);
    void onFailed(const SocketAddress &address);
    bool applyNews(TimePoint askedAt, wire::GatewayNews::Reader news);
    bool isGatewayListDue(const Link &link, TimePoint now) const;
    void applyGateways(wire::GatewayNews::Reader news, TimePoint now);
    void writeGateways(wire::GatewayNews::Builder news, std::uint64_t knownMark) const;
    void applyGroups(Link &link, TimePoint askedAt, wire::GatewayNews::Reader news);
    void applyCrashes(Link &link, TimePoint askedAt, wire::GatewayNews::Reader news);
    void applyLimits(Link &link, TimePoint askedAt, wire::GatewayNews::Reader news);
    PermitAnswer grantPermits(wire::GatewayPeer::PermitsParams::Reader permitRequest);
    void onHasNews(const GatewayRecord &from);
    // Counts the crashes and the changes of limits that this gateway saw itself.
    std::uint64_t ownEventCount() const
    {
        return crashes_.cursor() - peerCrashChanges_ + limits_.ownChanges();
    }
    void announce(TimePoint now);
    void announceTo(const HallId &hall, TimePoint now);
    // What an asker says that it knows.
    struct PollRequest
    {
        ConfigVersion version;
        std::uint64_t upstreamsMark = 0;
        bool takesChanges = false; // One of an earlier version takes whole lists alone.
        std::uint64_t groupsMark = 0;
        std::uint64_t crashCursor = 0;
        bool wantsGateways = false;
        std::uint64_t gatewaysMark = 0;
        bool wantsLimits = false; // One of an earlier version does not know them.
        std::uint64_t limitsMark = 0;
    };
    bool hasNewsFor(const PollRequest &pollRequest) const;
    void writeNews(wire::GatewayNews::Builder news, const PollRequest &pollRequest, Duration held);
    void recordUpstreamList();
    void writeUpstreams(wire::GatewayNews::Builder news, const PollRequest &pollRequest);
    std::optional<std::vector<UpstreamRecord>> readUpstreams(wire::GatewayNews::Reader news) const;
    void writeGroups(wire::GatewayNews::Builder news, std::uint64_t mark) const;
    void writeCrashes(wire::GatewayNews::Builder news, std::uint64_t cursor) const;
    void writeLimits(wire::GatewayNews::Builder news, const PollRequest &pollRequest) const;
    void taskFailed(kj::Exception &&exception) override;

    EventLoop &loop_;
    GatewayStoreView &storeView_;
    GroupTable &groups_;
    CrashRecord &crashes_;
    UpstreamLimits &limits_;
    PermitIssuer &permitIssuer_;
    const MetadataStore &store_;
    GatewayDirectory &directory_;
    StateReceived onStateReceived_;
    std::unique_ptr<RawTransport> transport_;
    WakeList waiting_;
    std::map<std::uint64_t, std::unique_ptr<RpcPeer>> incoming_;
    std::uint64_t nextIncoming_ = 1;
    std::map<std::pair<std::string, int>, Link> links_; // By address.
    std::vector<std::uint8_t> compressedDocument_;      // The document of `compressedVersion_`.
    ConfigVersion compressedVersion_;
    UpstreamHistory history_;
    std::uint64_t lastUpstreamsMark_ = 0; // The state at the last tick.
    ConfigVersion lastVersion_;
    std::uint64_t lastGroupsMark_ = 0;
    std::uint64_t lastCrashCursor_ = 0;      // A cursor of the record, as those below.
    std::uint64_t lastLimitsMark_ = 0;       // A mark of the limits.
    std::uint64_t peerCrashChanges_ = 0;     // Changes of the record that other gateways brought.
    std::uint64_t initialOwnEventCount_ = 0; // What `ownEventCount` was at the start.
    std::uint64_t announcedEventCount_ = 0;  // What it was when all halls had been told.
    // To the first gateway of a hall, that there is news here.
    struct Announcement
    {
        std::uint64_t acknowledged = 0; // Of `ownEventCount`.
        bool requestInFlight = false;
        TimePoint notBefore{};
    };
    std::map<HallId, Announcement> announcements_;
    TimePoint lastUnconfiguredAnswerAt_{};
    TimePoint lastAnswerAt_{};
    TimePoint startedAt_{};
    TimePoint gatewayListRequestedAt_{}; // Last, from any gateway.
    TimePoint configNotBefore_{};        // It rests from reading the last configuration until then.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    kj::TaskSet tasks_;
};

} // namespace seamarch
