#include "gateway/groupwatch.h"

#include "base/log.h"
#include "gateway/gatewaywire.h"

#include <utility>

namespace seamarch {
namespace {

// How long a question waits for news at the agent that decides: facts are renewed that often.
constexpr Duration kWait = std::chrono::milliseconds(400);
// How long an answer may take beyond its wait: some round trips between halls.
constexpr Duration kPatience = std::chrono::milliseconds(350);
// A connection that was not used for this long is closed.
constexpr Duration kLinkLife = std::chrono::seconds(5);

} // namespace

GroupWatch::GroupWatch(EventLoop &loop, const GatewayKnowledge &knowledge, GroupTable &groups,
                       int agentPort)
    : loop_(loop)
    , knowledge_(knowledge)
    , groups_(groups)
    , agentPort_(agentPort)
    , tasks_(*this)
{}

GroupWatch::~GroupWatch()
{
    *alive_ = false;
}

tl::expected<std::unique_ptr<GroupWatch>, NetError>
GroupWatch::create(EventLoop &loop, const GatewayKnowledge &knowledge, GroupTable &groups,
                   int agentPort)
{
    auto transport = RawTransport::create(loop);
    if (!transport) {
        return tl::unexpected(transport.error());
    }
    std::unique_ptr<GroupWatch> watch(new GroupWatch(loop, knowledge, groups, agentPort));
    watch->transport_ = std::move(*transport);
    return watch;
}

void GroupWatch::taskFailed(kj::Exception &&exception)
{
    logLine(LogLevel::Warning, "group.call_failed",
            {{"message", exception.getDescription().cStr()}});
}

// Collects the engines of services that form groups, where the list or the configuration is
// another.
void GroupWatch::listEngines()
{
    const std::uint64_t changes = knowledge_.upstreams().changes();
    if (changes == listedChanges_ && knowledge_.version() == listedVersion_) {
        return;
    }
    listedChanges_ = changes;
    listedVersion_ = knowledge_.version();
    engines_.clear();
    for (const UpstreamRecord *record : knowledge_.upstreams().all()) {
        if (knowledge_.formsGroups(record->service)) {
            engines_.push_back({record->host, record->port});
        }
    }
}

void GroupWatch::tick(bool watches)
{
    const TimePoint now = loop_.now();
    if (watches) {
        listEngines();
        for (const std::string &host : survey_.nextHosts(engines_, groups_, now)) {
            ask(host);
        }
    }
    std::erase_if(links_,
                  [now](const auto &entry) { return now - entry.second.usedAt > kLinkLife; });
}

void GroupWatch::ask(const std::string &host)
{
    const TimePoint now = loop_.now();
    Link &link = links_[host];
    if (link.rpc == nullptr) {
        link.rpc = std::make_unique<RpcLink>(loop_, *transport_, SocketAddress{host, agentPort_});
    }
    link.usedAt = now;
    auto request = link.rpc->capability().castAs<wire::RankAgent>().groupRequest();
    request.setMark(link.mark);
    request.setWaitMicros(kWait.count());
    // Whichever comes first, the answer or the end of patience, ends the question.
    const auto over = std::make_shared<bool>(false);
    loop_.schedule(kWait + kPatience, [this, host, over, alive = alive_] {
        if (*alive && !std::exchange(*over, true)) {
            onFailed(host);
        }
    });
    tasks_.add(request.send().then(
        [this, host, now, over](capnp::Response<wire::RankAgent::GroupResults> &&answer) {
            if (!std::exchange(*over, true)) {
                onAnswer(host, now, answer);
            }
        },
        [this, host, over](kj::Exception && /*gone*/) {
            if (!std::exchange(*over, true)) {
                onFailed(host);
            }
        }));
}

void GroupWatch::onFailed(const std::string &host)
{
    // The connection may have gone silent for good while a new one works. It is closed from the
    // loop, because this may be a callback of its own.
    const auto found = links_.find(host);
    if (found != links_.end()) {
        loop_.post([old = std::make_shared<Link>(std::move(found->second))] { old->rpc.reset(); });
        links_.erase(found);
    }
    survey_.onFailed(host, loop_.now());
}

void GroupWatch::onAnswer(const std::string &host, TimePoint askedAt,
                          wire::RankAgent::GroupResults::Reader answer)
{
    if (!answer.getDecides()) {
        survey_.onReferred(host, answer.getDeciderHost().cStr(), loop_.now());
        return;
    }
    const GroupId group(answer.getGroup().cStr());
    survey_.onDecider(host, group);
    Link &link = links_[host];
    const auto news = answer.getNews();
    const bool told = link.mark == answer.getMark();
    link.mark = answer.getMark();
    const TimePoint asOf = askedAt - Duration(news.getAgeMicros());
    if (told) {
        groups_.renew(group, asOf);
        return;
    }
    const GroupFacts facts = readGroup(news);
    if (groups_.learn(facts, asOf)) {
        logLine(LogLevel::Info, "group.heard",
                {{"group", group.value()},
                 {"epoch", facts.epoch},
                 {"open", facts.open},
                 {"ranks", facts.members.size()},
                 {"ageMs", toMillis(loop_.now() - asOf)},
                 {"agent", host}});
    }
}

} // namespace seamarch
