#include "decision/placement/balancer.h"

#include "decision/placement/popularityestimate.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

TEST_GROUP(BalancerTest)
{
    std::vector<double> speeds = std::vector<double>(8, 1.0);

    static std::vector<double> zipf(std::size_t experts)
    {
        std::vector<double> shares;
        double sum = 0.0;
        for (std::size_t expert = 0; expert < experts; ++expert) {
            shares.push_back(1.0 / static_cast<double>(expert + 1));
            sum += shares.back();
        }
        for (double &share : shares) {
            share /= sum;
        }
        return shares;
    }

    static bool holdsEveryExpert(const Placement &placement, std::uint32_t experts)
    {
        for (std::uint32_t expert = 0; expert < experts; ++expert) {
            const auto &held = placement.experts;
            if (std::find(held.begin(), held.end(), expert) == held.end()) {
                return false;
            }
        }
        return true;
    }

    BalanceInput input(double skewWeight, double moveWeight) const
    {
        BalanceInput balanceInput;
        balanceInput.shares = zipf(16);
        balanceInput.speeds = speeds;
        balanceInput.objective = {skewWeight, moveWeight};
        balanceInput.maxMoves = 100;
        return balanceInput;
    }
};

TEST(BalancerTest, EveryExpertKeepsAReplica)
{
    const Placement start = staticPlacement(8, 3, 16);

    const BalanceResult result = balance(start, input(10.0, 0.01));

    CHECK(holdsEveryExpert(start, 16));
    CHECK(holdsEveryExpert(result.placement, 16));
    CHECK(holdsEveryExpert(greedyPlacement(8, 3, zipf(16), speeds), 16));
}

TEST(BalancerTest, SlotSharesSumToOne)
{
    const LoadSplit split = splitLoad(staticPlacement(8, 3, 16), zipf(16), speeds);

    DOUBLES_EQUAL(1.0, std::accumulate(split.slotShare.begin(), split.slotShare.end(), 0.0), 1e-9);
}

TEST(BalancerTest, NeverWorseThanTheCurrentPlacementByTheObjective)
{
    const Placement start = staticPlacement(8, 3, 16);
    const double before = splitLoad(start, zipf(16), speeds).skew;

    for (const double moveWeight : {0.0, 0.1, 1.0, 100.0}) {
        const BalanceInput balanceInput = input(1.0, moveWeight);
        const BalanceResult result = balance(start, balanceInput);
        CHECK(result.objective <= before - 1.0 + 1e-9);
    }
}

TEST(BalancerTest, MovesNothingWhenMovingCostsTooMuch)
{
    CHECK_EQUAL(0U, balance(staticPlacement(8, 3, 16), input(1.0, 1e6)).moves);
}

TEST(BalancerTest, MakesAtMostMaxMoves)
{
    BalanceInput balanceInput = input(10.0, 0.0);
    balanceInput.maxMoves = 2;

    const Placement start = staticPlacement(8, 3, 16);
    const BalanceResult result = balance(start, balanceInput);

    CHECK(result.moves <= 2);
    CHECK(movedSlots(start, result.placement) <= 2);
}

TEST(BalancerTest, SlowRankGetsLessWorkWithoutAnyMove)
{
    speeds[3] = 0.5;
    const Placement placement = staticPlacement(8, 8, 16);

    const LoadSplit split = splitLoad(placement, zipf(16), speeds);

    const auto workOf = [&split](std::uint32_t rank) {
        const auto begin = split.slotShare.begin() + rank * 8;
        return std::accumulate(begin, begin + 8, 0.0);
    };
    CHECK(workOf(3) < 0.7 * workOf(4));
    CHECK(split.skew < 1.25);
}

TEST(BalancerTest, FindsAStalledRankWithinAFewSteps)
{
    RankSpeedEstimate estimate(4);
    const std::vector<double> tokens(4, 100.0);
    const std::vector<double> seconds = {1.0, 1.0, 10.0, 1.0};

    for (int step = 0; step < 3; ++step) {
        estimate.addStep(tokens, seconds);
    }

    CHECK_EQUAL(1U, estimate.ranksSlowerThan(0.6).size());
    CHECK_EQUAL(2U, estimate.ranksSlowerThan(0.6).front());
}

TEST(BalancerTest, PopularityIgnoresAPeriodWithoutCounts)
{
    PopularityEstimate estimate(2);
    estimate.addCounts(std::vector<double>{30.0, 10.0}, TimePoint(std::chrono::seconds(300)));

    estimate.addCounts(std::vector<double>{0.0, 0.0}, TimePoint(std::chrono::seconds(600)));

    DOUBLES_EQUAL(0.75, estimate.shares()[0], 1e-9);
}
