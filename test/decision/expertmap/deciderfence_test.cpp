#include "decision/expertmap/deciderfence.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

TEST_GROUP(DeciderFenceTest){};

TEST(DeciderFenceTest, RaisedFenceIsAboveItselfAndTheHighestKnown)
{
    DeciderFence fence(10, 7);
    fence.raise(0, false);
    const auto first = fence.value();
    fence.raise(0, false);
    CHECK_TRUE(fence.value() > first);
    const auto known = fence.value() * 5;
    fence.raise(known, false);
    CHECK_TRUE(fence.value() > known);
}

TEST(DeciderFenceTest, DecidersWithOtherRandomNumbersNeverUseTheSameFence)
{
    DeciderFence one(10, 7);
    DeciderFence two(10, 8);
    for (int round = 0; round < 20; ++round) {
        one.raise(two.value(), round % 2 == 0);
        two.raise(one.value(), round % 3 == 0);
        CHECK_TRUE(one.value() != two.value());
    }
}

// The distance to the fence of the decider that has overtaken it is unknown.
TEST(DeciderFenceTest, EachTimeItIsOvertakenTheStepGrows)
{
    DeciderFence fence(10, 7);
    fence.raise(0, false);
    std::uint64_t before = fence.value();
    std::uint64_t step = 0;
    for (int round = 0; round < 5; ++round) {
        fence.raise(0, true);
        CHECK_TRUE(fence.value() - before > step);
        step = fence.value() - before;
        before = fence.value();
    }
}

TEST(DeciderFenceTest, NextFloorIsAboveAllFencesUpToNow)
{
    DeciderFence fence(10, 7);
    fence.raise(0, false);
    DeciderFence next(fence.nextFloor(), 0);
    next.raise(0, false);
    CHECK_TRUE(next.value() > fence.value());
}
