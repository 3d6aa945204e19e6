#include "benchmarkresult.h"
#include "decision/dispatch/dispatchsimulation.h"

#include <fmt/format.h>

namespace seamarch::bench {
namespace {

using test::DispatchSimulation;
using test::OperationKind;
using test::Scenario;

// Rates per operation and violations of one call type under one fault scenario.
struct ProofResult
{
    double refused = 0.0; // Requests that ended without an answer, per operation.
    double unknown = 0.0; // Those of them whose outcome is unknown.
    int violations = 0;   // Duplicate runs, false 'not run' outcomes, answers to other requests.
};

// Returns the result over 40 seeds of 60 operations each.
ProofResult measure(OperationKind kind, Scenario scenario)
{
    constexpr int kOperations = 60;
    constexpr int kSeeds = 40;
    ProofResult result;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        DispatchSimulation::Options options;
        options.seed = seed;
        options.scenario = scenario;
        options.onlyKind = kind;
        options.operations = kOperations;
        DispatchSimulation simulation(options);
        result.violations += static_cast<int>(simulation.run().size());
        result.refused += simulation.notRun() + simulation.unknown();
        result.unknown += simulation.unknown();
    }
    result.refused /= kOperations * kSeeds;
    result.unknown /= kOperations * kSeeds;
    return result;
}

// A call type, a fault scenario and the bound of the result.
struct ProofCase
{
    const char *callType;
    OperationKind kind;
    const char *name;
    Scenario scenario;
    double bound; // Upper limit of `refused`.
};

} // namespace

void addProofResults(BenchmarkResults &results)
{
    const ProofCase cases[] = {
        {"plain", OperationKind::Plain, "no_fault", Scenario::NoFaults, 0.0},
        {"ticket", OperationKind::Ticketed, "no_fault", Scenario::NoFaults, 0.0},
        {"key", OperationKind::Keyed, "no_fault", Scenario::NoFaults, 0.0},
        {"plain", OperationKind::Plain, "one_death", Scenario::AgentRestart, 0.05},
        {"ticket", OperationKind::Ticketed, "one_death", Scenario::AgentRestart, 0.5},
        {"key", OperationKind::Keyed, "one_death", Scenario::AgentRestart, 2.0},
        {"plain", OperationKind::Plain, "cut", Scenario::Partition, 0.5},
        {"ticket", OperationKind::Ticketed, "cut", Scenario::Partition, 0.5},
        {"key", OperationKind::Keyed, "cut", Scenario::Partition, 2.0},
    };
    int violations = 0;
    for (const ProofCase &proofCase : cases) {
        const ProofResult result = measure(proofCase.kind, proofCase.scenario);
        violations += result.violations;
        results.push_back({fmt::format("proof.{}.{}.refused", proofCase.callType, proofCase.name),
                           result.refused, "for each operation", proofCase.bound, true,
                           result.unknown, "of them unknown"});
    }
    results.push_back({"proof.duplicates_and_false_not_run", static_cast<double>(violations),
                       "count", 0.0, true, 0.0, "none"});
}

} // namespace seamarch::bench
