#include "decision/admission/memorybudget.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;

} // namespace

TEST_GROUP(MemoryBudgetTest)
{
    MemoryBudget budget{8 * kMegabyte};
};

TEST(MemoryBudgetTest, RequestsThatDoNotFitAreNotAdmitted)
{
    CHECK_TRUE(budget.admits({0, 0, 0}, 4 * kMegabyte));
    CHECK_FALSE(budget.admits({0, 0, kMegabyte}, 4 * kMegabyte));
}

TEST(MemoryBudgetTest, RequestsWithASmallBodyAreAlwaysAdmitted)
{
    CHECK_TRUE(budget.admits({0, 0, 9 * kMegabyte}, 1000));
}

TEST(MemoryBudgetTest, UploadsGetWhatRequestsAndAnswersLeaveOfHalfTheLimit)
{
    LONGS_EQUAL(4 * kMegabyte, budget.maxUploads({kMegabyte, 0, 0}));
    LONGS_EQUAL(kMegabyte, budget.maxUploads({kMegabyte, kMegabyte, 2 * kMegabyte}));
    LONGS_EQUAL(0, budget.maxUploads({0, 3 * kMegabyte, 2 * kMegabyte}));
}

TEST(MemoryBudgetTest, AnswersThatNobodyReadsShareAQuarterOfTheLimit)
{
    for (const std::size_t answers : {std::size_t{8}, std::size_t{100}, std::size_t{250}}) {
        CHECK_TRUE(answers * budget.maxUnsent(answers) <= 2 * kMegabyte);
    }
}

// Guards against a process killed for the memory of events that never end.
TEST(MemoryBudgetTest, PartialEventsShareAQuarterOfTheLimit)
{
    const MemoryBudget large{128 * kMegabyte};
    for (const std::size_t answers : {std::size_t{4}, std::size_t{100}, std::size_t{512}}) {
        CHECK_TRUE(answers * large.maxPartialEvent(answers) <= 32 * kMegabyte);
    }
    LONGS_EQUAL(8 * kMegabyte, large.maxPartialEvent(1));
    LONGS_EQUAL(64 * 1024, large.maxPartialEvent(10'000));
}

TEST(MemoryBudgetTest, WithoutALimitNothingIsRestricted)
{
    const MemoryBudget none;
    CHECK_TRUE(none.admits({kMegabyte, kMegabyte, kMegabyte}, 100 * kMegabyte));
    CHECK_TRUE(none.maxUploads({kMegabyte, kMegabyte, kMegabyte}) > 1000 * kMegabyte);
    LONGS_EQUAL(256 * 1024, none.maxUnsent(10'000));
    LONGS_EQUAL(8 * kMegabyte, none.maxPartialEvent(10'000));
}
