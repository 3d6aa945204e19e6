#include "decision/gateway/streamlimiter.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

constexpr Duration kGapTarget = std::chrono::milliseconds(120);

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

} // namespace

TEST_GROUP(StreamLimiterTest)
{
    StreamLimiter limiter;
};

TEST(StreamLimiterTest, LimitFallsBelowInFlightWhenPausesAreLong)
{
    limiter.onPause(std::chrono::milliseconds(119), kGapTarget, at(900));
    limiter.onTick(8, 0, at(1000));
    CHECK_TRUE(limiter.limit() < 8.0);
    CHECK_FALSE(limiter.admits(8));
}

TEST(StreamLimiterTest, LimitGrowsOnlyWhileRequestsAreQueued)
{
    limiter.onPause(std::chrono::milliseconds(40), kGapTarget, at(900));
    limiter.onTick(12, 0, at(1000));
    DOUBLES_EQUAL(StreamLimiter::Settings().initialLimit, limiter.limit(), 1e-9);
    limiter.onTick(12, 1, at(2000));
    CHECK_TRUE(limiter.limit() > StreamLimiter::Settings().initialLimit);
}

TEST(StreamLimiterTest, LimitGrowsFasterWithMoreQueuedRequests)
{
    StreamLimiter other;
    limiter.onTick(12, 1, at(1000));
    other.onTick(12, 10, at(1000));
    CHECK_TRUE(other.limit() > limiter.limit());
}

TEST(StreamLimiterTest, LimitNeverFallsBelowTheMinimum)
{
    for (int count = 1; count < 100; ++count) {
        limiter.onPause(std::chrono::seconds(1), kGapTarget, at(900));
        limiter.onTick(1, 5, at(1000 * count));
    }
    CHECK_TRUE(limiter.admits(2));
}

TEST(StreamLimiterTest, PausesOfRoutesWithoutAGapTargetAreIgnored)
{
    limiter.onPause(std::chrono::seconds(9), Duration{}, at(900));
    limiter.onTick(12, 0, at(1000));
    DOUBLES_EQUAL(StreamLimiter::Settings().initialLimit, limiter.limit(), 1e-9);
}

TEST(StreamLimiterTest, NearTargetLastsUntilAShortPause)
{
    limiter.onPause(std::chrono::milliseconds(110), kGapTarget, at(1000));
    CHECK_TRUE(limiter.isNearTarget(at(1050)));
    limiter.onPause(std::chrono::milliseconds(60), kGapTarget, at(1060));
    CHECK_FALSE(limiter.isNearTarget(at(1060)));
}

TEST(StreamLimiterTest, NearTargetExpires)
{
    limiter.onPause(std::chrono::milliseconds(110), kGapTarget, at(1000));
    CHECK_FALSE(limiter.isNearTarget(at(1000) + StreamLimiter::Settings().nearTargetTimeToLive));
}

// With 149 gateways and 129 ranks of six slots, a fixed initial limit of 12 streams per gateway,
// which suits a small site, would admit twice as many streams as there are slots.
TEST(StreamLimiterTest, InitialSharesOfALargeSiteStayWithinItsSlots)
{
    constexpr double kGateways = 149.0;
    constexpr double kSlots = 129.0 * 6.0;
    limiter.resetToShare(kSlots, kGateways);
    CHECK_TRUE(limiter.limit() * kGateways <= kSlots);
}

TEST(StreamLimiterTest, InitialSharesOfASmallSiteStayWithinItsSlots)
{
    limiter.resetToShare(144.0, 7.0);
    CHECK_TRUE(limiter.limit() >= 12.0);
    CHECK_TRUE(limiter.limit() * 7.0 <= 144.0);
}

// A group stalls for seconds while callers queue: there are no events, thus no long pauses either.
TEST(StreamLimiterTest, LimitDoesNotGrowWhileTheEnginesAreStalled)
{
    limiter.onPause(std::chrono::milliseconds(40), kGapTarget, at(1000));
    limiter.onTick(12, 5, at(1100));
    for (int millis = 2600; millis < 8000; millis += 200) {
        const double before = limiter.limit();
        limiter.onTick(12, 50, at(millis));
        DOUBLES_EQUAL(before, limiter.limit(), 1e-9);
    }
}

TEST(StreamLimiterTest, LimitIsAtMostAnEvenShareAfterAnOutage)
{
    limiter.resetToShare(144.0, 6.0);
    for (int millis = 1000; millis < 9000; millis += 200) {
        limiter.onTick(0, 20, at(millis));
    }
    limiter.resetToShare(144.0, 6.0);
    CHECK_TRUE(limiter.limit() <= 24.0);
    limiter.onPause(std::chrono::milliseconds(119), kGapTarget, at(9100));
    limiter.onTick(8, 0, at(9200));
    limiter.resetToShare(144.0, 6.0);
    CHECK_TRUE(limiter.limit() < 8.0);
}
