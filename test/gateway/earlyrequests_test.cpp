#include "gateway/earlyrequests.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

} // namespace

TEST_GROUP(StartupRequestQueueTest)
{
    StartupRequestQueue::Settings settings;

    static bool push(StartupRequestQueue & early, ExchangeId exchange, Duration deadline, int now,
                     std::size_t bytes = 10)
    {
        HttpRequest request;
        request.body.assign(bytes, 'x');
        return early.push(exchange, request, deadline, at(now));
    }
};

TEST(StartupRequestQueueTest, FirstComeFirstHandedOut)
{
    StartupRequestQueue early(settings);
    push(early, 7, std::chrono::seconds(8), 0);
    push(early, 9, std::chrono::seconds(8), 10);
    const auto first = early.popFront(1);
    LONGS_EQUAL(1, first.size());
    LONGS_EQUAL(7, first.front().exchange);
    CHECK_TRUE(first.front().arrivedAt == at(0));
    LONGS_EQUAL(1, early.size());
}

TEST(StartupRequestQueueTest, NoneWaitsLongerThanASecond)
{
    StartupRequestQueue early(settings);
    push(early, 1, std::chrono::seconds(8), 0);
    LONGS_EQUAL(0, early.popExpired(at(999)).size());
    LONGS_EQUAL(1, early.popExpired(at(1000)).size());
}

// A caller that waits for a second is told after half of it, while there is time to come back.
TEST(StartupRequestQueueTest, NoneWaitsLongerThanHalfOfItsCallersTime)
{
    StartupRequestQueue early(settings);
    push(early, 1, std::chrono::seconds(1), 0);
    LONGS_EQUAL(1, early.popExpired(at(500)).size());
}

TEST(StartupRequestQueueTest, MemoryIsBounded)
{
    settings.maxBytes = 25;
    StartupRequestQueue early(settings);
    CHECK_TRUE(push(early, 1, Duration{}, 0));
    CHECK_TRUE(push(early, 2, Duration{}, 0));
    CHECK_FALSE(push(early, 3, Duration{}, 0));
    CHECK_TRUE(early.remove(1));
    CHECK_TRUE(push(early, 3, Duration{}, 0));
}

TEST(StartupRequestQueueTest, NumberIsBounded)
{
    settings.maxRequests = 2;
    StartupRequestQueue early(settings);
    push(early, 1, Duration{}, 0);
    push(early, 2, Duration{}, 0);
    CHECK_FALSE(push(early, 3, Duration{}, 0));
}

TEST(StartupRequestQueueTest, CallerThatLeftIsForgotten)
{
    StartupRequestQueue early(settings);
    push(early, 1, Duration{}, 0);
    CHECK_TRUE(early.remove(1));
    CHECK_FALSE(early.remove(1));
    LONGS_EQUAL(0, early.size());
}
