#include "decision/membership/storepollschedule.h"

#include <algorithm>

namespace seamarch {
namespace {

// Enough for a few polls of gateways in other halls, at seven polls a second.
constexpr Duration kPeerPollTime = std::chrono::milliseconds(500);
// The store answers within a few milliseconds, and the next poll by a peer passes the answer on.
constexpr Duration kDelayPerHallIndex = std::chrono::milliseconds(100);
// A store that rejects a third of all machines rejects all twelve gateways of a hall with a
// probability of one in half a million.
constexpr std::size_t kMaxPollersPerHall = 12;
// The usable fraction of the key limit. It is below 1 because a key that is checked too late is
// rejected, whereas a route is not.
constexpr double kKeyFraction = 0.6;
// The fractions of the shorter limit for a watch, for the age from which a follower polls its
// peers, and for the last store poll. A list call to a slow store takes about 200 ms more.
constexpr double kWatchFraction = 0.26;
constexpr double kStaleFraction = 0.84;
constexpr double kMaxPollFraction = 0.9;
// The time that the last list call may take; it must return before the key limit is reached.
constexpr Duration kListTime = std::chrono::milliseconds(900);
// Bounds every watch, because a connection that was lost silently is detected only by the timeout.
constexpr Duration kMaxLongPollWait = std::chrono::milliseconds(1000);
// Above the age of a follower's data in normal operation, which is at most about 1.4 s.
constexpr Duration kMaxStaleAge = std::chrono::milliseconds(1600);

Duration scale(Duration budget, double fraction)
{
    return fromSeconds(toSeconds(budget) * fraction);
}

} // namespace

StorePollSchedule makeStorePollSchedule(const FreshnessLimits &limits)
{
    const Duration budget = std::min(scale(limits.keyMaxAge, kKeyFraction), limits.denyMaxAge);
    StorePollSchedule schedule;
    schedule.longPollWait = std::min(scale(budget, kWatchFraction), kMaxLongPollWait);
    schedule.staleAge = std::min(scale(budget, kStaleFraction), kMaxStaleAge);
    schedule.maxStorePollAge = std::max(
        scale(budget, kMaxPollFraction),
        std::min(limits.keyMaxAge - kListTime, scale(limits.denyMaxAge, kMaxPollFraction)));
    return schedule;
}

bool mayPollStore(std::size_t hallIndex)
{
    return hallIndex < kMaxPollersPerHall;
}

Duration storePollAge(const StorePollSchedule &schedule, std::size_t hallIndex)
{
    const Duration wanted = schedule.staleAge + kPeerPollTime
                            + kDelayPerHallIndex * static_cast<Duration::rep>(hallIndex);
    return std::min(wanted, schedule.maxStorePollAge);
}

} // namespace seamarch
