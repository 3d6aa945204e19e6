#include "decision/retry/parthistory.h"

#include <CppUTest/TestHarness.h>
#include <cstdint>

using namespace seamarch;

namespace {

SuspectKey part(std::uint64_t number)
{
    return SuspectKey(TargetName("model"), PromptPartId(number));
}

TimePoint at(int seconds)
{
    return TimePoint(std::chrono::seconds(seconds));
}

} // namespace

TEST_GROUP(PartHistoryTest)
{
    PartHistory history{3};
};

TEST(PartHistoryTest, ReturnsLastAnswer)
{
    CHECK_FALSE(history.lastAnsweredAt(part(1)).has_value());
    history.recordAnswer(part(1), at(1));
    history.recordAnswer(part(1), at(5));
    CHECK_TRUE(history.lastAnsweredAt(part(1)) == at(5));
    LONGS_EQUAL(1, history.size());
}

TEST(PartHistoryTest, CountsRequests)
{
    LONGS_EQUAL(0, history.requests(part(1)));
    history.recordRequest(part(1));
    history.recordRequest(part(1));
    LONGS_EQUAL(2, history.requests(part(1)));
    CHECK_FALSE(history.lastAnsweredAt(part(1)).has_value());
}

TEST(PartHistoryTest, ForgetsLeastRecentlyUsedFirst)
{
    for (const std::uint64_t number : {1, 2, 3, 1, 4}) {
        history.recordRequest(part(number));
    }
    LONGS_EQUAL(3, history.size());
    LONGS_EQUAL(2, history.requests(part(1)));
    LONGS_EQUAL(0, history.requests(part(2)));
}
