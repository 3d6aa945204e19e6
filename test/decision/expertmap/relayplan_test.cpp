// The pattern: one agent has to get a whole map to all ranks of a group over a narrow link, soon
// enough for a demand that shifts every few seconds.
#include "decision/expertmap/relayplan.h"

#include <algorithm>
#include <numeric>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

constexpr double kSixMegabits = 750'000.0; // Bytes a second.

RelayInputs inputsFor(std::uint32_t count, std::uint64_t bytes, std::uint64_t rotation = 0)
{
    RelayInputs inputs;
    inputs.ranks.resize(count);
    std::iota(inputs.ranks.begin(), inputs.ranks.end(), 1U);
    inputs.orderBytes = bytes;
    inputs.linkBytesPerSecond = kSixMegabits;
    inputs.rotation = rotation;
    return inputs;
}

// The time until the last rank has the order, if all links are alike.
double secondsFor(const std::vector<RelayBlock> &blocks, std::uint64_t bytes)
{
    std::size_t longest = 0;
    for (const RelayBlock &block : blocks) {
        longest = std::max(longest, block.size() - 1);
    }
    return static_cast<double>((blocks.size() + longest) * bytes) / kSixMegabits;
}

} // namespace

TEST_GROUP(RelayPlanTest){};

TEST(RelayPlanTest, SendsSmallMapDirectlyToEachRank)
{
    const auto blocks = planRelays(inputsFor(11, 400));
    LONGS_EQUAL(11, blocks.size());
    for (const RelayBlock &block : blocks) {
        LONGS_EQUAL(1, block.size());
    }
}

TEST(RelayPlanTest, IncludesEveryRankOnce)
{
    for (const std::uint32_t count : {1U, 23U, 62U, 128U, 319U}) {
        std::vector<std::uint32_t> reached;
        for (const RelayBlock &block : planRelays(inputsFor(count, 7000))) {
            reached.insert(reached.end(), block.begin(), block.end());
        }
        std::sort(reached.begin(), reached.end());
        CHECK_TRUE(reached == inputsFor(count, 7000).ranks);
    }
}

// Sent straight, 7 KB to 128 ranks take 1.2 s of a link of 6 Mbit/s.
TEST(RelayPlanTest, ReachesLargeGroupWithinQuarterSecond)
{
    CHECK_TRUE(secondsFor(planRelays(inputsFor(128, 7000)), 7000) < 0.25);
}

TEST(RelayPlanTest, NextRotationChoosesOtherRelays)
{
    const auto first = planRelays(inputsFor(128, 7000, 0));
    const auto second = planRelays(inputsFor(128, 7000, 1));
    LONGS_EQUAL(first.size(), second.size());
    for (std::size_t block = 0; block < first.size(); ++block) {
        CHECK_TRUE(first[block].front() != second[block].front());
    }
}

TEST(RelayPlanTest, ReturnsNoBlockWithoutRanks)
{
    CHECK_TRUE(planRelays(inputsFor(0, 7000)).empty());
}
