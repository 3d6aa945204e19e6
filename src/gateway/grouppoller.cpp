#include "gateway/grouppoller.h"

#include "base/log.h"
#include "gateway/gatewaywire.h"
#include "gateway/groupreport.h"

#include <utility>

namespace seamarch {
namespace {

// How long a poll waits for a change at the deciding agent. Also the interval at which unchanged
// state is renewed.
constexpr Duration kLongPollWait = std::chrono::milliseconds(400);
// Time allowed for a reply beyond the wait: a few round trips between halls.
constexpr Duration kReplyMargin = std::chrono::milliseconds(350);
// Connections that are unused for this long are closed.
constexpr Duration kLinkIdleTimeout = std::chrono::seconds(5);

} // namespace

GroupPoller::GroupPoller(EventLoop &loop, const GatewayStoreView &storeView, GroupTable &groups,
                         int agentPort)
    : loop_(loop)
    , storeView_(storeView)
    , groups_(groups)
    , agentPort_(agentPort)
    , tasks_(*this)
{}

GroupPoller::~GroupPoller()
{
    *alive_ = false;
}

tl::expected<std::unique_ptr<GroupPoller>, NetError>
GroupPoller::create(EventLoop &loop, const GatewayStoreView &storeView, GroupTable &groups,
                    int agentPort)
{
    auto transport = RawTransport::create(loop);
    if (!transport) {
        return tl::unexpected(transport.error());
    }
    std::unique_ptr<GroupPoller> poller(new GroupPoller(loop, storeView, groups, agentPort));
    poller->transport_ = std::move(*transport);
    return poller;
}

void GroupPoller::taskFailed(kj::Exception &&exception)
{
    logLine(LogLevel::Warning, "group.call_failed",
            {{"message", exception.getDescription().cStr()}});
}

// Collects the engines of services that form groups if the upstream list or the configuration has
// changed.
void GroupPoller::refreshEngines()
{
    const std::uint64_t changes = storeView_.upstreams().changes();
    if (changes == engineListChanges_ && storeView_.version() == engineListVersion_) {
        return;
    }
    engineListChanges_ = changes;
    engineListVersion_ = storeView_.version();
    engines_.clear();
    for (const UpstreamRecord *record : storeView_.upstreams().all()) {
        if (storeView_.formsGroups(record->service)) {
            engines_.push_back({record->host, record->port});
        }
    }
}

void GroupPoller::tick(bool active)
{
    const TimePoint now = loop_.now();
    if (active) {
        refreshEngines();
        for (const std::string &host : planner_.nextHosts(engines_, groups_, now)) {
            poll(host);
        }
    }
    std::erase_if(links_, [now](const auto &entry) {
        return now - entry.second.lastUsedAt > kLinkIdleTimeout;
    });
}

void GroupPoller::poll(const std::string &host)
{
    const TimePoint now = loop_.now();
    Link &link = links_[host];
    if (link.rpc == nullptr) {
        link.rpc = std::make_unique<RpcLink>(loop_, *transport_, SocketAddress{host, agentPort_});
    }
    link.lastUsedAt = now;
    auto request = link.rpc->capability().castAs<wire::RankAgent>().groupRequest();
    const std::uint64_t heldDigest = groups_.digestOf(link.group);
    request.setMark(heldDigest);
    request.setWaitMicros(kLongPollWait.count());
    // The poll is settled by the reply or by the timeout, whichever comes first.
    const auto settled = std::make_shared<bool>(false);
    loop_.schedule(kLongPollWait + kReplyMargin, [this, host, settled, alive = alive_] {
        if (*alive && !std::exchange(*settled, true)) {
            onPollFailed(host);
        }
    });
    tasks_.add(request.send().then(
        [this, host, now, heldDigest,
         settled](capnp::Response<wire::RankAgent::GroupResults> &&reply) {
            if (!std::exchange(*settled, true)) {
                onReply(host, now, heldDigest, reply);
            }
        },
        [this, host, settled](kj::Exception && /*exception*/) {
            if (!std::exchange(*settled, true)) {
                onPollFailed(host);
            }
        }));
}

void GroupPoller::onPollFailed(const std::string &host)
{
    // The connection may be dead although a new one would work, so it is dropped. It is closed from
    // the event loop because this function may run inside one of its callbacks.
    const auto found = links_.find(host);
    if (found != links_.end()) {
        loop_.post([old = std::make_shared<Link>(std::move(found->second))] { old->rpc.reset(); });
        links_.erase(found);
    }
    planner_.onFailed(host, loop_.now());
}

// Stores the state that the agent at `host` reports, or confirms the state that the poll named.
void GroupPoller::onReply(const std::string &host, TimePoint sentAt, std::uint64_t namedDigest,
                          wire::RankAgent::GroupResults::Reader reply)
{
    if (!reply.getDecides()) {
        planner_.onReferred(host, reply.getDeciderHost().cStr(), loop_.now());
        return;
    }
    const GroupId group(reply.getGroup().cStr());
    planner_.onDecider(host, group);
    links_[host].group = group;
    const auto groupNews = reply.getNews();
    const TimePoint asOf =
        sentAt + Duration(reply.getHeldMicros()) - Duration(groupNews.getAgeMicros());
    if (reply.getMark() == namedDigest) {
        // The members are omitted. If the state held here has changed meanwhile, the next poll
        // names the new one.
        if (!groups_.confirm(group, namedDigest, asOf)) {
            logLine(
                LogLevel::Info, "group.differs",
                {{"group", group.value()}, {"agent", host}, {"agentOpen", groupNews.getOpen()}});
        }
        return;
    }
    storeGroupReport(groups_, {readGroup(groupNews), asOf, "agent", host}, loop_.now());
}

} // namespace seamarch
