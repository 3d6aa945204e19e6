// A fleet in virtual time: the real EntryCore and AgentCore, and a model of batching engines.
//
// It measures decisions, not processes: no socket, no clock, one seed. An engine has slots; a
// request holds one for its prefill and then for its answer tokens. Prompt prefixes are cached in
// limited memory. Reports reach the entries with the lag that the options give.
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

struct FleetOptions
{
    std::uint64_t seed = 1;
    int entries = 6;
    int agents = 12;
    std::uint32_t slots = 4;
    int slowAgents = 2; // Work at 0.6 of the speed.
    double load = 0.8;  // Offered work over the fleet's capacity.
    double reportLagSeconds = 0.5;
    double lostFraction = 0.0; // Part of the reports, and of cache knowledge, that is lost.
    double seconds = 300.0;
    double deadlineSeconds = 60.0;
    int freeSlotNotices = 4;  // Entries that hear of a free slot.
    bool clairvoyant = false; // One queue for the whole fleet instead of the entries' choice.
    std::function<std::unique_ptr<Router>()> router;
};

struct FleetResult
{
    std::vector<double> firstTokens; // Seconds from arrival to the first token.
    std::uint64_t offered = 0;
    std::uint64_t completed = 0; // Within the deadline.
    std::uint64_t refused = 0;
    std::uint64_t sends = 0;
    std::uint64_t withdrawn = 0; // Requests taken back from a queue and sent elsewhere.
    double cachedTokens = 0.0;
    double cacheableTokens = 0.0;
    double seconds = 0.0;

    double percentile(double fraction) const;
    double goodput() const { return static_cast<double>(completed) / seconds; }
};

FleetResult simulateFleet(const FleetOptions &options);

// Returns the value at `part` of the sorted values.
double percentileOf(std::vector<double> values, double fraction);

} // namespace seamarch::bench
