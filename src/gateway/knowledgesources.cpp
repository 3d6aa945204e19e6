#include "gateway/knowledgesources.h"

#include "base/digest.h"
#include "base/log.h"

#include <algorithm>
#include <utility>

namespace seamarch {
namespace {

// How long a question to the gateway that is followed waits for news. Knowledge is at most this
// much older here than there.
constexpr Duration kFollowWait = std::chrono::milliseconds(400);
// The gateway that follows the store takes another's word when its own is this old.
constexpr Duration kOwnOld = std::chrono::milliseconds(1200);
// An own watch that was begun because knowledge was old goes on for this long.
constexpr Duration kOwnWatch = std::chrono::seconds(3);
// After another gateway has shown that it knows more, the store is asked again from then on.
constexpr Duration kStorePause = std::chrono::seconds(1);
// A new gateway asks the others for this long before it asks the store; longer while they answer
// that they have no configuration either, as when a site starts.
constexpr Duration kHearFirst = std::chrono::milliseconds(700);
constexpr Duration kHearFirstAtMost = std::chrono::seconds(5);
// How often the gateway that follows the store asks the first of each other hall, and any one. That
// keeps the lists of gateways together: of a gateway in any hall all hear again well within the
// time after which it is forgotten, and two that follow the store in one hall find each other.
constexpr Duration kListsGap = std::chrono::seconds(2);
// How often any gateway is asked while knowledge is old.
constexpr Duration kAnyGap = std::chrono::milliseconds(150);
// A gateway that nobody has answered for this long may be cut off from the others.
constexpr Duration kHeard = std::chrono::seconds(1);
// How often it is looked at whom to ask about groups; answers come when something changes.
constexpr Duration kGroupsGap = std::chrono::milliseconds(50);
constexpr Duration kSeedsGap = std::chrono::milliseconds(300);
// A new gateway may not know yet who is first of its hall: when a site starts, the seeds hear of
// all gateways within a second, and tell them within two more. Until then it hears the seeds.
constexpr Duration kYoung = std::chrono::seconds(3);

GatewayRecord recordOf(const KnowledgeSources::Settings &settings)
{
    const SocketAddress address = settings.peerListen.value_or(SocketAddress{});
    return {settings.instance, settings.hall, address.host, address.port};
}

} // namespace

KnowledgeSources::KnowledgeSources(EventLoop &loop, HttpClient &client, const MetadataStore &store,
                                   GatewayKnowledge &knowledge, const SharedBeliefs &beliefs,
                                   const Settings &settings)
    : loop_(loop)
    , client_(client)
    , store_(store)
    , knowledge_(knowledge)
    , beliefs_(beliefs)
    , settings_(settings)
    , directory_(recordOf(settings), GatewayDirectory::Settings())
    , startedAt_(loop.now())
    , seedTurn_(randomIdentity())
{}

tl::expected<std::unique_ptr<KnowledgeSources>, NetError>
KnowledgeSources::create(EventLoop &loop, HttpClient &client, const MetadataStore &store,
                         GatewayKnowledge &knowledge, const SharedBeliefs &beliefs,
                         const Settings &settings)
{
    std::unique_ptr<KnowledgeSources> sources(
        new KnowledgeSources(loop, client, store, knowledge, beliefs, settings));
    if (auto opened = sources->open(); !opened) {
        return tl::unexpected(opened.error());
    }
    return sources;
}

tl::expected<void, NetError> KnowledgeSources::open()
{
    if (settings_.agentPort) {
        auto watch = GroupWatch::create(loop_, knowledge_, beliefs_.groups, *settings_.agentPort);
        if (!watch) {
            return tl::unexpected(watch.error());
        }
        groupWatch_ = std::move(*watch);
    }
    if (!settings_.peerListen) {
        return {};
    }
    auto peers = GatewayPeers::create(loop_, knowledge_, beliefs_, store_, directory_,
                                      [this](const SharedKnowledge &shared, TimePoint confirmedAt) {
                                          return takeShared(shared, confirmedAt);
                                      });
    if (!peers) {
        return tl::unexpected(peers.error());
    }
    peers_ = std::move(*peers);
    return {};
}

void KnowledgeSources::askForPermits(const SendPermits::Ask &ask,
                                     GatewayPeers::PermitsAnswered answered)
{
    const TimePoint now = loop_.now();
    const UpstreamRecord *upstream = knowledge_.upstreams().find(ask.upstream);
    if (upstream == nullptr) {
        answered({}); // It is gone.
        return;
    }
    GatewayPeers::PermitQuestion question{upstream->id, upstream->start, ask.wanted, {}, {}};
    if (const LimitWord *word = beliefs_.limits.find(*upstream); word != nullptr && word->rate) {
        question.limit = *word;
    }
    question.warmUp = beliefs_.warmUps.limitOf(*upstream, now);
    if (!question.limit && !question.warmUp) {
        answered({}); // It names none any more, and is warm.
        return;
    }
    const InstanceId issuer = directory_.permitIssuerFor(ask.upstream, upstream->hall, now);
    const GatewayRecord *record = directory_.find(issuer);
    if (peers_ == nullptr || record == nullptr) {
        const InstanceId &self = settings_.instance;
        const RequestRate rate = question.limit ? *question.limit->rate : *question.warmUp;
        answered(beliefs_.permitIssuer.take(
            ask.upstream, std::min(rate, question.warmUp.value_or(rate)), self, ask.wanted, now));
        return;
    }
    peers_->askForPermits(*record, question, std::move(answered));
}

std::uint64_t KnowledgeSources::storeCalls() const
{
    return earlierCalls_ + (watcher_ ? watcher_->calls() : 0);
}

// Takes another gateway's knowledge while the own is not fresh from the store. A watch that is
// under way would go on from an older list; it is begun anew later, if it is still wanted.
bool KnowledgeSources::takeShared(const SharedKnowledge &shared, TimePoint confirmedAt)
{
    if (watcher_ != nullptr && knowledge_.confirmed() && knowledge_.age() < kOwnOld) {
        knowledge_.adoptVersion(shared);
        return false;
    }
    if (!knowledge_.adopt(shared, confirmedAt)) {
        return false;
    }
    if (watcher_ != nullptr) {
        followStore(false, "another gateway knows more");
        storeNotBefore_ = loop_.now() + kStorePause;
        storeUntil_ = {};
    }
    return true;
}

bool KnowledgeSources::isSeed() const
{
    return std::find(settings_.seeds.begin(), settings_.seeds.end(), settings_.peerListen)
           != settings_.seeds.end();
}

// Tells whether this gateway is so new that it may not know the others of its hall.
bool KnowledgeSources::isYoung(TimePoint now) const
{
    return !settings_.seeds.empty() && !isSeed() && now - startedAt_ < kYoung;
}

// Tells whether this gateway is new and may yet hear the configuration from others.
bool KnowledgeSources::hearsFirst(TimePoint now) const
{
    if (peers_ == nullptr || settings_.seeds.empty() || isSeed() || knowledge_.hasConfiguration()) {
        return false;
    }
    const bool othersWait = now - peers_->unknownAt() < kHearFirst;
    return now - startedAt_ < (othersWait ? kHearFirstAtMost : kHearFirst);
}

StorePollSchedule KnowledgeSources::times() const
{
    const FreshnessBounds &bounds = knowledge_.freshness();
    return makeStorePollSchedule({bounds.keys, bounds.deny});
}

// Tells whether others of the hall ask the store in place of this gateway, and it hears them.
bool KnowledgeSources::leavesStoreToOthers(TimePoint now) const
{
    const bool hearsOthers = peers_ != nullptr && now - peers_->answeredAt() < kHeard;
    return hearsOthers && !mayPollStore(directory_.hallPlace().index);
}

// Tells whether it is this gateway's turn to ask the store, although it follows another one.
bool KnowledgeSources::asksStore(TimePoint now) const
{
    if (leavesStoreToOthers(now)) {
        return false;
    }
    if (!knowledge_.confirmed()) {
        return !hearsFirst(now);
    }
    return knowledge_.age() > storePollAge(times(), directory_.hallPlace().index);
}

void KnowledgeSources::stop()
{
    stopped_ = true;
    followStore(false, "the gateway stops");
}

void KnowledgeSources::tick()
{
    if (stopped_) {
        return;
    }
    const TimePoint now = loop_.now();
    if (peers_ == nullptr) {
        followStore(true, "there are no other gateways");
        watchGroups(true, now);
        return;
    }
    directory_.expire(now);
    const InstanceId followed = directory_.localStoreFollower(now);
    const bool own = followed == settings_.instance;
    // While a site starts nobody knows yet who is first of its hall, and seeds are heard by all.
    watchGroups(isSeed() && now - startedAt_ < kYoung ? true : own && !isYoung(now), now);
    if (asksStore(now)) {
        storeUntil_ = now + kOwnWatch;
    }
    if (hearsFirst(now) || now < storeNotBefore_) {
        followStore(false, "hears other gateways first");
    } else if (own && !isYoung(now)) {
        followStore(true, "first of its hall");
    } else if (now < storeUntil_) {
        followStore(true, "knowledge is old");
    } else {
        followStore(false, "another gateway of the hall follows it");
    }
    askPeers(followed, now);
    peers_->tick();
}

void KnowledgeSources::watchGroups(bool watches, TimePoint now)
{
    if (groupWatch_ != nullptr && now - groupsAskedAt_ >= kGroupsGap) {
        groupsAskedAt_ = now;
        groupWatch_->tick(watches);
    }
}

void KnowledgeSources::askPeers(const InstanceId &followed, TimePoint now)
{
    const bool own = followed == settings_.instance;
    // Knowledge that is followed is older than that of the gateway that follows the store.
    const bool old =
        !knowledge_.confirmed() || knowledge_.age() > (own ? kOwnOld : times().staleAge);
    if (!own) {
        askGateway(followed, kFollowWait);
    } else if (directory_.size() > 1 && now - listsAskedAt_ >= kListsGap) {
        // One that knew nobody, as a seed that starts anew, asks the first that it hears of at
        // once: what it has forgotten must be known within the time in which it counts as in touch.
        listsAskedAt_ = now;
        askOtherHalls(now);
        askGateway(directory_.nextPeer(settings_.instance, now), Duration{},
                   GatewayPeers::AskList::Always);
        askSeedInTurn();
    }
    if (old && now - anyAskedAt_ >= kAnyGap) {
        anyAskedAt_ = now;
        askGateway(own ? firstElsewhere(now) : directory_.nextPeer(followed, now), Duration{});
    }
    if (now - seedsAskedAt_ >= kSeedsGap) {
        askSeeds(own && isYoung(now), now);
    }
}

// Seeds are asked while nobody else is known, and by all that have heard of few. A gateway that is
// new and knows of nobody to follow `follows` one of them: the same one, so that it is not handed
// the whole list again, unless that one has no news.
void KnowledgeSources::askSeeds(bool follows, TimePoint now)
{
    const bool few = directory_.size() <= settings_.seeds.size();
    if (!few && !follows) {
        return;
    }
    seedsAskedAt_ = now;
    seedTurn_ += knowledge_.confirmed() && knowledge_.age() < kOwnOld ? 0 : 1;
    for (std::size_t index = 0; index < settings_.seeds.size(); ++index) {
        const bool turn = few || index == seedTurn_ % settings_.seeds.size();
        if (turn && settings_.peerListen != settings_.seeds[index]) {
            peers_->ask(settings_.seeds[index], InstanceId(), Duration{});
        }
    }
}

// Returns the first of another hall, a different one with each call: those that follow the store
// know most. Any gateway where there is no other hall.
std::optional<InstanceId> KnowledgeSources::firstElsewhere(TimePoint now)
{
    std::vector<InstanceId> firsts;
    for (const HallId &hall : directory_.peerHalls()) {
        const auto first =
            hall == settings_.hall ? std::nullopt : directory_.storeFollowerOf(hall, now);
        if (first) {
            firsts.push_back(*first);
        }
    }
    if (firsts.empty()) {
        return directory_.nextPeer(settings_.instance, now);
    }
    return firsts[hallTurn_++ % firsts.size()];
}

void KnowledgeSources::askOtherHalls(TimePoint now)
{
    for (const HallId &hall : directory_.peerHalls()) {
        if (hall != settings_.hall) {
            askGateway(directory_.storeFollowerOf(hall, now), Duration{},
                       GatewayPeers::AskList::Always);
        }
    }
}

// A seed that starts anew while no other one lives is told of nobody; who asks it is whom it hears
// of.
void KnowledgeSources::askSeedInTurn()
{
    if (settings_.seeds.empty()) {
        return;
    }
    const SocketAddress &seed = settings_.seeds[seedTurn_++ % settings_.seeds.size()];
    if (seed != settings_.peerListen) {
        peers_->ask(seed, InstanceId(), Duration{}, GatewayPeers::AskList::Always);
    }
}

void KnowledgeSources::askGateway(const std::optional<InstanceId> &id, Duration longest,
                                  GatewayPeers::AskList list)
{
    const GatewayRecord *record = id ? directory_.find(*id) : nullptr;
    if (record != nullptr) {
        peers_->ask({record->host, record->port}, record->id, longest, list);
    }
}

void KnowledgeSources::followStore(bool wanted, std::string_view reason)
{
    if (wanted == followsStore()) {
        return;
    }
    logLine(LogLevel::Info, wanted ? "store.followed" : "store.left",
            {{"reason", reason},
             {"gateways", directory_.size()},
             {"knowledgeAgeMs", knowledge_.confirmed() ? toMillis(knowledge_.age()) : -1}});
    if (!wanted) {
        earlierCalls_ += watcher_->calls();
        watcher_.reset();
        return;
    }
    StoreWatcher::Settings watch;
    watch.wait = peers_ == nullptr ? watch.wait : times().watchTimeout;
    watch.rest = settings_.storeRest;
    watch.seed = randomIdentity();
    watcher_ = std::make_unique<StoreWatcher>(loop_, client_, store_, knowledge_, watch);
    watcher_->start();
}

} // namespace seamarch
