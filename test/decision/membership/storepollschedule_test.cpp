// Tests the schedule for the case that the store rejects the store follower of a hall, so that the
// data of all other gateways of the hall goes stale at the same time. The hall size of thirty and
// the limits are those of production deployments.
#include "decision/membership/storepollschedule.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

constexpr std::size_t kHallSize = 30;
// A configuration must be in force everywhere within two seconds (small fleet) or four seconds
// (large fleet), and a removed key must be rejected within five.
constexpr FreshnessLimits kSmallFleet{std::chrono::milliseconds(4700),
                                      std::chrono::milliseconds(1900)};
constexpr FreshnessLimits kLargeFleet{std::chrono::milliseconds(4700),
                                      std::chrono::milliseconds(3900)};
constexpr FreshnessLimits kShortLimits{std::chrono::milliseconds(2200),
                                       std::chrono::milliseconds(1400)};
// The time that a follower's long poll and the transmission add to the age of a watch's data.
constexpr Duration kFollowerDelay = std::chrono::milliseconds(450);

} // namespace

TEST_GROUP(StorePollScheduleTest){};

TEST(StorePollScheduleTest, StaleAgeExceedsNormalStaleness)
{
    for (const FreshnessLimits &limits : {kSmallFleet, kLargeFleet, kShortLimits}) {
        const StorePollSchedule schedule = makeStorePollSchedule(limits);
        CHECK_TRUE(schedule.longPollWait + kFollowerDelay < schedule.staleAge);
    }
}

TEST(StorePollScheduleTest, LastPollPrecedesFreshnessLimits)
{
    for (const FreshnessLimits &limits : {kSmallFleet, kLargeFleet, kShortLimits}) {
        const Duration lastPollAge = storePollAge(makeStorePollSchedule(limits), kHallSize);
        CHECK_TRUE(lastPollAge <= limits.keyMaxAge - std::chrono::milliseconds(900));
        CHECK_TRUE(lastPollAge < limits.denyMaxAge);
    }
}

TEST(StorePollScheduleTest, FewGatewaysPollBeforeFirstResultSpreads)
{
    const StorePollSchedule schedule = makeStorePollSchedule(kLargeFleet);
    const Duration firstPollAge = storePollAge(schedule, 0);
    CHECK_TRUE(firstPollAge >= schedule.staleAge + std::chrono::milliseconds(500));
    const Duration spreadAge = firstPollAge + std::chrono::milliseconds(250);
    std::size_t polling = 0;
    for (std::size_t hallIndex = 0; hallIndex < kHallSize; ++hallIndex) {
        polling += storePollAge(schedule, hallIndex) <= spreadAge ? 1 : 0;
    }
    CHECK_TRUE(polling <= 3);
}

TEST(StorePollScheduleTest, PollAgesIncreaseWithHallIndexWhenTimeAllows)
{
    const StorePollSchedule schedule = makeStorePollSchedule(kLargeFleet);
    for (std::size_t hallIndex = 1; mayPollStore(hallIndex); ++hallIndex) {
        CHECK_TRUE(storePollAge(schedule, hallIndex) > storePollAge(schedule, hallIndex - 1));
    }
}

TEST(StorePollScheduleTest, AtMostTwelveGatewaysOfAHallPollTheStore)
{
    for (const std::size_t gateways : {30U, 107U, 222U, 667U}) {
        std::size_t pollers = 0;
        for (std::size_t hallIndex = 0; hallIndex < gateways; ++hallIndex) {
            pollers += mayPollStore(hallIndex) ? 1 : 0;
        }
        UNSIGNED_LONGS_EQUAL(12, pollers);
    }
}

TEST(StorePollScheduleTest, ShortLimitsCompressPollsInto150Ms)
{
    const StorePollSchedule schedule = makeStorePollSchedule(kSmallFleet);
    CHECK_TRUE(storePollAge(schedule, 0) >= schedule.staleAge);
    CHECK_TRUE(storePollAge(schedule, kHallSize) - schedule.staleAge
               <= std::chrono::milliseconds(150));
}
