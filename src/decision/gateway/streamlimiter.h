// Limits the streams that a gateway has in flight at one group of engines, so that the pauses
// between their events stay within the routes' gap targets.
//
// Engines execute one pass for all their streams together: the more streams run, the longer are the
// pauses of all of them. The gateways of a site do not know each other's streams, but all observe
// the same pauses. Each lowers its limit by a factor when pauses come near the target, and raises
// it in steps while pauses are short and requests are queued (additive increase, multiplicative
// decrease). So gateways share the engines without communication between them.
//
// Pure and single-threaded; one object for each group of a service.
#pragma once

#include "seamarch/units.h"

#include <cstdint>
#include <optional>

namespace seamarch {

class StreamLimiter
{
public:
    struct Settings
    {
        // Limit before the slots of the upstreams are known.
        double initialLimit = 12.0;
        // Fraction of an even share of the upstreams' slots that the limit starts with: some
        // gateways have more callers than others, and those that need more get it within a second.
        double initialShare = 0.6;
        double minLimit = 3.0; // With fewer streams a gateway gets too few pause samples.
        double maxLimit = 200.0;
        // Ratios of pause to gap target: above the first the limit falls, below the second it may
        // rise.
        double decreaseAbove = 0.92;
        double increaseBelow = 0.75;
        double decreaseFactor = 0.88;
        double increaseStep = 1.0;
        // Added to the step for each queued request, so that gateways share by demand.
        double increasePerQueued = 0.3;
        // Ratio of pause to gap target from which on a pause is near the target: reading a prompt
        // takes a tenth to a fifth of a pass.
        double nearTargetRatio = 0.8;
        // How long a pause near the target counts. New pauses are observed at the end of each pass,
        // so there is no need to wait for longer than the target.
        Duration nearTargetTimeToLive = std::chrono::milliseconds(150);
        // If streams are in flight and none has had an event for this long, the engines are
        // stalled, and the absence of long pauses must not raise the limit. Engines that wait for a
        // lost one give up after about 1.5 s.
        Duration stallTimeout = std::chrono::milliseconds(1500);
        // Interval between changes of the limit: some passes, so that a change takes effect before
        // the next.
        Duration adaptPeriod = std::chrono::milliseconds(200);
        // Fraction of the difference between the limit and this gateway's share of the group by
        // which the limit changes at each adaptation: others learn of it half a second later.
        double shareStep = 0.5;
    };

    StreamLimiter() = default;
    explicit StreamLimiter(const Settings &settings)
        : settings_(settings)
        , limit_(settings.initialLimit)
    {}

    // Adds a sample: an event came `pause` after the previous one of the same stream. `gapTarget`
    // is that of its route; samples without one (zero) are ignored.
    void onPause(Duration pause, Duration gapTarget, TimePoint now);
    // Resets the limit to the initial share of `slots` among `gateways` if the limit is above that
    // or there are no samples: the engines are new, or were stalled while callers queued.
    void resetToShare(double slots, double gateways);
    // Sets this gateway's share of the limits of all gateways, toward which the limit moves while
    // pauses allow it; nullopt if it is not known.
    void setShare(std::optional<double> share) { share_ = share; }
    std::optional<double> share() const { return share_; }
    // Resets the limit to its minimum.
    void resetToMinimum();
    // Returns whether there is any sample; until then the limit is a guess.
    bool hasSamples() const { return sampledAt_.has_value(); }
    // Adapts the limit. `waiting` is the number of requests that are queued for it.
    void onTick(std::uint32_t inFlight, std::size_t waiting, TimePoint now);

    // Returns whether the last pauses were so near the target that another prompt in the engines'
    // next passes may take them over it.
    bool isNearTarget(TimePoint now) const
    {
        return nearTargetAt_ && now - *nearTargetAt_ < settings_.nearTargetTimeToLive;
    }

    bool admits(std::uint32_t inFlight) const { return inFlight + 1.0 <= limit_ + 0.5; }
    double limit() const { return limit_; }

private:
    void moveTowardShare();

    Settings settings_;
    double limit_ = Settings().initialLimit;
    std::optional<double> share_;
    double maxRatio_ = 0.0; // Longest pause of this period, as a ratio of its gap target.
    bool sampledInPeriod_ = false;
    std::optional<TimePoint> sampledAt_; // Time of the last sample.
    TimePoint adaptedAt_{};
    std::optional<TimePoint> nearTargetAt_;
};

} // namespace seamarch
