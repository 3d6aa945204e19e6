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

void StreamLimiter::moveTowardShare()
{
    limit_ = std::clamp(limit_ + settings_.shareStep * (*share_ - limit_), settings_.minLimit,
                        settings_.maxLimit);
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

// Begins or ends the degraded mode. After it, the limit is at once what the present pauses allow: a
// limit of late streams would make those that start after the return late as well.
void StreamLimiter::adaptMode(double pauseRatio, std::uint32_t inFlight, TimePoint now)
{
    const DegradedMode::Change change = degraded_.onPeriod(pauseRatio, inFlight, now);
    if (change == DegradedMode::Change::None) {
        return;
    }
    envelope_.clear();
    bound_.reset();
    if (change == DegradedMode::Change::Ended && pauseRatio > settings_.decreaseAbove) {
        const double fixed = settings_.envelope.fixedShare;
        const double safe = inFlight * (settings_.decreaseAbove - fixed) / (pauseRatio - fixed);
        limit_ = std::clamp(safe, settings_.minLimit, limit_);
    }
    const auto kind = change == DegradedMode::Change::Begun ? LimitChange::Kind::DegradedBegun
                                                            : LimitChange::Kind::DegradedEnded;
    changes_.push_back({kind, limit_, inFlight, pauseRatio});
}

// Returns the largest limit. The pauses of a degraded group may never grow to the accepted ones,
// and more streams than its slots would be refused.
double StreamLimiter::maxLimit() const
{
    const bool bySlots = degraded_.isActive() && evenShare_ > 0.0;
    return bySlots ? std::max(limit_, std::min(evenShare_, settings_.maxLimit))
                   : settings_.maxLimit;
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
    const double pauseRatio = takePauseRatio();
    if (settings_.adaptsRoom) {
        adaptMode(pauseRatio, inFlight, now);
    }
    const double target = degraded_.isActive() ? degraded_.acceptedRatio(bearable_) : 1.0;
    const bool stalled = inFlight > 0 && sampledAt_ && now - *sampledAt_ >= settings_.stallTimeout;
    if (sampledInPeriod_ && maxRatio_ > target * settings_.decreaseAbove) {
        const double used = std::min(limit_, static_cast<double>(inFlight));
        limit_ = std::max(settings_.minLimit, used * settings_.decreaseFactor);
    } else if (!stalled) {
        const bool isShort = !sampledInPeriod_ || maxRatio_ < target * settings_.increaseBelow;
        if (share_ && (*share_ > limit_ ? waiting > 0 : !isShort)) {
            moveTowardShare();
        }
        if (waiting > 0 && isShort) {
            const double step =
                settings_.increaseStep + settings_.increasePerQueued * static_cast<double>(waiting);
            limit_ = std::min(maxLimit(), limit_ + step);
        }
    }
    if (settings_.adaptsRoom && !degraded_.isActive()) {
        adaptBound(pauseRatio, inFlight, now);
    }
    sampledInPeriod_ = false;
    maxRatio_ = 0.0;
}

} // namespace seamarch
