// Decides whether a group of engines is degraded: its pauses exceed the gap target, and fewer
// streams do not bring them back under it.
//
// Answers the load of a group with one slow rank: every pass waits for that rank, however few
// streams run. A limit that keeps falling then rejects callers without serving anyone in time. A
// degraded group admits those streams that still end within their callers' time, late as they are.
//
// A group that is merely too full differs by its response: if starts are held back, its pauses
// shorten with the number of streams. Pauses also grow for a moment after a shift of demand; so
// only pauses count that last longer than the expert map takes to follow.
//
// Each further stream lengthens the pauses of all, by the same time. As long as they are at most
// twice what they are with few streams, more streams still mean more that end per second.
//
// Pure and single-threaded; one object for each group.
#pragma once

#include "seamarch/units.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace seamarch {

class DegradedMode
{
public:
    struct Settings
    {
        // Ratio of pause to gap target from which on a group may be degraded. Below it, streams
        // that are late in some passes only are worth bringing back into time.
        double minRatio = 1.5;
        // How long pauses must be long before they are judged, and the time in which the shortest
        // one counts: longer than the expert map takes to follow a shift of demand.
        Duration confirmTime = std::chrono::milliseconds(1500);
        Duration shiftTime = std::chrono::milliseconds(1000);
        // Fall of the streams in flight that must show in the pauses of a group that is too full.
        double minFall = 0.2;
        // With fewer streams a gateway cannot judge the response; it has the fewest already.
        double fewestStreams = 3.0;
        // Part of a pass that does not depend on the number of streams, as a ratio of the target.
        double fixedShare = 0.3;
        // The mode ends when pauses are below this ratio again.
        double endRatio = 1.2;
        // The mode also ends after this time, and begins anew if the group is still degraded: with
        // the streams that the mode admits, a group that works again may just be too full.
        Duration maxTime = std::chrono::seconds(10);
        // The pauses that are accepted in the mode, as a multiple of the shortest ones in it.
        double acceptedFactor = 2.0;
    };

    enum class Change : std::uint8_t { None, Begun, Ended };

    DegradedMode() = default;
    explicit DegradedMode(const Settings &settings)
        : settings_(settings)
    {}

    // Records the pause that most streams of a period had, as a ratio of its gap target (zero if it
    // is unknown), and the streams in flight.
    Change onPeriod(double pauseRatio, std::uint32_t inFlight, TimePoint now);

    bool isActive() const { return shortestRatio_.has_value(); }
    // Pauses that callers bear, as ratios of the gap target; zero if unknown.
    struct Bearable
    {
        double usual = 0.0;   // A usual stream ends within its caller's time.
        double longest = 0.0; // With longer ones, callers disconnect.
    };

    // Returns the ratio of pause to gap target up to which streams are admitted in the mode. If
    // not even the usual stream can end in time, shorter ones still can.
    double acceptedRatio(const Bearable &bearable) const;

private:
    struct Sample
    {
        double pauseRatio = 0.0;
        std::uint32_t inFlight = 0;
        TimePoint at{};
    };

    bool mayEnd(double pauseRatio, TimePoint now);
    std::optional<double> unresponsiveRatio(TimePoint now) const;

    Settings settings_;
    std::deque<Sample> run_;              // The uninterrupted run of long pauses, oldest first.
    std::optional<double> shortestRatio_; // Of the pauses since the mode began.
    TimePoint beganAt_{};
    bool shortBefore_ = false; // The previous period's pauses were short enough to end the mode.
};

} // namespace seamarch
