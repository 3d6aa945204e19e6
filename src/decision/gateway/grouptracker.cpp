#include "decision/gateway/grouptracker.h"

#include <algorithm>
#include <utility>

namespace seamarch {

void GroupTracker::onStreamStart(TimePoint now)
{
    if (inFlight_ == 0) {
        progressAt_ = now;
    }
    ++inFlight_;
}

void GroupTracker::onStreamEnd(bool hadEvents)
{
    inFlight_ -= inFlight_ > 0 ? 1 : 0;
    producing_ -= hadEvents && producing_ > 0 ? 1 : 0;
    if (hadEvents) {
        constexpr double kWeight = 1.0 / 16.0; // Of the last stream.
        meanPauses_ += kWeight * (std::exchange(pauses_, 0) - meanPauses_);
    }
}

void GroupTracker::recordProgress(TimePoint now)
{
    progressAt_ = now;
    stalled_ = false;
}

void GroupTracker::onFirstEvent(TimePoint now)
{
    hasServed_ = true;
    ++producing_;
    recordProgress(now);
}

void GroupTracker::onPause(Duration pause, Duration gapTarget, TimePoint now)
{
    gapTarget_ = gapTarget > Duration{} ? gapTarget : gapTarget_;
    recordProgress(now);
    ++pauses_;
    limiter_.onPause(pause, gapTarget, now);
}

bool GroupTracker::onAnswer(TimePoint now)
{
    connectFailures_ = 0;
    hasServed_ = true;
    const auto since = std::exchange(refusingSince_, std::nullopt);
    return since && now - *since >= settings_.outageDelay;
}

void GroupTracker::onRefusal(TimePoint sentAt, TimePoint now)
{
    connectFailures_ = 0;
    const bool stalled = now - sentAt >= settings_.lateRefusalAge;
    // A forming group refuses at once; one that accepted a request before it refused has lost a
    // rank.
    hasServed_ = hasServed_ || stalled;
    firstRefusalAt_ = firstRefusalAt_.value_or(now);
    const TimePoint since = stalled ? now - settings_.outageDelay : now;
    refusingSince_ = std::min(since, refusingSince_.value_or(since));
}

void GroupTracker::onUnreachable(TimePoint now)
{
    ++connectFailures_;
    probedAt_ = now;
}

bool GroupTracker::exceedsStallTimeout(TimePoint now) const
{
    if (inFlight_ == 0) {
        return false;
    }
    const Duration targetTimeout = fromSeconds(toSeconds(gapTarget_) * settings_.stallTargetFactor);
    const Duration timeout = producing_ > 0 ? std::max(targetTimeout, settings_.minStallTimeout)
                                            : settings_.firstEventTimeout;
    return now - progressAt_ >= timeout;
}

void GroupTracker::onTick(std::size_t waiting, TimePoint now)
{
    stalled_ = stalled_ || exceedsStallTimeout(now);
    limiter_.setBearable(bearable());
    limiter_.onTick(inFlight_, waiting, now);
}

DegradedMode::Bearable GroupTracker::bearable() const
{
    if (gapTarget_ <= Duration{}) {
        return {};
    }
    const double target = toSeconds(gapTarget_);
    const double usual = toSeconds(callerTime_) / (1.0 + meanPauses_);
    return {usual / target, toSeconds(callerSilence_) / target};
}

bool GroupTracker::isRefusing(TimePoint now) const
{
    return refusingSince_ && now - *refusingSince_ >= settings_.outageDelay;
}

bool GroupTracker::mayBeForming(TimePoint now) const
{
    return !hasServed_ && firstRefusalAt_ && now - *firstRefusalAt_ < settings_.formingTimeout;
}

bool GroupTracker::isProbeDue(TimePoint now) const
{
    if (stalled_ && inFlight_ > 0) {
        return false;
    }
    return now - probedAt_
           >= (isUnreachable() ? settings_.unreachableProbeInterval : settings_.probeInterval);
}

} // namespace seamarch
