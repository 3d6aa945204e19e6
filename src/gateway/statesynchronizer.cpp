#include "gateway/statesynchronizer.h"

#include "base/digest.h"
#include "base/log.h"

#include <algorithm>
#include <utility>

namespace seamarch {
namespace {

// How long a question to the gateway that is followed waits for news. Knowledge is at most this
// much older here than there.
constexpr Duration kFollowLongPoll = std::chrono::milliseconds(400);
// The gateway that follows the store takes another's word when its own is this old.
constexpr Duration kMaxStoreWatchAge = std::chrono::milliseconds(1200);
// An own watch that was begun because knowledge was old goes on for this long.
constexpr Duration kFallbackWatchDuration = std::chrono::seconds(3);
// After another gateway has shown that it knows more, the store is asked again from then on.
constexpr Duration kStoreBackoff = std::chrono::seconds(1);
// A new gateway asks the others for this long before it asks the store; longer while they answer
// that they have no configuration either, as when a site starts.
constexpr Duration kPeerBootstrapWait = std::chrono::milliseconds(700);
constexpr Duration kMaxPeerBootstrapWait = std::chrono::seconds(5);
// How often the gateway that follows the store asks the first of each other hall, and any one. That
// keeps the lists of gateways together: of a gateway in any hall all hear again well within the
// time after which it is forgotten, and two that follow the store in one hall find each other.
constexpr Duration kListExchangeInterval = std::chrono::seconds(2);
// How often any gateway is asked while knowledge is old.
constexpr Duration kStaleQueryInterval = std::chrono::milliseconds(150);
// A gateway that nobody has answered for this long may be cut off from the others.
constexpr Duration kPeerContactTimeout = std::chrono::seconds(1);
// How often it is looked at whom to ask about groups; answers come when something changes.
constexpr Duration kGroupPollInterval = std::chrono::milliseconds(50);
constexpr Duration kSeedQueryInterval = std::chrono::milliseconds(300);
// A new gateway may not know yet who is first of its hall: when a site starts, the seeds hear of
// all gateways within a second, and tell them within two more. Until then it hears the seeds.
constexpr Duration kDiscoveryPeriod = std::chrono::seconds(3);

GatewayRecord makeRecord(const StateSynchronizer::Settings &settings)
{
    const SocketAddress address = settings.peerListen.value_or(SocketAddress{});
    return {settings.instance, settings.hall, address.host, address.port};
}

} // namespace

StateSynchronizer::StateSynchronizer(EventLoop &loop, HttpClient &client,
                                     const StoreProtocol &store, GatewayKnowledge &knowledge,
                                     const GossipState &gossip, const Settings &settings)
    : loop_(loop)
    , client_(client)
    , store_(store)
    , knowledge_(knowledge)
    , gossip_(gossip)
    , settings_(settings)
    , directory_(makeRecord(settings), GatewayDirectory::Settings())
    , startedAt_(loop.now())
    , nextSeed_(randomIdentity())
{}

tl::expected<std::unique_ptr<StateSynchronizer>, NetError>
StateSynchronizer::create(EventLoop &loop, HttpClient &client, const StoreProtocol &store,
                          GatewayKnowledge &knowledge, const GossipState &gossip,
                          const Settings &settings)
{
    std::unique_ptr<StateSynchronizer> sources(
        new StateSynchronizer(loop, client, store, knowledge, gossip, settings));
    if (auto opened = sources->open(); !opened) {
        return tl::unexpected(opened.error());
    }
    return sources;
}

tl::expected<void, NetError> StateSynchronizer::open()
{
    if (settings_.agentPort) {
        auto watch = GroupPoller::create(loop_, knowledge_, gossip_.groups, *settings_.agentPort);
        if (!watch) {
            return tl::unexpected(watch.error());
        }
        groupPoller_ = std::move(*watch);
    }
    if (!settings_.peerListen) {
        return {};
    }
    auto peers = GatewayPeers::create(loop_, knowledge_, gossip_, store_, directory_,
                                      [this](const SharedKnowledge &shared, TimePoint confirmedAt) {
                                          return onSharedState(shared, confirmedAt);
                                      });
    if (!peers) {
        return tl::unexpected(peers.error());
    }
    peers_ = std::move(*peers);
    return {};
}

void StateSynchronizer::requestPermits(const SendPermits::Ask &ask,
                                       GatewayPeers::PermitsAnswered answered)
{
    const TimePoint now = loop_.now();
    const UpstreamRecord *upstream = knowledge_.upstreams().find(ask.upstream);
    if (upstream == nullptr) {
        answered({}); // It is gone.
        return;
    }
    GatewayPeers::PermitQuestion question{upstream->id, upstream->start, ask.wanted, {}, {}};
    if (const LimitWord *word = gossip_.limits.find(*upstream); word != nullptr && word->rate) {
        question.limit = *word;
    }
    question.warmUp = gossip_.warmUps.limitOf(*upstream, now);
    if (!question.limit && !question.warmUp) {
        answered({}); // It names none any more, and is warm.
        return;
    }
    const InstanceId issuer = directory_.issuerOf(ask.upstream, upstream->hall, now);
    const GatewayRecord *record = directory_.find(issuer);
    if (peers_ == nullptr || record == nullptr) {
        const InstanceId &self = settings_.instance;
        const RequestRate rate = question.limit ? *question.limit->rate : *question.warmUp;
        answered(gossip_.permitIssuer.take(
            ask.upstream, std::min(rate, question.warmUp.value_or(rate)), self, ask.wanted, now));
        return;
    }
    peers_->askForPermits(*record, question, std::move(answered));
}

std::uint64_t StateSynchronizer::storeCalls() const
{
    return endedWatcherCalls_ + (watcher_ ? watcher_->calls() : 0);
}

// Takes another gateway's knowledge while the own is not fresh from the store. A watch that is
// under way would go on from an older list; it is begun anew later, if it is still wanted.
bool StateSynchronizer::onSharedState(const SharedKnowledge &shared, TimePoint confirmedAt)
{
    if (watcher_ != nullptr && knowledge_.confirmed() && knowledge_.age() < kMaxStoreWatchAge) {
        knowledge_.adoptVersion(shared);
        return false;
    }
    if (!knowledge_.adopt(shared, confirmedAt)) {
        return false;
    }
    if (watcher_ != nullptr) {
        followStore(false, "another gateway knows more");
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

// Tells whether this gateway is so new that it may not know the others of its hall.
bool StateSynchronizer::isDiscovering(TimePoint now) const
{
    return !settings_.seeds.empty() && !isSeed() && now - startedAt_ < kDiscoveryPeriod;
}

// Tells whether this gateway is new and may yet hear the configuration from others.
bool StateSynchronizer::waitsForPeers(TimePoint now) const
{
    if (peers_ == nullptr || settings_.seeds.empty() || isSeed() || knowledge_.hasConfiguration()) {
        return false;
    }
    const bool peersLackConfiguration = now - peers_->unknownAt() < kPeerBootstrapWait;
    return now - startedAt_ < (peersLackConfiguration ? kMaxPeerBootstrapWait : kPeerBootstrapWait);
}

KnowledgeTimes StateSynchronizer::times() const
{
    const FreshnessBounds &bounds = knowledge_.freshness();
    return knowledgeTimes({bounds.keys, bounds.deny});
}

// Tells whether others of the hall ask the store in place of this gateway, and it hears them.
bool StateSynchronizer::peersQueryStore(TimePoint now) const
{
    const bool peersAnswer = peers_ != nullptr && now - peers_->answeredAt() < kPeerContactTimeout;
    return peersAnswer && !hasStoreTurn(directory_.place().index);
}

// Tells whether it is this gateway's turn to ask the store, although it follows another one.
bool StateSynchronizer::isStoreQueryDue(TimePoint now) const
{
    if (peersQueryStore(now)) {
        return false;
    }
    if (!knowledge_.confirmed()) {
        return !waitsForPeers(now);
    }
    return knowledge_.age() > storeTurnAge(times(), directory_.place().index);
}

void StateSynchronizer::stop()
{
    stopped_ = true;
    followStore(false, "the gateway stops");
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
    const InstanceId followed = directory_.follower(now);
    const bool followsSelf = followed == settings_.instance;
    // While a site starts nobody knows yet who is first of its hall, and seeds are heard by all.
    pollGroups(isSeed() && now - startedAt_ < kDiscoveryPeriod ? true
                                                               : followsSelf && !isDiscovering(now),
               now);
    if (isStoreQueryDue(now)) {
        fallbackWatchUntil_ = now + kFallbackWatchDuration;
    }
    if (waitsForPeers(now) || now < storeBackoffUntil_) {
        followStore(false, "hears other gateways first");
    } else if (followsSelf && !isDiscovering(now)) {
        followStore(true, "first of its hall");
    } else if (now < fallbackWatchUntil_) {
        followStore(true, "knowledge is old");
    } else {
        followStore(false, "another gateway of the hall follows it");
    }
    queryPeers(followed, now);
    peers_->tick();
}

void StateSynchronizer::pollGroups(bool active, TimePoint now)
{
    if (groupPoller_ != nullptr && now - groupsPolledAt_ >= kGroupPollInterval) {
        groupsPolledAt_ = now;
        groupPoller_->tick(active);
    }
}

void StateSynchronizer::queryPeers(const InstanceId &followed, TimePoint now)
{
    const bool followsSelf = followed == settings_.instance;
    // Knowledge that is followed is older than that of the gateway that follows the store.
    const bool stale = !knowledge_.confirmed()
                       || knowledge_.age() > (followsSelf ? kMaxStoreWatchAge : times().old);
    if (!followsSelf) {
        queryGateway(followed, kFollowLongPoll);
    } else if (directory_.size() > 1 && now - listsQueriedAt_ >= kListExchangeInterval) {
        // One that knew nobody, as a seed that starts anew, asks the first that it hears of at
        // once: what it has forgotten must be known within the time in which it counts as in touch.
        listsQueriedAt_ = now;
        queryOtherHalls(now);
        queryGateway(directory_.another(settings_.instance, now), Duration{},
                     GatewayPeers::AskList::Always);
        queryNextSeed();
    }
    if (stale && now - staleQueriedAt_ >= kStaleQueryInterval) {
        staleQueriedAt_ = now;
        queryGateway(followsSelf ? nextRemoteGateway(now) : directory_.another(followed, now),
                     Duration{});
    }
    if (now - seedsQueriedAt_ >= kSeedQueryInterval) {
        querySeeds(followsSelf && isDiscovering(now), now);
    }
}

// Seeds are asked while nobody else is known, and by all that have heard of few. A gateway that is
// new and knows of nobody to follow `follows` one of them: the same one, so that it is not handed
// the whole list again, unless that one has no news.
void StateSynchronizer::querySeeds(bool follows, TimePoint now)
{
    const bool knowsFewGateways = directory_.size() <= settings_.seeds.size();
    if (!knowsFewGateways && !follows) {
        return;
    }
    seedsQueriedAt_ = now;
    nextSeed_ += knowledge_.confirmed() && knowledge_.age() < kMaxStoreWatchAge ? 0 : 1;
    for (std::size_t index = 0; index < settings_.seeds.size(); ++index) {
        const bool selected = knowsFewGateways || index == nextSeed_ % settings_.seeds.size();
        if (selected && settings_.peerListen != settings_.seeds[index]) {
            peers_->ask(settings_.seeds[index], InstanceId(), Duration{});
        }
    }
}

// Returns the first of another hall, a different one with each call: those that follow the store
// know most. Any gateway where there is no other hall.
std::optional<InstanceId> StateSynchronizer::nextRemoteGateway(TimePoint now)
{
    std::vector<InstanceId> candidates;
    for (const HallId &hall : directory_.halls()) {
        const auto first = hall == settings_.hall ? std::nullopt : directory_.firstOf(hall, now);
        if (first) {
            candidates.push_back(*first);
        }
    }
    if (candidates.empty()) {
        return directory_.another(settings_.instance, now);
    }
    return candidates[nextHall_++ % candidates.size()];
}

void StateSynchronizer::queryOtherHalls(TimePoint now)
{
    for (const HallId &hall : directory_.halls()) {
        if (hall != settings_.hall) {
            queryGateway(directory_.firstOf(hall, now), Duration{}, GatewayPeers::AskList::Always);
        }
    }
}

// A seed that starts anew while no other one lives is told of nobody; who asks it is whom it hears
// of.
void StateSynchronizer::queryNextSeed()
{
    if (settings_.seeds.empty()) {
        return;
    }
    const SocketAddress &seed = settings_.seeds[nextSeed_++ % settings_.seeds.size()];
    if (seed != settings_.peerListen) {
        peers_->ask(seed, InstanceId(), Duration{}, GatewayPeers::AskList::Always);
    }
}

void StateSynchronizer::queryGateway(const std::optional<InstanceId> &id, Duration longPollWait,
                                     GatewayPeers::AskList list)
{
    const GatewayRecord *record = id ? directory_.find(*id) : nullptr;
    if (record != nullptr) {
        peers_->ask({record->host, record->port}, record->id, longPollWait, list);
    }
}

void StateSynchronizer::followStore(bool wanted, std::string_view reason)
{
    if (wanted == followsStore()) {
        return;
    }
    logLine(LogLevel::Info, wanted ? "store.followed" : "store.left",
            {{"reason", reason},
             {"gateways", directory_.size()},
             {"knowledgeAgeMs", knowledge_.confirmed() ? toMillis(knowledge_.age()) : -1}});
    if (!wanted) {
        endedWatcherCalls_ += watcher_->calls();
        watcher_.reset();
        return;
    }
    StoreWatcher::Settings watch;
    watch.longPollWait = peers_ == nullptr ? watch.longPollWait : times().watchWait;
    watch.coalesceDelay = settings_.storeCoalesceDelay;
    watch.seed = randomIdentity();
    watcher_ = std::make_unique<StoreWatcher>(loop_, client_, store_, knowledge_, watch);
    watcher_->start();
}

} // namespace seamarch
