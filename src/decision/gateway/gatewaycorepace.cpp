// The part of GatewayCore that observes how fast upstreams answer requests that are not streamed.
// Streams are left out: the ranks of a group of engines are balanced by the group.
#include "decision/gateway/gatewaycore.h"

#include <algorithm>

namespace seamarch {

// Returns the observations that the selection of an upstream for `request` takes into account.
const UpstreamPace *GatewayCore::paceFor(const Request &request) const
{
    if (request.request.route->streamed) {
        return nullptr;
    }
    const auto found = paces_.find(request.service);
    return found == paces_.end() ? nullptr : &found->second;
}

// Returns the time since the start of the attempt. Short times are raised to one that makes no
// difference to callers: among them, an upstream in another hall differs by its distance alone.
Duration GatewayCore::comparableTime(const Request &request, TimePoint now) const
{
    const auto equal = std::chrono::duration_cast<Duration>(request.request.route->latencyTarget
                                                            * settings_.equalAnswerFraction);
    return std::max(equal, Duration(now - request.attemptStartedAt));
}

// Records a successful answer. Failures are left out: an upstream that fails at once is not fast.
void GatewayCore::recordPace(const Request &request, TimePoint now)
{
    const RouteRule &route = *request.request.route;
    if (!route.streamed) {
        paces_.try_emplace(request.service, settings_.pace)
            .first->second.onAnswer(route.name, request.upstream, comparableTime(request, now),
                                    now);
    }
}

// Records how long the requests in flight have waited for the heads of their answers.
void GatewayCore::recordWaits(TimePoint now)
{
    for (const auto &[number, request] : requests_) {
        const auto pace = paces_.find(request.service);
        const bool waits = request.upstream != InstanceId() && !request.attemptHasHead;
        if (waits && !request.request.route->streamed && pace != paces_.end()) {
            pace->second.onWait(request.request.route->name, request.upstream,
                                comparableTime(request, now), now);
        }
    }
    for (auto &[service, pace] : paces_) {
        pace.expire(now);
    }
}

std::vector<std::pair<TargetName, UpstreamPace::Change>> GatewayCore::takePaceChanges(TimePoint now)
{
    std::vector<std::pair<TargetName, UpstreamPace::Change>> changes;
    for (auto &[service, pace] : paces_) {
        for (UpstreamPace::Change &change : pace.takeChanges(now)) {
            changes.emplace_back(service, std::move(change));
        }
    }
    return changes;
}

} // namespace seamarch
