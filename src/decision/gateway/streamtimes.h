// Estimates how long a stream takes at the present pace of a service.
//
// Answers load with callers that wait for a slot: a stream that starts so late that its caller
// disconnects before the first event, or before the last one, uses capacity and serves nobody. The
// estimates are observations of the last streams: the time to the first event, the pauses between
// events, and how many events streams of a stated size really had.
//
// Pure and single-threaded; one object for each service.
#pragma once

#include "decision/gateway/requestsize.h"
#include "seamarch/units.h"

#include <cstdint>

namespace seamarch {

class StreamTimes
{
public:
    struct Settings
    {
        // Weight of the previous average; a new sample has the weight 1.
        int historyWeight = 8;
        // The cautious estimate adds this many mean deviations, as in TCP's retransmission timer.
        double deviations = 2.0;
    };

    StreamTimes() = default;
    explicit StreamTimes(const Settings &settings)
        : settings_(settings)
    {}

    // Records that a stream had its first event `time` after its start.
    void onFirstEvent(Duration time);
    // Records the time between two events of a stream.
    void onPause(Duration pause);
    // Records the number of events of a stream that ended complete.
    void onComplete(const RequestSize &size, std::uint32_t events);

    // Returns the mean time from the start of a stream to its first event; zero if unknown.
    Duration timeToFirstEvent() const;
    // Returns a time to the first event that few streams exceed; zero if unknown.
    Duration cautiousTimeToFirstEvent() const;
    // Returns the expected time from the start of a stream of this size to its last event; zero if
    // unknown.
    Duration duration(const RequestSize &size) const;

private:
    Settings settings_;
    Duration meanFirstEvent_{};
    Duration firstEventDeviation_{};
    Duration meanPause_{};
    double eventsPerToken_ = 0.0; // Of the stated answer tokens; zero if unknown.
    double meanEvents_ = 0.0;     // Of streams without a stated size.
};

} // namespace seamarch
