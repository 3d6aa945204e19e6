// Which agents an entry keeps a connection and heartbeats to.
//
// On a small site that is all of them. On a large one an entry that heartbeats every agent would
// spend its whole budget on it, so it keeps to a subset: some agents of each target in its own hall
// and one of each target in other halls. Subsets are chosen by rendezvous hash of the entry and the
// agent, so they spread evenly and change little when the list changes. Requests that are bound to
// an agent outside the subset make a connection when they come.
//
// Pure functions.
#pragma once

#include "seamarch/configdocument.h"
#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstddef>
#include <set>

namespace seamarch {

struct LinkBudget
{
    std::size_t maxLinks = 40;       // Connections to agents that an entry keeps.
    std::size_t remotePerTarget = 3; // Of them, in other halls, for each target.
    double heartbeatsPerSecond = 18; // Over all of them.
};

// Returns the agents that the entry keeps connections to.
std::set<InstanceId> chooseLinks(const InstanceList &list, const InstanceId &entry,
                                 const HallId &hall, const LinkBudget &budget);

// Returns the pause between two heartbeats to one agent: `shortest`, or longer for many links.
Duration heartbeatPeriod(std::size_t links, Duration minPeriod, const LinkBudget &budget);

} // namespace seamarch
