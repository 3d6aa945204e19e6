#include "decision/gateway/returnplan.h"

#include <algorithm>

namespace seamarch {
namespace {

// A caller that will not come again waits even if the outage ends in time only with this fraction
// of the chance that others need: it is lost otherwise.
constexpr double kLastTryFactor = 0.5;

// Returns are booked for this fraction of the starts; the others are left to new requests.
constexpr double kReturnShare = 0.5;

} // namespace

ReturnPlan::Decision ReturnPlan::decide(const Caller &caller, const Outage &outage, TimePoint now)
{
    const double needed = settings_.minWaitChance * (caller.isRetry ? kLastTryFactor : 1.0);
    if (caller.longestWait > Duration{} && caller.timeLeft >= caller.needed
        && outage.endsWithinWait >= needed) {
        return {true, {}};
    }
    const Duration latest =
        std::min({caller.longestDelay, caller.timeLeft - caller.needed, settings_.maxRetryAfter});
    if (latest < settings_.minRetryAfter) {
        return {false, {}};
    }
    if (caller.isRetry || outage.expectedLeft <= Duration{}) {
        return {false, latest};
    }
    const TimePoint earliest = now + std::max(settings_.minRetryAfter, outage.expectedLeft);
    const TimePoint booked = std::clamp(bookedUntil_, earliest, std::max(earliest, now + latest));
    if (outage.startsPerSecond > 0.0) {
        bookedUntil_ = booked + fromSeconds(1.0 / (outage.startsPerSecond * kReturnShare));
    }
    return {false, std::min(booked - now, latest)};
}

} // namespace seamarch
