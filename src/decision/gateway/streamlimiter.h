// Bounds how many streams a gateway has in flight at one service, so that the pauses between their
// events stay within the routes' goal.
//
// Engines make one pass for all their streams together: the more run, the longer every pause of
// every stream. The gateways of a site cannot see each other's streams, but all see the same
// pauses. Each lowers its bound by a part when pauses come near the goal and raises it step by step
// while they are short and requests wait; so they share the engines without a word between them.
//
// Pure and single-threaded; one object for each service.
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
        // Streams, before anything is known of the upstreams.
        double initial = 12.0;
        // Of an even share of the upstreams' slots, which the bound begins with: some gateways have
        // more callers than others, and those that need more get it within a second.
        double initialShare = 0.6;
        double minLimit = 3.0; // Below it a gateway would learn nothing of the pauses.
        double maxLimit = 200.0;
        // Parts of the goal: above the first the bound falls, below the second it may rise.
        double decreaseAbove = 0.92;
        double increaseBelow = 0.75;
        double decreaseFactor = 0.88;
        double increaseStep = 1.0;
        // Added to the increase for each request that waits, so that gateways share by demand.
        double increasePerQueued = 0.3;
        // From this part of the goal on a pause strains: reading a prompt takes a tenth to a fifth
        // of a pass.
        double nearGoalRatio = 0.8;
        // Pauses are heard at the end of each pass: longer than the goal nothing need be waited
        // for.
        Duration nearGoalTtl = std::chrono::milliseconds(150);
        // While streams are in flight and none has said a word for this long, the engines stand
        // still, and that nobody complains of long pauses says nothing: engines that wait for a
        // lost one give up after some 1.5 s.
        Duration stallTimeout = std::chrono::milliseconds(1500);
        // How often the bound changes: some passes long, so that a change shows before the next.
        Duration adaptPeriod = std::chrono::milliseconds(200);
    };

    StreamLimiter() = default;
    explicit StreamLimiter(const Settings &settings)
        : settings_(settings)
        , limit_(settings.initial)
    {}

    // An event came `pause` after the one before it on the same stream; `goal` is its route's.
    void onPause(Duration pause, Duration goal, TimePoint now);
    // Begins with an even share of `slots` among `gateways`, where the bound is above it or no
    // pause was heard yet: the engines are new, or have stood still while callers queued.
    void resetToShare(double slots, double gateways);
    // Begins with the fewest streams.
    void resetToMinimum();
    // Tells whether any pause was heard; until then the bound is a guess.
    bool hasSamples() const { return sampledAt_.has_value(); }
    // Adapts the bound. `waiting` is the number of requests that wait for it.
    void onTick(std::uint32_t inFlight, std::size_t waiting, TimePoint now);

    // Tells whether the last pauses came so near the goal that a prompt more in the engines' next
    // passes may take them over it.
    bool nearGoal(TimePoint now) const
    {
        return nearGoalAt_ && now - *nearGoalAt_ < settings_.nearGoalTtl;
    }

    bool admits(std::uint32_t inFlight) const { return inFlight + 1.0 <= limit_ + 0.5; }
    double limit() const { return limit_; }

private:
    Settings settings_;
    double limit_ = Settings().initial;
    double maxRatio_ = 0.0; // Of the period's pauses, in parts of the goal.
    bool sampledInPeriod_ = false;
    std::optional<TimePoint> sampledAt_; // A pause, of any length.
    TimePoint adaptedAt_{};
    std::optional<TimePoint> nearGoalAt_;
};

} // namespace seamarch
