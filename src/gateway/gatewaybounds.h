// What the platform asks of every gateway, and what follows from it for one.
//
// The platform counts from moments that a gateway does not see (the store's acknowledgement of a
// change, the signal to stop), so the times that a gateway keeps lie inside the bounds by the time
// that news and answers take on their way.
//
// Pure.
#pragma once

#include "decision/gateway/gatewaycore.h"
#include "seamarch/units.h"

namespace seamarch {

// As the platform's settings tell; the defaults are those of its published example.
struct GatewayBounds
{
    // A key that was taken away is not used later than this after the store took the change.
    Duration keyRevocationLimit = std::chrono::milliseconds(5000);
    // A change of routes is in force everywhere within this.
    Duration configPropagationLimit = std::chrono::milliseconds(2000);
    // An upstream that is leaving or gone gets nothing later than this after the store knew.
    Duration leavingLimit = std::chrono::milliseconds(2000);
    // A process is killed this long after it was told to stop.
    Duration stopLimit = std::chrono::milliseconds(8000);
    // What all gateways may send of second attempts: for each request, and besides in a span.
    double retryRatio = 0.2;
    double retrySlack = 88.0;
    // What an upstream that warms up gets from all gateways in one second.
    WarmUpBounds warmUp;
};

// How young a confirmation must be.
struct FreshnessBounds
{
    Duration keys{}; // For a key to be good.
    Duration deny{}; // For a key or a path to be said to be unknown.
};

// The times that one gateway keeps.
struct GatewayTimings
{
    FreshnessBounds freshness;
    // How long a planned stop goes on taking requests.
    Duration stopDelay{};
    // When a planned stop ends, also when requests are under way.
    Duration stopDeadline{};
    // How long an upstream that vanished around an outage of the store stays in use.
    Duration lapseGrace{};
    // How long the store's changes are gathered after one of them was heard.
    Duration storeBatchWindow{};
};

GatewayTimings deriveTimings(const GatewayBounds &bounds);
RetryLimits retryLimits(const GatewayBounds &bounds);

} // namespace seamarch
