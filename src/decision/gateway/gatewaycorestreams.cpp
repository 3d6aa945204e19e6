// The part of GatewayCore that admits streams: which lane takes one, how long it may wait for a
// place, and when those that wait begin.
#include "decision/gateway/gatewaycore.h"

#include <algorithm>

namespace seamarch {
namespace {

// A caller that has waited for less than this is at its first try: what it states may be less than
// its program's figure by the time that its connection took.
constexpr Duration kShortestComeBack = std::chrono::milliseconds(200);

} // namespace

StreamQueue::Entry GatewayCore::entryFor(RequestNumber number, const Request &request,
                                         const ServiceState &service)
{
    const Duration goal = request.request.route->latencyGoal;
    StreamQueue::Entry entry;
    entry.number = number;
    entry.priority = request.request.priority;
    entry.cameBack = request.arrivedAt - request.firstAskedAt >= kShortestComeBack;
    // Without a goal there is no moment from which on the caller would be worse off.
    entry.startBy =
        goal > Duration{} ? request.firstAskedAt + goal - service.firstEvent : request.giveUpAt;
    return entry;
}

// Returns how long a stream may wait for a place; its caller leaves not long after.
Duration GatewayCore::longestWait(const Request &request) const
{
    return request.request.route->silenceLimit - settings_.waitMargin;
}

// Returns the latest moment at which the caller would come back.
Duration GatewayCore::latestReturn(const Request &request, TimePoint now) const
{
    const Duration left = request.arrivedAt + request.request.deadline - now;
    return std::max(settings_.shortestReturn, left / settings_.honouredPart);
}

// Has a stream wait for a place, or refuses it at once where the queue is too long.
void GatewayCore::queueStream(RequestNumber number, Request &request, TimePoint now,
                              GatewayActions &actions)
{
    ServiceState &service = serviceOf(request.service);
    const StreamQueue::Entry entry = entryFor(number, request, service);
    request.waits = true;
    if (mayQueueForOpening(service, now)) {
        service.waiting.add(entry, now);
        return;
    }
    const Duration wait = expectedWait(service, entry, now);
    if (wait * settings_.waitDoubt > longestWait(request)) {
        request.comeBack = std::clamp(wait, settings_.shortestReturn, settings_.longestReturn);
        giveUp(number, FailureCode::NoUpstream, now, actions);
        return;
    }
    service.waiting.add(entry, now);
}

// Tells whether all groups refuse, one will soon take requests, and the queue is no longer than
// what can begin then.
bool GatewayCore::mayQueueForOpening(ServiceState &service, TimePoint now) const
{
    constexpr double kQueuePerPlace = 2.0; // A place is free again after a second or two.
    double places = 0.0;
    for (const auto &[group, lane] : service.lanes.all()) {
        places += lane.limiter().limit();
    }
    return service.lanes.opensSoon(groups_, now)
           && static_cast<double>(service.waiting.size()) < kQueuePerPlace * places;
}

// Has a stream wait that an upstream has refused because its group has yet to open.
bool GatewayCore::queueAgain(RequestNumber number, Request &request, TimePoint now)
{
    ServiceState &service = serviceOf(request.service);
    const bool fresh = request.request.route->streamed && !request.headSent && !request.mayHaveRun
                       && mayBeSent(request, now);
    if (!fresh || !mayQueueForOpening(service, now)) {
        return false;
    }
    request.waits = true;
    request.sentBefore = true;
    request.tried.clear();
    request.attempts = 0; // None has run.
    service.waiting.add(entryFor(number, request, service), now);
    return true;
}

// Returns the state of a service, with the groups that it has now.
GatewayCore::ServiceState &GatewayCore::serviceOf(const TargetName &service)
{
    ServiceState &state = services_.try_emplace(service, settings_.lanes).first->second;
    state.lanes.setGroups(chooser_.groupsOf(service), {gateways_, place_});
    return state;
}

StreamLane &GatewayCore::laneOf(const Request &request)
{
    return serviceOf(request.service).lanes.lane(request.group);
}

// Returns how long a stream would wait at the pace of the last second.
Duration GatewayCore::expectedWait(ServiceState &service, const StreamQueue::Entry &entry,
                                   TimePoint now)
{
    constexpr Duration kWindow = std::chrono::seconds(1);
    while (!service.started.empty() && now - service.started.front() > kWindow) {
        service.started.pop_front();
    }
    const auto ahead = static_cast<Duration::rep>(service.waiting.ahead(entry, now));
    const auto pace = static_cast<Duration::rep>(std::max<std::size_t>(1, service.started.size()));
    return kWindow * (ahead + 1) / pace;
}

// Starts waiting requests while lanes admit them.
void GatewayCore::admitWaiting(ServiceState &service, TimePoint now, GatewayActions &actions)
{
    for (auto next = service.waiting.next(now); next; next = service.waiting.next(now)) {
        const auto group = service.lanes.laneFor(*next, groups_, now);
        if (!group) {
            return;
        }
        const RequestNumber number = next->number;
        service.waiting.remove(number);
        Request &request = requests_.at(number);
        request.waits = false;
        service.started.push_back(now);
        const bool allowed = !request.sentBefore || budgets_.at(request.service).tryAcquire();
        if (allowed) {
            startOrWait(number, request, group, now, actions);
        } else {
            giveUp(number, FailureCode::NoUpstream, now, actions);
        }
    }
}

void GatewayCore::onFirstEvent(RequestNumber number, TimePoint now)
{
    constexpr int kWeight = 8; // Of the average so far, against one of the new time.
    Request *request = find(number);
    if (request == nullptr || request->upstream == InstanceId() || request->speaks) {
        return;
    }
    request->speaks = true;
    request->heardAt = now;
    laneOf(*request).onFirstEvent(now);
    Duration &average = serviceOf(request->service).firstEvent;
    const Duration time = now - request->sentAt;
    average = average == Duration{} ? time : (average * (kWeight - 1) + time) / kWeight;
}

void GatewayCore::onPause(RequestNumber number, Duration pause, TimePoint now)
{
    Request *request = find(number);
    if (request != nullptr && request->upstream != InstanceId()) {
        request->heardAt = now;
        const Duration goal = request->request.route->pauseGoal;
        laneOf(*request).onPause(pause, goal, now);
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
        for (const auto &[group, lane] : found->second.lanes.all()) {
            streams += lane.inFlight();
        }
    }
    return streams;
}

double GatewayCore::streamLimit(const TargetName &service) const
{
    double limit = 0.0;
    const auto found = services_.find(service);
    if (found != services_.end()) {
        for (const auto &[group, lane] : found->second.lanes.all()) {
            limit += lane.limiter().limit();
        }
    }
    return limit;
}

const StreamLane *GatewayCore::lane(const TargetName &service, const GroupId &group) const
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return nullptr;
    }
    return found->second.lanes.find(group);
}

} // namespace seamarch
