#include "decision/expertmap/evenplacement.h"
#include "decision/expertmap/expertplanner.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

constexpr std::uint32_t kRanks = 12;
constexpr std::uint32_t kExperts = 72;

// Returns the first placement of an epoch, which assigns experts to ranks in turn.
RankExperts roundRobinPlacement()
{
    RankExperts placement(kRanks);
    for (std::uint16_t expert = 0; expert < kExperts; ++expert) {
        placement[expert % kRanks].push_back(expert);
    }
    return placement;
}

// Returns shares that decrease as a power of the rank of an expert in a random order.
std::vector<double> skewedShares(std::uint64_t seed)
{
    std::vector<double> shares(kExperts);
    for (std::size_t position = 0; position < shares.size(); ++position) {
        shares[position] = 1.0 / std::pow(static_cast<double>(position + 1), 1.3);
    }
    std::shuffle(shares.begin(), shares.end(), std::mt19937_64(seed));
    const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
    for (double &share : shares) {
        share /= sum;
    }
    return shares;
}

// Returns shares with which the experts of the first rank in roundRobinPlacement() are chosen
// nearly twice as often as the others.
std::vector<double> mildlySkewedShares()
{
    std::vector<double> shares(kExperts, 1.0);
    for (std::size_t expert = 0; expert < shares.size(); expert += kRanks) {
        shares[expert] = 1.8;
    }
    const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
    for (double &share : shares) {
        share /= sum;
    }
    return shares;
}

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

// Adds choices distributed like `shares` and ends their rounds, from `from` to `to` (milliseconds).
void feedChoices(ExpertPlanner &planner, const std::vector<double> &shares, int from, int to)
{
    constexpr double kChoicesPerRound = 10'000.0; // Choices of one rank.
    for (int time = from; time < to; time += 200) {
        for (std::uint32_t rank = 0; rank < kRanks; ++rank) {
            std::vector<double> choices;
            for (const double share : shares) {
                choices.push_back(std::floor(share * kChoicesPerRound));
            }
            planner.addChoices(choices, at(time));
        }
        planner.endRound(std::nullopt, at(time + 50));
    }
}

// Returns the maximum over the ranks of the number of new experts, summed over all sets.
std::ptrdiff_t maxCopiesPerRank(const ExpertMap &before, const ExpertMap &after)
{
    std::ptrdiff_t most = 0;
    for (std::size_t rank = 0; rank < before.front().size(); ++rank) {
        std::ptrdiff_t added = 0;
        for (std::size_t set = 0; set < before.size(); ++set) {
            const auto &held = before[set][rank];
            added += std::count_if(
                after[set][rank].begin(), after[set][rank].end(), [&held](std::uint16_t expert) {
                    return std::find(held.begin(), held.end(), expert) == held.end();
                });
        }
        most = std::max(most, added);
    }
    return most;
}

} // namespace

TEST_GROUP(EvenPlacementTest){};

TEST(EvenPlacementTest, BalancesSkewedLoadWithinBounds)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const std::vector<double> shares = skewedShares(seed);
        const RankExperts placement =
            improvePlacement(roundRobinPlacement(), shares, {8, 3, 64, 1.08});
        CHECK_TRUE(placementSkew(roundRobinPlacement(), shares) > 2.0);
        CHECK_TRUE(placementSkew(placement, shares) < 1.3);
        std::set<std::uint16_t> placed;
        for (std::uint32_t rank = 0; rank < kRanks; ++rank) {
            CHECK_TRUE(placement[rank].size() <= 8);
            std::size_t added = 0;
            for (const std::uint16_t expert : placement[rank]) {
                placed.insert(expert);
                const std::vector<std::uint16_t> before = roundRobinPlacement()[rank];
                added += std::find(before.begin(), before.end(), expert) == before.end() ? 1 : 0;
            }
            CHECK_TRUE(added <= 3);
        }
        LONGS_EQUAL(kExperts, placed.size());
    }
}

TEST(EvenPlacementTest, KeepsPlacementOfEvenLoad)
{
    const std::vector<double> even(kExperts, 1.0 / kExperts);
    CHECK_TRUE(improvePlacement(roundRobinPlacement(), even, {8, 3, 64, 1.0})
               == roundRobinPlacement());
}

