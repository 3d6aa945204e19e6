#include "agent/grantnetwork.h"

#include "base/log.h"
#include "base/wallclock.h"
#include "wire/seamarch.capnp.h"

#include <algorithm>
#include <set>
#include <utility>

namespace seamarch {

GrantNetwork::GrantNetwork(EventLoop &loop, RawTransport &transport, AgentCore &core,
                           InstanceId self, HallId hall)
    : loop_(loop)
    , transport_(transport)
    , core_(core)
    , self_(std::move(self))
    , hall_(std::move(hall))
    , tasks_(*this)
{}

GrantNetwork::~GrantNetwork() = default;

void GrantNetwork::taskFailed(kj::Exception &&exception)
{
    logLine(LogLevel::Debug, "grant.task-failed", {{"message", exception.getDescription().cStr()}});
}

void GrantNetwork::setInstances(const InstanceList &list)
{
    const auto own = std::find_if(list.instances.begin(), list.instances.end(),
                                  [this](const InstanceRecord &each) { return each.id == self_; });
    std::vector<InstanceId> members;
    std::set<InstanceId> kept;
    const TargetName target =
        own == list.instances.end() || own->serves.empty() ? TargetName() : own->serves.front();
    for (const InstanceRecord &record : list.instances) {
        const auto &serves = record.serves;
        const bool member = record.hall == hall_ && !target.value().empty()
                            && std::find(serves.begin(), serves.end(), target) != serves.end();
        if (!member) {
            continue;
        }
        members.push_back(record.id);
        if (record.id == self_) {
            continue;
        }
        kept.insert(record.id);
        const SocketAddress address{record.address, record.port};
        auto &link = links_[record.id];
        if (link == nullptr || link->address() != address) {
            link = std::make_unique<RpcLink>(loop_, transport_, address);
        }
    }
    std::erase_if(links_, [&kept](const auto &entry) { return !kept.contains(entry.first); });
    core_.setKeyMembers(target, makeMemberSet(std::move(members)));
}

void GrantNetwork::tick()
{
    const std::uint64_t set = core_.keyMembers().hash;
    const TimePoint now = loop_.now();
    if (core_.keyMembers().members.empty()) {
        return;
    }
    if (core_.onGrantAsked(set, now)) {
        core_.onGranted(self_, set, now, now, wallNow());
    }
    for (const auto &[member, link] : links_) {
        ask(member, *link);
    }
}

void GrantNetwork::ask(const InstanceId &member, RpcLink &link)
{
    const std::uint64_t set = core_.keyMembers().hash;
    const TimePoint askedAt = loop_.now();
    auto request = link.capability().castAs<wire::Agent>().grantRequest();
    request.setMemberSet(set);
    tasks_.add(request.send().then(
        [this, member, set, askedAt](capnp::Response<wire::Agent::GrantResults> &&answer) {
            if (answer.getGranted()) {
                core_.onGranted(member, set, askedAt, loop_.now(), wallNow());
            }
        },
        [](kj::Exception && /*error*/) {}));
}

} // namespace seamarch
