#include "decision/expertmap/deciderrole.h"

#include <algorithm>

namespace seamarch {
namespace {

// The number of queries in a row that a live decider may miss, and the least timeout, which covers
// a decider that plans a map.
constexpr int kMissedQueries = 5;
constexpr Duration kMinTimeout = std::chrono::milliseconds(500);
// While the own engine holds a step, fewer queries are awaited and no takeover delay is applied,
// because the whole group stalls until a dead decider is replaced.
constexpr int kMissedQueriesWhileHeld = 3;
constexpr int kHeldTimeoutDivisor = 2;
// Takeover delay added per rank, so that one agent takes over and its first query arrives before
// the next rank would take over. It covers a query and a tick.
constexpr Duration kTakeoverDelayPerRank = std::chrono::milliseconds(100);
// Takeover delay added for every rank but 0, because a new decider needs time to connect to all
// ranks.
constexpr Duration kTakeoverBaseDelay = std::chrono::milliseconds(200);
// How long a new agent waits before it may become the decider; a live decider has sent a query by
// then.
constexpr Duration kStartupDelay = std::chrono::milliseconds(600);

} // namespace

Duration deciderTimeout(Duration queryInterval, bool engineHoldsStep)
{
    const Duration full = std::max(kMinTimeout, kMissedQueries * queryInterval);
    return engineHoldsStep
               ? std::max(full / kHeldTimeoutDivisor, kMissedQueriesWhileHeld * queryInterval)
               : full;
}

bool shouldDecide(const DeciderRoleInputs &inputs)
{
    const TimePoint readyAt = inputs.startedAt + kStartupDelay;
    if (inputs.now < readyAt) {
        return false;
    }
    const Duration timeout = deciderTimeout(inputs.queryInterval, inputs.engineHoldsStep);
    const bool otherIsAlive = inputs.other && inputs.now - inputs.other->lastQueryAt < timeout;
    if (inputs.isDecider) {
        return !(otherIsAlive && inputs.other->rank < inputs.ownRank);
    }
    if (otherIsAlive) {
        return false;
    }
    const TimePoint vacantSince =
        inputs.other ? std::max(readyAt, inputs.other->lastQueryAt + timeout) : readyAt;
    const bool skipDelay = inputs.ownRank == 0 || inputs.engineHoldsStep;
    const Duration takeoverDelay =
        skipDelay ? Duration{} : kTakeoverBaseDelay + kTakeoverDelayPerRank * inputs.ownRank;
    return inputs.now - vacantSince >= takeoverDelay;
}

bool hasStoodStill(TimePoint lastTickAt, TimePoint now, Duration queryInterval)
{
    return lastTickAt != TimePoint{} && now - lastTickAt >= deciderTimeout(queryInterval, false);
}

} // namespace seamarch
