#include "gateway/gatewaybounds.h"

#include <algorithm>

namespace seamarch {
namespace {

// A request with a good key is on its way to an upstream for some milliseconds, and may wait for a
// slice of the processor.
constexpr Duration kKeyMargin = std::chrono::milliseconds(300);
// The same, for an answer to the caller.
constexpr Duration kDenyMargin = std::chrono::milliseconds(100);
// What is left to send the last bytes and end the process.
constexpr Duration kStopMargin = std::chrono::milliseconds(500);
// The balancer asks every second and takes an instance out after two misses.
constexpr Duration kBalancerDetectionDelay = std::chrono::milliseconds(3200);
// News of an upstream that is gone for good takes this long from the store through the gateways.
constexpr Duration kPropagationDelay = std::chrono::milliseconds(500);
// Engines list themselves again about this long after the store is back: the protocol's figure,
// counted from when a gateway first hears the store again.
constexpr Duration kReregistrationDelay = std::chrono::milliseconds(1500);
constexpr Duration kMinTiming = std::chrono::milliseconds(1);
// A change may come this part of the shortest bound on it later for being gathered with others.
constexpr int kBatchWindowDivisor = 20;

} // namespace

GatewayTimings deriveTimings(const GatewayBounds &bounds)
{
    GatewayTimings times;
    times.freshness.keys = std::max(kMinTiming, bounds.keyRevocationLimit - kKeyMargin);
    times.freshness.deny = std::max(kMinTiming, bounds.configPropagationLimit - kDenyMargin);
    times.stopDeadline = std::max(kMinTiming, bounds.stopLimit - kStopMargin);
    // Requests that came just before need time to end.
    times.stopDelay = std::min(kBalancerDetectionDelay, times.stopDeadline / 2);
    times.lapseGrace = std::clamp(bounds.leavingLimit - kPropagationDelay, Duration(kMinTiming),
                                  Duration(kReregistrationDelay));
    times.storeBatchWindow =
        std::min(bounds.leavingLimit, bounds.configPropagationLimit) / kBatchWindowDivisor;
    return times;
}

RetryLimits retryLimits(const GatewayBounds &bounds)
{
    return {bounds.retryRatio, bounds.retrySlack};
}

} // namespace seamarch
