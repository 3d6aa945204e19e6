// The part of GatewayPeers that propagates the requests that crash upstreams, and the rate limits
// that upstreams report.
#include "base/log.h"
#include "gateway/gatewaypeers.h"
#include "gateway/gatewaywire.h"
#include "net/crashwire.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace seamarch {

// Adds the other gateway's changes to the crash record. Their ages count back from when that
// gateway answered, which is its hold time after it received the poll.
void GatewayPeers::applyCrashes(Link &link, TimePoint sentAt, wire::GatewayNews::Reader news)
{
    const TimePoint answeredAt = sentAt + Duration(news.getHeldMicros());
    const std::uint64_t learned = mergeSuspects(news.getCrashes(), answeredAt, crashes_);
    link.crashCursor = news.getCrashCursor();
    peerCrashChanges_ += learned;
    if (learned > 0) {
        logLine(LogLevel::Info, "crashes.heard",
                {{"from", link.id.value()}, {"changes", learned}, {"known", crashes_.size()}});
    }
}

// Adds the limits that the other gateway knows. Their ages count back from when it answered.
void GatewayPeers::applyLimits(Link &link, TimePoint sentAt, wire::GatewayNews::Reader news)
{
    const TimePoint answeredAt = sentAt + Duration(news.getHeldMicros());
    for (const auto &limit : news.getLimits()) {
        const LimitReport report = readLimit(limit, answeredAt);
        if (limits_.merge(report, loop_.now())) {
            logLine(LogLevel::Info, "limit.heard",
                    {{"from", link.id.value()},
                     {"upstream", report.upstream.value()},
                     {"perSecond",
                      report.rate ? nlohmann::json(report.rate->perSecond()) : nlohmann::json()},
                     {"ageMs", toMillis(loop_.now() - report.reportedAt)}});
        }
    }
    link.limitsVersion = news.getLimitsMark();
}

void GatewayPeers::writeLimits(wire::GatewayNews::Builder news,
                               const PollRequest &pollRequest) const
{
    if (!pollRequest.wantsLimits) {
        return;
    }
    news.setLimitsMark(limits_.version());
    if (limits_.version() == pollRequest.limitsVersion) {
        return;
    }
    const std::vector<LimitReport> reports = limits_.all();
    auto list = news.initLimits(static_cast<std::uint32_t>(reports.size()));
    for (std::uint32_t index = 0; index < list.size(); ++index) {
        writeLimit(reports[index], loop_.now(), list[index]);
    }
}

void GatewayPeers::onHasNews(const GatewayRecord &from)
{
    directory_.recordSeen(from, loop_.now());
    const SocketAddress address{from.host, from.port};
    Link &link = linkTo(address);
    link.pollAgain = link.polling;
    link.notBefore = {};
    poll(address, from.id, Duration{});
}

// Notifies the first gateway of each hall that there is an update here, and repeats that until it
// acknowledges. An update here means that upstreams have ended under requests of this gateway, or
// have reported a changed limit to it. The other gateways of that hall have polls waiting there.
void GatewayPeers::announce(TimePoint now)
{
    if (announcedEventCount_ == ownEventCount()) {
        return;
    }
    bool allAcknowledged = true;
    for (const HallId &hall : directory_.peerHalls()) {
        Announcement &announcement =
            announcements_.try_emplace(hall, Announcement{initialOwnEventCount_}).first->second;
        allAcknowledged = allAcknowledged && announcement.acknowledged == ownEventCount();
        if (announcement.acknowledged != ownEventCount() && !announcement.requestInFlight
            && now >= announcement.notBefore) {
            announceTo(hall, now);
        }
    }
    announcedEventCount_ = allAcknowledged ? ownEventCount() : announcedEventCount_;
}

void GatewayPeers::announceTo(const HallId &hall, TimePoint now)
{
    const std::optional<InstanceId> first = directory_.storeFollowerOf(hall, now);
    const GatewayRecord *record = first ? directory_.find(*first) : nullptr;
    if (record == nullptr) {
        return;
    }
    const SocketAddress address{record->host, record->port};
    announcements_.at(hall).requestInFlight = true;
    auto request = linkTo(address).rpc->capability().castAs<wire::GatewayPeer>().hasNewsRequest();
    writeGateway(directory_.self(), Duration{}, request.initSelf());
    const auto finished = std::make_shared<bool>(false);
    const auto finish = [this, hall, id = *first, announced = ownEventCount(),
                         finished](bool delivered) {
        if (std::exchange(*finished, true)) {
            return;
        }
        Announcement &announcement = announcements_.at(hall);
        announcement.requestInFlight = false;
        if (delivered) {
            announcement.acknowledged = announced;
            return;
        }
        announcement.notBefore = loop_.now() + detail::kPeerRetryDelay;
        directory_.onFailed(id, loop_.now());
        logLine(LogLevel::Info, "gateway.unanswered", {{"gateway", id.value()}});
    };
    loop_.schedule(detail::kPeerTimeout, [this, address, finished, finish, alive = alive_] {
        if (*alive && !*finished) {
            linkTo(address).rpc.reset();
            finish(false);
        }
    });
    tasks_.add(request.send().then(
        [finish](capnp::Response<wire::GatewayPeer::HasNewsResults> && /*empty*/) { finish(true); },
        [finish](kj::Exception &&exception) {
            // A gateway of an earlier software version does not implement the call. It receives the
            // update by a later poll.
            finish(exception.getType() == kj::Exception::Type::UNIMPLEMENTED);
        }));
}

void GatewayPeers::writeCrashes(wire::GatewayNews::Builder news, std::uint64_t cursor) const
{
    const CrashRecord::Changes changes = crashes_.changedSince(cursor, kMaxSuspectsPerMessage);
    news.setCrashCursor(changes.cursor);
    auto list = news.initCrashes(static_cast<std::uint32_t>(changes.suspects.size()));
    for (std::uint32_t index = 0; index < list.size(); ++index) {
        writeSuspect(changes.suspects[index], loop_.now(), list[index]);
    }
}

} // namespace seamarch
