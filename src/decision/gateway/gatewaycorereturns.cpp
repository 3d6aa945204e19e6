// The part of GatewayCore that decides how long a stream may wait and when a rejected caller may
// come back: by what the caller has left, the present pace of the service, and its outages.
#include "decision/gateway/gatewaycore.h"

#include <algorithm>
#include <utility>

namespace seamarch {
namespace {

// A request that is younger than this counts as a first try: the deadline that a caller states may
// be shorter than its configured one by the time that connecting took.
constexpr Duration kMinRetryAge = std::chrono::milliseconds(200);

// Samples older than this say nothing about the present pace. A gateway whose estimates reject all
// streams gets no samples, and tries again after this time.
constexpr Duration kSampleTimeToLive = std::chrono::seconds(1);

// The pauses of this time make up one sample: all streams have about the same in each pass.
constexpr Duration kPauseSampleInterval = std::chrono::milliseconds(100);

// Interval of the checks whether queued streams will still start in time.
constexpr Duration kWaitCheckInterval = std::chrono::milliseconds(100);

// A stream that waits for a group is rejected if its chance falls below this fraction of that at
// which it was queued.
constexpr double kKeepWaitingFactor = 0.5;

} // namespace

// Returns whether the caller was probably rejected before.
bool GatewayCore::isReturn(const Request &request)
{
    return request.arrivedAt - request.firstSentAt >= kMinRetryAge;
}

// Returns the time after which it is useless to start a stream.
TimePoint GatewayCore::latestStart(const Request &request, const ServiceState &service) const
{
    // If first events take longer than this, the estimate cannot tell who will be served.
    constexpr double kMaxFirstEventFraction = 0.75;
    const Duration silence = request.request.route->silenceTimeout;
    Duration firstEvent = settings_.queueTimeoutMargin;
    Duration duration{};
    if (service.timesFresh) {
        const Duration longest = fromSeconds(toSeconds(silence) * kMaxFirstEventFraction);
        firstEvent =
            std::max(firstEvent, std::min(longest, service.times.cautiousTimeToFirstEvent()));
        duration = service.times.duration(request.request.size);
    }
    return std::min(request.arrivedAt + silence - firstEvent, request.failAt - duration);
}

// Rejects a new stream that could not be served even if it started now.
bool GatewayCore::rejectIfHopeless(RequestNumber number, Request &request, TimePoint now,
                                   GatewayActions &actions)
{
    if (now < latestStart(request, serviceOf(request.service))) {
        return false;
    }
    request.rejection = StreamRejection::NoTimeLeft;
    giveUp(number, FailureCode::NoUpstream, now, actions);
    return true;
}

// Returns the time until the caller's own deadline; the route's timeout starts anew if it returns.
Duration GatewayCore::callerTimeLeft(const Request &request, TimePoint now)
{
    return request.arrivedAt + request.request.deadline - now;
}

// Returns the longest retry delay that the caller honours.
Duration GatewayCore::maxHonouredRetryAfter(const Request &request, TimePoint now) const
{
    return std::max(settings_.minRetryAfter,
                    callerTimeLeft(request, now) / settings_.maxRetryAfterDivisor);
}

// Returns the retry delay for a rejected caller; zero if it could not be served even then. It is no
// shorter than the time until an upstream ends its rest or permits are available again.
Duration GatewayCore::retryAfterFor(Request &request, TimePoint now)
{
    Duration wait =
        request.retryAfterHint > Duration{} ? request.retryAfterHint : settings_.retryAfter;
    if (request.request.route->streamed) {
        const ServiceState &service = serviceOf(request.service);
        if (!request.returnPlanned && acceptsNone(service, now)) {
            mayAwaitGroup(request, false, now);
        }
        const Duration useful =
            callerTimeLeft(request, now) - service.times.duration(request.request.size);
        if (useful < settings_.minRetryAfter
            || (request.returnPlanned && request.retryAfterHint == Duration{})) {
            return {};
        }
        wait = request.returnPlanned ? request.retryAfterHint : std::min(wait, useful);
    }
    const TimePoint restsUntil = chooser_.earliestRestEnd(request.service, now).value_or(now);
    const TimePoint permitsFrom = chooser_.earliestPermitAt(request.service, now).value_or(now);
    return std::max({wait, restsUntil - now, permitsFrom - now});
}

// Returns how long a stream would be queued at the present start rate.
Duration GatewayCore::expectedWait(ServiceState &service, const StreamQueue::Entry &entry,
                                   TimePoint now)
{
    const double ahead = static_cast<double>(service.queue.countAhead(entry, now));
    return fromSeconds((ahead + 1.0) / service.availability.startRate(now));
}

bool GatewayCore::acceptsNone(const ServiceState &service, TimePoint now) const
{
    return ServiceAvailability::acceptsNone(service.selector, groups_, now);
}

// Decides whether a stream that no group accepts waits. If not, sets when its caller may return.
bool GatewayCore::mayAwaitGroup(Request &request, bool mayWait, TimePoint now)
{
    ServiceState &service = serviceOf(request.service);
    ReturnPlan::Caller caller;
    caller.isRetry = isReturn(request);
    caller.longestWait = mayWait ? latestStart(request, service) - now : Duration{};
    caller.timeLeft = callerTimeLeft(request, now);
    caller.needed = service.times.duration(request.request.size);
    caller.longestDelay = maxHonouredRetryAfter(request, now);
    const double chance = service.availability.opensWithin(caller.longestWait, now);
    const ReturnPlan::Decision decision = service.returns.decide(
        caller,
        {chance, service.availability.expectedOutageLeft(settings_.returns.maxRetryAfter, now),
         service.availability.usualStartRate()},
        now);
    if (!decision.wait) {
        request.rejection = StreamRejection::Outage;
        request.retryAfterHint = decision.retryAfter;
        request.returnPlanned = true;
    }
    return decision.wait;
}

// Returns whether the streams that wait can start soon after a group opens.
bool GatewayCore::hasRoomToWait(const ServiceState &service) const
{
    constexpr double kQueuedPerSlot = 2.0; // A slot is free again after a second or two.
    double slots = 0.0;
    for (const auto &[group, tracker] : service.selector.all()) {
        slots += tracker.limiter().limit();
    }
    return static_cast<double>(service.queue.size()) < kQueuedPerSlot * slots;
}

// Queues or rejects a stream while no group accepts requests. Returns false if one does.
bool GatewayCore::planInOutage(RequestNumber number, Request &request, TimePoint now,
                               GatewayActions &actions)
{
    ServiceState &service = serviceOf(request.service);
    if (!acceptsNone(service, now)) {
        return false;
    }
    service.availability.onState(service.selector, groups_, now);
    if (!mayAwaitGroup(request, hasRoomToWait(service), now)) {
        giveUp(number, FailureCode::NoUpstream, now, actions);
        return true;
    }
    awaitGroup(number, request, now, actions);
    return true;
}

void GatewayCore::awaitGroup(RequestNumber number, Request &request, TimePoint now,
                             GatewayActions &actions)
{
    ServiceState &service = serviceOf(request.service);
    const StreamQueue::Entry entry = queueEntryFor(number, request, service);
    const Duration longestWait = entry.latestStart - now;
    request.queued = true;
    service.queue.add(entry, now);
    actions.push_back(AwaitGroup{number, longestWait,
                                 service.availability.opensWithin(longestWait, now),
                                 service.availability.outageAge(now), isReturn(request)});
}

// Queues a stream that an upstream refused because its group does not accept requests. Returns
// false if the stream may not wait.
bool GatewayCore::requeue(RequestNumber number, Request &request, TimePoint now,
                          GatewayActions &actions)
{
    ServiceState &service = serviceOf(request.service);
    const bool mayRequeue = request.request.route->streamed && !request.headSent
                            && !request.mayHaveRun && mayBeSent(request, now);
    if (!mayRequeue || !acceptsNone(service, now)) {
        return false;
    }
    service.availability.onState(service.selector, groups_, now);
    if (!mayAwaitGroup(request, hasRoomToWait(service), now)) {
        return false;
    }
    request.refusedBefore = true;
    request.tried.clear();
    request.attempts = 0; // No attempt has run.
    awaitGroup(number, request, now, actions);
    return true;
}

// Returns why a queued stream can no longer be served; None if it can.
StreamRejection GatewayCore::rejectionOf(const StreamQueue::Entry &entry, const Request &request,
                                         ServiceState &service, bool checkWait, TimePoint now)
{
    const Duration left = entry.latestStart - now;
    if (left <= Duration{}) {
        return StreamRejection::NoTimeLeft;
    }
    if (acceptsNone(service, now)) {
        const double chance = service.availability.opensWithin(left, now);
        const double needed = settings_.returns.minWaitChance * kKeepWaitingFactor;
        return !isReturn(request) && chance < needed ? StreamRejection::Outage
                                                     : StreamRejection::None;
    }
    // The next stream of the queue needs only one slot, whatever the rate.
    const bool isNext = service.queue.countAhead(entry, now) == 0;
    const Duration wait = expectedWait(service, entry, now);
    const Duration bearable = entry.isRetry ? left * settings_.waitSafetyFactor : left;
    return checkWait && !isNext && wait > bearable ? StreamRejection::QueueSlow
                                                   : StreamRejection::None;
}

// Rejects the queued streams whose expected wait has become too long.
void GatewayCore::checkWaits(TimePoint now, GatewayActions &actions)
{
    if (now - waitsCheckedAt_ >= kWaitCheckInterval) {
        waitsCheckedAt_ = now;
        rejectQueued(true, now, actions);
    }
}

// Rejects the queued streams that can no longer be served. `checkWait`: also by their expected
// wait.
void GatewayCore::rejectQueued(bool checkWait, TimePoint now, GatewayActions &actions)
{
    std::vector<RequestNumber> queued;
    for (const auto &[number, request] : requests_) {
        if (request.queued) {
            queued.push_back(number);
        }
    }
    std::sort(queued.begin(), queued.end());
    for (const RequestNumber number : queued) {
        Request &request = requests_.at(number);
        ServiceState &service = services_.at(request.service);
        const StreamQueue::Entry entry = queueEntryFor(number, request, service);
        request.rejection = rejectionOf(entry, request, service, checkWait, now);
        if (request.rejection == StreamRejection::None) {
            continue;
        }
        const Duration wait = expectedWait(service, entry, now);
        request.retryAfterHint = std::clamp(wait, settings_.minRetryAfter, settings_.maxRetryAfter);
        giveUp(number, FailureCode::NoUpstream, now, actions);
    }
}

// Takes the mean of the last pauses as a sample, and checks the age of the samples.
void GatewayCore::updateTimes(ServiceState &service, TimePoint now)
{
    if (service.pauseCount > 0 && now - service.pausesAveragedAt >= kPauseSampleInterval) {
        service.times.onPause(service.pauseSum / service.pauseCount);
        service.pauseSum = {};
        service.pauseCount = 0;
        service.pausesAveragedAt = now;
    }
    service.timesFresh = now - service.timesSampledAt < kSampleTimeToLive;
}

void GatewayCore::onFirstEvent(RequestNumber number, TimePoint now)
{
    Request *request = find(number);
    if (request == nullptr || request->upstream == InstanceId() || request->hasEvents) {
        return;
    }
    request->hasEvents = true;
    ++request->events;
    request->progressAt = now;
    trackerOf(*request).onFirstEvent(now);
    ServiceState &service = serviceOf(request->service);
    service.times.onFirstEvent(now - request->attemptStartedAt);
    service.timesSampledAt = now;
}

void GatewayCore::onPause(RequestNumber number, Duration pause, TimePoint now)
{
    Request *request = find(number);
    if (request == nullptr || request->upstream == InstanceId()) {
        return;
    }
    ++request->events;
    request->progressAt = now;
    const RouteRule &route = *request->request.route;
    GroupTracker &tracker = trackerOf(*request);
    // Attempts fail over after a part of the silence that their caller bears.
    tracker.onCallerTimes(request->request.deadline,
                          fromSeconds(toSeconds(route.silenceTimeout) * settings_.silenceFraction));
    tracker.onPause(pause, route.gapTarget, now);
    ServiceState &service = serviceOf(request->service);
    service.pauseSum += pause;
    ++service.pauseCount;
    service.timesSampledAt = now;
}

} // namespace seamarch
