#include "decision/gateway/streamlimiter.h"

#include <algorithm>
#include <functional>
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
    ratios_.push_back(ratio);
    if (ratio >= settings_.nearTargetRatio) {
        nearTargetAt_ = now;
    } else if (nearTargetAt_ && now > *nearTargetAt_) {
        nearTargetAt_.reset(); // A later pass was short.
    }
}

void StreamLimiter::resetToShare(double slots, double gateways)
{
    evenShare_ = slots / gateways;
    const double share =
        std::clamp(settings_.initialShare * evenShare_, settings_.minLimit, settings_.maxLimit);
    limit_ = hasSamples() ? std::min(limit_, share) : share;
}

void StreamLimiter::resetToMinimum()
{
    limit_ = settings_.minLimit;
}

// Returns the pause that a quarter of the events of this period exceeded, as a ratio of its gap
// target, and begins a new period; zero if there are too few pauses.
double StreamLimiter::takePauseRatio()
{
    double ratio = 0.0;
    if (ratios_.size() >= settings_.minEnvelopeSamples) {
        const auto quartile = ratios_.begin() + static_cast<std::ptrdiff_t>(ratios_.size() / 4);
        std::nth_element(ratios_.begin(), quartile, ratios_.end(), std::greater<>());
        ratio = *quartile;
    }
    ratios_.clear();
    return ratio;
}

// Bounds the limit by the longest pauses of late.
void StreamLimiter::adaptBound(double pauseRatio, std::uint32_t inFlight, TimePoint now)
{
    const bool wasBound = bound_.has_value();
    envelope_.onPeriod(pauseRatio, inFlight, now);
    bound_ = envelope_.safeStreams(settings_.decreaseAbove, now);
    if (bound_) {
        bound_ = std::max({*bound_, settings_.minLimit, settings_.minBoundShare * evenShare_});
        limit_ = std::min(limit_, *bound_);
    }
    if (bound_.has_value() != wasBound) {
        const auto kind = wasBound ? LimitChange::Kind::BoundEnded : LimitChange::Kind::BoundBegun;
        changes_.push_back({kind, limit_, inFlight, pauseRatio});
    }
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
    } else if (waiting > 0 && !stalled
               && (!sampledInPeriod_ || maxRatio_ < settings_.increaseBelow)) {
        const double step =
            settings_.increaseStep + settings_.increasePerQueued * static_cast<double>(waiting);
        limit_ = std::min(settings_.maxLimit, limit_ + step);
    }
    adaptBound(takePauseRatio(), inFlight, now);
    sampledInPeriod_ = false;
    maxRatio_ = 0.0;
}

} // namespace seamarch
