// Records whether any group of a service accepts requests, at what rate its streams start, and how
// long its outages last.
//
// Answers the load of callers that wait while the service slows down, is out or opens again: how
// long they would wait, and whether an outage will end in time for them.
//
// Pure and single-threaded; one object for each service.
#pragma once

#include "decision/gateway/groupselector.h"
#include "decision/gateway/grouptable.h"
#include "decision/gateway/outagehistory.h"
#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace seamarch {

class ServiceAvailability
{
public:
    explicit ServiceAvailability(const OutageHistory::Settings &settings)
        : settings_(settings)
    {}

    // Returns whether the service has groups and none of them accepts requests.
    static bool acceptsNone(const GroupSelector &selector, const GroupTable &table, TimePoint now);

    // Records the state of the groups. Call it periodically and before the estimates are used.
    void onState(const GroupSelector &selector, const GroupTable &table, TimePoint now);
    // Records that a stream starts.
    void onStart(TimePoint now) { recentStarts_.push_back(now); }

    // Returns the starts of the last second; right after an outage, those before it. At least 1.
    double startRate(TimePoint now);
    // Returns how long the last of `queued` streams would wait at the rate since the first start of
    // the last second: after a stall, the rate of the whole second is too low. Zero if none
    // started.
    Duration shortestWait(std::size_t queued, TimePoint now) const;
    // Returns the moving average of the start rate outside outages.
    double usualStartRate() const { return usualStartRate_; }
    // Returns how long no group has accepted requests; zero if one does.
    Duration outageAge(TimePoint now) const;
    // Returns the probability that some group accepts requests within `time`.
    double opensWithin(Duration time, TimePoint now) const;
    // Returns the time within which some group will most probably accept requests; zero if that is
    // not known or longer than `longest`.
    Duration expectedOutageLeft(Duration longest, TimePoint now) const;

private:
    struct GroupState
    {
        OutageHistory history;
        std::optional<TimePoint> stalledSince;
    };

    bool hasJustOpened(TimePoint now) const;

    OutageHistory::Settings settings_;
    std::map<GroupId, GroupState> groups_;
    bool opensSoon_ = false;             // A group is about to open.
    bool wasOut_ = false;                // No group accepted requests at the last observation.
    std::optional<TimePoint> openedAt_;  // End of the last outage.
    std::deque<TimePoint> recentStarts_; // Stream starts within the last second.
    double usualStartRate_ = 0.0;
};

} // namespace seamarch