TEST(EvenPlacementTest, BalancesLargeGroupWithinChangeLimit)
{
    constexpr std::uint16_t kManyRanks = 63;
    constexpr std::uint16_t kManyExperts = 252;
    std::vector<double> shares(kManyExperts);
    for (std::size_t expert = 0; expert < shares.size(); ++expert) {
        shares[expert] = 1.0 / std::pow(static_cast<double>(expert * 101 % 252 + 1), 0.66);
    }
    const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
    for (double &share : shares) {
        share /= sum;
    }
    RankExperts placement(kManyRanks);
    for (std::uint16_t expert = 0; expert < kManyExperts; ++expert) {
        placement[expert % kManyRanks].push_back(expert);
    }
    const RankExperts even = improvePlacement(placement, shares, {5, 2, 128, 1.08});
    CHECK_TRUE(placementSkew(placement, shares) > 2.0);
    CHECK_TRUE(placementSkew(even, shares) < 1.12);
}

// Evaluating every rank as a target takes time quadratic in the size of the group.
TEST(EvenPlacementTest, FewTargetsAreNearlyAsGoodAsAllInLargeGroup)
{
    constexpr std::uint16_t kManyRanks = 129;
    constexpr std::uint16_t kManyExperts = 258;
    std::vector<double> shares(kManyExperts);
    for (std::size_t expert = 0; expert < shares.size(); ++expert) {
        shares[expert] = 1.0 / std::pow(static_cast<double>(expert * 101 % 258 + 1), 0.6);
    }
    const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
    for (double &share : shares) {
        share /= sum;
    }
    RankExperts placement(kManyRanks);
    for (std::uint16_t expert = 0; expert < kManyExperts; ++expert) {
        placement[expert % kManyRanks].push_back(expert);
    }
    PlacementBounds bounds{3, 2, 96, 1.08};
    const double few = placementSkew(improvePlacement(placement, shares, bounds), shares);
    bounds.maxTargets = kManyRanks;
    const double all = placementSkew(improvePlacement(placement, shares, bounds), shares);
    CHECK_TRUE(placementSkew(placement, shares) > 2.0);
    CHECK_TRUE(few < all + 0.1);
}

TEST(EvenPlacementTest, ReducesLoadOfSlowRank)
{
    const std::vector<double> shares = skewedShares(3);
    std::vector<double> paces(kRanks, 1.0);
    paces[4] = 4.0;
    RankExperts placement = roundRobinPlacement();
    for (int change = 0; change < 3; ++change) {
        placement = improvePlacement(placement, shares, {8, 3, 64, 1.08}, paces);
    }
    CHECK_TRUE(placementSkew(placement, shares, paces) < 1.4);
    CHECK_TRUE(rankLoads(placement, shares)[4] < 0.4 / kRanks);
    std::set<std::uint16_t> placed;
    for (const auto &experts : placement) {
        placed.insert(experts.begin(), experts.end());
    }
    LONGS_EQUAL(kExperts, placed.size());
}

TEST(EvenPlacementTest, SplitsExpertLoadEvenlyAmongHolders)
{
    const std::vector<double> shares = {0.6, 0.4};
    const std::vector<double> loads = rankLoads({{0}, {0, 1}}, shares);
    DOUBLES_EQUAL(0.3, loads[0], 1e-9);
    DOUBLES_EQUAL(0.7, loads[1], 1e-9);
}

TEST_GROUP(ExpertPlannerTest)
{
    ExpertPlanner planner;
    void setup() override
    {
        planner.setRule({1, kExperts, 8, 3});
    }
};

TEST(ExpertPlannerTest, PlansNothingWithoutCounts)
{
    CHECK_FALSE(planner.plan({roundRobinPlacement()}, at(0)).has_value());
}

TEST(ExpertPlannerTest, PlansABetterMapForASkewedLoad)
{
    feedChoices(planner, skewedShares(1), 0, 2000);
    const auto planned = planner.plan({roundRobinPlacement()}, at(2000));
    CHECK_TRUE(planned.has_value());
    CHECK_TRUE(planner.skew(*planned) < planner.skew({roundRobinPlacement()}) / 2.0);
}

TEST(ExpertPlannerTest, KeepsMapNearTargetSkew)
{
    feedChoices(planner, skewedShares(1), 0, 2000);
    auto map = *planner.plan({roundRobinPlacement()}, at(2000));
    for (int time = 2000; time < 6000; time += 1000) {
        feedChoices(planner, skewedShares(1), time, time + 1000);
        map = planner.plan(map, at(time + 1000)).value_or(map);
    }
    feedChoices(planner, skewedShares(1), 6000, 7000);
    CHECK_FALSE(planner.plan(map, at(7000)).has_value());
}

