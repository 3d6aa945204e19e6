// The part of GatewayCore that admits streams: which lane takes one, how long it may wait for a
// place, and when those that wait begin.
#include "decision/gateway/gatewaycore.h"

#include <algorithm>

namespace seamarch {
namespace {

// A caller that has waited for less than this is at its first try: what it states may be less than
// its program's figure by the time that its connection took.
constexpr Duration kMinRetryAge = std::chrono::milliseconds(200);

} // namespace

StreamQueue::Entry GatewayCore::queueEntryFor(RequestNumber number, const Request &request,
                                              const ServiceState &service)
{
    const Duration goal = request.request.route->latencyGoal;
    StreamQueue::Entry entry;
    entry.number = number;
    entry.priority = request.request.priority;
    entry.isRetry = request.arrivedAt - request.firstSentAt >= kMinRetryAge;
    // Without a goal there is no moment from which on the caller would be worse off.
    entry.startDeadline = goal > Duration{}
                              ? request.firstSentAt + goal - service.meanTimeToFirstEvent
                              : request.failAt;
    return entry;
}

// Returns how long a stream may wait for a place; its caller leaves not long after.
Duration GatewayCore::maxQueueTime(const Request &request) const
{
    return request.request.route->silenceLimit - settings_.queueTimeoutMargin;
}

// Returns the latest moment at which the caller would come back.
Duration GatewayCore::maxHonouredRetryAfter(const Request &request, TimePoint now) const
{
    const Duration left = request.arrivedAt + request.request.deadline - now;
    return std::max(settings_.minRetryAfter, left / settings_.maxRetryAfterDivisor);
}

// Has a stream wait for a place, or refuses it at once where the queue is too long.
void GatewayCore::queueStream(RequestNumber number, Request &request, TimePoint now,
                              GatewayActions &actions)
{
    ServiceState &service = serviceOf(request.service);
    const StreamQueue::Entry entry = queueEntryFor(number, request, service);
    request.queued = true;
    if (mayQueueUntilOpen(service, now)) {
        service.waiting.add(entry, now);
        return;
    }
    const Duration wait = expectedWait(service, entry, now);
    if (wait * settings_.waitSafetyFactor > maxQueueTime(request)) {
        request.retryAfterHint = std::clamp(wait, settings_.minRetryAfter, settings_.maxRetryAfter);
        giveUp(number, FailureCode::NoUpstream, now, actions);
        return;
    }
    service.waiting.add(entry, now);
}

// Tells whether all groups refuse, one will soon take requests, and the queue is no longer than
// what can begin then.
bool GatewayCore::mayQueueUntilOpen(ServiceState &service, TimePoint now) const
{
    constexpr double kQueuedPerSlot = 2.0; // A place is free again after a second or two.
    double slots = 0.0;
    for (const auto &[group, tracker] : service.selector.all()) {
        slots += tracker.limiter().limit();
    }
    return service.selector.opensSoon(groups_, now)
           && static_cast<double>(service.waiting.size()) < kQueuedPerSlot * slots;
}

// Has a stream wait that an upstream has refused because its group has yet to open.
bool GatewayCore::requeue(RequestNumber number, Request &request, TimePoint now)
{
    ServiceState &service = serviceOf(request.service);
    const bool mayRequeue = request.request.route->streamed && !request.headSent
                            && !request.mayHaveRun && mayBeSent(request, now);
    if (!mayRequeue || !mayQueueUntilOpen(service, now)) {
        return false;
    }
    request.queued = true;
    request.refusedBefore = true;
    request.tried.clear();
    request.attempts = 0; // None has run.
    service.waiting.add(queueEntryFor(number, request, service), now);
    return true;
}

// Returns the state of a service, with the groups that it has now.
GatewayCore::ServiceState &GatewayCore::serviceOf(const TargetName &service)
{
    ServiceState &state = services_.try_emplace(service, settings_.selector).first->second;
    state.selector.setGroups(chooser_.groupsOf(service), {gateways_, hallPosition_});
    return state;
}

GroupTracker &GatewayCore::trackerOf(const Request &request)
{
    return serviceOf(request.service).selector.tracker(request.group);
}

// Returns how long a stream would wait at the pace of the last second.
Duration GatewayCore::expectedWait(ServiceState &service, const StreamQueue::Entry &entry,
                                   TimePoint now)
{
    constexpr Duration kWindow = std::chrono::seconds(1);
    while (!service.recentStarts.empty() && now - service.recentStarts.front() > kWindow) {
        service.recentStarts.pop_front();
    }
    const auto ahead = static_cast<Duration::rep>(service.waiting.countAhead(entry, now));
    const auto startRate =
        static_cast<Duration::rep>(std::max<std::size_t>(1, service.recentStarts.size()));
    return kWindow * (ahead + 1) / startRate;
}

// Starts waiting requests while lanes admit them.
void GatewayCore::admitQueued(ServiceState &service, TimePoint now, GatewayActions &actions)
{
    for (auto next = service.waiting.next(now); next; next = service.waiting.next(now)) {
        const auto group = service.selector.selectForNew(*next, groups_, now);
        if (!group) {
            return;
        }
        const RequestNumber number = next->number;
        service.waiting.remove(number);
        Request &request = requests_.at(number);
        request.queued = false;
        service.recentStarts.push_back(now);
        const bool allowed = !request.refusedBefore || budgets_.at(request.service).take();
        if (allowed) {
            startOrAwaitPermit(number, request, group, now, actions);
        } else {
            giveUp(number, FailureCode::NoUpstream, now, actions);
        }
    }
}

void GatewayCore::onFirstEvent(RequestNumber number, TimePoint now)
{
    constexpr int kHistoryWeight = 8; // Of the average so far, against one of the new time.
    Request *request = find(number);
    if (request == nullptr || request->upstream == InstanceId() || request->hasEvents) {
        return;
    }
    request->hasEvents = true;
    request->progressAt = now;
    trackerOf(*request).onFirstEvent(now);
    Duration &average = serviceOf(request->service).meanTimeToFirstEvent;
    const Duration time = now - request->attemptStartedAt;
    average =
        average == Duration{} ? time : (average * (kHistoryWeight - 1) + time) / kHistoryWeight;
}

void GatewayCore::onPause(RequestNumber number, Duration pause, TimePoint now)
{
    Request *request = find(number);
    if (request != nullptr && request->upstream != InstanceId()) {
        request->progressAt = now;
        const Duration goal = request->request.route->pauseGoal;
        trackerOf(*request).onPause(pause, goal, now);
    }
}

std::size_t GatewayCore::waiting(const TargetName &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.waiting.size();
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
