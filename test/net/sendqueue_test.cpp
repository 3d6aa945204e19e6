#include "net/sendqueue.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

// Takes everything from the queue, at most `step` bytes at a time.
std::string drain(SendQueue &queue, std::size_t step)
{
    std::string taken;
    while (!queue.empty()) {
        const std::string_view next = queue.front().substr(0, step);
        taken += next;
        queue.removeFront(next.size());
    }
    return taken;
}

} // namespace

TEST_GROUP(SendQueueTest)
{
    SendQueue queue;
};

TEST(SendQueueTest, KeepsTheOrderOfCopiedAndSharedTexts)
{
    for (const std::size_t step : {std::size_t{1}, std::size_t{3}, std::size_t{100}}) {
        queue.append("head ");
        queue.append(SharedText("body"));
        queue.append(" next");
        queue.append(" more");
        STRCMP_EQUAL("head body next more", drain(queue, step).c_str());
    }
}

TEST(SendQueueTest, CountsBytesThatWait)
{
    queue.append("head ");
    queue.append(SharedText("body"));
    queue.removeFront(2);
    LONGS_EQUAL(7, queue.size());
    queue.removeFront(3);
    queue.removeFront(1);
    LONGS_EQUAL(3, queue.size());
    STRCMP_EQUAL("ody", std::string(queue.front()).c_str());
}

TEST(SendQueueTest, HoldsNoCopyOfSharedTexts)
{
    queue.append("head ");
    queue.append(SharedText(std::string(1000, 'x')));
    LONGS_EQUAL(5, queue.copiedSize());
    LONGS_EQUAL(1005, queue.size());
}

TEST(SendQueueTest, EmptyTextsAddNothing)
{
    queue.append("");
    queue.append(SharedText());
    CHECK_TRUE(queue.empty());
    CHECK_FALSE(queue.hasMore());
}

TEST(SendQueueTest, IsEmptyOnceCleared)
{
    queue.append("head");
    queue.append(SharedText("body"));
    queue.clear();
    CHECK_TRUE(queue.empty());
    LONGS_EQUAL(0, queue.copiedSize());
    CHECK_TRUE(queue.front().empty());
}