TEST(ExpertPlannerTest, DetectsShiftOfDemand)
{
    feedChoices(planner, skewedShares(1), 0, 8000);
    feedChoices(planner, skewedShares(2), 8000, 8800);
    LONGS_EQUAL(1, planner.shifts());
}

TEST(ExpertPlannerTest, IgnoresChoicesOfWrongSize)
{
    feedChoices(planner, skewedShares(1), 0, 2000);
    const double before = planner.skew({roundRobinPlacement()});
    planner.addChoices(std::vector<double>(kExperts + 1, 1e6), at(2000));
    DOUBLES_EQUAL(before, planner.skew({roundRobinPlacement()}), 1e-6);
}

TEST(ExpertPlannerTest, DetectsSmallShiftWhenCountsAreSteady)
{
    std::vector<double> shares = skewedShares(1);
    feedChoices(planner, shares, 0, 8000);
    // 8 % of the choices move from the most popular expert to another one.
    const auto most = std::max_element(shares.begin(), shares.end());
    *most -= 0.08;
    shares[most == shares.begin() ? 1 : 0] += 0.08;
    feedChoices(planner, shares, 8000, 8800);
    LONGS_EQUAL(1, planner.shifts());
}

TEST(ExpertPlannerTest, PlansNothingWhenCopyingCostsMoreThanItGains)
{
    ExpertRule rule{1, kExperts, 8, 3, std::chrono::seconds(20), 0.85};
    planner.setRule(rule);
    feedChoices(planner, skewedShares(1), 0, 2000);
    CHECK_FALSE(planner.plan({roundRobinPlacement()}, at(2000)).has_value());
    rule.copyTime = std::chrono::milliseconds(100);
    planner.setRule(rule);
    feedChoices(planner, skewedShares(1), 2000, 3000);
    CHECK_TRUE(planner.plan({roundRobinPlacement()}, at(3000)).has_value());
}

TEST(ExpertPlannerTest, PrefersFewCopiesWhenCopyingIsSlow)
{
    planner.setRule({1, kExperts, 8, 3, std::chrono::milliseconds(400), 0.85});
    feedChoices(planner, skewedShares(1), 0, 2000);
    const auto planned = planner.plan({roundRobinPlacement()}, at(2000));
    CHECK_TRUE(planned.has_value());
    LONGS_EQUAL(1, maxCopiesPerRank({roundRobinPlacement()}, *planned));
}

// At 129 ranks, orders take half a second to reach all ranks, and two small changes take twice as
// long as one.
TEST(ExpertPlannerTest, CopiesMoreWhenActivationIsSlow)
{
    const auto copies = [](Duration inUse) {
        ExpertPlanner learning;
        learning.setRule({1, kExperts, 8, 8, std::chrono::milliseconds(40), 0.85});
        feedChoices(learning, skewedShares(1), 0, 2000);
        for (int change = 0; change < 5; ++change) {
            learning.recordActivation(inUse);
        }
        const auto planned = learning.plan({roundRobinPlacement()}, at(2000));
        CHECK_TRUE(planned.has_value());
        return maxCopiesPerRank({roundRobinPlacement()}, *planned);
    };
    CHECK_TRUE(copies(std::chrono::milliseconds(1500)) > copies(std::chrono::milliseconds(100)));
}

TEST(ExpertPlannerTest, SetsShareCopyBudgetOfRank)
{
    constexpr std::uint32_t kSets = 3;
    planner.setRule({kSets, kExperts, 8, 3, std::chrono::milliseconds(400), 0.85});
    std::vector<double> shares;
    for (std::uint64_t set = 0; set < kSets; ++set) {
        const std::vector<double> ofSet = skewedShares(set + 1);
        shares.insert(shares.end(), ofSet.begin(), ofSet.end());
    }
    feedChoices(planner, shares, 0, 2000);
    const ExpertMap current(kSets, roundRobinPlacement());
    const auto planned = planner.plan(current, at(2000));
    CHECK_TRUE(planned.has_value());
    LONGS_EQUAL(1, maxCopiesPerRank(current, *planned));
    for (std::uint32_t set = 0; set < kSets; ++set) {
        CHECK_TEXT((*planned)[set] != current[set], "each set must get a share of the copies");
    }
}

TEST(ExpertPlannerTest, PlansNothingForBlendOfTwoWorkloads)
{
    feedChoices(planner, skewedShares(1), 0, 8000);
    std::vector<double> blend = skewedShares(1);
    const std::vector<double> later = skewedShares(2);
    for (std::size_t expert = 0; expert < blend.size(); ++expert) {
        blend[expert] = (blend[expert] + later[expert]) / 2.0;
    }
    feedChoices(planner, blend, 8000, 8200);
    CHECK_FALSE(planner.plan({roundRobinPlacement()}, at(8200)).has_value());
    feedChoices(planner, later, 8200, 8400);
    CHECK_TRUE(planner.plan({roundRobinPlacement()}, at(8400)).has_value());
    LONGS_EQUAL(1, planner.shifts());
}

