#include "gateway/gatewaybounds.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

Duration millis(int count)
{
    return std::chrono::milliseconds(count);
}

// Bounds that differ from the defaults.
GatewayBounds tightBounds()
{
    GatewayBounds bounds;
    bounds.keyRevocationLimit = millis(2500);
    bounds.configPropagationLimit = millis(1000);
    bounds.leavingLimit = millis(1200);
    bounds.stopLimit = millis(4000);
    return bounds;
}

} // namespace

TEST_GROUP(GatewayBoundsTest){};

TEST(GatewayBoundsTest, FreshnessIsTighterThanThePlatformBounds)
{
    const GatewayTimings timings = deriveTimings(tightBounds());
    CHECK_TRUE(timings.freshness.keys < millis(2500));
    CHECK_TRUE(timings.freshness.deny < millis(1000));
    CHECK_TRUE(timings.lapseGrace < millis(1200));
}

TEST(GatewayBoundsTest, StopEndsBeforeTheProcessIsKilled)
{
    const GatewayTimings timings = deriveTimings(tightBounds());
    CHECK_TRUE(timings.stopDeadline < millis(4000));
    CHECK_TRUE(timings.stopDelay * 2 <= timings.stopDeadline);
}

// Requests sent later than 3 s after the signal may not be cut off.
TEST(GatewayBoundsTest, LongStopLimitDoesNotExtendTheStopDelay)
{
    GatewayBounds bounds;
    bounds.stopLimit = std::chrono::seconds(60);
    CHECK_TRUE(deriveTimings(bounds).stopDelay < millis(3000));
}

TEST(GatewayBoundsTest, BoundsBelowTheMarginsGivePositiveTimings)
{
    GatewayBounds bounds;
    bounds.keyRevocationLimit = bounds.configPropagationLimit = bounds.leavingLimit =
        bounds.stopLimit = millis(50);
    const GatewayTimings timings = deriveTimings(bounds);
    CHECK_TRUE(timings.freshness.keys > Duration{});
    CHECK_TRUE(timings.freshness.deny > Duration{});
    CHECK_TRUE(timings.lapseGrace > Duration{});
    CHECK_TRUE(timings.stopDeadline > Duration{});
}
