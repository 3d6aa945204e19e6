// Plans for groups of different sizes. Reports, counts and orders share the link of one decider.
// The figures (ranks, sets times experts, link bandwidth) are those of production deployments and
// of the target size in docs/CAPACITY.md.
#include "decision/expertmap/collectionplan.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

constexpr double kBytesPerMegabit = 125'000.0;

struct Group
{
    std::uint32_t ranks;
    std::uint64_t countsBytes;
    double megabits;
};

const std::vector<Group> kGroups = {
    {10, 16 * 258, 6}, {12, 4 * 72, 20},   {24, 3 * 96, 20},
    {63, 8 * 252, 8},  {129, 16 * 258, 6}, {320, 16 * 640, 6},
};

CollectionPlan planFor(const Group &group)
{
    return planCollection({group.ranks, group.countsBytes, group.megabits * kBytesPerMegabit});
}

std::string nameOf(const Group &group)
{
    return std::to_string(group.ranks) + " ranks";
}

} // namespace

TEST_GROUP(CollectionPlanTest){};

TEST(CollectionPlanTest, ReservesOneThirdOfLinkForOrders)
{
    constexpr double kReportBytes = 400.0;
    for (const Group &group : kGroups) {
        const CollectionPlan plan = planFor(group);
        const double reports = group.ranks * kReportBytes / toSeconds(plan.reportInterval);
        const double counts = plan.sampledRanks * static_cast<double>(group.countsBytes)
                              / toSeconds(plan.countsInterval);
        CHECK_TEXT(reports + counts < group.megabits * kBytesPerMegabit * 2.0 / 3.0,
                   nameOf(group).c_str());
    }
}

TEST(CollectionPlanTest, ReportTimeToLiveCoversTwoIntervalsAndOneLateAnswer)
{
    for (const Group &group : kGroups) {
        const CollectionPlan plan = planFor(group);
        CHECK_TEXT(plan.reportTimeToLive
                       >= 2 * plan.reportInterval + std::chrono::milliseconds(500),
                   nameOf(group).c_str());
    }
}

TEST(CollectionPlanTest, PollsEveryRankOfSmallGroupOncePerPass)
{
    for (const Group &group : kGroups) {
        if (group.ranks > 24 || group.countsBytes > 1000) {
            continue;
        }
        const CollectionPlan plan = planFor(group);
        LONGS_EQUAL(group.ranks, plan.sampledRanks);
        CHECK_TRUE(plan.countsInterval == std::chrono::milliseconds(100));
        CHECK_TRUE(plan.reportInterval == std::chrono::milliseconds(100));
    }
}

// Demand shifts every few seconds, and the map stays skewed until two rounds have shown the shift.
// Counts of all 63 ranks occupied the link for so long that the rounds were 250 ms apart.
TEST(CollectionPlanTest, PollsSufficientSampleOfMediumGroupOncePerPass)
{
    const CollectionPlan plan = planFor({63, 8 * 252, 8});
    CHECK_TRUE(plan.countsInterval == std::chrono::milliseconds(100));
    CHECK_TRUE(plan.sampledRanks >= 16);
}

// Counts of 4 KB from each of 129 ranks occupy a link of 6 Mbit/s for 0.7 s. Without sampling,
// reports would queue behind them.
TEST(CollectionPlanTest, SamplesCountsOfLargeGroup)
{
    const CollectionPlan plan = planFor({129, 16 * 258, 6});
    CHECK_TRUE(plan.countsInterval <= std::chrono::milliseconds(250));
    CHECK_TRUE(plan.sampledRanks >= 8);
    CHECK_TRUE(plan.sampledRanks <= 32);
    CHECK_TRUE(plan.roundWindow < plan.countsInterval);
}

TEST(CollectionPlanTest, RoundWindowCoversTransferOfAllAnswers)
{
    for (const Group &group : kGroups) {
        const CollectionPlan plan = planFor(group);
        const double seconds = plan.sampledRanks * static_cast<double>(group.countsBytes)
                               / (group.megabits * kBytesPerMegabit);
        CHECK_TEXT(toSeconds(plan.roundWindow) >= seconds, nameOf(group).c_str());
    }
}

TEST(CollectionPlanTest, PlansForUnknownGroupSize)
{
    const CollectionPlan plan = planCollection({0, 0, 750'000.0});
    CHECK_TRUE(plan.reportInterval == std::chrono::milliseconds(100));
    LONGS_EQUAL(0, plan.sampledRanks);
}
