// Remembers how long pauses have become lately, and at how many streams, to bound the streams such
// that the next pause of that kind stays within the gap target.
//
// Answers demand that shifts every few seconds: after each shift, passes take twice or three times
// as long until the expert map follows. A limit that rises in the calm between two shifts admits
// more streams than the next shift can bear, and then all of them are late. The envelope holds the
// longest pauses of the last seconds and converts them to a number of streams.
//
// It bounds the streams only where pauses surge again and again, be it at few streams: one long
// pass makes all streams in flight late, so the bound must be known before a shift meets many of
// them. After a rare surge, most streams that are admitted end before the next one, and a bound
// would reject callers for nothing.
//
// Passes have a part that does not depend on the number of streams, so the conversion is linear in
// the part above it; see `fixedShare`. Pure and single-threaded; one object for each group.
#pragma once

#include "seamarch/units.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace seamarch {

class PauseEnvelope
{
public:
    struct Settings
    {
        // How long a long pause is remembered: more than the time between two shifts of demand.
        Duration window = std::chrono::milliseconds(4000);
        // Part of a pass that does not depend on the number of streams, as a ratio of the target.
        double fixedShare = 0.3;
        // A surge: pauses that exceed the shortest ones of the time before by this factor. Reading
        // a prompt lengthens a pass by a tenth to a fifth.
        double surgeFactor = 1.3;
        // The time before; also the longest time that one surge lasts.
        Duration surgeTime = std::chrono::milliseconds(1000);
        // So many surges in a row, each within `window` of the one before, count as recurring: one
        // more may be the backlog of the first.
        std::size_t minSurges = 3;
        // Longer pauses are stalls, which do not depend on the number of streams.
        double maxRatio = 2.5;
        // The pauses that count as the longest, as a fraction of the very longest one's part above
        // the fixed one: a gateway's streams vary by chance, so several periods are averaged.
        double longestFraction = 0.85;
    };

    PauseEnvelope() = default;
    explicit PauseEnvelope(const Settings &settings)
        : settings_(settings)
    {}

    // Records the longest pause of a period, as a ratio of its gap target, and the streams in
    // flight during it.
    void onPeriod(double pauseRatio, std::uint32_t inFlight, TimePoint now);
    // Returns the number of streams with which the longest pauses of the last surge, and during a
    // surge those of the window, would not have exceeded `ratio`; nullopt if pauses do not surge
    // again and again. Each surge replaces the one before, because streams move between gateways:
    // all see the same pauses, so those with more callers may have more streams after a surge that
    // met the target.
    std::optional<double> safeStreams(double ratio, TimePoint now) const;
    // Forgets all pauses.
    void clear();

private:
    struct Sample
    {
        double pauseRatio = 0.0;
        std::uint32_t inFlight = 0;
        TimePoint at{};
    };

    void detectSurge(double pauseRatio, TimePoint now);
    bool recurs(TimePoint now) const;
    TimePoint countedFrom(TimePoint now) const;

    Settings settings_;
    std::deque<Sample> samples_;     // Of the window, oldest first.
    std::deque<TimePoint> surgedAt_; // Starts of the last surges, oldest first.
};

} // namespace seamarch
