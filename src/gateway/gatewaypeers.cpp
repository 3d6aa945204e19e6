#include "gateway/gatewaypeers.h"

#include "base/log.h"
#include "gateway/configreaddelay.h"
#include "gateway/gatewaywire.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace seamarch {
namespace {

// The longest time that a poll may wait here for an update.
constexpr Duration kMaxPollWait = std::chrono::seconds(1);
// The ordinal of `exchange` in wire::GatewayPeer.
constexpr std::uint16_t kExchangeMethod = 0;
// Sent as the own version to request no configuration: no configuration is newer than this one.
constexpr std::uint64_t kNewerThanAnyConfig = std::numeric_limits<std::uint64_t>::max();
// A connection is closed after it was not used for this long.
constexpr Duration kLinkIdleTimeout = std::chrono::seconds(15);

std::pair<std::string, int> keyOf(const SocketAddress &address)
{
    return {address.host, address.port};
}

} // namespace

// Serves the calls of the other gateways.
class GatewayPeers::Server final : public wire::GatewayPeer::Server
{
public:
    explicit Server(GatewayPeers &peers)
        : peers_(peers)
    {}

    kj::Promise<void> exchange(ExchangeContext context) override
    {
        const auto params = context.getParams();
        const TimePoint receivedAt = peers_.loop_.now();
        const GatewayRecord poller = readGateway(params.getSelf());
        peers_.directory_.recordSeen(poller, receivedAt);
        peers_.applyDemand(poller, params);
        const PollRequest pollRequest{ConfigVersion(params.getConfigVersion()),
                                      params.getUpstreamsMark(),
                                      params.getTakesChanges(),
                                      params.getGroupsMark(),
                                      params.getCrashCursor(),
                                      params.getWantsGateways(),
                                      params.getGatewaysMark(),
                                      params.getWantsLimits(),
                                      params.getLimitsMark()};
        const Duration wait = std::min(Duration(params.getWaitMicros()), kMaxPollWait);
        auto answer = [this, context, pollRequest, poller, receivedAt]() mutable {
            peers_.writeNews(peers_.initNews(context.getResults(), poller), pollRequest,
                             peers_.loop_.now() - receivedAt);
        };
        if (wait <= Duration{} || peers_.hasNewsFor(pollRequest)) {
            answer();
            return kj::READY_NOW;
        }
        return peers_.waitingPolls_.wait(wait).then(kj::mv(answer));
    }

    kj::Promise<void> hasNews(HasNewsContext context) override
    {
        peers_.onHasNews(readGateway(context.getParams().getSelf()));
        return kj::READY_NOW;
    }

    kj::Promise<void> permits(PermitsContext context) override
    {
        const PermitGrant answer = peers_.grantPermits(context.getParams());
        context.getResults().setGranted(answer.granted);
        context.getResults().setAskAgainMicros(answer.retryAfter.count());
        return kj::READY_NOW;
    }

private:
    GatewayPeers &peers_;
};

GatewayPeers::GatewayPeers(EventLoop &loop, GatewayStoreView &storeView, const GossipState &gossip,
                           const StoreProtocol &store, GatewayDirectory &directory,
                           StateReceived onStateReceived)
    : loop_(loop)
    , storeView_(storeView)
    , groups_(gossip.groups)
    , crashes_(gossip.crashes)
    , limits_(gossip.limits)
    , permitIssuer_(gossip.permitIssuer)
    , demand_(gossip.demand)
    , store_(store)
    , directory_(directory)
    , onStateReceived_(std::move(onStateReceived))
    , waitingPolls_(loop)
    , gatewayList_(loop, directory)
    , upstreamList_(loop, storeView)
    , lastCrashCursor_(crashes_.cursor())
    , lastLimitsVersion_(limits_.version())
    , initialOwnEventCount_(ownEventCount())
    , announcedEventCount_(ownEventCount())
    , tasks_(*this)
{}

GatewayPeers::~GatewayPeers()
{
    *alive_ = false;
}

tl::expected<std::unique_ptr<GatewayPeers>, NetError>
GatewayPeers::create(EventLoop &loop, GatewayStoreView &storeView, const GossipState &gossip,
                     const StoreProtocol &store, GatewayDirectory &directory,
                     StateReceived onStateReceived)
{
    std::unique_ptr<GatewayPeers> peers(
        new GatewayPeers(loop, storeView, gossip, store, directory, std::move(onStateReceived)));
    if (auto opened = peers->open(); !opened) {
        return tl::unexpected(opened.error());
    }
    return peers;
}

