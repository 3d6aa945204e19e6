// The part of GatewayCore that deals with upstreams that name a limit for all gateways together.
#include "decision/gateway/gatewaycore.h"

#include <algorithm>
#include <vector>

namespace seamarch {

// Sends a request that was not sent yet. Where only a permit is lacking and one may come in a
// moment it waits, else it is given up.
void GatewayCore::startOrWait(RequestNumber number, Request &request,
                              const std::optional<GroupId> &group, TimePoint now,
                              GatewayActions &actions)
{
    if (startAttempt(number, request, group, now, actions)) {
        return;
    }
    const TimePoint end = std::min(now + settings_.permitWait, request.giveUpAt);
    if (mayBeSent(request, now)
        && chooser_.mayGetPermitBefore(request.service, request.request.residency, end, now)) {
        request.permitUntil = end;
        waitForPermits_.insert(number);
        return;
    }
    giveUp(number, FailureCode::NoUpstream, now, actions);
}

// Sends what waits for permits, in the order of arrival; gives up what waits in vain.
void GatewayCore::startWaitingForPermits(TimePoint now, GatewayActions &actions)
{
    const std::vector<RequestNumber> waiting(waitForPermits_.begin(), waitForPermits_.end());
    for (const RequestNumber number : waiting) {
        Request &request = requests_.at(number);
        const bool sent = startAgain(number, request, now, actions);
        if (sent) {
            waitForPermits_.erase(number);
        } else if (now >= request.permitUntil
                   || !chooser_.mayGetPermitBefore(request.service, request.request.residency,
                                                   request.permitUntil, now)) {
            giveUp(number, FailureCode::NoUpstream, now, actions);
        }
    }
}

UpstreamLimits::Change GatewayCore::onLimit(RequestNumber number, std::optional<RequestRate> limit,
                                            TimePoint now)
{
    const Request *request = find(number);
    if (request == nullptr || request->upstream == InstanceId()) {
        return UpstreamLimits::Change::None;
    }
    return limits_.onAnswer(request->sentTo, limit, request->sentAt, now);
}

void GatewayCore::onPermits(const InstanceId &upstream, const PermitGrant &answer,
                            TimePoint askedAt, TimePoint now, GatewayActions &actions)
{
    permits_.onAnswer(upstream, answer, askedAt, now);
    startWaitingForPermits(now, actions);
}

} // namespace seamarch
