#include "gateway/startuprequestqueue.h"

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

    static bool push(StartupRequestQueue & queue, ExchangeId exchange, Duration deadline, int now,
                     std::size_t bytes = 10)
    {
        HttpRequest request;
        request.body.assign(bytes, 'x');
        return queue.push(exchange, request, deadline, at(now));
    }
};

TEST(StartupRequestQueueTest, PopsInOrderOfArrival)
{
    StartupRequestQueue queue(settings);
    push(queue, 7, std::chrono::seconds(8), 0);
    push(queue, 9, std::chrono::seconds(8), 10);
    const auto first = queue.popBatch();
    LONGS_EQUAL(1, first.size());
    LONGS_EQUAL(7, first.front().exchange);
    CHECK_TRUE(first.front().arrivedAt == at(0));
    LONGS_EQUAL(1, queue.size());
}

TEST(StartupRequestQueueTest, RequestExpiresAfterOneSecond)
{
    StartupRequestQueue queue(settings);
    push(queue, 1, std::chrono::seconds(8), 0);
    LONGS_EQUAL(0, queue.popExpired(at(999)).size());
    LONGS_EQUAL(1, queue.popExpired(at(1000)).size());
}

// A caller with a deadline of one second is answered after half of it, so that it has time to
// retry.
TEST(StartupRequestQueueTest, RequestExpiresAfterHalfOfItsDeadline)
{
    StartupRequestQueue queue(settings);
    push(queue, 1, std::chrono::seconds(1), 0);
    LONGS_EQUAL(1, queue.popExpired(at(500)).size());
}

TEST(StartupRequestQueueTest, RefusesBeyondMaxBytes)
{
    settings.maxBytes = 25;
    StartupRequestQueue queue(settings);
    CHECK_TRUE(push(queue, 1, Duration{}, 0));
    CHECK_TRUE(push(queue, 2, Duration{}, 0));
    CHECK_FALSE(push(queue, 3, Duration{}, 0));
    CHECK_TRUE(queue.remove(1));
    CHECK_TRUE(push(queue, 3, Duration{}, 0));
}

TEST(StartupRequestQueueTest, RefusesBeyondMaxRequests)
{
    settings.maxRequests = 2;
    StartupRequestQueue queue(settings);
    push(queue, 1, Duration{}, 0);
    push(queue, 2, Duration{}, 0);
    CHECK_FALSE(push(queue, 3, Duration{}, 0));
}

TEST(StartupRequestQueueTest, RemovesRequestOfDisconnectedCaller)
{
    StartupRequestQueue queue(settings);
    push(queue, 1, Duration{}, 0);
    CHECK_TRUE(queue.remove(1));
    CHECK_FALSE(queue.remove(1));
    LONGS_EQUAL(0, queue.size());
}

// Guards against a queue that is drained more slowly than a busy gateway's requests arrive.
TEST(StartupRequestQueueTest, FullQueueIsDrainedInTenBatches)
{
    StartupRequestQueue queue(settings);
    for (ExchangeId exchange = 1; exchange <= settings.maxRequests; ++exchange) {
        CHECK_TRUE(push(queue, exchange, Duration{}, 0));
    }
    LONGS_EQUAL(1, queue.popBatch().size());
    LONGS_EQUAL(2, queue.popBatch().size());
    LONGS_EQUAL(4, queue.popBatch().size());
    for (int batch = 4; batch <= 10; ++batch) {
        queue.popBatch();
    }
    LONGS_EQUAL(0, queue.size());
}
