// Decides when the agent beside a rank takes the role of its group's decider, and when it leaves
// it.
//
// The decider queries all other agents several times a second. An agent that has received no query
// within a timeout takes the role, after a delay that grows with its rank, so that one agent takes
// over before the next one tries. Until then the group keeps a map for past demand, and its streams
// are late; while a step is held, it makes no pass at all. Two concurrent deciders are harmless
// (see GroupDecider), so the timeout only covers a few queries that are late or lost.
//
// An agent leaves the role to a decider of lower rank. It does not take it back from a live decider
// of higher rank, since a handover costs about half a second in which no map is changed. An agent
// that stood still for the timeout has been replaced: its counts, reports and its change in
// progress are outdated, and every order for them would be refused and cleared. It continues as if
// it had just started, and the decider in charge completes the next change with that rank's first
// answer.
//
// Pure functions.
#pragma once

#include "seamarch/units.h"

#include <cstdint>
#include <optional>

namespace seamarch {

// The other decider of the group that most recently queried this agent.
struct OtherDecider
{
    std::uint32_t rank = 0;
    TimePoint lastQueryAt{};
};

struct DeciderRoleInputs
{
    TimePoint now{};
    TimePoint startedAt{}; // When the agent started or continued after it stood still.
    std::uint32_t ownRank = 0;
    Duration queryInterval{};     // Between two queries of a decider to one agent.
    bool engineHoldsStep = false; // The own engine holds a step, so the group may make no pass.
    bool isDecider = false;
    std::optional<OtherDecider> other;
};

// Returns the time without a query after which a decider is considered dead or partitioned.
Duration deciderTimeout(Duration queryInterval, bool engineHoldsStep);

// Returns whether the agent should be the decider now.
bool shouldDecide(const DeciderRoleInputs &inputs);

// Returns whether an agent whose last tick was at `lastTickAt` stood still for so long that another
// agent may have become the decider. False before the first tick.
bool hasStoodStill(TimePoint lastTickAt, TimePoint now, Duration queryInterval);

} // namespace seamarch
