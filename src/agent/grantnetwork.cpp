#include "agent/grantnetwork.h"

#include "base/log.h"
#include "base/wallclock.h"
#include "wire/seamarch.capnp.h"

#include <algorithm>
#include <set>
#include <utility>

namespace seamarch {

GrantNetwork::GrantNetwork(const Context &context)
    : context_(context)
    , tasks_(*this)
{}

GrantNetwork::~GrantNetwork() = default;

void GrantNetwork::taskFailed(kj::Exception &&exception)
{
    logLine(LogLevel::Debug, "grant.task-failed", {{"message", exception.getDescription().cStr()}});
}

void GrantNetwork::setInstances(const InstanceList &list)
{
    const auto selfRecord =
        std::find_if(list.instances.begin(), list.instances.end(),
                     [this](const InstanceRecord &each) { return each.id == context_.self; });
    std::vector<InstanceId> members;
    std::set<InstanceId> kept;
    const TargetName target = selfRecord == list.instances.end() || selfRecord->serves.empty()
                                  ? TargetName()
                                  : selfRecord->serves.front();
    for (const InstanceRecord &record : list.instances) {
        const auto &serves = record.serves;
        const bool member = record.hall == context_.hall && !target.value().empty()
                            && std::find(serves.begin(), serves.end(), target) != serves.end();
        if (!member) {
            continue;
        }
        members.push_back(record.id);
        if (record.id == context_.self) {
            continue;
        }
        kept.insert(record.id);
        const SocketAddress address{record.address, record.port};
        auto &link = links_[record.id];
        if (link == nullptr || link->address() != address) {
            link = std::make_unique<RpcLink>(context_.loop, context_.transport, address);
        }
    }
    std::erase_if(links_,
                  [&kept](const auto &namedLink) { return !kept.contains(namedLink.first); });
    context_.core.setKeyMembers(target, makeMemberSet(std::move(members)));
    updatePool();
}

void GrantNetwork::setMinServing(std::uint32_t minServing)
{
    minServing_ = minServing;
    updatePool();
}

void GrantNetwork::updatePool()
{
    const MemberSet &members = context_.core.keyMembers();
    const auto size = static_cast<std::uint32_t>(members.members.size());
    context_.permitIssuer.setPool(members, size > minServing_ ? size - minServing_ : 0);
    context_.permitCollector.setPool(members);
}

void GrantNetwork::requestPermit()
{
    const auto member = context_.permitCollector.nextMember();
    if (!member) {
        return;
    }
    if (*member == context_.self) {
        if (context_.permitIssuer.tryIssue(context_.self, context_.incarnation,
                                           context_.permitCollector.permitNumber())) {
            context_.permitCollector.onIssued(context_.self);
            requestPermit();
        }
        return;
    }
    const auto link = links_.find(*member);
    if (link == links_.end()) {
        return;
    }
    auto request = link->second->capability().castAs<wire::Agent>().turnRequest();
    request.setInstance(context_.self.value());
    request.setIncarnation(context_.incarnation.value());
    request.setNumber(context_.permitCollector.permitNumber());
    tasks_.add(request.send().then(
        [this, issuer = *member, number = context_.permitCollector.permitNumber()](
            capnp::Response<wire::Agent::TurnResults> &&response) {
            if (response.getGiven() && number == context_.permitCollector.permitNumber()) {
                context_.permitCollector.onIssued(issuer);
                requestPermit();
            }
        },
        [](kj::Exception && /*error*/) {}));
}

void GrantNetwork::releasePermit(const InstanceId &member)
{
    const std::uint64_t released = context_.permitCollector.state(context_.incarnation).released;
    const auto link = links_.find(member);
    if (member == context_.self || link == links_.end()) {
        context_.permitIssuer.release(member, context_.incarnation, released);
        return;
    }
    auto request = link->second->capability().castAs<wire::Agent>().releaseTurnRequest();
    request.setInstance(context_.self.value());
    request.setIncarnation(context_.incarnation.value());
    request.setNumber(released);
    tasks_.add(request.send().ignoreResult());
}

void GrantNetwork::tick()
{
    const std::uint64_t setHash = context_.core.keyMembers().hash;
    const TimePoint now = context_.loop.now();
    if (context_.core.keyMembers().members.empty()) {
        return;
    }
    if (context_.core.onGrantRequest(setHash, now)) {
        context_.core.onGranted(context_.self, setHash, now, now, wallClockNow());
    }
    for (const auto &[member, link] : links_) {
        requestGrant(member, *link);
    }
}

void GrantNetwork::requestGrant(const InstanceId &member, RpcLink &link)
{
    const std::uint64_t setHash = context_.core.keyMembers().hash;
    const TimePoint requestedAt = context_.loop.now();
    auto request = link.capability().castAs<wire::Agent>().grantRequest();
    request.setMemberSet(setHash);
    request.setInstance(context_.self.value());
    request.setIncarnation(context_.incarnation.value());
    const ReloadPermitState permitState = context_.permitCollector.state(context_.incarnation);
    request.setTurnsReleased(permitState.released);
    request.setHoldsTurn(permitState.holds);
    tasks_.add(request.send().then(
        [this, member, setHash,
         requestedAt](capnp::Response<wire::Agent::GrantResults> &&response) {
            if (response.getGranted()) {
                context_.core.onGranted(member, setHash, requestedAt, context_.loop.now(),
                                        wallClockNow());
            }
        },
        [](kj::Exception && /*error*/) {}));
}

} // namespace seamarch
