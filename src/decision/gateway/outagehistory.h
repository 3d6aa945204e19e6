// Records how long a group of engines is out, and estimates how long the present outage will last.
//
// Answers the load of callers that arrive while a group cannot serve: whether one may wait for its
// return, or had better come back later. Outages of one kind last alike (a restart, the forming of
// a group), others are open-ended (a cut). The estimate uses the outages that lasted at least as
// long as the present one; without any, an outage is expected to go on for as long as it has
// lasted.
//
// Pure and single-threaded; one object for each group.
#pragma once

#include "seamarch/units.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace seamarch {

class OutageHistory
{
public:
    struct Settings
    {
        std::size_t maxOutages = 16;
        // A later return within this time continues the same outage: a group that breaks again
        // while it forms was never back.
        Duration minUpTime = std::chrono::milliseconds(300);
    };

    OutageHistory() = default;
    explicit OutageHistory(const Settings &settings)
        : settings_(settings)
    {}

    // Records whether the group can serve. Call it at every observation; repetitions are ignored.
    void onState(bool up, TimePoint now);
    // Returns how long the present outage has lasted; nullopt if the group is up.
    std::optional<Duration> age(TimePoint now) const;
    // Returns the probability, from 0 to 1, that the present outage ends within `time`; 1 if the
    // group is up.
    double endsWithin(Duration time, TimePoint now) const;

private:
    Settings settings_;
    std::optional<TimePoint> downSince_;
    std::optional<TimePoint> upSince_;
    std::deque<Duration> lengths_;
};

} // namespace seamarch
