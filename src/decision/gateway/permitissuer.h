// Issues permits to send requests to upstreams that report a limit on the request rate of all
// gateways together, or that are warming up.
//
// All gateways request the permits for one upstream from the same gateway
// (GatewayDirectory::permitIssuerFor). The alternative, an equal share for each gateway, would
// leave most of a small limit unused if one gateway has all callers, and would allow as many
// simultaneous requests as there are gateways. There is no consensus and no stored state. While
// gateways disagree on the issuer, two issuers may be active at once; each therefore issues less
// than three quarters of the limit, because an upstream tolerates one and a half times its limit
// for a while.
//
// A new issuer starts without permits, as it does not know what its predecessor has issued. Unused
// permits do not accumulate, so that a pause is not followed by a burst of requests.
//
// Performs no I/O and is not thread-safe.
#pragma once

#include "decision/admission/tokenbucket.h"
#include "decision/gateway/requestrate.h"
#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstdint>
#include <unordered_map>

namespace seamarch {

// The share of a limit that one issuer issues.
inline constexpr double kIssuedShare = 0.65;

// The answer of an issuer to a request for permits.
struct PermitGrant
{
    std::uint32_t granted = 0;
    // When fewer permits are granted than requested: the time until the next one may be granted.
    Duration retryAfter{};
};

// Issues permits from one token bucket for each upstream.
class PermitIssuer
{
public:
    struct Settings
    {
        double issuedShare = kIssuedShare;
        // Lower bound of the issued rate, in requests per second. An upstream with a limit of zero
        // still gets these requests, so that its answers show whether the limit has changed.
        RequestRate minRate{0.1};
        // Capacity of a bucket, in seconds of its rate (at least one permit).
        double burstSeconds = 0.1;
        // `retryAfter` is at least this time multiplied by the number of gateways that have
        // requested permits within the last second, which bounds the load of the issuer.
        Duration retryDelayPerRequester = std::chrono::milliseconds(5);
        // The state of an upstream for which no permits were requested for this long is removed.
        Duration idleTimeToLive = std::chrono::minutes(1);
    };

    PermitIssuer()
        : PermitIssuer(Settings())
    {}
    explicit PermitIssuer(const Settings &settings)
        : settings_(settings)
    {}

    // Issues up to `wanted` permits for `upstream`, whose limit is `limit`, to `requester`.
    PermitGrant issue(const InstanceId &upstream, RequestRate limit, const InstanceId &requester,
                      std::uint32_t wanted, TimePoint now);
    // Removes the state of idle upstreams. To be called periodically.
    void expire(TimePoint now);

private:
    struct UpstreamState
    {
        TokenBucket bucket;
        std::unordered_map<InstanceId, TimePoint> requesters; // When each last requested permits.
        TimePoint lastUsedAt{};
    };

    UpstreamState &stateOf(const InstanceId &upstream, RequestRate limit, TimePoint now);

    Settings settings_;
    std::unordered_map<InstanceId, UpstreamState> states_;
};

} // namespace seamarch