tl::expected<void, NetError> GatewayPeers::open()
{
    auto transport = RawTransport::create(loop_);
    if (!transport) {
        return tl::unexpected(transport.error());
    }
    transport_ = std::move(*transport);
    const SocketAddress address{directory_.self().host, directory_.self().port};
    return transport_->listen(address, [this](kj::Own<RawStream> stream) {
        const std::uint64_t id = nextIncoming_++;
        auto peer = RpcPeer::server(kj::mv(stream), kj::heap<Server>(*this));
        peer->onClosed([this, id] { loop_.post([this, id] { incoming_.erase(id); }); });
        incoming_.emplace(id, std::move(peer));
    });
}

void GatewayPeers::taskFailed(kj::Exception &&exception)
{
    logLine(LogLevel::Warning, "gateway.call_failed",
            {{"message", exception.getDescription().cStr()}});
}

GatewayPeers::Link &GatewayPeers::linkTo(const SocketAddress &address)
{
    Link &link = links_[keyOf(address)];
    if (link.rpc == nullptr) {
        link.rpc = std::make_unique<RpcLink>(loop_, *transport_, address);
    }
    link.usedAt = loop_.now();
    return link;
}

void GatewayPeers::poll(const SocketAddress &address, const InstanceId &id, Duration maxWait,
                        ListRequest list)
{
    const TimePoint now = loop_.now();
    Link &link = linkTo(address);
    if (link.polling || now < link.notBefore) {
        return;
    }
    link.id = id == InstanceId() ? link.id : id;
    // The list includes the id of the other gateway.
    const bool withGatewayList =
        list == ListRequest::Always || link.id == InstanceId() || gatewayList_.isDue();
    if (withGatewayList) {
        gatewayList_.onRequested();
    }
    link.polling = true;
    auto message = link.rpc->capability().typelessRequest(capnp::typeId<wire::GatewayPeer>(),
                                                          kExchangeMethod, nullptr);
    auto request = initPoll(message, link);
    writeGateway(directory_.self(), Duration{}, request.initSelf());
    const bool configDeferred = now < configNotBefore_;
    if (configDeferred) {
        maxWait = std::min(maxWait, configNotBefore_ - now);
    }
    request.setConfigVersion(configDeferred ? kNewerThanAnyConfig : storeView_.version().value());
    request.setUpstreamsMark(storeView_.advertisedDigest());
    request.setTakesChanges(true);
    request.setWantsGateways(withGatewayList);
    request.setGatewaysMark(directory_.digest());
    request.setWaitMicros(maxWait.count());
    link.groupsDigest = link.groupsDigest == 0 ? groups_.digest() : link.groupsDigest;
    request.setGroupsMark(link.groupsDigest);
    request.setCrashCursor(link.crashCursor);
    request.setWantsLimits(true);
    request.setLimitsMark(link.limitsVersion);
    // The first of the answer and the timeout ends the poll.
    const auto finished = std::make_shared<bool>(false);
    loop_.schedule(maxWait + detail::kPeerTimeout, [this, address, finished, alive = alive_] {
        if (*alive && !std::exchange(*finished, true)) {
            // The connection may be dead without an error, while a new one would work.
            linkTo(address).rpc.reset();
            onFailed(address);
        }
    });
    tasks_.add(message.send().then(
        [this, address, now, finished](capnp::Response<capnp::AnyPointer> &&answer) {
            if (!std::exchange(*finished, true)) {
                onNews(address, now, answer.getAs<wire::GatewayPeer::ExchangeResults>().getNews());
            }
        },
        [this, address, finished](kj::Exception && /*exception*/) {
            if (!std::exchange(*finished, true)) {
                onFailed(address);
            }
        }));
}

void GatewayPeers::onFailed(const SocketAddress &address)
{
    Link &link = linkTo(address);
    link.polling = false;
    link.notBefore = loop_.now() + detail::kPeerRetryDelay;
    gatewayList_.onFailed();
    if (link.id != InstanceId()) {
        if (demand_ != nullptr) {
            demand_->onFailed(link.id);
        }
        directory_.onFailed(link.id, loop_.now());
        logLine(LogLevel::Info, "gateway.unanswered", {{"gateway", link.id.value()}});
    }
}

void GatewayPeers::onNews(const SocketAddress &address, TimePoint sentAt,
                          wire::GatewayNews::Reader news)
{
    const TimePoint now = loop_.now();
    Link &link = linkTo(address);
    link.polling = false;
    lastAnswerAt_ = now;
    if (news.getGateways().size() > 0) {
        link.id = readGateway(news.getGateways()[0]).id;
        gatewayList_.apply(news);
    }
    directory_.onAnswered(link.id, now);
    applyGroups(link, sentAt, news);
    applyCrashes(link, sentAt, news);
    applyLimits(link, sentAt, news);
    applyDemand(link, sentAt, news);
    if (!news.getKnown()) {
        lastUnconfiguredAnswerAt_ = now;
    }
    if (!news.getKnown() || !applyNews(sentAt, news)) {
        link.notBefore = now + detail::kPeerRetryDelay;
    }
    if (std::exchange(link.pollAgain, false)) {
        link.notBefore = {};
        poll(address, link.id, Duration{});
    }
}

