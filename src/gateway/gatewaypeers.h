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
// Whom to ask is decided elsewhere: see StateSynchronizer. Single-threaded; what the constructor is
// given outlives the object.
#pragma once

#include "decision/gateway/upstreamhistory.h"
#include "decision/membership/gatewaydirectory.h"
#include "gateway/gatewayknowledge.h"
#include "gateway/gossipstate.h"
#include "gateway/storeprotocol.h"
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
inline constexpr Duration kPeerPatience = std::chrono::milliseconds(350);
// A gateway that failed, or whose news was not taken, is not asked again for this long.
inline constexpr Duration kPeerPause = std::chrono::milliseconds(150);

} // namespace detail

class GatewayPeers final : private kj::TaskSet::ErrorHandler
{
public:
    // Another gateway's knowledge, which the store confirmed at the time. Returns whether it was
    // taken; one that was not is not asked again for a moment.
    using Heard = std::function<bool(const SharedKnowledge &, TimePoint confirmedAt)>;

    // Listens at the address of the directory's own record.
    static tl::expected<std::unique_ptr<GatewayPeers>, NetError>
    create(EventLoop &loop, GatewayKnowledge &knowledge, const GossipState &beliefs,
           const StoreProtocol &store, GatewayDirectory &directory, Heard heard);
    ~GatewayPeers();
    GatewayPeers(const GatewayPeers &) = delete;
    GatewayPeers &operator=(const GatewayPeers &) = delete;

    // Whether a question also asks whom the other gateway has heard of.
    enum class AskList { IfDue, Always };

    // Asks a gateway, unless a question to it is under way; the answer may wait for `longest`. The
    // id of one that was never heard of is empty.
    void ask(const SocketAddress &address, const InstanceId &id, Duration longest,
             AskList list = AskList::IfDue);
    using PermitsAnswered = std::function<void(const PermitAnswer &)>;
    // What permits are asked for.
    struct PermitQuestion
    {
        InstanceId upstream;
        UpstreamStart start;
        std::uint32_t wanted = 0;
        std::optional<LimitWord> limit;    // That the upstream named; nothing: none.
        std::optional<RequestRate> warmUp; // What it takes while it warms up; nothing: it is warm.
    };
    // Asks the gateway `issuer` for permits. `answered` is called once, also when no answer comes.
    void askForPermits(const GatewayRecord &issuer, const PermitQuestion &question,
                       PermitsAnswered answered);
    // Wakes the questions that wait here, if there is news for them. Call it often.
    void tick();
    // Returns when another gateway last answered that it has no configuration; the distant past
    // when none did.
    TimePoint unknownAt() const { return unknownAt_; }
    // Returns when any gateway last answered; the distant past when none did.
    TimePoint answeredAt() const { return answeredAt_; }

private:
    class Server;

    struct Link
    {
        std::unique_ptr<RpcLink> rpc;
        InstanceId id; // Empty until it has answered.
        bool asking = false;
        bool askAgain = false;        // It has news; ask once more when the question is answered.
        std::uint64_t groupsMark = 0; // Of the groups that it has told last, or of those known here
                                      // when it was first asked.
        std::uint64_t crashCursor = 0; // Of what it has told of requests that end upstreams.
        std::uint64_t limitsMark = 0;  // Of the limits that it has told last.
        TimePoint notBefore{};
        TimePoint usedAt{};
    };

    GatewayPeers(EventLoop &loop, GatewayKnowledge &knowledge, const GossipState &beliefs,
                 const StoreProtocol &store, GatewayDirectory &directory, Heard heard);
    tl::expected<void, NetError> open();

    Link &linkTo(const SocketAddress &address);
    void onNews(const SocketAddress &address, TimePoint askedAt, wire::GatewayNews::Reader news);
    void onFailed(const SocketAddress &address);
    bool takeNews(TimePoint askedAt, wire::GatewayNews::Reader news);
    bool isListDue(const Link &link, TimePoint now) const;
    void takeGateways(wire::GatewayNews::Reader news, TimePoint now);
    void writeGateways(wire::GatewayNews::Builder news, std::uint64_t askerMark) const;
    void takeGroups(Link &link, TimePoint askedAt, wire::GatewayNews::Reader news);
    void takeCrashes(Link &link, TimePoint askedAt, wire::GatewayNews::Reader news);
    void takeLimits(Link &link, TimePoint askedAt, wire::GatewayNews::Reader news);
    PermitAnswer handPermits(wire::GatewayPeer::PermitsParams::Reader question);
    void onHasNews(const GatewayRecord &from);
    // Counts the crashes and the changes of limits that this gateway saw itself.
    std::uint64_t ownNews() const
    {
        return crashes_.cursor() - learnedCrashes_ + limits_.ownChanges();
    }
    void announce(TimePoint now);
    void announceTo(const HallId &hall, TimePoint now);
    // What an asker says that it knows.
    struct Asker
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
    bool hasNewsFor(const Asker &asker) const;
    void writeNews(wire::GatewayNews::Builder news, const Asker &asker, Duration held);
    void noteList();
    void writeUpstreams(wire::GatewayNews::Builder news, const Asker &asker);
    std::optional<std::vector<UpstreamRecord>> readUpstreams(wire::GatewayNews::Reader news) const;
    void writeGroups(wire::GatewayNews::Builder news, std::uint64_t mark) const;
    void writeCrashes(wire::GatewayNews::Builder news, std::uint64_t cursor) const;
    void writeLimits(wire::GatewayNews::Builder news, const Asker &asker) const;
    void taskFailed(kj::Exception &&exception) override;

    EventLoop &loop_;
    GatewayKnowledge &knowledge_;
    GroupTable &groups_;
    CrashRecord &crashes_;
    UpstreamLimits &limits_;
    PermitIssuer &permitIssuer_;
    const StoreProtocol &store_;
    GatewayDirectory &directory_;
    Heard heard_;
    std::unique_ptr<RawTransport> transport_;
    WakeList waiting_;
    std::map<std::uint64_t, std::unique_ptr<RpcPeer>> incoming_;
    std::uint64_t nextIncoming_ = 1;
    std::map<std::pair<std::string, int>, Link> links_; // By address.
    std::vector<std::uint8_t> packed_;                  // The document of `packedVersion_`.
    ConfigVersion packedVersion_;
    UpstreamHistory history_;
    std::uint64_t toldMark_ = 0; // The state at the last tick.
    ConfigVersion toldVersion_;
    std::uint64_t toldGroupsMark_ = 0;
    std::uint64_t toldCrashes_ = 0;    // A cursor of the record, as those below.
    std::uint64_t toldLimits_ = 0;     // A mark of the limits.
    std::uint64_t learnedCrashes_ = 0; // Changes of the record that other gateways brought.
    std::uint64_t firstOwnNews_ = 0;   // What `ownNews` was at the start.
    std::uint64_t announcedNews_ = 0;  // What it was when all halls had been told.
    // To the first gateway of a hall, that there is news here.
    struct Announcement
    {
        std::uint64_t told = 0; // Of `ownNews`.
        bool underWay = false;
        TimePoint notBefore{};
    };
    std::map<HallId, Announcement> announcements_;
    TimePoint unknownAt_{};
    TimePoint answeredAt_{};
    TimePoint startedAt_{};
    TimePoint listAskedAt_{};     // Last, from any gateway.
    TimePoint configNotBefore_{}; // It rests from reading the last configuration until then.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    kj::TaskSet tasks_;
};

} // namespace seamarch
