// Remembers how long pauses have become lately, and at how many streams, to bound the streams such
// that the next pause of that kind stays within the gap target.
//
// Answers demand that shifts every few seconds: after each shift, passes take twice or three times
// as long until the expert map follows. A limit that rises in the calm between two shifts admits
// more streams than the next shift can bear, and then all of them are late. The envelope holds the
// longest pauses of the last seconds and converts them to a number of streams.
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
        // Part of a pass that does not depend on the number of streams.
        double fixedShare = 0.3;
    };

    PauseEnvelope() = default;
    explicit PauseEnvelope(const Settings &settings)
        : settings_(settings)
    {}

    // Records the longest pause of a period, as a ratio of its gap target, and the streams in
    // flight during it.
    void onPeriod(double pauseRatio, std::uint32_t inFlight, TimePoint now);
    // Returns the number of streams with which no pause of the window would have exceeded `ratio`;
    // nullopt if none did.
    std::optional<double> safeStreams(double ratio, TimePoint now) const;

private:
    struct Sample
    {
        double pauseRatio = 0.0;
        std::uint32_t inFlight = 0;
        TimePoint at{};
    };

    Settings settings_;
    std::deque<Sample> samples_;
};

} // namespace seamarch
