// What the pauses of the last seconds say about how many streams a gateway should run at once.
//
// Engines make their passes together, and a pass takes longer the more streams are being written
// and the less evenly their work lies on the ranks. The second changes by itself: when callers turn
// to other subjects, passes are long until the expert maps follow. A bound that lets streams grow
// until pauses near the goal is at its highest just before such a change, and makes all of them
// late; a stream that has begun can't be taken back.
//
// So the history keeps the pauses of the last seconds with the streams that were in flight, and
// replays them for another number of streams: a pause scales with the fixed cost of a pass plus the
// streams. For each number it finds the streams that would have been served in a second, and the
// part of them with no pause over the goal. The best number is the one that serves callers best.
//
// Pure and single-threaded; one object for each service.
#pragma once

#include "seamarch/units.h"

#include <cstdint>
#include <deque>

namespace seamarch {

class PauseHistory
{
public:
    struct Settings
    {
        // Pauses are kept by moments of this length: about a pass.
        Duration moment = std::chrono::milliseconds(100);
        // How far the history reaches back. Long against the life of a stream, so that what comes
        // now and then is in it; short enough that a past trouble does not bind for long.
        Duration reach = std::chrono::seconds(10);
        // Nothing is concluded from less than this.
        Duration leastReach = std::chrono::milliseconds(1500);
        // What a stream that is served late is worth beside one in time. The configuration does not
        // say; callers that wait for a late answer are better off than those that are refused.
        double lateWorth = 0.4;
        // Pauses are noisy, and an event travels as well: a pause counts as too long from this part
        // of its goal on.
        double tooLong = 0.92;
        // Streams below which a gateway learns nothing.
        double least = 3.0;
    };

    PauseHistory() = default;
    explicit PauseHistory(const Settings &settings)
        : settings_(settings)
    {}

    // What a pass costs before its first stream, in streams of this gateway; zero: not known.
    void setFixedCost(double streams) { fixedCost_ = streams; }
    // An event came after a pause of `part` of its goal, while `inFlight` streams ran.
    void onPause(double part, std::uint32_t inFlight, Duration goal, TimePoint now);
    // A stream was served whole, with so many pauses.
    void onServed(std::uint32_t pauses);
    // A caller asked for a stream.
    void onDemand(TimePoint now);

    // Returns the number of streams in flight that serves callers best, at most `most`; `most`,
    // while too little is known.
    double best(double most, TimePoint now);

private:
    struct Moment
    {
        std::int64_t number = 0; // Since the clock's start, in moments.
        double longest = 0.0;    // Pause, in parts of its goal.
        double sum = 0.0;
        std::uint32_t pauses = 0;
        std::uint32_t demand = 0;
        double inFlight = 0.0; // The most.

        double mean() const { return sum / pauses; }
    };

    Moment &momentAt(TimePoint now);
    void forget(TimePoint now);
    double scale(const Moment &moment, double streams) const;
    double valueOf(double streams) const;
    bool inTime(std::size_t from, double streams) const;

    Settings settings_;
    std::deque<Moment> moments_;
    double fixedCost_ = 0.0;
    double goalSeconds_ = 0.0; // Of the pauses noted last.
    // Pauses of a stream, on average. A few tens is usual; it is learned within the first streams.
    double pausesPerStream_ = 20.0;
};

} // namespace seamarch
