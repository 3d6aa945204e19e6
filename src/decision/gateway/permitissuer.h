// Hands out the permits to send requests to upstreams that name a limit for all gateways together,
// or that are warming up.
//
// Each such upstream has one gateway that all ask (GatewayDirectory::issuerOf). Weighed: an equal
// part for each gateway leaves nearly all of a small limit unused where one of them has the
// callers, and lets as many requests go at once as there are gateways. Nothing is agreed on and
// nothing is stored: where gateways differ for a while on whom to ask, two hand out at once, so
// each hands out less than three quarters of the limit. An upstream bears one and a half times what
// it names for a while.
//
// An issuer begins with no permits: what was handed out before it took over is not known here.
// Permits of the past are not saved up, so that a pause is not followed by a heap of requests.
//
// Pure and single-threaded.
#pragma once

#include "decision/admission/tokenbucket.h"
#include "decision/gateway/requestrate.h"
#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstdint>
#include <unordered_map>

namespace seamarch {

// The part of a limit that an issuer hands out.
inline constexpr double kIssuedShare = 0.65;

struct PermitGrant
{
    std::uint32_t granted = 0;
    Duration retryAfter{}; // In vain sooner, where not all that was wanted is granted.
};

class PermitIssuer
{
public:
    struct Settings
    {
        double issuedShare = kIssuedShare;
        // Requests a second by which an upstream that takes nothing is asked whether that holds.
        RequestRate minRate{0.1};
        // How much of a second's permits may lie ready.
        double burstSeconds = 0.1;
        // The time that each gateway which asked within the last second keeps from the next
        // question of one that got nothing; it bounds the questions that an issuer gets.
        Duration retryDelayPerRequester = std::chrono::milliseconds(5);
        // What is kept of an upstream that nobody has asked about for so long is dropped.
        Duration idleTimeToLive = std::chrono::minutes(1);
    };

    PermitIssuer()
        : PermitIssuer(Settings())
    {}
    explicit PermitIssuer(const Settings &settings)
        : settings_(settings)
    {}

    // Hands `asker` up to `wanted` permits to send to `upstream`, which takes `limit`.
    PermitGrant issue(const InstanceId &upstream, RequestRate limit, const InstanceId &requester,
                      std::uint32_t wanted, TimePoint now);
    // Drops what is not used any more. Call it now and then.
    void expire(TimePoint now);

private:
    struct UpstreamState
    {
        TokenBucket bucket;
        std::unordered_map<InstanceId, TimePoint> requesters; // When each asked last.
        TimePoint lastUsedAt{};
    };

    UpstreamState &stateOf(const InstanceId &upstream, RequestRate limit, TimePoint now);

    Settings settings_;
    std::unordered_map<InstanceId, UpstreamState> states_;
};

} // namespace seamarch
