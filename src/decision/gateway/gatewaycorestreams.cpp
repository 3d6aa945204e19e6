// The part of GatewayCore that admits streams: selects the group for a stream, limits its time in
// the queue and starts queued streams.
#include "decision/fairness/requestcost.h"
#include "decision/gateway/gatewaycore.h"

#include <algorithm>
#include <tuple>

namespace seamarch {
namespace {

// A request that is younger than this counts as a first try: the deadline that a caller states may
// be shorter than its configured one by the time that connecting took.
constexpr Duration kMinRetryAge = std::chrono::milliseconds(200);

} // namespace

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
    entry.latestStart = request.arrivedAt + maxQueueTime(request);
    entry.isRetry = request.arrivedAt - request.firstSentAt >= kMinRetryAge;
    // Without a latency target a later start is no worse until the request fails.
    entry.startDeadline = latencyTarget > Duration{}
                              ? request.firstSentAt + latencyTarget - service.meanTimeToFirstEvent
                              : request.failAt;
    return entry;
}

// Returns how long a stream may be queued; its caller disconnects shortly after that.
Duration GatewayCore::maxQueueTime(const Request &request) const
{
    return request.request.route->silenceTimeout - settings_.queueTimeoutMargin;
}

// Returns the longest retry delay that the caller honours.
Duration GatewayCore::maxHonouredRetryAfter(const Request &request, TimePoint now) const
{
    const Duration left = request.arrivedAt + request.request.deadline - now;
    return std::max(settings_.minRetryAfter, left / settings_.maxRetryAfterDivisor);
}

// Queues a stream, or rejects it at once if the expected wait is too long.
void GatewayCore::queueStream(RequestNumber number, Request &request, TimePoint now,
                              GatewayActions &actions)
{
    ServiceState &service = serviceOf(request.service);
    const StreamQueue::Entry entry = queueEntryFor(number, request, service);
    request.queued = true;
    if (mayQueueUntilOpen(service, now)) {
        service.queue.add(entry, now);
        return;
    }
    const Duration wait = expectedWait(service, entry, now);
    if (wait * settings_.waitSafetyFactor > maxQueueTime(request)) {
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
        if (now + std::min(wait, shortestWait(service, now)) <= last->latestStart) {
            return;
        }
        request.displacedBy = arrived.number;
        request.retryAfterHint = std::clamp(wait, settings_.minRetryAfter, settings_.maxRetryAfter);
        giveUp(last->number, FailureCode::NoUpstream, now, actions);
    }
}

// Returns whether no group accepts requests but one will soon, and the queue is no longer than the
// number of streams that can start then.
bool GatewayCore::mayQueueUntilOpen(ServiceState &service, TimePoint now) const
{
    constexpr double kQueuedPerSlot = 2.0; // A slot is free again after a second or two.
    double slots = 0.0;
    for (const auto &[group, tracker] : service.selector.all()) {
        slots += tracker.limiter().limit();
    }
    return service.selector.opensSoon(groups_, now)
           && static_cast<double>(service.queue.size()) < kQueuedPerSlot * slots;
}

// Queues a stream that an upstream refused because its group does not accept requests yet. Returns
// false if the stream may not be queued.
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
    request.attempts = 0; // No attempt has run.
    service.queue.add(queueEntryFor(number, request, service), now);
    return true;
}

// Returns the state of a service with its groups brought up to date; adds it if there is none.
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

// Returns how long a stream would be queued at the start rate of the last second.
Duration GatewayCore::expectedWait(ServiceState &service, const StreamQueue::Entry &entry,
                                   TimePoint now)
{
    constexpr Duration kWindow = std::chrono::seconds(1);
    while (!service.recentStarts.empty() && now - service.recentStarts.front() > kWindow) {
        service.recentStarts.pop_front();
    }
    const auto ahead = static_cast<Duration::rep>(service.queue.countAhead(entry, now));
    const auto startRate =
        static_cast<Duration::rep>(std::max<std::size_t>(1, service.recentStarts.size()));
    return kWindow * (ahead + 1) / startRate;
}

// Returns how long the last queued stream waits at the start rate since the first start of the last
// second: after a stall, the rate of the whole second is too low.
Duration GatewayCore::shortestWait(const ServiceState &service, TimePoint now)
{
    if (service.recentStarts.empty()) {
        return {};
    }
    const auto starts = static_cast<Duration::rep>(service.recentStarts.size());
    const auto queued = static_cast<Duration::rep>(service.queue.size());
    return (now - service.recentStarts.front()) * queued / starts;
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
        service.recentStarts.push_back(now);
        const bool allowed = !request.refusedBefore || budgets_.at(request.service).tryAcquire();
        if (allowed) {
            startOrAwaitPermit(number, request, group, now, actions);
        } else {
            giveUp(number, FailureCode::NoUpstream, now, actions);
        }
    }
}

void GatewayCore::onFirstEvent(RequestNumber number, TimePoint now)
{
    constexpr int kHistoryWeight = 8; // Weight of the previous average; a new sample has weight 1.
    Request *request = find(number);
    if (request == nullptr || request->upstream == InstanceId() || request->hasEvents) {
        return;
    }
    request->hasEvents = true;
    request->firstEventAt = now;
    request->progressAt = now;
    chooser_.onAnswered(request->upstream, now);
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
        chooser_.onAnswered(request->upstream, now);
        if (!request->partsAnswered && now - request->firstEventAt >= settings_.answerProofTime) {
            recordPartsAnswered(*request, now);
        }
        const RouteRule &route = *request->request.route;
        GroupTracker &tracker = trackerOf(*request);
        // Attempts fail over after a part of the silence that their caller bears.
        tracker.onCallerTimes(request->request.deadline, fromSeconds(toSeconds(route.silenceTimeout)
                                                                     * settings_.silenceFraction));
        tracker.onPause(pause, route.gapTarget, now);
    }
}

void GatewayCore::onReadingPaused(RequestNumber number, bool paused, TimePoint now)
{
    Request *request = find(number);
    if (request != nullptr && request->upstream != InstanceId()) {
        request->readingPaused = paused;
        request->progressAt = now;
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
