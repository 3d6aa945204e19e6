#include "decision/expertmap/choicecounts.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

constexpr std::uint64_t kFirstSnapshotId = 700;

std::vector<std::uint64_t> uniformCounts(std::size_t experts, std::uint64_t each)
{
    return std::vector<std::uint64_t>(experts, each);
}

} // namespace

TEST_GROUP(ChoiceCountHistoryTest)
{
    ChoiceCountHistory history{kFirstSnapshotId};
};

TEST(ChoiceCountHistoryTest, ReturnsDeltaSinceNamedSnapshot)
{
    const auto first = history.record({10, 20, 30}, 0);
    history.record({11, 20, 30}, first.snapshotId);
    const auto third = history.record({15, 20, 37}, first.snapshotId);
    LONGS_EQUAL(first.snapshotId, third.since);
    CHECK_TRUE(decodeChoices(third) == (std::vector<double>{5, 0, 7}));
}

TEST(ChoiceCountHistoryTest, ReturnsNoDeltaWithoutSnapshotId)
{
    const auto first = history.record({10, 20, 30}, 0);
    LONGS_EQUAL(0, first.since);
    CHECK_TRUE(decodeChoices(first).empty());
}

TEST(ChoiceCountHistoryTest, ReturnsNoDeltaForSnapshotOfEarlierProcess)
{
    history.record({10, 20, 30}, 0);
    LONGS_EQUAL(0, history.record({11, 21, 31}, kFirstSnapshotId - 1).since);
}

TEST(ChoiceCountHistoryTest, ReturnsNoDeltaAcrossEngineRestart)
{
    const auto first = history.record({10, 20, 30}, 0);
    const auto second = history.record({0, 1, 0}, first.snapshotId);
    CHECK_TRUE(decodeChoices(second).empty());
    const auto third = history.record({0, 4, 0}, second.snapshotId);
    CHECK_TRUE(decodeChoices(third) == (std::vector<double>{0, 3, 0}));
}

TEST(ChoiceCountHistoryTest, QuantizationErrorIsBelowOneIn500OfBlockMaximum)
{
    constexpr std::size_t kExperts = 2016;
    const auto first = history.record(uniformCounts(kExperts, 0), 0);
    std::vector<std::uint64_t> later;
    for (std::size_t expert = 0; expert < kExperts; ++expert) {
        later.push_back(expert * expert % 9973);
    }
    const std::vector<double> choices = decodeChoices(history.record(later, first.snapshotId));
    LONGS_EQUAL(kExperts, choices.size());
    for (std::size_t expert = 0; expert < kExperts; ++expert) {
        DOUBLES_EQUAL(static_cast<double>(later[expert]), choices[expert], 9973.0 / 500.0);
    }
}

TEST(ChoiceCountHistoryTest, EncodesTwoThousandExpertsInLessThanThreeKilobytes)
{
    constexpr std::size_t kExperts = 2016;
    const auto first = history.record(uniformCounts(kExperts, 0), 0);
    const auto second = history.record(uniformCounts(kExperts, 5000), first.snapshotId);
    CHECK_TRUE(second.quantized.size() + second.scales.size() * sizeof(float) < 3000);
}

TEST(ChoiceCountHistoryTest, DecodesInconsistentCountsToNothing)
{
    ChoiceCounts inconsistent{2, 1, {}, {1, 2, 3}};
    CHECK_TRUE(decodeChoices(inconsistent).empty());
}
