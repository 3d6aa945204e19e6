#include "decision/admission/memorybudget.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

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
    CHECK_TRUE(budget.admits({kMegabyte, kMegabyte, 0}, 4 * kMegabyte));
    CHECK_FALSE(budget.admits({kMegabyte, kMegabyte, 0}, 4 * kMegabyte + 1));
    CHECK_FALSE(budget.admits({0, 0, 5 * kMegabyte}, 4 * kMegabyte));
}

TEST(MemoryBudgetTest, LargestBodyIsAdmittedIfNothingElseIsHeld)
{
    CHECK_TRUE(budget.admits({0, 0, 0}, budget.maxBody()));
    CHECK_FALSE(budget.admits({0, 0, 0}, budget.maxBody() + 1));
    CHECK_TRUE(MemoryBudget().admits({0, 0, 0}, MemoryBudget().maxBody()));
}

// Guards against answers that exceed the limit beside bodies that were admitted before they came.
TEST(MemoryBudgetTest, RequestsLeaveAnswersTheirShare)
{
    CHECK_TRUE(budget.admits({0, 0, 0}, 6 * kMegabyte));
    CHECK_FALSE(budget.admits({0, 0, 0}, 6 * kMegabyte + 1));
    CHECK_TRUE(budget.admits({0, 0, 2 * kMegabyte}, 6 * kMegabyte));
}

TEST(MemoryBudgetTest, RequestsWithASmallBodyAreAlwaysAdmitted)
{
    CHECK_TRUE(budget.admits({0, 0, 9 * kMegabyte}, 1000));
}

TEST(MemoryBudgetTest, UploadsGetWhatRequestsAndAnswersLeaveOfHalfTheLimit)
{
    LONGS_EQUAL(4 * kMegabyte, budget.uploads({kMegabyte, 0, 0}).maxBytes);
    LONGS_EQUAL(kMegabyte, budget.uploads({kMegabyte, kMegabyte, 2 * kMegabyte}).maxBytes);
    LONGS_EQUAL(0, budget.uploads({0, 3 * kMegabyte, 2 * kMegabyte}).maxBytes);
}

TEST(MemoryBudgetTest, OldestUploadGetsWhatRequestsAndAnswersLeaveOfTheLimit)
{
    LONGS_EQUAL(5 * kMegabyte,
                budget.uploads({kMegabyte, kMegabyte, 2 * kMegabyte}).maxBytesWithOldest);
    LONGS_EQUAL(0, budget.uploads({0, 7 * kMegabyte, 2 * kMegabyte}).maxBytesWithOldest);
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
    const UploadBudget uploads = none.uploads({kMegabyte, kMegabyte, kMegabyte});
    CHECK_TRUE(std::min(uploads.maxBytes, uploads.maxBytesWithOldest) > 1000 * kMegabyte);
    LONGS_EQUAL(256 * 1024, none.maxUnsent(10'000));
    LONGS_EQUAL(8 * kMegabyte, none.maxPartialEvent(10'000));
}
