// The deterministic benchmark results of the project, each with its bound and baseline.
//
// All benchmarks run in virtual time with fixed seeds, so every run gives the same results. CI
// fails when a result exceeds its bound.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace seamarch::bench {

// One measured value with its permitted bound and the value of a baseline for comparison. The bound
// is either an upper or a lower limit; a value equal to the bound passes.
struct BenchmarkResult
{
    std::string name;
    double value = 0.0;
    std::string unit;
    double bound = 0.0;
    bool isUpperBound = true;
    double baseline = 0.0;
    std::string baselineName;

    bool isWithinBound() const { return isUpperBound ? value <= bound : value >= bound; }
};

using BenchmarkResults = std::vector<BenchmarkResult>;

// Appends step-time skew and moved weights of the placement balancer, compared with its baselines.
void addPlacementResults(BenchmarkResults &results);
// Appends times to the first token and prefix cache reuse of the routers, compared with baselines.
void addRoutingResults(BenchmarkResults &results);
// Appends share accuracy and light-account waits at one agent, and goodput, refusals and sends of
// an overloaded fleet.
void addFairnessResults(BenchmarkResults &results);
// Appends rates of refused calls and unknown outcomes under faults, by call type, and the number of
// violations of the at-most-once rules.
void addProofResults(BenchmarkResults &results);
// Appends the time, bytes and platform calls that a configuration change takes to reach every
// process.
void addConfigResults(BenchmarkResults &results);

// Returns an object with one member for each result, keyed by its name.
nlohmann::json toJson(const BenchmarkResults &results);

} // namespace seamarch::bench
