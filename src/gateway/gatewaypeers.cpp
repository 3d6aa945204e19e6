#include "gateway/gatewaypeers.h"

#include "base/log.h"
#include "gateway/configpace.h"
#include "gateway/gatewaywire.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace seamarch {
namespace {

// The longest that an asker may have its question wait.
constexpr Duration kLongestWait = std::chrono::seconds(1);
// How often any gateway is asked for those it knows: several times in the life of what is told.
constexpr Duration kGatewaysGap = std::chrono::seconds(2);
// A new gateway asks more often: when a site starts, all of its gateways come within a second.
constexpr Duration kYoung = std::chrono::seconds(3);
constexpr Duration kGatewaysGapOfYoung = std::chrono::milliseconds(800);
// No configuration is newer than this one.
constexpr std::uint64_t kNoConfigWanted = std::numeric_limits<std::uint64_t>::max();
// A connection that was not used for this long is closed.
constexpr Duration kLinkLife = std::chrono::seconds(15);

std::pair<std::string, int> keyOf(const SocketAddress &address)
{
    return {address.host, address.port};
}

} // namespace

// The serving end for the other gateways.
class GatewayPeers::Server final : public wire::GatewayPeer::Server
{
public:
    explicit Server(GatewayPeers &peers)
        : peers_(peers)
    {}

    kj::Promise<void> exchange(ExchangeContext context) override
    {
        const auto params = context.getParams();
        const TimePoint askedAt = peers_.loop_.now();
        peers_.directory_.recordSeen(readGateway(params.getSelf()), askedAt);
        const Asker asker{ConfigVersion(params.getConfigVersion()),
                          params.getUpstreamsMark(),
                          params.getTakesChanges(),
                          params.getGroupsMark(),
                          params.getCrashCursor(),
                          params.getWantsGateways(),
                          params.getGatewaysMark(),
                          params.getWantsLimits(),
                          params.getLimitsMark()};
        const Duration wait = std::min(Duration(params.getWaitMicros()), kLongestWait);
        auto answer = [this, context, asker, askedAt]() mutable {
            peers_.writeNews(context.getResults().initNews(), asker, peers_.loop_.now() - askedAt);
        };
        if (wait <= Duration{} || peers_.hasNewsFor(asker)) {
            answer();
            return kj::READY_NOW;
        }
        return peers_.waiting_.wait(wait).then(kj::mv(answer));
    }

    kj::Promise<void> hasNews(HasNewsContext context) override
    {
        peers_.onHasNews(readGateway(context.getParams().getSelf()));
        return kj::READY_NOW;
    }

    kj::Promise<void> permits(PermitsContext context) override
    {
        const PermitAnswer answer = peers_.handPermits(context.getParams());
        context.getResults().setGranted(answer.granted);
        context.getResults().setAskAgainMicros(answer.askAgain.count());
        return kj::READY_NOW;
    }

private:
    GatewayPeers &peers_;
};

GatewayPeers::GatewayPeers(EventLoop &loop, GatewayKnowledge &knowledge,
                           const SharedBeliefs &beliefs, const MetadataStore &store,
                           GatewayDirectory &directory, Heard heard)
    : loop_(loop)
    , knowledge_(knowledge)
    , groups_(beliefs.groups)
    , crashes_(beliefs.crashes)
    , limits_(beliefs.limits)
    , permitIssuer_(beliefs.permitIssuer)
    , store_(store)
    , directory_(directory)
    , heard_(std::move(heard))
    , waiting_(loop)
    , toldCrashes_(crashes_.cursor())
    , toldLimits_(limits_.mark())
    , firstOwnNews_(ownNews())
    , announcedNews_(ownNews())
    , startedAt_(loop.now())
    , tasks_(*this)
{}

GatewayPeers::~GatewayPeers()
{
    *alive_ = false;
}

