#include "decision/gateway/streamtimes.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;
using std::chrono::milliseconds;

TEST_GROUP(StreamTimesTest)
{
    StreamTimes times;

    void serve(Tokens answer, std::uint32_t events, int count)
    {
        for (int stream = 0; stream < count; ++stream) {
            times.onFirstEvent(milliseconds(stream % 2 == 0 ? 200 : 400));
            times.onPause(milliseconds(100));
            times.onComplete({500, answer}, events);
        }
    }
};

TEST(StreamTimesTest, NothingIsExpectedBeforeAStreamWasServed)
{
    CHECK_TRUE(times.duration({500, 100}) == Duration{});
    CHECK_TRUE(times.cautiousTimeToFirstEvent() == Duration{});
}

TEST(StreamTimesTest, LongerAnswersAreExpectedToTakeLonger)
{
    serve(100, 20, 40);
    CHECK_TRUE(times.duration({500, 50}) < milliseconds(1300));
    CHECK_TRUE(times.duration({500, 200}) > milliseconds(4000));
}

TEST(StreamTimesTest, CautiousTimeCoversTheSpreadOfFirstEvents)
{
    serve(100, 20, 40);
    CHECK_TRUE(times.timeToFirstEvent() < milliseconds(350));
    CHECK_TRUE(times.cautiousTimeToFirstEvent() >= milliseconds(400));
}

TEST(StreamTimesTest, DurationFollowsPausesThatDouble)
{
    serve(100, 20, 40);
    const Duration before = times.duration({500, 100});
    for (int pass = 0; pass < 200; ++pass) {
        times.onPause(milliseconds(200));
    }
    CHECK_TRUE(times.duration({500, 100}) > before * 3 / 2);
}
