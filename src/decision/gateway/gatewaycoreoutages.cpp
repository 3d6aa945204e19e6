// The part of GatewayCore that decides on streams while no group accepts requests.
//
// A caller that is told to come back can do so once, after at most a part of the time that it has
// left. So a stream first waits for as long as its caller bears, and only then is its caller told
// to come back as late as it honours: it is served if the outage ends in either wait or soon after.
// Callers whose waits began at different times come back at different times as well.
#include "decision/gateway/gatewaycore.h"

#include <algorithm>

namespace seamarch {

// Returns whether the streams that wait can start soon after a group opens.
bool GatewayCore::hasRoomToWait(const ServiceState &service)
{
    constexpr double kQueuedPerSlot = 2.0; // A slot is free again after a second or two.
    double slots = 0.0;
    for (const auto &[group, tracker] : service.selector.all()) {
        slots += tracker.limiter().limit();
    }
    return static_cast<double>(service.queue.size()) < kQueuedPerSlot * slots;
}

// Queues a stream, or rejects it if the queue has no room. While a group is about to open, its
// caller need not have time left: refusals have told nothing of it yet.
void GatewayCore::queueInOutage(RequestNumber number, Request &request,
                                const StreamQueue::Entry &entry, TimePoint now,
                                GatewayActions &actions)
{
    ServiceState &service = serviceOf(request.service);
    const bool mayWait =
        now - request.arrivedAt < maxQueueTime(request) || service.selector.opensSoon(groups_, now);
    if (!mayWait || !hasRoomToWait(service)) {
        request.inOutage = true;
        request.retryAfterHint = maxHonouredRetryAfter(request, now);
        giveUp(number, FailureCode::NoUpstream, now, actions);
        return;
    }
    service.queue.add(entry, now);
    actions.push_back(AwaitGroup{number, maxQueueTime(request)});
}

} // namespace seamarch
