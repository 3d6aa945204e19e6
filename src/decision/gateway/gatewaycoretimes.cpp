// The part of GatewayCore that observes how long streams take, and bounds the time in the queue by
// it.
#include "decision/gateway/gatewaycore.h"

#include <algorithm>

namespace seamarch {
namespace {

// Times to the first event say nothing of the present pace after this time. A gateway whose
// estimate rejects all streams gets no new ones.
constexpr Duration kTimesTimeToLive = std::chrono::seconds(1);

// If first events take more than this part of the silence that callers bear, the mean cannot tell
// who will be served.
constexpr int kMaxFirstEventNumerator = 3;
constexpr int kMaxFirstEventDenominator = 4;

} // namespace

// Returns how long a stream may be queued: with a later start its first event would probably come
// after its caller has disconnected.
Duration GatewayCore::maxQueueTime(const Request &request, TimePoint now) const
{
    const Duration silence = request.request.route->silenceTimeout;
    Duration firstEvent = settings_.queueTimeoutMargin;
    const auto found = services_.find(request.service);
    const bool isKnown = found != services_.end() && found->second.firstEventAt
                         && now - *found->second.firstEventAt < kTimesTimeToLive;
    if (isKnown) {
        const Duration longest = silence * kMaxFirstEventNumerator / kMaxFirstEventDenominator;
        firstEvent =
            std::max(firstEvent, std::min(longest, found->second.times.timeToFirstEvent()));
    }
    return silence - firstEvent;
}

void GatewayCore::onFirstEvent(RequestNumber number, TimePoint now)
{
    Request *request = find(number);
    if (request == nullptr || request->upstream == InstanceId() || request->hasEvents) {
        return;
    }
    request->hasEvents = true;
    request->progressAt = now;
    trackerOf(*request).onFirstEvent(now);
    ServiceState &service = serviceOf(request->service);
    service.times.onFirstEvent(now - request->attemptStartedAt);
    service.firstEventAt = now;
}

void GatewayCore::onPause(RequestNumber number, Duration pause, TimePoint now)
{
    Request *request = find(number);
    if (request != nullptr && request->upstream != InstanceId()) {
        request->progressAt = now;
        const RouteRule &route = *request->request.route;
        GroupTracker &tracker = trackerOf(*request);
        // Attempts fail over after a part of the silence that their caller bears.
        tracker.onCallerTimes(request->request.deadline, fromSeconds(toSeconds(route.silenceTimeout)
                                                                     * settings_.silenceFraction));
        tracker.onPause(pause, route.gapTarget, now);
    }
}

} // namespace seamarch
