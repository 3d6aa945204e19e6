#include "decision/membership/storepollschedule.h"

#include <algorithm>

namespace seamarch {
namespace {

// A few questions to gateways elsewhere, which are asked seven times a second.
constexpr Duration kPeerPollTime = std::chrono::milliseconds(500);
// The store answers within some milliseconds, and its news passes on with the next question.
constexpr Duration kPlaceDelay = std::chrono::milliseconds(100);
// Of a hall; a store that turns a third of the machines away turns all of these away once in half a
// million times.
constexpr std::size_t kMaxPollersPerHall = 12;
// Keys that were judged late are refused, routes are not: they may spend less of their time.
constexpr double kKeyFraction = 0.6;
// The parts of the shorter time that a watch, a follower's patience and the last turn may take. A
// list of a slow store takes some 200 ms more.
constexpr double kWatchFraction = 0.26;
constexpr double kStaleFraction = 0.84;
constexpr double kMaxPollFraction = 0.9;
// A list that is asked for last must come before keys can be judged no more.
constexpr Duration kListTime = std::chrono::milliseconds(900);
// No watch waits longer: it may have gone silent, and only its end shows that.
constexpr Duration kMaxWatchTimeout = std::chrono::milliseconds(1000);
// What is followed is at most some 1.4 s old while all is well.
constexpr Duration kMaxStaleAge = std::chrono::milliseconds(1600);

Duration scale(Duration budget, double fraction)
{
    return fromSeconds(toSeconds(budget) * fraction);
}

} // namespace

StorePollSchedule makeStorePollSchedule(const StalenessLimits &limits)
{
    const Duration budget = std::min(scale(limits.keyMaxAge, kKeyFraction), limits.denyMaxAge);
    StorePollSchedule schedule;
    schedule.watchTimeout = std::min(scale(budget, kWatchFraction), kMaxWatchTimeout);
    schedule.staleAge = std::min(scale(budget, kStaleFraction), kMaxStaleAge);
    schedule.maxStorePollAge = std::max(
        scale(budget, kMaxPollFraction),
        std::min(limits.keyMaxAge - kListTime, scale(limits.denyMaxAge, kMaxPollFraction)));
    return schedule;
}

bool mayPollStore(std::size_t place)
{
    return place < kMaxPollersPerHall;
}

Duration storePollAge(const StorePollSchedule &schedule, std::size_t place)
{
    const Duration wanted =
        schedule.staleAge + kPeerPollTime + kPlaceDelay * static_cast<Duration::rep>(place);
    return std::min(wanted, schedule.maxStorePollAge);
}

} // namespace seamarch
