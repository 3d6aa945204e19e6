// The deterministic figures of the project, each with its bound and baseline.
//
// Everything here runs in virtual time with fixed seeds, so every run gives the same figures. CI
// fails when a figure is beyond its bound.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace seamarch::bench {

// One figure. A bound is either the most or the least that is allowed.
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

// Step-time skew and moved weights of the placement against its baselines.
void addPlacementResults(BenchmarkResults &results);
// Waits and first tokens of the routing against its baselines.
void addRoutingResults(BenchmarkResults &results);
// Shares, light accounts, overload and retries at one agent.
void addFairnessResults(BenchmarkResults &results);
// Refusals and unknowns of non-repeatable calls under faults.
void addProofResults(BenchmarkResults &results);
// Time, messages and bytes until a change of configuration is in force everywhere.
void addConfigResults(BenchmarkResults &results);

nlohmann::json toJson(const BenchmarkResults &results);

} // namespace seamarch::bench
