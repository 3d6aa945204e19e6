#include "gateway/statesynchronizer.h"

#include "base/digest.h"
#include "base/log.h"

#include <algorithm>
#include <utility>

namespace seamarch {
namespace {

// How long a poll of the followed gateway waits for changes. A follower's state is at most this
// much older than that of the gateway that it follows.
constexpr Duration kFollowLongPoll = std::chrono::milliseconds(400);
// A gateway that follows the store adopts state from other gateways once its own state is this old.
constexpr Duration kMaxFreshAge = std::chrono::milliseconds(1200);
// How long a watch lasts that was started because the state was stale.
constexpr Duration kFallbackWatchDuration = std::chrono::seconds(3);
// How long the store is not polled after another gateway has provided newer state.
constexpr Duration kStoreBackoff = std::chrono::seconds(1);
// How long a new gateway polls only other gateways before it polls the store. The maximum
// applies while the others answer that they have no configuration either, as when a whole site
// starts.
constexpr Duration kPeerBootstrapWait = std::chrono::milliseconds(700);
constexpr Duration kMaxPeerBootstrapWait = std::chrono::seconds(5);
// How long a new gateway that is named as a seed does the same. When a whole site starts, the
// others get their configuration from the seeds.
constexpr Duration kSeedBootstrapWait = std::chrono::milliseconds(300);
// Interval at which a gateway that follows the store exchanges gateway lists with the first gateway
// of each other hall and with one arbitrary gateway. This keeps the lists consistent: every gateway
// is reported to all halls well within the time after which it would be forgotten, and two gateways
// of one hall that both follow the store discover each other.
constexpr Duration kListExchangeInterval = std::chrono::seconds(2);
// Interval between polls of arbitrary gateways while the state is stale.
constexpr Duration kStalePollInterval = std::chrono::milliseconds(150);
// A gateway that has had no answer from any peer for this long may be partitioned from the others.
constexpr Duration kPeerContactTimeout = std::chrono::seconds(1);
// Interval at which the poller checks which agents to poll. Replies arrive when something changes.
constexpr Duration kGroupPollInterval = std::chrono::milliseconds(50);
constexpr Duration kSeedPollInterval = std::chrono::milliseconds(300);
// How long a new gateway may not know the first gateway of its hall, and polls the seeds instead.
// When a site starts, the seeds learn of all gateways within one second and distribute the list
// within two more.
constexpr Duration kDiscoveryPeriod = std::chrono::seconds(3);

// Interval at which the gateways of the directory are counted; it forgets them more slowly.
constexpr Duration kCensusInterval = std::chrono::seconds(1);

GatewayCensus::Settings censusSettings(const StateSynchronizer::Settings &settings)
{
    GatewayCensus::Settings census;
    census.halls = settings.halls;
    census.expectsPeers =
        std::any_of(settings.seeds.begin(), settings.seeds.end(),
                    [&](const SocketAddress &seed) { return seed != settings.peerListen; });
    return census;
}

GatewayRecord makeRecord(const StateSynchronizer::Settings &settings)
{
    const SocketAddress address = settings.peerListen.value_or(SocketAddress{});
    return {settings.instance, settings.hall, address.host, address.port};
}

} // namespace

StateSynchronizer::StateSynchronizer(EventLoop &loop, HttpClient &client,
                                     const StoreProtocol &store, GatewayStoreView &storeView,
                                     const GossipState &gossip, const Settings &settings)
    : loop_(loop)
    , client_(client)
    , store_(store)
    , storeView_(storeView)
    , gossip_(gossip)
    , settings_(settings)
    , directory_(makeRecord(settings), GatewayDirectory::Settings())
    , census_(censusSettings(settings), settings.hall)
    , startedAt_(loop.now())
    , nextSeed_(randomNonzeroId())
{}

tl::expected<std::unique_ptr<StateSynchronizer>, NetError>
StateSynchronizer::create(EventLoop &loop, HttpClient &client, const StoreProtocol &store,
                          GatewayStoreView &storeView, const GossipState &gossip,
                          const Settings &settings)
{
    std::unique_ptr<StateSynchronizer> sources(
        new StateSynchronizer(loop, client, store, storeView, gossip, settings));
    if (auto opened = sources->open(); !opened) {
        return tl::unexpected(opened.error());
    }
    return sources;
}

tl::expected<void, NetError> StateSynchronizer::open()
{
    if (settings_.agentPort) {
        auto poller = GroupPoller::create(loop_, storeView_, gossip_.groups, *settings_.agentPort);
        if (!poller) {
            return tl::unexpected(poller.error());
        }
        groupPoller_ = std::move(*poller);
    }
    if (!settings_.peerListen) {
        return {};
    }
    auto peers =
        GatewayPeers::create(loop_, storeView_, gossip_, store_, directory_,
                             [this](const PeerStoreState &peerState, TimePoint confirmedAt) {
                                 return onPeerState(peerState, confirmedAt);
                             });
    if (!peers) {
        return tl::unexpected(peers.error());
    }
    peers_ = std::move(*peers);
    return {};
}

void StateSynchronizer::requestPermits(const SendPermits::Query &query,
                                       GatewayPeers::PermitsCallback answered)
{
    const TimePoint now = loop_.now();
    const UpstreamRecord *upstream = storeView_.upstreams().find(query.upstream);
    if (upstream == nullptr) {
        answered({}); // The upstream has been removed.
        return;
    }
    GatewayPeers::PermitRequest permitRequest{upstream->id, upstream->start, query.wanted, {}, {}};
    if (const LimitReport *limitReport = gossip_.limits.find(*upstream);
        limitReport != nullptr && limitReport->rate) {
        permitRequest.limit = *limitReport;
    }
    permitRequest.warmUp = gossip_.warmUps.limitOf(*upstream, now);
    if (!permitRequest.limit && !permitRequest.warmUp) {
        answered({}); // The upstream states no limit any more and is warmed up.
        return;
    }
    const InstanceId issuer = directory_.permitIssuerFor(query.upstream, upstream->hall, now);
    const GatewayRecord *record = directory_.find(issuer);
    if (peers_ == nullptr || record == nullptr) {
        const InstanceId &self = settings_.instance;
        const RequestRate rate =
            permitRequest.limit ? *permitRequest.limit->rate : *permitRequest.warmUp;
        answered(gossip_.permitIssuer.issue(query.upstream,
                                            std::min(rate, permitRequest.warmUp.value_or(rate)),
                                            self, query.wanted, now));
        return;
    }
    peers_->requestPermits(*record, permitRequest, std::move(answered));
}

std::uint64_t StateSynchronizer::storeCalls() const
{
    return endedWatcherCalls_ + (watcher_ ? watcher_->calls() : 0);
}

// Adopts the state of another gateway unless this gateway's own state is fresh from the store. A
// running watch would continue from an older list, so it is stopped; it is restarted later if it is
// still needed.
bool StateSynchronizer::onPeerState(const PeerStoreState &peerState, TimePoint confirmedAt)
{
    if (watcher_ != nullptr && storeView_.confirmed() && storeView_.age() < kMaxFreshAge) {
        storeView_.adoptConfiguration(peerState);
        return false;
    }
    if (!storeView_.adopt(peerState, confirmedAt)) {
        return false;
    }
    if (watcher_ != nullptr) {
        followStore(false, "another gateway has newer state");
        storeBackoffUntil_ = loop_.now() + kStoreBackoff;
        fallbackWatchUntil_ = {};
    }
    return true;
}

bool StateSynchronizer::isSeed() const
{
    return std::find(settings_.seeds.begin(), settings_.seeds.end(), settings_.peerListen)
           != settings_.seeds.end();
}

void StateSynchronizer::takeCensus(TimePoint now)
{
    if (now - censusTakenAt_ < kCensusInterval) {
        return;
    }
    censusTakenAt_ = now;
    for (const GatewayDirectory::KnownPeer &peer : directory_.knownPeers()) {
        census_.recordSeen(peer.record.id, peer.record.hall, now);
    }
    census_.expire(now);
}

// Returns whether this gateway is so new that it may not know the other gateways of its hall.
bool StateSynchronizer::isDiscovering(TimePoint now) const
{
    return !settings_.seeds.empty() && !isSeed() && now - startedAt_ < kDiscoveryPeriod;
}

// Returns whether this gateway is new and may still receive the configuration from others.
bool StateSynchronizer::waitsForPeers(TimePoint now) const
{
    if (peers_ == nullptr || settings_.seeds.empty() || storeView_.hasConfiguration()) {
        return false;
    }
    if (isSeed()) {
        return now - startedAt_ < kSeedBootstrapWait;
    }
    const bool peersLackConfiguration =
        now - peers_->lastUnconfiguredAnswerAt() < kPeerBootstrapWait;
    return now - startedAt_ < (peersLackConfiguration ? kMaxPeerBootstrapWait : kPeerBootstrapWait);
}

StorePollSchedule StateSynchronizer::pollSchedule() const
{
    const FreshnessBounds &bounds = storeView_.freshness();
    return makeStorePollSchedule({bounds.keys, bounds.deny});
}

// Returns whether other gateways of the hall poll the store on behalf of this one, and this one
// receives their answers.
bool StateSynchronizer::peersPollStore(TimePoint now) const
{
    const bool peersAnswer =
        peers_ != nullptr && now - peers_->lastAnswerAt() < kPeerContactTimeout;
    return peersAnswer && !mayPollStore(directory_.hallPosition().index);
}

// Returns whether this gateway is due to poll the store although it follows another gateway.
bool StateSynchronizer::isStorePollDue(TimePoint now) const
{
    if (peersPollStore(now)) {
        return false;
    }
    if (!storeView_.confirmed()) {
        return !waitsForPeers(now);
    }
    return storeView_.age() > storePollAge(pollSchedule(), directory_.hallPosition().index);
}

void StateSynchronizer::stop()
{
    stopped_ = true;
    followStore(false, "the gateway is stopping");
}

void StateSynchronizer::tick()
{
    if (stopped_) {
        return;
    }
    const TimePoint now = loop_.now();
    if (peers_ == nullptr) {
        followStore(true, "there are no other gateways");
        pollGroups(true, now);
        return;
    }
    directory_.expire(now);
    takeCensus(now);
    const InstanceId followed = directory_.localStoreFollower(now);
    const bool followsSelf = followed == settings_.instance;
    // While a site starts, no gateway knows the first of its hall yet. All gateways poll the seeds
    // then, so the seeds poll the groups.
    pollGroups(isSeed() && now - startedAt_ < kDiscoveryPeriod ? true
                                                               : followsSelf && !isDiscovering(now),
               now);
    if (isStorePollDue(now)) {
        fallbackWatchUntil_ = now + kFallbackWatchDuration;
    }
    if (waitsForPeers(now) || now < storeBackoffUntil_) {
        followStore(false, "waiting for other gateways or backing off");
    } else if (followsSelf && !isDiscovering(now)) {
        followStore(true, "first of its hall");
    } else if (now < fallbackWatchUntil_) {
        followStore(true, "state is stale");
    } else {
        followStore(false, "another gateway of the hall follows the store");
    }
    shareDemand(followsSelf && !isDiscovering(now), now);
    pollPeers(followed, now);
    peers_->tick();
}

void StateSynchronizer::pollGroups(bool active, TimePoint now)
{
    if (groupPoller_ != nullptr && now - groupsPolledAt_ >= kGroupPollInterval) {
        groupsPolledAt_ = now;
        groupPoller_->tick(active);
    }
}

void StateSynchronizer::pollPeers(const InstanceId &followed, TimePoint now)
{
    const bool followsSelf = followed == settings_.instance;
    // A follower's state is normally older than that of a gateway that follows the store, so its
    // threshold is higher.
    const bool stale = !storeView_.confirmed()
                       || storeView_.age() > (followsSelf ? kMaxFreshAge : pollSchedule().staleAge);
    if (!followsSelf) {
        pollGateway(followed, kFollowLongPoll);
    } else if (directory_.size() > 1 && now - listsPolledAt_ >= kListExchangeInterval) {
        // A gateway that knows no others, such as a restarted seed, polls the first gateway that
        // it learns of at once: it must relearn the gateways that it has forgotten while it still
        // counts as being in contact with its peers.
        listsPolledAt_ = now;
        pollOtherHalls(now);
        pollGateway(directory_.nextPeer(settings_.instance, now), Duration{},
                    GatewayPeers::ListRequest::Always);
        pollNextSeed();
    }
    if (stale && now - stalePolledAt_ >= kStalePollInterval) {
        stalePolledAt_ = now;
        pollGateway(followsSelf ? nextRemoteGateway(now) : directory_.nextPeer(followed, now),
                    Duration{});
    }
    if (now - seedsPolledAt_ >= kSeedPollInterval) {
        pollSeeds(followsSelf && isDiscovering(now), now);
    }
}

// Polls the seeds. All seeds are polled while few gateways are known. Otherwise a new gateway
// that knows no gateway to follow (`follows`) polls a single seed, always the same one so that
// the full list is not sent again, and switches to the next when the state is not fresh.
void StateSynchronizer::pollSeeds(bool follows, TimePoint now)
{
    const bool fewGatewaysKnown = directory_.size() <= settings_.seeds.size();
    if (!fewGatewaysKnown && !follows) {
        return;
    }
    seedsPolledAt_ = now;
    nextSeed_ += storeView_.confirmed() && storeView_.age() < kMaxFreshAge ? 0 : 1;
    for (std::size_t index = 0; index < settings_.seeds.size(); ++index) {
        const bool selected = fewGatewaysKnown || index == nextSeed_ % settings_.seeds.size();
        if (selected && settings_.peerListen != settings_.seeds[index]) {
            peers_->poll(settings_.seeds[index], InstanceId(), Duration{});
        }
    }
}

// Returns the first gateway of another hall, in round-robin order, because gateways that follow the
// store have the newest state. Returns an arbitrary gateway if there is no other hall.
std::optional<InstanceId> StateSynchronizer::nextRemoteGateway(TimePoint now)
{
    std::vector<InstanceId> candidates;
    for (const HallId &hall : directory_.peerHalls()) {
        const auto first =
            hall == settings_.hall ? std::nullopt : directory_.storeFollowerOf(hall, now);
        if (first) {
            candidates.push_back(*first);
        }
    }
    if (candidates.empty()) {
        return directory_.nextPeer(settings_.instance, now);
    }
    return candidates[nextHall_++ % candidates.size()];
}

void StateSynchronizer::pollOtherHalls(TimePoint now)
{
    for (const HallId &hall : directory_.peerHalls()) {
        if (hall != settings_.hall) {
            pollGateway(directory_.storeFollowerOf(hall, now), Duration{},
                        GatewayPeers::ListRequest::Always);
        }
    }
}

// Polls the first gateways of other halls for demand; within a hall it comes with the polls of the
// first gateway.
void StateSynchronizer::shareDemand(bool isFirst, TimePoint now)
{
    if (gossip_.demand == nullptr) {
        return;
    }
    gossip_.demand->setPosition(isFirst, directory_.hallPosition().gateways);
    gossip_.demand->expire(now);
    for (const HallId &hall : directory_.peerHalls()) {
        const auto first =
            hall == settings_.hall ? std::nullopt : directory_.storeFollowerOf(hall, now);
        if (first && gossip_.demand->isHallPollDue({*first, hall}, now)) {
            pollGateway(first, Duration{});
        }
    }
}

// Polls the seeds in round-robin order. A seed that restarts while no other seed is running has
// no gateway to learn from, and learns of a gateway when that gateway polls it.
void StateSynchronizer::pollNextSeed()
{
    if (settings_.seeds.empty()) {
        return;
    }
    const SocketAddress &seed = settings_.seeds[nextSeed_++ % settings_.seeds.size()];
    if (seed != settings_.peerListen) {
        peers_->poll(seed, InstanceId(), Duration{}, GatewayPeers::ListRequest::Always);
    }
}

void StateSynchronizer::pollGateway(const std::optional<InstanceId> &id, Duration longPollWait,
                                    GatewayPeers::ListRequest list)
{
    const GatewayRecord *record = id ? directory_.find(*id) : nullptr;
    if (record != nullptr) {
        peers_->poll({record->host, record->port}, record->id, longPollWait, list);
    }
}

void StateSynchronizer::followStore(bool follow, std::string_view reason)
{
    if (follow == followsStore()) {
        return;
    }
    logLine(LogLevel::Info, follow ? "store.followed" : "store.left",
            {{"reason", reason},
             {"gateways", directory_.size()},
             {"knowledgeAgeMs", storeView_.confirmed() ? toMillis(storeView_.age()) : -1}});
    if (!follow) {
        endedWatcherCalls_ += watcher_->calls();
        watcher_.reset();
        return;
    }
    StoreWatcher::Settings watchSettings;
    watchSettings.longPollWait =
        peers_ == nullptr ? watchSettings.longPollWait : pollSchedule().longPollWait;
    watchSettings.coalesceDelay = settings_.storeCoalesceDelay;
    watchSettings.seed = randomNonzeroId();
    watcher_ = std::make_unique<StoreWatcher>(loop_, client_, store_, storeView_, watchSettings);
    watcher_->start();
}

} // namespace seamarch
