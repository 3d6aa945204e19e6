// The part of GatewayCore that admits streams: selects the group for a stream, queues it and starts
// queued streams.
#include "decision/fairness/requestcost.h"
#include "decision/gateway/gatewaycore.h"

#include <algorithm>

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
    for (auto next = service.queue.next(now); next; next = service.queue.next(now)) {
        const auto group = service.selector.selectForNew(*next, groups_, now);
        if (!group) {
            return;
        }
        const RequestNumber number = next->number;
        service.queue.remove(number);
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

} // namespace seamarch
