// The part of GatewayCore that admits streams: selects the group for a stream, queues it and starts
// queued streams.
#include "decision/fairness/requestcost.h"
#include "decision/gateway/gatewaycore.h"

#include <algorithm>
#include <tuple>

namespace seamarch {

StreamQueue::Entry GatewayCore::queueEntryFor(RequestNumber number, const Request &request,
                                              const ServiceState &service) const
{
    const Duration latencyTarget = request.request.route->latencyTarget;
    StreamQueue::Entry entry;
    entry.number = number;
    entry.urgency = request.request.urgency;
    entry.account = request.request.account;
    entry.cost =
        static_cast<double>(requestCost(request.request.size.prompt, request.request.size.answer));
    entry.isRetry = isReturn(request);
    // Without a latency target a later start is no worse until the request fails.
    entry.startDeadline = latencyTarget > Duration{} ? request.firstSentAt + latencyTarget
                                                           - service.times.timeToFirstEvent()
                                                     : request.failAt;
    entry.latestStart = latestStart(request, service);
    return entry;
}

// Queues a stream, or rejects it at once if the expected wait is too long.
void GatewayCore::queueStream(RequestNumber number, Request &request, TimePoint now,
                              GatewayActions &actions)
{
    if (planInOutage(number, request, now, actions)) {
        return;
    }
    ServiceState &service = serviceOf(request.service);
    const StreamQueue::Entry entry = queueEntryFor(number, request, service);
    request.queued = true;
    const Duration wait = expectedWait(service, entry, now);
    // A caller that came back is lost if it is rejected.
    const int safetyFactor = entry.isRetry ? 1 : settings_.waitSafetyFactor;
    if (wait * safetyFactor > entry.latestStart - now) {
        request.rejection = StreamRejection::QueueSlow;
        request.retryAfterHint = std::clamp(wait, settings_.minRetryAfter, settings_.maxRetryAfter);
        giveUp(number, FailureCode::NoUpstream, now, actions);
        return;
    }
    service.queue.add(entry, now);
    displaceHopeless(service, entry, now, actions);
}

// Rejects the last queued streams that are less urgent than `arrived` if they can no longer start
// before their callers disconnect. The callers can return at a better time.
void GatewayCore::displaceHopeless(ServiceState &service, const StreamQueue::Entry &arrived,
                                   TimePoint now, GatewayActions &actions)
{
    for (auto last = service.queue.last(now); last && arrived.urgency < last->urgency;
         last = service.queue.last(now)) {
        Request &request = requests_.at(last->number);
        const Duration wait = expectedWait(service, *last, now);
        const Duration shortest = service.availability.shortestWait(service.queue.size(), now);
        if (now + std::min(wait, shortest) <= last->latestStart) {
            return;
        }
        request.displacedBy = arrived.number;
        request.retryAfterHint = std::clamp(wait, settings_.minRetryAfter, settings_.maxRetryAfter);
        giveUp(last->number, FailureCode::NoUpstream, now, actions);
    }
}

// Returns the state of a service with its groups brought up to date; adds it if there is none.
GatewayCore::ServiceState &GatewayCore::serviceOf(const TargetName &service)
{
    ServiceState &state = services_.try_emplace(service, settings_).first->second;
    state.selector.setGroups(chooser_.groupsOf(service), {gateways_, hallPosition_});
    return state;
}

GroupTracker &GatewayCore::trackerOf(const Request &request)
{
    return serviceOf(request.service).selector.tracker(request.group);
}

// Starts queued streams while a group admits them.
void GatewayCore::admitQueued(ServiceState &service, TimePoint now, GatewayActions &actions)
{
    while (!service.queue.empty()) {
        std::optional<GroupId> group;
        RequestNumber number = 0;
        for (const StreamQueue::Entry &candidate : service.queue.candidates(now)) {
            number = candidate.number;
            group = service.selector.selectForNew(candidate, groups_, now);
            if (group) {
                break;
            }
        }
        if (!group) {
            return;
        }
        service.queue.start(number);
        Request &request = requests_.at(number);
        request.queued = false;
        service.availability.onStart(now);
        const bool allowed = !request.refusedBefore || budgets_.at(request.service).tryAcquire();
        if (allowed) {
            startOrAwaitPermit(number, request, group, now, actions);
        } else {
            giveUp(number, FailureCode::NoUpstream, now, actions);
        }
    }
}

std::vector<std::pair<GroupId, LimitChange>> GatewayCore::takeLimitChanges()
{
    std::vector<std::pair<GroupId, LimitChange>> changes;
    for (auto &[name, service] : services_) {
        auto taken = service.selector.takeLimitChanges();
        changes.insert(changes.end(), taken.begin(), taken.end());
    }
    return changes;
}

std::size_t GatewayCore::queuedStreams(const TargetName &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.queue.size();
}

std::uint32_t GatewayCore::streams(const TargetName &service) const
{
    std::uint32_t streams = 0;
    const auto found = services_.find(service);
    if (found != services_.end()) {
        for (const auto &[group, tracker] : found->second.selector.all()) {
            streams += tracker.inFlight();
        }
    }
    return streams;
}

double GatewayCore::streamLimit(const TargetName &service) const
{
    double limit = 0.0;
    const auto found = services_.find(service);
    if (found != services_.end()) {
        for (const auto &[group, tracker] : found->second.selector.all()) {
            limit += tracker.limiter().limit();
        }
    }
    return limit;
}

const GroupTracker *GatewayCore::tracker(const TargetName &service, const GroupId &group) const
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return nullptr;
    }
    return found->second.selector.find(group);
}

DemandTable::Demands GatewayCore::demands() const
{
    DemandTable::Demands all;
    for (const auto &[name, service] : services_) {
        const auto demands = service.selector.demands(name, service.queue.size(), groups_);
        all.insert(all.end(), demands.begin(), demands.end());
    }
    std::sort(all.begin(), all.end(), [](const GroupDemand &left, const GroupDemand &right) {
        return std::tie(left.service, left.group) < std::tie(right.service, right.group);
    });
    return all;
}

void GatewayCore::setShare(const TargetName &service, const GroupId &group,
                           std::optional<double> share)
{
    const auto found = services_.find(service);
    if (found != services_.end()) {
        found->second.selector.setShare(group, share);
    }
}

} // namespace seamarch
