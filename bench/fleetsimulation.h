// A simulation of a fleet in virtual time: the real EntryCore and AgentCore with modelled batching
// engines.
//
// It measures the quality of decisions, not the speed of processes: it uses no sockets and no real
// clock, and a seed determines the run. An engine has a fixed number of slots; a request occupies
// one during its prefill and the generation of its answer tokens. Each engine caches a limited
// number of prompt prefixes. Calls, admission results, withdrawals and free-slot notices take 1.5
// ms one way; periodic agent reports reach the entries with a configurable lag.
#pragma once

#include "decision/dispatch/agentcore.h"
#include "decision/dispatch/entrycore.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace seamarch::bench {

// Size, load and faults of a simulated fleet.
struct FleetOptions
{
    std::uint64_t seed = 1;
    int entries = 6;
    int agents = 12;
    std::uint32_t slots = 4;
    int slowAgents = 2;            // Agents whose engines run at 0.6 of the normal speed.
    double load = 0.8;             // Ratio of offered work to the fleet's capacity.
    double reportLagSeconds = 0.5; // Mean interval of agent reports, with a jitter of 20%.
    double lostFraction = 0.0;     // Fraction of agent reports, and of prefix hashes, that is lost.
    double seconds = 300.0;
    double deadlineSeconds = 60.0;
    int freeSlotNotices = 4; // Number of entries that are notified of a free slot.
    // One central queue for the whole fleet replaces the entries' routing.
    bool clairvoyant = false;
    std::function<std::unique_ptr<Router>()> router;
};

// Counts and latencies of the requests that arrive after the warm-up period; `withdrawn` also
// counts those that arrive during it.
struct FleetResult
{
    std::vector<double> firstTokens; // Seconds from arrival to the first token.
    std::uint64_t offered = 0;
    std::uint64_t completed = 0; // Completed within the deadline.
    std::uint64_t refused = 0;
    std::uint64_t sends = 0;
    std::uint64_t withdrawn = 0; // Requests withdrawn from an agent's queue and sent elsewhere.
    double cachedTokens = 0.0;
    double cacheableTokens = 0.0;
    double seconds = 0.0;

    // Returns the quantile of the times to the first token, in seconds; `fraction` is in [0, 1].
    double percentile(double fraction) const;
    // Returns the requests completed within their deadline per second.
    double goodput() const { return static_cast<double>(completed) / seconds; }
};

// Simulates a fleet and returns its result.
FleetResult simulateFleet(const FleetOptions &options);

// Returns the quantile of `values` at `fraction`, which is in [0, 1], or 0 if `values` is empty.
double percentileOf(std::vector<double> values, double fraction);

} // namespace seamarch::bench
