// Limits the streams that a gateway has in flight at one group of engines, so that the pauses
// between their events stay within the routes' gap targets.
//
// Engines execute one pass for all their streams together: the more streams run, the longer are the
// pauses of all of them. The gateways of a site do not know each other's streams, but all observe
// the same pauses. Each lowers its limit by a factor when pauses come near the target, and raises
// it in steps while pauses are short and requests are queued (additive increase, multiplicative
// decrease). So gateways share the engines without communication between them.
//
// A PauseEnvelope bounds the limit: where pauses become long for a moment every few seconds, the
// limit stays at the number of streams with which the next long pauses still meet the target. Where
// no number of streams meets it, DegradedMode sets a target that can be met.
//
// Pure and single-threaded; one object for each group of a service.
#pragma once

#include "decision/gateway/degradedmode.h"
#include "decision/gateway/pauseenvelope.h"
#include "seamarch/units.h"

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace seamarch {

// A change of what governs the stream limit of a group.
struct LimitChange
{
    enum class Kind : std::uint8_t { BoundBegun, BoundEnded, DegradedBegun, DegradedEnded };

    Kind kind = Kind::BoundBegun;
    double limit = 0.0;
    std::uint32_t inFlight = 0;
    double pauseRatio = 0.0; // Pause that most streams had lately, as a ratio of its gap target.
};

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
        // Whether recurring surges of pauses bound the limit, and a group whose pauses miss the
        // target however few streams are in flight is filled up to what its callers can bear.
        bool adaptsRoom = true;
        PauseEnvelope::Settings envelope;
        DegradedMode::Settings degraded;
        // A long pause bounds the limit if it concerns a quarter of a period's events: a pass is
        // common to all streams, a lost packet delays one. Fewer samples show neither.
        std::size_t minEnvelopeSamples = 4;
        // Fraction of an even share of the upstreams' slots that the bound never falls below: a
        // gateway with few streams at the moment of long pauses has not caused them.
        double minBoundShare = 0.25;
    };

    StreamLimiter() = default;
    explicit StreamLimiter(const Settings &settings)
        : settings_(settings)
        , limit_(settings.initialLimit)
        , envelope_(settings.envelope)
        , degraded_(settings.degraded)
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
    // Sets the pauses that callers bear.
    void setBearable(const DegradedMode::Bearable &bearable) { bearable_ = bearable; }
    // Adapts the limit. `waiting` is the number of requests that are queued for it.
    void onTick(std::uint32_t inFlight, std::size_t waiting, TimePoint now);

    // Returns whether the last pauses were so near the target that another prompt in the engines'
    // next passes may take them over it. False while the group is degraded: no pass meets it.
    bool isNearTarget(TimePoint now) const
    {
        return !degraded_.isActive() && nearTargetAt_
               && now - *nearTargetAt_ < settings_.nearTargetTimeToLive;
    }

    bool admits(std::uint32_t inFlight) const { return inFlight + 1.0 <= limit_ + 0.5; }
    double limit() const { return limit_; }
    // Returns the bound of the limit by the longest pauses of late; nullopt if none was too long.
    std::optional<double> bound() const { return bound_; }

    // Returns whether pauses miss the target however few streams are in flight.
    bool isDegraded() const { return degraded_.isActive(); }
    // Returns the changes since the last call, oldest first.
    std::vector<LimitChange> takeChanges() { return std::exchange(changes_, {}); }

private:
    void moveTowardShare();
    double takePauseRatio();
    double maxLimit() const;
    void adaptMode(double pauseRatio, std::uint32_t inFlight, TimePoint now);
    void adaptBound(double pauseRatio, std::uint32_t inFlight, TimePoint now);

    Settings settings_;
    double limit_ = Settings().initialLimit;
    std::optional<double> share_;
    double maxRatio_ = 0.0;      // Longest pause of this period, as a ratio of its gap target.
    std::vector<double> ratios_; // Of the pauses of this period.
    PauseEnvelope envelope_;
    DegradedMode degraded_;
    DegradedMode::Bearable bearable_;
    std::optional<double> bound_;
    double evenShare_ = 0.0; // Of the upstreams' slots; zero if unknown.
    std::vector<LimitChange> changes_;
    bool sampledInPeriod_ = false;
    std::optional<TimePoint> sampledAt_; // Time of the last sample.
    TimePoint adaptedAt_{};
    std::optional<TimePoint> nearTargetAt_;
};

} // namespace seamarch
