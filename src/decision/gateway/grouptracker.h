// The streams that a gateway has at one group of engines, and what it concludes of the group from
// them alone.
//
// The ranks of a group make their passes together: all its streams get an event at the end of each
// pass, and none while the group stands still. So a few streams tell within some passes' time that
// a group is held, cut off or has lost a rank, long before its upstreams refuse anything. A lane
// says whether new streams should rather go elsewhere; it never forbids its group when there is no
// other.
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
        StreamLimiter::Settings streams;
        // A group whose streams have all been silent for so many times their pause goal stands
        // still. After a shift of demand passes take up to two and a half times as long as before,
        // which stays below; a hold that is released in time lasts as long as one or two passes.
        double stallGoalFactor = 2.0;
        // Shorter silences happen on a lossy link, where a lost packet is sent again after a fifth
        // of a second.
        Duration minStallTimeout = std::chrono::milliseconds(250);
        // While no stream has sent an event yet, the first may take this long: some passes, in
        // which the prompt is read, behind a few others.
        Duration firstEventTimeout = std::chrono::milliseconds(1000);
        // A group that has refused everything for this long is out.
        Duration outageDelay = std::chrono::milliseconds(300);
        // Engines that have just started refuse until their group has formed. Where the group has
        // never taken a request from here, that is held for the reason this long: starting takes a
        // second or two, and forming what the configuration says, less than one.
        Duration formingTimeout = std::chrono::seconds(3);
        // A group whose streams have had an event within this time makes its passes: they are some
        // 50 to 200 ms apart.
        Duration recentEventWindow = std::chrono::milliseconds(300);
        // An upstream without room refuses at once. One that refuses only after so long had taken
        // the request and stood still: its whole group does, and says so to all at this moment.
        Duration lateRefusalAge = std::chrono::milliseconds(1000);
        // So many upstreams in a row that could not be connected to: the way to the group is cut.
        std::uint32_t unreachableThreshold = 2;
        // How often a lane that should be avoided is tried with one request all the same.
        Duration probeInterval = std::chrono::milliseconds(250);
        // A try costs its request the time of a connection that is not made.
        Duration unreachableProbeInterval = std::chrono::milliseconds(1000);
    };

    GroupTracker() = default;
    explicit GroupTracker(const Settings &settings)
        : settings_(settings)
        , limiter_(settings.streams)
    {}

    StreamLimiter &limiter() { return limiter_; }
    const StreamLimiter &limiter() const { return limiter_; }
    std::uint32_t inFlight() const { return inFlight_; }

    // A stream was sent there.
    void onStreamStart(TimePoint now);
    // It is there no more; `spoke`: it had sent events.
    void onStreamEnd(bool hadEvents);
    // A stream has sent its first event.
    void onFirstEvent(TimePoint now);
    // An event came `pause` after the one before it on the same stream; `goal` is its route's.
    void onPause(Duration pause, Duration goal, TimePoint now);

    // An upstream of the group has answered a request, and not for want of room. Returns true when
    // that ends an outage.
    bool onAnswer(TimePoint now);
    // An upstream has refused, for want of room, a request that was sent at `sentAt`.
    void onRefusal(TimePoint sentAt, TimePoint now);
    // An upstream could not be connected to.
    void onUnreachable(TimePoint now);
    // A request goes there although the lane should be avoided.
    void onProbe(TimePoint now) { probedAt_ = now; }

    // Adapts the bound and looks for a standstill. `waiting` is the number of requests that wait
    // for a place there.
    void onTick(std::size_t waiting, TimePoint now);

    // Tells whether the group was found to stand still, and nothing was heard of it since.
    bool isStalled() const { return stalled_; }
    bool isRefusing(TimePoint now) const;
    bool isUnreachable() const { return connectFailures_ >= settings_.unreachableThreshold; }
    // Tells whether no stream there has sent an event for a while, or there is none.
    bool isQuiet(TimePoint now) const
    {
        return producing_ == 0 || now - progressAt_ >= settings_.firstEventTimeout;
    }
    // Tells whether some stream there has had an event within the last passes.
    bool hasRecentEvent(TimePoint now) const
    {
        return producing_ > 0 && now - progressAt_ < settings_.recentEventWindow;
    }
    // Tells whether the group refuses, and probably because it has just started.
    bool mayBeForming(TimePoint now) const;
    // Tells whether it is time to see with one request whether an avoided lane works again. Streams
    // that are there will show it themselves.
    bool probeDue(TimePoint now) const;

private:
    void recordProgress(TimePoint now);
    bool exceedsStallTimeout(TimePoint now) const;

    Settings settings_;
    StreamLimiter limiter_;
    std::uint32_t inFlight_ = 0;
    std::uint32_t producing_ = 0; // Of those, that have sent events.
    Duration pauseGoal_{};        // Of the pauses, as last told.
    TimePoint progressAt_{};      // The last event of any stream, or the first stream after none.
    bool stalled_ = false;
    bool hasServed_ = false;                  // The group has taken a request, at any time.
    std::optional<TimePoint> refusingSince_;  // No upstream has answered otherwise since.
    std::optional<TimePoint> firstRefusalAt_; // The first time that one refused.
    std::uint32_t connectFailures_ = 0;       // Attempts in a row that could not connect.
    TimePoint probedAt_{};
};

} // namespace seamarch
