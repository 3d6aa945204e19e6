#include "benchmarkresult.h"
#include "decision/placement/balancer.h"
#include "decision/placement/popularityestimate.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <random>

namespace seamarch::bench {
namespace {

constexpr std::uint32_t kRanks = 32;
constexpr std::uint32_t kExperts = 64;
constexpr std::uint32_t kSlotsPerRank = 3; // Two for the experts and one spare.
constexpr std::size_t kLayers = 4;
constexpr double kPeriodSeconds = 300.0;
// Two days, so that patterns of the first day recur in the second.
constexpr std::size_t kPeriods = 2 * 288;
constexpr double kGigabytesPerExpert = 0.088;
constexpr double kTokensPerPeriod = 200'000.0;
constexpr double kLostCountsFraction = 0.1;

// Generates the true popularity of one layer's experts over time.
class PopularityTrace
{
public:
    enum class Site { Procurement, Tuul };

    PopularityTrace(Site site, std::uint64_t seed)
        : site_(site)
        , random_(seed)
        , drift_(kExperts, 0.0)
    {
        for (std::uint32_t expert = 0; expert < kExperts; ++expert) {
            base_.push_back(-0.9 * std::log(expert + 1.0));
            rosterBase_.push_back(base_.back());
        }
        std::shuffle(base_.begin(), base_.end(), random_);
        rosterBase_ = base_;
        // During roster runs, a third of the experts exchange their popularity.
        std::shuffle(rosterBase_.begin(), rosterBase_.begin() + kExperts / 3, random_);
    }

    // Returns each expert's share of the load in `period`; the shares add up to 1.
    std::vector<double> next(std::size_t period)
    {
        std::normal_distribution<double> step(0.0, site_ == Site::Procurement ? 0.02 : 0.01);
        const double mix = site_ == Site::Tuul ? rosterMix(period) : 0.0;
        std::vector<double> shares(kExperts);
        double sum = 0.0;
        for (std::uint32_t expert = 0; expert < kExperts; ++expert) {
            drift_[expert] = 0.995 * drift_[expert] + step(random_);
            const double level = (1.0 - mix) * base_[expert] + mix * rosterBase_[expert];
            shares[expert] = std::exp(level + drift_[expert]);
            sum += shares[expert];
        }
        for (double &share : shares) {
            share /= sum;
        }
        return shares;
    }

private:
    // Returns the weight of the roster popularity in [0, 1]. It rises and falls within half an
    // hour, for runs from 6:00 to 8:30 and from 18:00 to 20:30.
    static double rosterMix(std::size_t period)
    {
        const double hour = std::fmod(static_cast<double>(period) * kPeriodSeconds / 3600.0, 24.0);
        const auto ramp = [hour](double start, double end) {
            const double rise = std::clamp((hour - start) / 0.5, 0.0, 1.0);
            const double fall = std::clamp((end - hour) / 0.5, 0.0, 1.0);
            return std::min(rise, fall);
        };
        return std::max(ramp(6.0, 8.5), ramp(18.0, 20.5));
    }

    Site site_;
    std::mt19937_64 random_;
    std::vector<double> base_;
    std::vector<double> rosterBase_;
    std::vector<double> drift_;
};

// Skews, moves and objective over all layers and periods of one simulation.
struct PlacementResult
{
    std::vector<double> skews;
    double movedSlots = 0.0;
    double objective = 0.0;

    double percentile(double fraction) const
    {
        std::vector<double> sorted = skews;
        std::sort(sorted.begin(), sorted.end());
        return sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))];
    }
    double gigabytesPerHour() const
    {
        const double hours = kPeriods * kPeriodSeconds / 3600.0 * kLayers;
        return movedSlots * kGigabytesPerExpert / hours;
    }
};

// Chooses the next placement from the current one and the estimated popularity.
using PlacementPolicy = std::function<Placement(const Placement &, const PopularityEstimate &,
                                                const std::vector<double> &speeds)>;

struct PlacementScenario
{
    PopularityTrace::Site site = PopularityTrace::Site::Procurement;
    ObjectiveConfig objective;
    double slowRankSpeed = 1.0; // Speed of rank 5 from the second day on.
};

