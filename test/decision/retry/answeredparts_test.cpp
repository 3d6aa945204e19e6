#include "decision/retry/answeredparts.h"

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

TEST_GROUP(AnsweredPartsTest)
{
    AnsweredParts parts{3};
};

TEST(AnsweredPartsTest, ReturnsLastAnswer)
{
    CHECK_FALSE(parts.lastAnsweredAt(part(1)).has_value());
    parts.record(part(1), at(1));
    parts.record(part(1), at(5));
    CHECK_TRUE(parts.lastAnsweredAt(part(1)) == at(5));
    LONGS_EQUAL(1, parts.size());
}

TEST(AnsweredPartsTest, ForgetsLeastRecentlyAnsweredFirst)
{
    for (const std::uint64_t number : {1, 2, 3, 1, 4}) {
        parts.record(part(number), at(static_cast<int>(number)));
    }
    LONGS_EQUAL(3, parts.size());
    CHECK_TRUE(parts.lastAnsweredAt(part(1)).has_value());
    CHECK_FALSE(parts.lastAnsweredAt(part(2)).has_value());
}
