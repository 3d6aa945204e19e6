#include "benchmarkresult.h"
#include "fleetsimulation.h"

#include <fmt/format.h>

namespace seamarch::bench {
namespace {

// Returns the pooled result of eight seeds, so that a single favourable schedule does not dominate
// it.
FleetResult simulatePooled(FleetOptions options)
{
    FleetResult pooledResult;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        options.seed = seed;
        const FleetResult single = simulateFleet(options);
        pooledResult.firstTokens.insert(pooledResult.firstTokens.end(), single.firstTokens.begin(),
                                        single.firstTokens.end());
        pooledResult.cachedTokens += single.cachedTokens;
        pooledResult.cacheableTokens += single.cacheableTokens;
    }
    return pooledResult;
}

// Simulates the fleet with the router `Policy`.
template <typename Policy>
FleetResult simulateWithRouter(FleetOptions options)
{
    options.router = [] { return std::make_unique<Policy>(); };
    // The baselines do not move a request after its assignment.
    const bool expectedWait = std::is_same_v<Policy, ExpectedWaitRouter>;
    options.freeSlotNotices = expectedWait ? options.freeSlotNotices : 0;
    return simulatePooled(options);
}

// Simulates the central queue, which serves as a best case for the routers.
FleetResult simulateClairvoyant(FleetOptions options)
{
    options.clairvoyant = true;
    return simulatePooled(options);
}

void addResultsAtLoad(BenchmarkResults &results, double load)
{
    FleetOptions options;
    options.load = load;
    const FleetResult expectedWait = simulateWithRouter<ExpectedWaitRouter>(options);
    const FleetResult twoChoices = simulateWithRouter<TwoChoicesRouter>(options);
    const FleetResult clairvoyantResult = simulateClairvoyant(options);
    const auto name = [load](const char *metric) {
        return fmt::format("routing.load{:.0f}.{}", load * 100, metric);
    };
    const double p95 = expectedWait.percentile(0.95);
    results.push_back({name("first_token_p50"), expectedWait.percentile(0.5), "s", 1.3, true,
                       twoChoices.percentile(0.5), "two choices"});
    results.push_back({name("first_token_p95"), p95, "s", load > 0.9 ? 4.0 : 1.3, true,
                       twoChoices.percentile(0.95), "two choices"});
    results.push_back({name("first_token_p99"), expectedWait.percentile(0.99), "s",
                       load > 0.9 ? 8.0 : 2.6, true, twoChoices.percentile(0.99), "two choices"});
    results.push_back({name("p95_to_two_choices"), p95 / twoChoices.percentile(0.95), "ratio", 0.8,
                       true, 1.0, "two choices"});
    results.push_back(
        {name("p95_to_clairvoyant"), p95 / clairvoyantResult.percentile(0.95), "ratio", 2.2, true,
         twoChoices.percentile(0.95) / clairvoyantResult.percentile(0.95), "two choices"});
}

} // namespace

void addRoutingResults(BenchmarkResults &results)
{
    for (const double load : {0.6, 0.8, 0.95}) {
        addResultsAtLoad(results, load);
    }
    FleetOptions options;
    const FleetResult expectedWait = simulateWithRouter<ExpectedWaitRouter>(options);
    results.push_back({"routing.load80.p95_to_round_robin",
                       expectedWait.percentile(0.95)
                           / simulateWithRouter<RoundRobinRouter>(options).percentile(0.95),
                       "ratio", 0.8, true, 1.0, "round robin"});
    results.push_back({"routing.load80.p95_to_least_in_flight",
                       expectedWait.percentile(0.95)
                           / simulateWithRouter<LeastInFlightRouter>(options).percentile(0.95),
                       "ratio", 0.8, true, 1.0, "least in flight"});
    const FleetResult clairvoyantResult = simulateClairvoyant(options);
    results.push_back({"routing.load80.cache_tokens_kept",
                       expectedWait.cachedTokens / clairvoyantResult.cachedTokens, "ratio", 0.7,
                       false,
                       simulateWithRouter<TwoChoicesRouter>(options).cachedTokens
                           / clairvoyantResult.cachedTokens,
                       "two choices, to clairvoyant"});
    for (const double lag : {0.1, 2.0}) {
        FleetOptions lagged = options;
        lagged.reportLagSeconds = lag;
        results.push_back({fmt::format("routing.load80.lag{:.0f}ms.first_token_p95", lag * 1000),
                           simulateWithRouter<ExpectedWaitRouter>(lagged).percentile(0.95), "s",
                           1.6, true, simulateWithRouter<TwoChoicesRouter>(lagged).percentile(0.95),
                           "two choices"});
    }
    FleetOptions lossy = options;
    lossy.lostFraction = 0.3;
    results.push_back({"routing.load80.lost30.first_token_p95",
                       simulateWithRouter<ExpectedWaitRouter>(lossy).percentile(0.95), "s", 1.6,
                       true, simulateWithRouter<TwoChoicesRouter>(lossy).percentile(0.95),
                       "two choices"});
}

} // namespace seamarch::bench
