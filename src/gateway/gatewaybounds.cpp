#include "gateway/gatewaybounds.h"

#include <algorithm>

namespace seamarch {
namespace {

// A request with a valid key takes some milliseconds to reach an upstream, and may wait for CPU
// time on the way.
constexpr Duration kKeyMargin = std::chrono::milliseconds(300);
// The same delay for an answer on its way to the caller.
constexpr Duration kDenyMargin = std::chrono::milliseconds(100);
// Reserved for sending the last bytes and ending the process.
constexpr Duration kStopMargin = std::chrono::milliseconds(500);
// The platform's balancer checks readiness every second and removes an instance after two failures,
// so new connections come for little more than 2 s. What callers send later than 3 s after the
// signal may not be cut off, and arrives somewhat later than it was sent.
constexpr Duration kMaxStopDelay = std::chrono::milliseconds(2800);
// The time for the removal of an upstream to propagate from the store through the gateways.
constexpr Duration kPropagationDelay = std::chrono::milliseconds(500);
// Engines register again within about this time after the store is back. The figure is the
// protocol's, counted from when a gateway first reaches the store again.
constexpr Duration kReregistrationDelay = std::chrono::milliseconds(1500);
constexpr Duration kMinTiming = std::chrono::milliseconds(1);
// Batching may delay a change by at most this fraction (1/n) of the shortest limit on propagation.
constexpr int kCoalesceDelayDivisor = 20;

} // namespace

GatewayTimings deriveTimings(const GatewayBounds &bounds)
{
    GatewayTimings timings;
    timings.freshness.keys = std::max(kMinTiming, bounds.keyRevocationLimit - kKeyMargin);
    timings.freshness.deny = std::max(kMinTiming, bounds.configPropagationLimit - kDenyMargin);
    timings.stopDeadline = std::max(kMinTiming, bounds.stopLimit - kStopMargin);
    // Requests that arrive at the end of the delay need the remaining time to finish.
    timings.stopDelay = std::min(kMaxStopDelay, timings.stopDeadline / 2);
    timings.lapseGrace = std::clamp(bounds.leavingLimit - kPropagationDelay, Duration(kMinTiming),
                                    Duration(kReregistrationDelay));
    timings.storeCoalesceDelay =
        std::min(bounds.leavingLimit, bounds.configPropagationLimit) / kCoalesceDelayDivisor;
    return timings;
}

RetryLimits retryLimits(const GatewayBounds &bounds)
{
    return {bounds.retryRatio, bounds.retrySlack};
}

} // namespace seamarch
