// Decides, for a caller that no group can serve now, whether it waits here, comes back later, or is
// told at once that it cannot be served.
//
// Answers the load during and after an outage: callers that are rejected at once all come back
// together, and those that come back into the same outage are lost, because they do not try a third
// time. The plan uses what each caller has left: it waits while the outage will probably end within
// the time that it bears silence; a first try is told the delay at which its return has the best
// chance, spread so that those who return are not more than the group starts per second; a caller
// that cannot finish even if it returned is not told to.
//
// Pure and single-threaded; one object for each service.
#pragma once

#include "seamarch/units.h"

#include <cstdint>

namespace seamarch {

class ReturnPlan
{
public:
    struct Settings
    {
        // A caller waits if the outage ends within its longest wait with at least this probability.
        double minWaitChance = 0.5;
        // Bounds of the delay that is told.
        Duration minRetryAfter = std::chrono::milliseconds(400);
        Duration maxRetryAfter = std::chrono::milliseconds(2500);
    };

    // What a caller has left.
    struct Caller
    {
        bool isRetry = false;    // It was rejected before and will not come again.
        Duration longestWait{};  // It disconnects, or its first event comes too late, after that.
        Duration timeLeft{};     // Until its deadline.
        Duration needed{};       // Expected time from a start to the end of its stream.
        Duration longestDelay{}; // The longest retry delay that it honours.
    };

    // What is known of the outage.
    struct Outage
    {
        double endsWithinWait = 0.0;  // Probability that it ends within the caller's longest wait.
        Duration expectedLeft{};      // Expected remaining time; zero: unknown.
        double startsPerSecond = 0.0; // What this gateway could start per second before it.
    };

    struct Decision
    {
        bool wait = false;
        Duration retryAfter{}; // If it does not wait; zero: it cannot be served by returning.
    };

    ReturnPlan() = default;
    explicit ReturnPlan(const Settings &settings)
        : settings_(settings)
    {}

    // Decides on one caller, and books its return if it is told to come back.
    Decision decide(const Caller &caller, const Outage &outage, TimePoint now);

private:
    Settings settings_;
    TimePoint bookedUntil_{}; // Returns are booked, one after the other, up to this time.
};

} // namespace seamarch
