// The load that this answers: twenty-five configurations of a thousand routes within a second and a
// half. Read one by one they take most of a gateway's quarter of a core, and events of streams
// wait.
#include "gateway/configreaddelay.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

TEST_GROUP(ConfigReadDelayTest){};

TEST(ConfigReadDelayTest, SmallConfigurationCausesAlmostNoDelay)
{
    CHECK_TRUE(configReadDelay(0) == Duration{});
    CHECK_TRUE(configReadDelay(10'000) <= std::chrono::milliseconds(10));
}

// A quarter of a core reads a kilobyte in 0.1 ms.
TEST(ConfigReadDelayTest, ReadingTakesAtMostATenthOfTheTime)
{
    const std::size_t bytes = 200'000;
    const Duration reading = std::chrono::milliseconds(20);
    CHECK_TRUE(configReadDelay(bytes) >= 9 * reading);
}

// Through two processes, with a store's and a link's delays, it must be in force within two
// seconds.
TEST(ConfigReadDelayTest, DelayIsBounded)
{
    CHECK_TRUE(configReadDelay(50'000'000) <= std::chrono::milliseconds(250));
}
