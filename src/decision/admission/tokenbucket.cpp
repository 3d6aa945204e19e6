#include "decision/admission/tokenbucket.h"

#include <algorithm>

namespace seamarch {
namespace {

constexpr double kBurstSeconds = 1.0;

double burstFor(double permitsPerSecond)
{
    return std::max(1.0, permitsPerSecond * kBurstSeconds);
}

} // namespace

TokenBucket::TokenBucket(double permitsPerSecond, double burst, TimePoint now)
    : permitsPerSecond_(permitsPerSecond)
    , burst_(burst)
    , permits_(burst)
    , refilledAt_(now)
{}

void TokenBucket::refill(TimePoint now)
{
    if (now <= refilledAt_) {
        return;
    }
    permits_ = std::min(burst_, permits_ + toSeconds(now - refilledAt_) * permitsPerSecond_);
    refilledAt_ = now;
}

void TokenBucket::setRate(double permitsPerSecond, double burst, TimePoint now)
{
    refill(now);
    permitsPerSecond_ = permitsPerSecond;
    burst_ = burst;
    permits_ = std::min(permits_, burst);
}

std::optional<Duration> TokenBucket::tryAcquire(TimePoint now)
{
    refill(now);
    if (permits_ >= 1.0) {
        permits_ -= 1.0;
        return std::nullopt;
    }
    return fromSeconds((1.0 - permits_) / std::max(permitsPerSecond_, 1e-9));
}

void RateLimiter::setLimit(const AccountId &account, double requestsPerSecond)
{
    if (requestsPerSecond > 0.0) {
        limits_[account] = requestsPerSecond;
        return;
    }
    limits_.erase(account);
    buckets_.erase(account);
}

std::optional<Duration> RateLimiter::admit(const AccountId &account, TimePoint now)
{
    const auto limit = limits_.find(account);
    if (limit == limits_.end()) {
        return std::nullopt;
    }
    const double rate = limit->second * share_;
    const auto [bucket, added] = buckets_.try_emplace(account, rate, burstFor(rate), now);
    if (!added) {
        bucket->second.setRate(rate, burstFor(rate), now);
    }
    return bucket->second.tryAcquire(now);
}

} // namespace seamarch