// Simulates all layers under `policy`, with one placement decision per period.
PlacementResult simulate(const PlacementScenario &scenario, const PlacementPolicy &policy)
{
    PlacementResult result;
    for (std::size_t layer = 0; layer < kLayers; ++layer) {
        PopularityTrace trace(scenario.site, 100 + layer);
        std::mt19937_64 random(200 + layer);
        PopularityEstimate estimate(kExperts);
        Placement placement = staticPlacement(kRanks, kSlotsPerRank, kExperts);
        std::vector<double> speeds(kRanks, 1.0);
        for (std::size_t period = 0; period < kPeriods; ++period) {
            const std::vector<double> shares = trace.next(period);
            if (period >= kPeriods / 2) {
                speeds[5] = scenario.slowRankSpeed;
            }
            // The load is split by the estimated popularity; step times result from the true one.
            const auto forecastShares = estimate.forecast(fromSeconds(kPeriodSeconds));
            const LoadSplit split = splitLoad(placement, forecastShares, speeds);
            std::vector<double> load(kRanks, 0.0);
            for (std::uint32_t slot = 0; slot < placement.experts.size(); ++slot) {
                const ExpertIndex expert = placement.experts[slot];
                const double fraction =
                    forecastShares[expert] > 0 ? split.slotShare[slot] / forecastShares[expert] : 0;
                load[slot / kSlotsPerRank] +=
                    fraction * shares[expert] / speeds[slot / kSlotsPerRank];
            }
            double sum = 0.0;
            for (const double rankLoad : load) {
                sum += rankLoad;
            }
            const double skew = *std::max_element(load.begin(), load.end()) * kRanks / sum;
            result.skews.push_back(skew);
            result.objective += scenario.objective.skewWeight * (skew - 1.0);
            if (std::bernoulli_distribution(kLostCountsFraction)(random)) {
                continue;
            }
            std::vector<double> counts(kExperts);
            for (std::uint32_t expert = 0; expert < kExperts; ++expert) {
                counts[expert] =
                    std::poisson_distribution<int>(shares[expert] * kTokensPerPeriod)(random);
            }
            const double seconds = static_cast<double>(period + 1) * kPeriodSeconds;
            estimate.addCounts(counts, TimePoint(fromSeconds(seconds)));
            const Placement next = policy(placement, estimate, speeds);
            const std::uint32_t moved = movedSlots(placement, next);
            result.movedSlots += moved;
            result.objective += scenario.objective.moveWeight * moved / (kRanks * kSlotsPerRank);
            placement = next;
        }
    }
    return result;
}

PlacementPolicy staticPolicy()
{
    return [](const Placement &current, const PopularityEstimate &, const std::vector<double> &) {
        return current;
    };
}

PlacementPolicy fullReplacementPolicy()
{
    return [](const Placement &, const PopularityEstimate &estimate,
              const std::vector<double> &speeds) {
        return greedyPlacement(kRanks, kSlotsPerRank, estimate.shares(), speeds);
    };
}

PlacementPolicy balancedPolicy(const ObjectiveConfig &objective)
{
    return [objective](const Placement &current, const PopularityEstimate &estimate,
                       const std::vector<double> &speeds) {
        BalanceInput input;
        input.shares = estimate.forecast(fromSeconds(2 * kPeriodSeconds));
        input.speeds = speeds;
        input.objective = objective;
        input.noise = estimate.noise();
        input.maxMoves = 12;
        return balance(current, input).placement;
    };
}

} // namespace

void addPlacementResults(BenchmarkResults &results)
{
    const PlacementScenario procurement{PopularityTrace::Site::Procurement, {4.0, 1.0}, 1.0};
    const PlacementScenario tuul{PopularityTrace::Site::Tuul, {1.0, 1.0}, 1.0};
    for (const auto &[name, scenario] :
         {std::pair("procurement", procurement), std::pair("tuul", tuul)}) {
        const PlacementResult unchanged = simulate(scenario, staticPolicy());
        const PlacementResult full = simulate(scenario, fullReplacementPolicy());
        const PlacementResult balanced = simulate(scenario, balancedPolicy(scenario.objective));
        const auto label = [name = name](const char *metric) {
            return fmt::format("placement.{}.{}", name, metric);
        };
        results.push_back({label("skew_p50"), balanced.percentile(0.5), "max/mean", 1.10, true,
                           unchanged.percentile(0.5), "static"});
        // Popularity at Tuul changes within half an hour, so the estimate lags; full re-placement
        // lags as much. The bounds are therefore wider.
        const bool popularityShifts = scenario.site == PopularityTrace::Site::Tuul;
        results.push_back({label("skew_p95"), balanced.percentile(0.95), "max/mean",
                           popularityShifts ? 1.30 : 1.10, true, full.percentile(0.95), "full"});
        results.push_back({label("skew_p99"), balanced.percentile(0.99), "max/mean",
                           popularityShifts ? 1.70 : 1.20, true, full.percentile(0.99), "full"});
        results.push_back({label("moved_to_full"), balanced.movedSlots / full.movedSlots, "ratio",
                           0.25, true, full.gigabytesPerHour(), "full, GB/h"});
        results.push_back({label("moved_per_hour"), balanced.gigabytesPerHour(), "GB/h a layer",
                           2.0, true, full.gigabytesPerHour(), "full"});
        results.push_back({label("objective_to_static"), balanced.objective / unchanged.objective,
                           "ratio", 1.0, true, full.objective / unchanged.objective, "full"});
    }
    PlacementScenario slow = procurement;
    slow.slowRankSpeed = 0.5;
    const PlacementResult unchanged = simulate(slow, staticPolicy());
    const PlacementResult balanced = simulate(slow, balancedPolicy(slow.objective));
    results.push_back({"placement.half_speed_rank.skew_p95", balanced.percentile(0.95), "max/mean",
                       1.15, true, unchanged.percentile(0.95), "static"});
}

} // namespace seamarch::bench