// A round took its whole window although the last answer had arrived in a third of it, twice for
// every shift of demand.
TEST(ExpertPlannerTest, EndsRoundOnceAllPolledRanksHaveAnswered)
{
    const auto distanceAfterRoundOf = [this](std::uint32_t polled) {
        planner = ExpertPlanner();
        planner.setRule({1, kExperts, 8, 3});
        feedChoices(planner, skewedShares(1), 0, 2000);
        planner.expectAnswers(polled);
        std::vector<double> choices = skewedShares(2);
        for (double &choice : choices) {
            choice *= 1e6;
        }
        planner.addChoices(choices, at(2000));
        planner.addChoices(choices, at(2010));
        planner.endRound(std::nullopt, at(2011));
        return planner.roundDistance();
    };
    CHECK_TRUE(distanceAfterRoundOf(2) > 0.1);
    CHECK_TRUE(distanceAfterRoundOf(3) < 0.01);
}

TEST(ExpertPlannerTest, LearnsWorkloadDuration)
{
    for (int shift = 0; shift < 6; ++shift) {
        feedChoices(planner, skewedShares(static_cast<std::uint64_t>(shift)), 3000 * shift,
                    3000 * (shift + 1));
    }
    const Duration life =
        planner.expectedWorkloadDuration(at(16'050)); // One second into the last workload.
    CHECK_TRUE(life > std::chrono::milliseconds(1500));
    CHECK_TRUE(life < std::chrono::milliseconds(2500));
}

TEST(ExpertPlannerTest, ReportsPlanOutdatedAfterShift)
{
    feedChoices(planner, skewedShares(1), 0, 2000);
    CHECK_TRUE(planner.plan({roundRobinPlacement()}, at(2000)).has_value());
    CHECK_FALSE(planner.planOutdated());
    feedChoices(planner, skewedShares(2), 2000, 2400);
    CHECK_TRUE(planner.planOutdated());
}

// Under a skewed map, the skew varies widely between rounds. If single rounds were taken for
// shifts, workloads would appear so short that no change of the map paid off, and the map would
// stay skewed.
TEST(ExpertPlannerTest, TreatsSingleDeviatingRoundAsNoise)
{
    planner.setRule({1, kExperts, 8, 3, std::chrono::milliseconds(400), 0.85});
    const std::vector<double> steady = skewedShares(1);
    std::vector<double> deviating = steady;
    const auto most = std::max_element(deviating.begin(), deviating.end());
    *most *= 1.8;
    int time = 0;
    for (int count = 0; count < 20; ++count) {
        feedChoices(planner, steady, time, time + 800);
        feedChoices(planner, deviating, time + 800, time + 1000);
        time += 1000;
    }
    LONGS_EQUAL(0, planner.shifts());
    feedChoices(planner, steady, time, time + 200);
    CHECK_TRUE(planner.expectedWorkloadDuration(at(time)) >= std::chrono::seconds(5));
    CHECK_TRUE(planner.plan({roundRobinPlacement()}, at(time)).has_value());
}

// The blended rounds of one shift must not count as a short workload of their own. With so short an
// expected duration, no change would pay off, and the map would stay as skewed as after the shift.
TEST(ExpertPlannerTest, CountsShiftSpanningTwoRoundsOnce)
{
    planner.setRule({1, kExperts, 8, 3, std::chrono::milliseconds(400), 0.85});
    feedChoices(planner, skewedShares(1), 0, 4000);
    std::vector<double> blend = skewedShares(1);
    const std::vector<double> later = skewedShares(2);
    for (std::size_t expert = 0; expert < blend.size(); ++expert) {
        blend[expert] = (blend[expert] + later[expert]) / 2.0;
    }
    feedChoices(planner, blend, 4000, 4400);
    feedChoices(planner, later, 4400, 5400);
    LONGS_EQUAL(1, planner.shifts());
    CHECK_TRUE(planner.expectedWorkloadDuration(at(5400)) >= std::chrono::seconds(3));
    CHECK_TRUE(planner.plan({roundRobinPlacement()}, at(5400)).has_value());
}

// Under light load, passes take about half of the gap target. Without this rule, every second
// change of a map copied 2 TB without benefit to any caller.
TEST(ExpertPlannerTest, KeepsModeratelySkewedMapWhenPassesAreWellWithinGapTarget)
{
    feedChoices(planner, mildlySkewedShares(), 0, 2000);
    const double skew = planner.skew({roundRobinPlacement()});
    CHECK_TRUE(skew > 1.3 && skew < 2.0);
    planner.setPassTimes(std::chrono::milliseconds(80), {}, std::chrono::milliseconds(150));
    CHECK_FALSE(planner.plan({roundRobinPlacement()}, at(2000)).has_value());
}

TEST(ExpertPlannerTest, ChangesModeratelySkewedMapWhenPassesNearGapTarget)
{
    feedChoices(planner, mildlySkewedShares(), 0, 2000);
    planner.setPassTimes(std::chrono::milliseconds(100), {}, std::chrono::milliseconds(150));
    CHECK_TRUE(planner.plan({roundRobinPlacement()}, at(2000)).has_value());
}

// The pass time was measured before demand shifted, and longer streams increase it further.
TEST(ExpertPlannerTest, ChangesHighlySkewedMapRegardlessOfPassTime)
{
    feedChoices(planner, skewedShares(1), 0, 2000);
    CHECK_TRUE(planner.skew({roundRobinPlacement()}) >= 2.0);
    planner.setPassTimes(std::chrono::milliseconds(50), {}, std::chrono::milliseconds(150));
    CHECK_TRUE(planner.plan({roundRobinPlacement()}, at(2000)).has_value());
}

TEST(ExpertPlannerTest, ChangesModeratelySkewedMapWhenGapTargetIsUnknown)
{
    feedChoices(planner, mildlySkewedShares(), 0, 2000);
    planner.setPassTimes(std::chrono::milliseconds(50), {}, Duration{});
    CHECK_TRUE(planner.plan({roundRobinPlacement()}, at(2000)).has_value());
}

namespace {

// The first change of a map for a load that takes many copies to balance, with fast copies and slow
// activations. A pass whose load is spread evenly takes `evenPass`.
struct FirstChange
{
    std::ptrdiff_t copies = 0;
    double skew = 0.0;
};

FirstChange firstChange(Duration evenPass)
{
    constexpr std::uint32_t kSets = 4;
    ExpertPlanner planner;
    planner.setRule({kSets, kExperts, 8, 3, std::chrono::milliseconds(16), 0.85});
    std::vector<double> shares;
    for (std::uint64_t set = 0; set < kSets; ++set) {
        const std::vector<double> ofSet = skewedShares(set + 1);
        shares.insert(shares.end(), ofSet.begin(), ofSet.end());
    }
    feedChoices(planner, shares, 0, 2000);
    planner.setPassTimes(3 * evenPass, evenPass, std::chrono::milliseconds(150));
    const ExpertMap current(kSets, roundRobinPlacement());
    const auto planned = planner.plan(current, at(2000));
    CHECK_TRUE(planned.has_value());
    return {maxCopiesPerRank(current, *planned), planner.skew(*planned)};
}

} // namespace

// A small change first, and the rest half a second later, copied half as much again and paused the
// group twice after each shift of demand.
TEST(ExpertPlannerTest, PlansOneChangeInsteadOfTwoWhenCopyingIsFast)
{
    const FirstChange change = firstChange(std::chrono::milliseconds(80));
    CHECK_TRUE(change.skew < 1.25);
}

// Passes of a group with one rank 12 times as slow took so long that the rounds were short of
// choices, and the slow rank kept its experts for another second.
TEST(ExpertPlannerTest, PlansAgainWhenRankSlowsDownBetweenRounds)
{
    feedChoices(planner, std::vector<double>(kExperts, 1.0 / kExperts), 0, 2000);
    const ExpertMap current{roundRobinPlacement()};
    std::vector<double> paces(kRanks, 1.0);
    planner.setPaces(paces);
    CHECK_FALSE(planner.plan(current, at(2000)).has_value());
    paces[3] = 12.0;
    planner.setPaces(paces);
    CHECK_TRUE(planner.plan(current, at(2050)).has_value());
    CHECK_FALSE(planner.plan(current, at(2100)).has_value());
}

// Copies are expensive, and no caller notices a more balanced map then.
TEST(ExpertPlannerTest, CopiesNoMoreThanGapTargetNeeds)
{
    const FirstChange relaxed = firstChange(std::chrono::milliseconds(30));
    CHECK_TRUE(relaxed.copies < firstChange(std::chrono::milliseconds(80)).copies);
}
