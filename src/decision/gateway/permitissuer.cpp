#include "decision/gateway/permitissuer.h"

#include <algorithm>

namespace seamarch {
namespace {

constexpr Duration kRequesterWindow = std::chrono::seconds(1);

} // namespace

PermitIssuer::UpstreamState &PermitIssuer::stateOf(const InstanceId &upstream, RequestRate limit,
                                                   TimePoint now)
{
    const double rate =
        std::max(limit.perSecond() * settings_.issuedShare, settings_.minRate.perSecond());
    constexpr double kInitialTokens = 0.0;
    UpstreamState &state =
        states_
            .try_emplace(upstream, UpstreamState{TokenBucket(rate, kInitialTokens, now), {}, now})
            .first->second;
    state.bucket.setRate(rate, std::max(1.0, rate * settings_.burstSeconds), now);
    state.lastUsedAt = now;
    return state;
}

PermitGrant PermitIssuer::issue(const InstanceId &upstream, RequestRate limit,
                                const InstanceId &requester, std::uint32_t wanted, TimePoint now)
{
    UpstreamState &state = stateOf(upstream, limit, now);
    std::erase_if(state.requesters,
                  [now](const auto &entry) { return now - entry.second > kRequesterWindow; });
    state.requesters[requester] = now;
    PermitGrant grant;
    while (grant.granted < wanted) {
        if (const auto wait = state.bucket.tryAcquire(now)) {
            const auto requesters = static_cast<Duration::rep>(state.requesters.size());
            grant.retryAfter = std::max(*wait, settings_.retryDelayPerRequester * requesters);
            return grant;
        }
        ++grant.granted;
    }
    return grant;
}

void PermitIssuer::expire(TimePoint now)
{
    std::erase_if(states_, [&](const auto &entry) {
        return now - entry.second.lastUsedAt > settings_.idleTimeToLive;
    });
}

} // namespace seamarch
