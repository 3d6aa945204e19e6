#include "decision/gateway/streamlimiter.h"

#include <algorithm>
#include <utility>

namespace seamarch {

void StreamLimiter::onPause(Duration pause, Duration gapTarget, TimePoint now)
{
    if (gapTarget <= Duration{}) {
        return;
    }
    sampledInPeriod_ = true;
    sampledAt_ = now;
    const double ratio = toSeconds(pause) / toSeconds(gapTarget);
    maxRatio_ = std::max(maxRatio_, ratio);
    if (ratio >= settings_.nearTargetRatio) {
        nearTargetAt_ = now;
    } else if (nearTargetAt_ && now > *nearTargetAt_) {
        nearTargetAt_.reset(); // A later pass was short.
    }
}

void StreamLimiter::resetToShare(double slots, double gateways)
{
    const double share = std::clamp(settings_.initialShare * slots / gateways, settings_.minLimit,
                                    settings_.maxLimit);
    limit_ = hasSamples() ? std::min(limit_, share) : share;
}

void StreamLimiter::resetToMinimum()
{
    limit_ = settings_.minLimit;
}

void StreamLimiter::moveTowardShare()
{
    limit_ = std::clamp(limit_ + settings_.shareStep * (*share_ - limit_), settings_.minLimit,
                        settings_.maxLimit);
}

void StreamLimiter::onTick(std::uint32_t inFlight, std::size_t waiting, TimePoint now)
{
    if (now - adaptedAt_ < settings_.adaptPeriod) {
        return;
    }
    adaptedAt_ = now;
    const bool stalled = inFlight > 0 && sampledAt_ && now - *sampledAt_ >= settings_.stallTimeout;
    if (sampledInPeriod_ && maxRatio_ > settings_.decreaseAbove) {
        const double used = std::min(limit_, static_cast<double>(inFlight));
        limit_ = std::max(settings_.minLimit, used * settings_.decreaseFactor);
    } else if (!stalled) {
        const bool isShort = !sampledInPeriod_ || maxRatio_ < settings_.increaseBelow;
        if (share_ && (*share_ > limit_ ? waiting > 0 : !isShort)) {
            moveTowardShare();
        }
        if (waiting > 0 && isShort) {
            const double step =
                settings_.increaseStep + settings_.increasePerQueued * static_cast<double>(waiting);
            limit_ = std::min(settings_.maxLimit, limit_ + step);
        }
    }
    sampledInPeriod_ = false;
    maxRatio_ = 0.0;
}

} // namespace seamarch
