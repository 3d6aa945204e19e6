// The part of GatewayCore that handles upstreams with a limit for all gateways together.
#include "decision/gateway/gatewaycore.h"

#include <algorithm>
#include <vector>

namespace seamarch {

// Sends a request that was not sent yet. If only a permit is missing and one may arrive within the
// permit timeout, the request waits; otherwise it fails.
void GatewayCore::startOrAwaitPermit(RequestNumber number, Request &request,
                                     const std::optional<GroupId> &group, TimePoint now,
                                     GatewayActions &actions)
{
    if (startAttempt(number, request, group, now, actions)) {
        return;
    }
    const TimePoint end = std::min(now + settings_.permitTimeout, request.failAt);
    if (mayBeSent(request, now)
        && chooser_.mayGetPermitBefore(request.service, request.request.residency, end, now)) {
        request.permitDeadline = end;
        permitWaiters_.insert(number);
        return;
    }
    giveUp(number, FailureCode::NoUpstream, now, actions);
}

// Sends requests that wait for permits, in the order of arrival. Fails those whose wait timed out
// or that cannot get a permit in time.
void GatewayCore::servePermitWaiters(TimePoint now, GatewayActions &actions)
{
    const std::vector<RequestNumber> waiting(permitWaiters_.begin(), permitWaiters_.end());
    for (const RequestNumber number : waiting) {
        Request &request = requests_.at(number);
        const bool sent = startRetry(number, request, now, actions);
        if (sent) {
            permitWaiters_.erase(number);
        } else if (now >= request.permitDeadline
                   || !chooser_.mayGetPermitBefore(request.service, request.request.residency,
                                                   request.permitDeadline, now)) {
            giveUp(number, FailureCode::NoUpstream, now, actions);
        }
    }
}

UpstreamLimits::Change GatewayCore::onLimit(const AttemptRecord &attempt,
                                            std::optional<RequestRate> limit, TimePoint now)
{
    return limits_.onAnswer(attempt.upstream, limit, attempt.startedAt, now);
}

void GatewayCore::onPermits(const InstanceId &upstream, const PermitGrant &answer,
                            TimePoint queriedAt, TimePoint now, GatewayActions &actions)
{
    permits_.onAnswer(upstream, answer, queriedAt, now);
    servePermitWaiters(now, actions);
}

} // namespace seamarch
