#include "decision/gateway/warmuplimits.h"

#include "decision/gateway/permitissuer.h"

#include <algorithm>

namespace seamarch {

RequestRate warmUpLimit(RequestRate rate, const WarmUpBounds &bounds)
{
    constexpr double kIssuers = 3.0;
    // A permit is used up to half a second after it is issued, and its request is sent up to half a
    // second later, when the connection is established. The requests of one second may therefore
    // use the permits of two.
    constexpr double kUseWindowSeconds = 2.0;
    constexpr double kBurstPermits = 1.0; // The permit that an issuer may have in its bucket.
    const double maxPerSecond = rate.perSecond() * bounds.factor + bounds.slack;
    const double issuedPerSecond = (maxPerSecond / kIssuers - kBurstPermits) / kUseWindowSeconds;
    return RequestRate(std::max(0.0, issuedPerSecond / kIssuedShare));
}

void WarmUpLimits::setServices(const std::vector<ServiceRule> &services)
{
    rates_.clear();
    for (const ServiceRule &service : services) {
        if (service.warmUpRate > RequestRate()) {
            rates_[service.name] = service.warmUpRate;
        }
    }
}

std::optional<RequestRate> WarmUpLimits::limitOf(const UpstreamRecord &upstream,
                                                 TimePoint now) const
{
    if (upstream.warmAt <= now) {
        return std::nullopt;
    }
    const auto rate = rates_.find(upstream.service);
    return rate == rates_.end() ? std::nullopt : std::optional(warmUpLimit(rate->second, bounds_));
}

} // namespace seamarch
