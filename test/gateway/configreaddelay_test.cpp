// Guards against stalled streams under a burst of configurations, such as 25 configurations with a
// thousand routes each within 1.5 s. Reading each of them takes most of a gateway's quarter of a
// core, and stream events are delayed.
#include "gateway/configreaddelay.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

TEST_GROUP(ConfigReadDelayTest){};

TEST(ConfigReadDelayTest, SmallConfigurationCausesAlmostNoDelay)
{
    CHECK_TRUE(configReadDelay(0) == Duration{});
    CHECK_TRUE(configReadDelay(10'000) <= std::chrono::milliseconds(10));
}

// A quarter of a core reads one kilobyte in 0.1 ms.
TEST(ConfigReadDelayTest, ReadingTakesAtMostATenthOfTheTime)
{
    const std::size_t bytes = 200'000;
    const Duration reading = std::chrono::milliseconds(20);
    CHECK_TRUE(configReadDelay(bytes) >= 9 * reading);
}

// A configuration must take effect within two seconds, including two processes that read it and the
// delays of a store and a link.
TEST(ConfigReadDelayTest, DelayIsBounded)
{
    CHECK_TRUE(configReadDelay(50'000'000) <= std::chrono::milliseconds(250));
}
