#include "decision/gateway/streamqueue.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

constexpr Urgency kUrgent{1, 1};
constexpr Urgency kNormal{5, 5};

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

} // namespace

TEST_GROUP(StreamQueueTest)
{
    StreamQueue queue;

    static StreamQueue::Entry entry(RequestNumber number, int startDeadline,
                                    Urgency urgency = kNormal, bool isRetry = false)
    {
        StreamQueue::Entry entry;
        entry.number = number;
        entry.urgency = urgency;
        entry.isRetry = isRetry;
        entry.startDeadline = at(startDeadline);
        return entry;
    }

    void add(RequestNumber number, int startDeadline, Urgency urgency = kNormal,
             bool isRetry = false)
    {
        queue.add(entry(number, startDeadline, urgency, isRetry), at(0));
    }

    void checkNext(RequestNumber expected, int now)
    {
        const auto next = queue.takeNext(at(now));
        CHECK_TEXT(next.has_value(), "expected a stream, found an empty queue");
        LONGS_EQUAL(expected, *next);
    }
};

TEST(StreamQueueTest, OldestGoesFirstAmongEquals)
{
    add(1, 300);
    add(2, 300);
    checkNext(1, 10);
    checkNext(2, 10);
    CHECK_FALSE(queue.takeNext(at(10)).has_value());
}

TEST(StreamQueueTest, InTimeStreamGoesBeforeLateOne)
{
    add(1, 100);
    add(2, 400);
    checkNext(2, 200);
    checkNext(1, 200);
}

TEST(StreamQueueTest, UrgentStreamGoesFirstEvenWhenLate)
{
    add(1, 400);
    add(2, 100, kUrgent);
    checkNext(2, 200);
}

TEST(StreamQueueTest, RouteDecidesBetweenEquallyUrgentAccounts)
{
    add(1, 400, {1, 2});
    add(2, 400, {1, 0});
    add(3, 400, {0, 2});
    checkNext(3, 10);
    checkNext(2, 10);
    checkNext(1, 10);
}

TEST(StreamQueueTest, RetryGoesFirstAmongLateStreams)
{
    add(1, 100);
    add(2, -500, kNormal, true);
    checkNext(2, 200);
    checkNext(1, 200);
}

TEST(StreamQueueTest, CountsStreamsAhead)
{
    add(1, 100);
    add(2, 400);
    LONGS_EQUAL(2, queue.countAhead(entry(3, 300, kNormal), at(50)));
    LONGS_EQUAL(1, queue.countAhead(entry(3, 300, kNormal), at(200)));
    LONGS_EQUAL(0, queue.countAhead(entry(3, 300, kUrgent), at(200)));
}

TEST(StreamQueueTest, RemovedStreamsAreNotCounted)
{
    add(1, 100);
    add(2, 100);
    queue.remove(1);
    LONGS_EQUAL(1, queue.countAhead(entry(3, -1, kNormal), at(200)));
    queue.remove(2);
    queue.remove(2);
    CHECK_TRUE(queue.empty());
    CHECK_FALSE(queue.takeNext(at(200)).has_value());
}
