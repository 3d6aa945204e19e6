// Relay plans with which one agent sends a whole map to all ranks of a group over a narrow link,
// fast enough for demand that shifts every few seconds.
#include "decision/expertmap/relayplan.h"

#include <algorithm>
#include <numeric>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

constexpr double kLinkBytesPerSecond = 750'000.0; // Bytes per second.

RelayInputs inputsFor(std::uint32_t count, std::uint64_t bytes, std::uint64_t rotation = 0)
{
    RelayInputs inputs;
    inputs.ranks.resize(count);
    std::iota(inputs.ranks.begin(), inputs.ranks.end(), 1U);
    inputs.orderBytes = bytes;
    inputs.linkBytesPerSecond = kLinkBytesPerSecond;
    inputs.rotation = rotation;
    return inputs;
}

// Returns the time until the last rank has received the order, if all links are equal.
double secondsFor(const std::vector<RelayBlock> &blocks, std::uint64_t bytes)
{
    std::size_t longest = 0;
    for (const RelayBlock &block : blocks) {
        longest = std::max(longest, block.size() - 1);
    }
    return static_cast<double>((blocks.size() + longest) * bytes) / kLinkBytesPerSecond;
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

// Sent directly, 7 KB to each of 128 ranks occupy a link of 6 Mbit/s for 1.2 s.
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
