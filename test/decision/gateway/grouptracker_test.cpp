#include "decision/gateway/grouptracker.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

constexpr Duration kGapTarget = std::chrono::milliseconds(150);
constexpr Duration kPass = std::chrono::milliseconds(80);

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

} // namespace

TEST_GROUP(GroupTrackerTest)
{
    GroupTracker tracker{GroupTracker::Settings()};

    // Adds a stream that has sent two events, the last one at `now`.
    void startProducing(int now)
    {
        tracker.onStreamStart(at(now - 160));
        tracker.onFirstEvent(at(now - 80));
        tracker.onPause(kPass, kGapTarget, at(now));
    }

    // Ticks every 25 ms, as the gateway does. Returns when a stall is detected, or a time after
    // `until` if there is none.
    int detectStall(int from, int until)
    {
        for (int now = from; now <= until; now += 25) {
            tracker.onTick(0, at(now));
            if (tracker.isStalled()) {
                return now;
            }
        }
        return until + 1;
    }
};

// A group that is held or has lost a rank sends no events, and refuses no request for 1.5 s. Two
// gap targets are about four passes.
TEST(GroupTrackerTest, SilenceOfTwoGapTargetsIsAStall)
{
    startProducing(1000);
    const int found = detectStall(1000, 2000);
    CHECK_TEXT(found >= 1300 && found <= 1325, "expected a stall 300 ms after the last event");
}

TEST(GroupTrackerTest, LongPassesAfterALoadShiftAreNotAStall)
{
    startProducing(1000);
    CHECK_TEXT(detectStall(1000, 1225) > 1225, "passes take up to 225 ms right after a load shift");
}

TEST(GroupTrackerTest, OneEventEndsAStall)
{
    startProducing(1000);
    detectStall(1000, 2000);
    tracker.onPause(std::chrono::seconds(1), kGapTarget, at(2000));
    CHECK_FALSE(tracker.isStalled());
}

// Callers disconnect from a stream that is silent for two seconds. A group without streams in
// flight has not necessarily recovered.
TEST(GroupTrackerTest, StallPersistsAfterItsStreamsEnd)
{
    startProducing(1000);
    detectStall(1000, 2000);
    tracker.onStreamEnd(true);
    tracker.onTick(0, at(3000));
    CHECK_TRUE(tracker.isStalled());
}

TEST(GroupTrackerTest, StalledGroupIsProbedOnlyWithoutStreamsInFlight)
{
    startProducing(1000);
    detectStall(1000, 2000);
    CHECK_FALSE(tracker.isProbeDue(at(5000)));
    tracker.onStreamEnd(true);
    CHECK_TRUE(tracker.isProbeDue(at(5000)));
    tracker.onProbe(at(5000));
    CHECK_FALSE(tracker.isProbeDue(at(5100)));
}

TEST(GroupTrackerTest, MissingFirstEventsAreAStall)
{
    tracker.onStreamStart(at(0));
    CHECK_TEXT(detectStall(0, 950) > 950, "a first event may take some passes");
    const int found = detectStall(975, 2000);
    CHECK_TEXT(found <= 1025, "expected a stall one second after the stream was sent");
}

TEST(GroupTrackerTest, GroupWithoutStreamsNeverStalls)
{
    CHECK_TRUE(detectStall(0, 5000) > 5000);
}

TEST(GroupTrackerTest, RefusalsCountOnlyAfterTheOutageDelay)
{
    tracker.onRefusal(at(0), at(5));
    CHECK_FALSE(tracker.isRefusing(at(100)));
    CHECK_TRUE(tracker.isRefusing(at(305)));
    CHECK_TRUE(tracker.onAnswer(at(400)));
    CHECK_FALSE(tracker.isRefusing(at(400)));
}

// A group that was stalled refuses all its requests at the same moment.
TEST(GroupTrackerTest, LateRefusalCountsAtOnce)
{
    tracker.onRefusal(at(0), at(1500));
    CHECK_TRUE(tracker.isRefusing(at(1500)));
}

TEST(GroupTrackerTest, TwoConnectFailuresInARowMakeTheGroupUnreachable)
{
    tracker.onUnreachable(at(0));
    CHECK_FALSE(tracker.isUnreachable());
    tracker.onUnreachable(at(400));
    CHECK_TRUE(tracker.isUnreachable());
    CHECK_FALSE(tracker.isProbeDue(at(1000)));
    CHECK_TRUE(tracker.isProbeDue(at(1400)));
    tracker.onAnswer(at(1500));
    CHECK_FALSE(tracker.isUnreachable());
}
