#include "decision/expertmap/generationmembership.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

using Join = GenerationMembership::Join;

MapFence fence(std::uint64_t ballot)
{
    return {1, ballot, 0};
}

} // namespace

// Rank 1 of three.
TEST_GROUP(GenerationMembershipTest)
{
    GenerationMembership membership{RankIndex(1), 3, 20};
};

TEST(GenerationMembershipTest, GenerationNeedsTheIncarnationsOfAllRanks)
{
    CHECK_TRUE(membership.merge({10, 0, 0}));
    CHECK_FALSE(membership.hasNewGeneration());
    CHECK_TRUE(membership.merge({0, 0, 30}));
    CHECK_TRUE(membership.hasNewGeneration());
}

TEST(GenerationMembershipTest, RankThatStartsAnewBeginsANewGeneration)
{
    membership.merge({10, 20, 30});
    membership.join({});
    CHECK_FALSE(membership.hasNewGeneration());
    membership.merge({10, 20, 31});
    CHECK_TRUE(membership.hasNewGeneration());
}

TEST(GenerationMembershipTest, EarlierIncarnationsAreIgnored)
{
    membership.merge({10, 20, 30});
    membership.join({});
    membership.merge({9, 20, 29});
    CHECK_FALSE(membership.hasNewGeneration());
}

TEST(GenerationMembershipTest, NewerIncarnationOfTheOwnRankIsReported)
{
    CHECK_TRUE(membership.merge({10, 19, 30}));
    CHECK_FALSE(membership.merge({10, 21, 30}));
}

TEST(GenerationMembershipTest, JoinOfAnotherGenerationDoesNotCount)
{
    membership.merge({10, 20, 30});
    membership.join({});
    CHECK_FALSE(membership.recordJoin(RankIndex(0), {10, 20, 29}, {}));
    CHECK_TRUE(membership.recordJoin(RankIndex(0), {10, 20, 30}, {}));
    CHECK_FALSE(membership.allJoined());
    CHECK_TRUE(membership.recordJoin(RankIndex(2), {10, 20, 30}, {}));
    CHECK_TRUE(membership.allJoined());
}

// The newest map need not be known at the rank that has got furthest.
TEST(GenerationMembershipTest, StartsWithTheNewestMapAndTheHighestStep)
{
    membership.merge({10, 20, 30});
    membership.join({fence(2), 5});
    membership.recordJoin(RankIndex(0), {10, 20, 30}, {fence(3), 4});
    membership.recordJoin(RankIndex(2), {10, 20, 30}, {fence(1), 9});
    const Join start = membership.start();
    CHECK_TRUE(start.committed == fence(3));
    LONGS_EQUAL(9, start.step);
}