tl::expected<std::unique_ptr<GatewayPeers>, NetError>
GatewayPeers::create(EventLoop &loop, GatewayKnowledge &knowledge, const SharedBeliefs &beliefs,
                     const MetadataStore &store, GatewayDirectory &directory, Heard heard)
{
    std::unique_ptr<GatewayPeers> peers(
        new GatewayPeers(loop, knowledge, beliefs, store, directory, std::move(heard)));
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

// Tells whether it is time to hear whom the other gateway knows; one whose id is not known says it
// with its list.
bool GatewayPeers::isListDue(const Link &link, TimePoint now) const
{
    const bool young = now - startedAt_ < kYoung;
    const Duration gap = young ? kGatewaysGapOfYoung : kGatewaysGap;
    return link.id == InstanceId() || now - listAskedAt_ >= gap;
}

void GatewayPeers::ask(const SocketAddress &address, const InstanceId &id, Duration longest,
                       AskList list)
{
    const TimePoint now = loop_.now();
    Link &link = linkTo(address);
    if (link.asking || now < link.notBefore) {
        return;
    }
    link.id = id == InstanceId() ? link.id : id;
    const bool gateways = list == AskList::Always || isListDue(link, now);
    listAskedAt_ = gateways ? now : listAskedAt_;
    link.asking = true;
    auto request = link.rpc->capability().castAs<wire::GatewayPeer>().exchangeRequest();
    writeGateway(directory_.self(), Duration{}, request.initSelf());
    const bool rests = now < configNotBefore_;
    if (rests) {
        longest = std::min(longest, configNotBefore_ - now);
    }
    request.setConfigVersion(rests ? kNoConfigWanted : knowledge_.version().value());
    request.setUpstreamsMark(knowledge_.namedMark());
    request.setTakesChanges(true);
    request.setWantsGateways(gateways);
    request.setGatewaysMark(directory_.digest());
    request.setWaitMicros(longest.count());
    link.groupsMark = link.groupsMark == 0 ? groups_.mark() : link.groupsMark;
    request.setGroupsMark(link.groupsMark);
    request.setCrashCursor(link.crashCursor);
    request.setWantsLimits(true);
    request.setLimitsMark(link.limitsMark);
    // Whichever comes first, the answer or the end of patience, ends the question.
    const auto over = std::make_shared<bool>(false);
    loop_.schedule(longest + detail::kPeerPatience, [this, address, over, alive = alive_] {
        if (*alive && !std::exchange(*over, true)) {
            // The connection may have gone silent for good while a new one works.
            linkTo(address).rpc.reset();
            onFailed(address);
        }
    });
    tasks_.add(request.send().then(
        [this, address, now, over](capnp::Response<wire::GatewayPeer::ExchangeResults> &&answer) {
            if (!std::exchange(*over, true)) {
                onNews(address, now, answer.getNews());
            }
        },
        [this, address, over](kj::Exception && /*gone*/) {
            if (!std::exchange(*over, true)) {
                onFailed(address);
            }
        }));
}

void GatewayPeers::onFailed(const SocketAddress &address)
{
    Link &link = linkTo(address);
    link.asking = false;
    link.notBefore = loop_.now() + detail::kPeerPause;
    listAskedAt_ = {};
    if (link.id != InstanceId()) {
        directory_.onFailed(link.id, loop_.now());
        logLine(LogLevel::Info, "gateway.unanswered", {{"gateway", link.id.value()}});
    }
}

void GatewayPeers::onNews(const SocketAddress &address, TimePoint askedAt,
                          wire::GatewayNews::Reader news)
{
    const TimePoint now = loop_.now();
    Link &link = linkTo(address);
    link.asking = false;
    answeredAt_ = now;
    if (news.getGateways().size() > 0) {
        link.id = readGateway(news.getGateways()[0]).id;
        takeGateways(news, now);
    }
    directory_.onAnswered(link.id, now);
    takeGroups(link, askedAt, news);
    takeCrashes(link, askedAt, news);
    takeLimits(link, askedAt, news);
    if (!news.getKnown()) {
        unknownAt_ = now;
    }
    if (!news.getKnown() || !takeNews(askedAt, news)) {
        link.notBefore = now + detail::kPeerPause;
    }
    if (std::exchange(link.askAgain, false)) {
        link.notBefore = {};
        ask(address, link.id, Duration{});
    }
}

void GatewayPeers::takeGateways(wire::GatewayNews::Reader reader, TimePoint now)
{
    GatewayDirectory::GossipUpdate news;
    news.digest = reader.getGatewaysMark();
    const auto told = reader.getGateways();
    directory_.recordSeen(readGateway(told[0]), now);
    for (std::uint32_t index = 1; index < told.size(); ++index) {
        const TimePoint heardAt = now - Duration(told[index].getHeardMicrosAgo());
        news.peers.push_back({readGateway(told[index]), heardAt});
    }
    const auto ages = reader.getGatewayAges();
    news.ages.assign(ages.begin(), ages.end());
    directory_.applyGossip(news, now);
}

void GatewayPeers::writeGateways(wire::GatewayNews::Builder to, std::uint64_t askerMark) const
{
    const TimePoint now = loop_.now();
    const GatewayDirectory::GossipUpdate news = directory_.gossipFor(askerMark, now);
    to.setGatewaysMark(news.digest);
    auto list = to.initGateways(static_cast<std::uint32_t>(news.peers.size() + 1));
    writeGateway(directory_.self(), Duration{}, list[0]);
    for (std::uint32_t index = 0; index < news.peers.size(); ++index) {
        writeGateway(news.peers[index].record, now - news.peers[index].lastSeen, list[index + 1]);
    }
    to.setGatewayAges(kj::arrayPtr(news.ages.data(), news.ages.size()));
}

bool GatewayPeers::takeNews(TimePoint askedAt, wire::GatewayNews::Reader news)
{
    SharedKnowledge shared;
    shared.place = {news.getEra(), news.getRevision()};
    shared.version = ConfigVersion(news.getConfigVersion());
    shared.upstreamsMark = news.getUpstreamsMark();
    if (news.hasConfig() && shared.version > knowledge_.version()) {
        const auto bytes = news.getConfig();
        const auto text = inflated(bytes.begin(), bytes.size(), news.getConfigBytes());
        auto document =
            text ? store_.readDocument(*text) : tl::unexpected(std::string("it does not inflate"));
        if (!document) {
            logLine(LogLevel::Warning, "gateway.news_unreadable", {{"fault", document.error()}});
            return false;
        }
        configNotBefore_ = loop_.now() + restAfterConfig(text->size());
        shared.document = std::move(*document);
    }
    if (news.hasUpstreams()) {
        shared.upstreams = readUpstreams(news);
        shared.drainedHalls = readDrainedHalls(news);
    }
    const Duration held(news.getHeldMicros());
    const Duration age(news.getAgeMicros());
    return heard_(shared, askedAt + held - age);
}

// Takes what the other gateway has heard of groups, each as of its own moment. Facts that it told
// before, or that were known here as well, are only renewed, if they are still those that are
// known.
void GatewayPeers::takeGroups(Link &link, TimePoint askedAt, wire::GatewayNews::Reader news)
{
    const Duration held(news.getHeldMicros());
    const bool told = link.groupsMark == news.getGroupsMark();
    const bool same = groups_.mark() == news.getGroupsMark();
    for (const auto &group : news.getGroups()) {
        const TimePoint asOf = askedAt + held - Duration(group.getAgeMicros());
        if (!told) {
            groups_.learn(readGroup(group), asOf);
        } else if (same) {
            groups_.renew(GroupId(group.getGroup().cStr()), asOf);
        }
    }
    link.groupsMark = news.getGroupsMark();
}

bool GatewayPeers::hasNewsFor(const Asker &asker) const
{
    const bool groups = toldGroupsMark_ != 0 && toldGroupsMark_ != asker.groupsMark;
    return knowledge_.version() > asker.version || knowledge_.upstreamsMark() != asker.upstreamsMark
           || groups || crashes_.hasChangedSince(asker.crashCursor)
           || (asker.wantsLimits && limits_.mark() != asker.limitsMark);
}

void GatewayPeers::writeGroups(wire::GatewayNews::Builder news, std::uint64_t mark) const
{
    const TimePoint now = loop_.now();
    const auto &known = groups_.known();
    const std::uint64_t ownMark = groups_.mark();
    news.setGroupsMark(ownMark);
    auto list = news.initGroups(static_cast<std::uint32_t>(known.size()));
    std::uint32_t index = 0;
    for (const auto &[id, group] : known) {
        writeGroup(group.facts, now - group.asOf, ownMark != mark, list[index++]);
    }
}

void GatewayPeers::writeNews(wire::GatewayNews::Builder news, const Asker &asker, Duration held)
{
    if (asker.wantsGateways) {
        writeGateways(news, asker.gatewaysMark);
    }
    news.setHeldMicros(held.count());
    writeGroups(news, asker.groupsMark);
    writeCrashes(news, asker.crashCursor);
    writeLimits(news, asker);
    if (!knowledge_.hasConfiguration() || !knowledge_.confirmed()) {
        return;
    }
    news.setKnown(true);
    news.setAgeMicros(knowledge_.age().count());
    news.setRevision(knowledge_.place().revision);
    news.setEra(knowledge_.place().era);
    news.setConfigVersion(knowledge_.version().value());
    if (knowledge_.version() > asker.version) {
        if (packedVersion_ != knowledge_.version()) {
            packedVersion_ = knowledge_.version();
            packed_ = deflated(knowledge_.documentText());
        }
        news.setConfig(kj::arrayPtr(packed_.data(), packed_.size()));
        news.setConfigBytes(static_cast<std::uint32_t>(knowledge_.documentText().size()));
    }
    news.setUpstreamsMark(knowledge_.upstreamsMark());
    if (knowledge_.upstreamsMark() != asker.upstreamsMark) {
        writeUpstreams(news, asker);
        writeDrainedHalls(knowledge_.upstreams().drainedHalls(), news);
    }
}

void GatewayPeers::noteList()
{
    if (knowledge_.confirmed()) {
        history_.note(knowledge_.upstreamsMark(), knowledge_.upstreams().all());
    }
}

// Writes what has changed since the list that the asker names, where that is known, else all.
void GatewayPeers::writeUpstreams(wire::GatewayNews::Builder news, const Asker &asker)
{
    noteList();
    std::vector<const UpstreamRecord *> records = knowledge_.upstreams().all();
    const auto changed = asker.takesChanges && asker.upstreamsMark != 0
                             ? history_.changedSince(asker.upstreamsMark)
                             : std::nullopt;
    if (changed) {
        std::set<InstanceId> removed = *changed;
        std::erase_if(records, [&](const UpstreamRecord *record) {
            removed.erase(record->id);
            return !changed->contains(record->id);
        });
        news.setUpstreamsSince(asker.upstreamsMark);
        auto ids = news.initRemovedUpstreams(static_cast<std::uint32_t>(removed.size()));
        std::uint32_t index = 0;
        for (const InstanceId &id : removed) {
            ids.set(index++, id.value());
        }
    }
    auto list = news.initUpstreams(static_cast<std::uint32_t>(records.size()));
    for (std::uint32_t index = 0; index < records.size(); ++index) {
        writeUpstream(*records[index], loop_.now(), list[index]);
    }
}

// Returns the whole list; nothing where what changed is told of a list that is not held any more.
std::optional<std::vector<UpstreamRecord>>
GatewayPeers::readUpstreams(wire::GatewayNews::Reader news) const
{
    std::vector<UpstreamRecord> records;
    for (const auto &upstream : news.getUpstreams()) {
        records.push_back(readUpstream(upstream, loop_.now()));
    }
    if (news.getUpstreamsSince() == 0) {
        return records;
    }
    if (news.getUpstreamsSince() != knowledge_.namedMark()) {
        return std::nullopt;
    }
    std::set<InstanceId> removed;
    for (const auto &id : news.getRemovedUpstreams()) {
        removed.insert(InstanceId(id.cStr()));
    }
    return withChanges(knowledge_.upstreams().all(), records, removed);
}

void GatewayPeers::tick()
{
    const TimePoint now = loop_.now();
    const std::uint64_t groupsMark = groups_.mark();
    if (knowledge_.upstreamsMark() != toldMark_ || knowledge_.version() != toldVersion_
        || groupsMark != toldGroupsMark_ || crashes_.cursor() != toldCrashes_
        || limits_.mark() != toldLimits_) {
        noteList();
        toldMark_ = knowledge_.upstreamsMark();
        toldVersion_ = knowledge_.version();
        toldGroupsMark_ = groupsMark;
        toldCrashes_ = crashes_.cursor();
        toldLimits_ = limits_.mark();
        waiting_.wakeAll();
    }
    announce(now);
    std::erase_if(links_, [now](const auto &entry) {
        return !entry.second.asking && now - entry.second.usedAt > kLinkLife;
    });
}

} // namespace seamarch
