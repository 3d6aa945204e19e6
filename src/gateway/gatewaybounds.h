// The limits that the platform sets for every gateway, and the timings that one gateway derives
// from them.
//
// The platform measures from events that a gateway does not observe (the store's acknowledgement of
// a change, the signal to stop). The derived timings are therefore shorter than the limits, by the
// time that updates and answers spend in transit.
//
// All functions are pure.
#pragma once

#include "decision/gateway/gatewaycore.h"
#include "seamarch/units.h"

namespace seamarch {

// Limits from the platform's settings. The defaults are those of its published example.
struct GatewayBounds
{
    // The longest time for which a key may be accepted after the store recorded its removal.
    Duration keyRevocationLimit = std::chrono::milliseconds(5000);
    // The longest time until a change of routes is in force at every gateway.
    Duration configPropagationLimit = std::chrono::milliseconds(2000);
    // The longest time for which an upstream may still receive requests after the store recorded
    // that it is leaving or gone.
    Duration leavingLimit = std::chrono::milliseconds(2000);
    // The time after the signal to stop at which the platform kills the process.
    Duration stopLimit = std::chrono::milliseconds(8000);
    // The budget of all gateways together for second attempts: a share of the requests, plus an
    // allowance per time span.
    double retryRatio = 0.2;
    double retrySlack = 88.0;
    // Limits what all gateways together send per second to an upstream that is warming up.
    WarmUpBounds warmUp;
};

// The maximum age of the store's last confirmation for a gateway to decide on a request.
struct FreshnessBounds
{
    Duration keys{}; // To accept a key.
    Duration deny{}; // To reject a key or a path as unknown.
};

// The timings that one gateway applies.
struct GatewayTimings
{
    FreshnessBounds freshness;
    // How long a gateway continues to accept requests after a planned stop has begun.
    Duration stopDelay{};
    // When a planned stop ends even if requests are still in flight, counted from its start.
    Duration stopDeadline{};
    // How long an upstream stays in use that disappeared from the list around a store outage.
    Duration lapseGrace{};
    // How long a gateway waits after a change in the store, to read further changes with it.
    Duration storeCoalesceDelay{};
};

// Returns timings that keep within `bounds`. Timings to which a margin applies are at least 1 ms.
GatewayTimings deriveTimings(const GatewayBounds &bounds);
RetryLimits retryLimits(const GatewayBounds &bounds);

} // namespace seamarch