bool GatewayPeers::applyNews(TimePoint sentAt, wire::GatewayNews::Reader news)
{
    PeerStoreState peerState;
    peerState.position = {news.getEra(), news.getRevision()};
    peerState.version = ConfigVersion(news.getConfigVersion());
    peerState.upstreamsDigest = news.getUpstreamsMark();
    if (news.hasConfig() && peerState.version > storeView_.version()) {
        const auto bytes = news.getConfig();
        const auto text = decompressText(bytes.begin(), bytes.size(), news.getConfigBytes());
        auto document =
            text ? store_.readDocument(*text)
                 : tl::unexpected(std::string("it does not decompress to the stated size"));
        if (!document) {
            logLine(LogLevel::Warning, "gateway.news_unreadable", {{"fault", document.error()}});
            return false;
        }
        configNotBefore_ = loop_.now() + configReadDelay(text->size());
        peerState.document = std::move(*document);
    }
    if (news.hasUpstreams()) {
        peerState.upstreams = upstreamList_.read(news);
        peerState.drainedHalls = readDrainedHalls(news);
    }
    const Duration held(news.getHeldMicros());
    const Duration age(news.getAgeMicros());
    return onStateReceived_(peerState, sentAt + held - age);
}

bool GatewayPeers::hasNewsFor(const PollRequest &pollRequest) const
{
    const bool groupsChanged =
        lastGroupsDigest_ != 0 && lastGroupsDigest_ != pollRequest.groupsDigest;
    return storeView_.version() > pollRequest.version
           || storeView_.upstreamsDigest() != pollRequest.upstreamsDigest || groupsChanged
           || crashes_.hasChangedSince(pollRequest.crashCursor)
           || (pollRequest.wantsLimits && limits_.version() != pollRequest.limitsVersion);
}

void GatewayPeers::writeNews(wire::GatewayNews::Builder news, const PollRequest &pollRequest,
                             Duration held)
{
    if (pollRequest.wantsGateways) {
        gatewayList_.write(news, pollRequest.gatewaysDigest);
    }
    news.setHeldMicros(held.count());
    writeGroups(news, pollRequest.groupsDigest);
    writeCrashes(news, pollRequest.crashCursor);
    writeLimits(news, pollRequest);
    if (!storeView_.hasConfiguration() || !storeView_.confirmed()) {
        return;
    }
    news.setKnown(true);
    news.setAgeMicros(storeView_.age().count());
    news.setRevision(storeView_.position().revision);
    news.setEra(storeView_.position().era);
    news.setConfigVersion(storeView_.version().value());
    if (storeView_.version() > pollRequest.version) {
        if (compressedVersion_ != storeView_.version()) {
            compressedVersion_ = storeView_.version();
            compressedDocument_ = compressText(storeView_.documentText());
        }
        news.setConfig(kj::arrayPtr(compressedDocument_.data(), compressedDocument_.size()));
        news.setConfigBytes(static_cast<std::uint32_t>(storeView_.documentText().size()));
    }
    news.setUpstreamsMark(storeView_.upstreamsDigest());
    if (storeView_.upstreamsDigest() != pollRequest.upstreamsDigest) {
        upstreamList_.write(news, pollRequest.takesChanges ? pollRequest.upstreamsDigest : 0);
        writeDrainedHalls(storeView_.upstreams().drainedHalls(), news);
    }
}

void GatewayPeers::tick()
{
    const TimePoint now = loop_.now();
    const std::uint64_t groupsDigest = groups_.digest();
    if (storeView_.upstreamsDigest() != lastUpstreamsDigest_ || storeView_.version() != lastVersion_
        || groupsDigest != lastGroupsDigest_ || crashes_.cursor() != lastCrashCursor_
        || limits_.version() != lastLimitsVersion_) {
        upstreamList_.recordState();
        lastUpstreamsDigest_ = storeView_.upstreamsDigest();
        lastVersion_ = storeView_.version();
        lastGroupsDigest_ = groupsDigest;
        lastCrashCursor_ = crashes_.cursor();
        lastLimitsVersion_ = limits_.version();
        waitingPolls_.notifyAll();
    }
    announce(now);
    std::erase_if(links_, [now](const auto &entry) {
        return !entry.second.polling && now - entry.second.usedAt > kLinkIdleTimeout;
    });
}

} // namespace seamarch
