// The part of GatewayPeers that spreads word of requests that end upstreams, and of limits that
// upstreams name.
#include "base/log.h"
#include "gateway/gatewaypeers.h"
#include "gateway/gatewaywire.h"
#include "net/crashwire.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace seamarch {

// Takes what the other gateway has heard of requests that end upstreams, counted back from when it
// answered: `held` after the question came.
void GatewayPeers::takeCrashes(Link &link, TimePoint askedAt, wire::GatewayNews::Reader news)
{
    const TimePoint toldAt = askedAt + Duration(news.getHeldMicros());
    const std::uint64_t learned = learnSuspects(news.getCrashes(), toldAt, crashes_);
    link.crashCursor = news.getCrashCursor();
    learnedCrashes_ += learned;
    if (learned > 0) {
        logLine(LogLevel::Info, "crashes.heard",
                {{"from", link.id.value()}, {"changes", learned}, {"known", crashes_.size()}});
    }
}

// Takes what the other gateway has heard of limits, counted back from when it answered.
void GatewayPeers::takeLimits(Link &link, TimePoint askedAt, wire::GatewayNews::Reader news)
{
    const TimePoint toldAt = askedAt + Duration(news.getHeldMicros());
    for (const auto &limit : news.getLimits()) {
        const LimitWord word = readLimit(limit, toldAt);
        if (limits_.learn(word, loop_.now())) {
            logLine(LogLevel::Info, "limit.heard",
                    {{"from", link.id.value()},
                     {"upstream", word.upstream.value()},
                     {"perSecond",
                      word.rate ? nlohmann::json(word.rate->perSecond()) : nlohmann::json()},
                     {"ageMs", toMillis(loop_.now() - word.saidAt)}});
        }
    }
    link.limitsMark = news.getLimitsMark();
}

void GatewayPeers::writeLimits(wire::GatewayNews::Builder news, const Asker &asker) const
{
    if (!asker.wantsLimits) {
        return;
    }
    news.setLimitsMark(limits_.mark());
    if (limits_.mark() == asker.limitsMark) {
        return;
    }
    const std::vector<LimitWord> words = limits_.all();
    auto list = news.initLimits(static_cast<std::uint32_t>(words.size()));
    for (std::uint32_t index = 0; index < list.size(); ++index) {
        writeLimit(words[index], loop_.now(), list[index]);
    }
}

void GatewayPeers::onHasNews(const GatewayRecord &from)
{
    directory_.recordSeen(from, loop_.now());
    const SocketAddress address{from.host, from.port};
    Link &link = linkTo(address);
    link.askAgain = link.asking;
    link.notBefore = {};
    ask(address, from.id, Duration{});
}

// Tells the first gateway of each hall, until it has heard it, that there is news here: upstreams
// have ended under requests of this one, or told it what they take. Gateways of its hall wait there
// for news.
void GatewayPeers::announce(TimePoint now)
{
    if (announcedNews_ == ownNews()) {
        return;
    }
    bool allTold = true;
    for (const HallId &hall : directory_.peerHalls()) {
        Announcement &announcement =
            announcements_.try_emplace(hall, Announcement{firstOwnNews_}).first->second;
        allTold = allTold && announcement.told == ownNews();
        if (announcement.told != ownNews() && !announcement.underWay
            && now >= announcement.notBefore) {
            announceTo(hall, now);
        }
    }
    announcedNews_ = allTold ? ownNews() : announcedNews_;
}

void GatewayPeers::announceTo(const HallId &hall, TimePoint now)
{
    const std::optional<InstanceId> first = directory_.storeFollowerOf(hall, now);
    const GatewayRecord *record = first ? directory_.find(*first) : nullptr;
    if (record == nullptr) {
        return;
    }
    const SocketAddress address{record->host, record->port};
    announcements_.at(hall).underWay = true;
    auto request = linkTo(address).rpc->capability().castAs<wire::GatewayPeer>().hasNewsRequest();
    writeGateway(directory_.self(), Duration{}, request.initSelf());
    const auto over = std::make_shared<bool>(false);
    const auto conclude = [this, hall, id = *first, told = ownNews(), over](bool heard) {
        if (std::exchange(*over, true)) {
            return;
        }
        Announcement &announcement = announcements_.at(hall);
        announcement.underWay = false;
        if (heard) {
            announcement.told = told;
            return;
        }
        announcement.notBefore = loop_.now() + detail::kPeerPause;
        directory_.onFailed(id, loop_.now());
        logLine(LogLevel::Info, "gateway.unanswered", {{"gateway", id.value()}});
    };
    loop_.schedule(detail::kPeerPatience, [this, address, over, conclude, alive = alive_] {
        if (*alive && !*over) {
            linkTo(address).rpc.reset();
            conclude(false);
        }
    });
    tasks_.add(request.send().then(
        [conclude](capnp::Response<wire::GatewayPeer::HasNewsResults> && /*empty*/) {
            conclude(true);
        },
        [conclude](kj::Exception &&exception) {
            // A gateway of an earlier version does not know the call; it is asked, and asks, later.
            conclude(exception.getType() == kj::Exception::Type::UNIMPLEMENTED);
        }));
}

void GatewayPeers::writeCrashes(wire::GatewayNews::Builder news, std::uint64_t cursor) const
{
    const CrashRecord::Changes changes = crashes_.changedSince(cursor, kMostSuspects);
    news.setCrashCursor(changes.cursor);
    auto list = news.initCrashes(static_cast<std::uint32_t>(changes.suspects.size()));
    for (std::uint32_t index = 0; index < list.size(); ++index) {
        writeSuspect(changes.suspects[index], loop_.now(), list[index]);
    }
}

} // namespace seamarch
