// The pattern: the store turns away the gateway that a whole hall follows, and the knowledge of all
// the others grows old at once. Thirty a hall, and the bounds, are those of the users' deployments.
#include "decision/membership/storepollschedule.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

constexpr std::size_t kHallSize = 30;
// A configuration is in force everywhere within two or four seconds, a key is gone within five.
constexpr StalenessLimits kSmallFleet{std::chrono::milliseconds(4700),
                                      std::chrono::milliseconds(1900)};
constexpr StalenessLimits kLargeFleet{std::chrono::milliseconds(4700),
                                      std::chrono::milliseconds(3900)};
constexpr StalenessLimits kShortLimits{std::chrono::milliseconds(2200),
                                       std::chrono::milliseconds(1400)};
// What is followed may be as old as a watch, a question that waits, and the way.
constexpr Duration kFollowerDelay = std::chrono::milliseconds(450);

} // namespace

TEST_GROUP(StorePollScheduleTest){};

TEST(StorePollScheduleTest, StaleAgeExceedsNormalStaleness)
{
    for (const StalenessLimits &limits : {kSmallFleet, kLargeFleet, kShortLimits}) {
        const StorePollSchedule schedule = makeStorePollSchedule(limits);
        CHECK_TRUE(schedule.watchTimeout + kFollowerDelay < schedule.staleAge);
    }
}

TEST(StorePollScheduleTest, LastPollPrecedesStalenessLimits)
{
    for (const StalenessLimits &limits : {kSmallFleet, kLargeFleet, kShortLimits}) {
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
    for (std::size_t place = 0; place < kHallSize; ++place) {
        polling += storePollAge(schedule, place) <= spreadAge ? 1 : 0;
    }
    CHECK_TRUE(polling <= 3);
}

TEST(StorePollScheduleTest, PollAgesIncreaseWithPlaceWhenTimeAllows)
{
    const StorePollSchedule schedule = makeStorePollSchedule(kLargeFleet);
    for (std::size_t place = 1; mayPollStore(place); ++place) {
        CHECK_TRUE(storePollAge(schedule, place) > storePollAge(schedule, place - 1));
    }
}

TEST(StorePollScheduleTest, AtMostTwelveGatewaysOfAHallPollTheStore)
{
    for (const std::size_t gateways : {30U, 107U, 222U, 667U}) {
        std::size_t pollers = 0;
        for (std::size_t place = 0; place < gateways; ++place) {
            pollers += mayPollStore(place) ? 1 : 0;
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
