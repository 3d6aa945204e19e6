// Tracks the streams that a gateway has at one group of engines and derives the group's health from
// them alone.
//
// The ranks of a group execute their passes together: all its streams get an event at the end of
// each pass, and none while the group is stalled. So a few streams show within some passes that a
// group is held, cut off or has lost a rank, long before its upstreams refuse requests. The tracker
// only reports whether new streams should rather go elsewhere; if there is no other group, the
// group may still be used.
//
// Pure and single-threaded; one object for each group of a service.
#pragma once

#include "decision/gateway/streamlimiter.h"
#include "seamarch/units.h"

#include <cstdint>
#include <optional>

namespace seamarch {

class GroupTracker
{
public:
    struct Settings
    {
        StreamLimiter::Settings streamLimiter;
        // A group is stalled if all its streams have been silent for this many times their gap
        // target. The silences of normal operation are shorter: after a shift of demand passes take
        // up to 2.5 times as long as before, and a hold that is released in time lasts for one or
        // two passes.
        double stallTargetFactor = 2.0;
        // Lower bound of the stall timeout: a lossy link causes shorter silences, as a lost packet
        // is retransmitted after 200 ms.
        Duration minStallTimeout = std::chrono::milliseconds(250);
        // Stall timeout while no stream has sent an event yet: the first event takes the passes
        // that read its prompt and a few other prompts before it.
        Duration firstEventTimeout = std::chrono::milliseconds(1000);
        // A group that has refused all requests for this long counts as refusing.
        Duration outageDelay = std::chrono::milliseconds(300);
        // Engines that have just started refuse until their group has formed. A group that has
        // never served a request of this gateway is assumed to be forming for this long after its
        // first refusal: starting takes one to two seconds, and forming takes the configured time,
        // less than one second.
        Duration formingTimeout = std::chrono::seconds(3);
        // A group makes progress if a stream had an event within this time: passes take about 50
        // to 200 ms.
        Duration recentEventWindow = std::chrono::milliseconds(300);
        // An upstream without capacity refuses at once. One that refuses only after this time had
        // accepted the request and was stalled with its whole group, which refuses all its requests
        // at this moment.
        Duration lateRefusalAge = std::chrono::milliseconds(1000);
        // A group is unreachable after this many failures to connect in a row.
        std::uint32_t unreachableThreshold = 2;
        // Interval at which one request is sent to a group that is avoided.
        Duration probeInterval = std::chrono::milliseconds(250);
        // The same for an unreachable group, where a probe delays its request by a connect timeout.
        Duration unreachableProbeInterval = std::chrono::milliseconds(1000);
    };

    GroupTracker() = default;
    explicit GroupTracker(const Settings &settings)
        : settings_(settings)
        , limiter_(settings.streamLimiter)
    {}

    StreamLimiter &limiter() { return limiter_; }
    const StreamLimiter &limiter() const { return limiter_; }
    std::uint32_t inFlight() const { return inFlight_; }

    // Records that a stream was sent to the group.
    void onStreamStart(TimePoint now);
    // Records that a stream left the group. `hadEvents`: it had sent events.
    void onStreamEnd(bool hadEvents);
    // Records the first event of a stream.
    void onFirstEvent(TimePoint now);
    // Records a further event, `pause` after the previous one of the same stream. `gapTarget` is
    // that of its route; zero if it has none.
    void onPause(Duration pause, Duration gapTarget, TimePoint now);

    // Records how long the caller of a stream waits in all, and the longest silence that it bears.
    void onCallerTimes(Duration total, Duration silence)
    {
        callerTime_ = total;
        callerSilence_ = silence;
    }

    // Records an answer of the group's upstreams other than a refusal for lack of capacity. Returns
    // true if it ends an outage.
    bool onAnswer(TimePoint now);
    // Records a refusal, for lack of capacity, of a request that was sent at `sentAt`.
    void onRefusal(TimePoint sentAt, TimePoint now);
    // Records a failure to connect to an upstream of the group.
    void onUnreachable(TimePoint now);
    // Records that a request is sent to the group as a probe.
    void onProbe(TimePoint now) { probedAt_ = now; }

    // Adapts the stream limit and detects a stall. `waiting` is the number of queued requests that
    // could go to the group.
    void onTick(std::size_t waiting, TimePoint now);

    // Returns whether a stall was detected and no event has come since.
    bool isStalled() const { return stalled_; }
    // Returns whether the group has refused all requests for at least the outage delay.
    bool isRefusing(TimePoint now) const;
    bool isUnreachable() const { return connectFailures_ >= settings_.unreachableThreshold; }
    // Returns whether no stream has sent an event within the first-event timeout, or at all.
    bool isQuiet(TimePoint now) const
    {
        return producing_ == 0 || now - progressAt_ >= settings_.firstEventTimeout;
    }
    // Returns whether a stream has had an event within the last passes.
    bool hasRecentEvent(TimePoint now) const
    {
        return producing_ > 0 && now - progressAt_ < settings_.recentEventWindow;
    }
    // Returns whether the group refuses, probably because it has just started.
    bool mayBeForming(TimePoint now) const;
    // Returns whether an avoided group is due for a probe. A stalled group with streams in flight
    // needs none: their events show that it has recovered.
    bool isProbeDue(TimePoint now) const;

private:
    void recordProgress(TimePoint now);
    bool exceedsStallTimeout(TimePoint now) const;
    DegradedMode::Bearable bearable() const;

    Settings settings_;
    StreamLimiter limiter_;
    std::uint32_t inFlight_ = 0;
    std::uint32_t producing_ = 0; // Streams in flight that have sent events.
    Duration gapTarget_{};        // The last one that was stated.
    Duration callerTime_{};
    Duration callerSilence_{};
    std::uint32_t pauses_ = 0; // Since the last end of a stream.
    double meanPauses_ = 0.0;  // Of a stream.
    TimePoint progressAt_{};   // Last event, or start of the first stream of an idle group.
    bool stalled_ = false;
    bool hasServed_ = false;                  // The group has accepted a request at some time.
    std::optional<TimePoint> refusingSince_;  // Start of the current run of refusals.
    std::optional<TimePoint> firstRefusalAt_; // First refusal of all.
    std::uint32_t connectFailures_ = 0;       // Consecutive failures to connect.
    TimePoint probedAt_{};
};

} // namespace seamarch
