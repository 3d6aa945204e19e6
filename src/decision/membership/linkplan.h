// Selects the agents to which an entry keeps connections and sends heartbeats.
//
// On a small site an entry links to all agents. On a large site heartbeats to every agent would use
// up the entry's whole budget, so it links to a subset: some agents per target in its own hall and
// a few per target in other halls. Subsets are selected by rendezvous hashing of entry and agent,
// so they are evenly distributed and change little when the instance list changes. A request bound
// to an agent outside the subset opens a connection on demand.
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
    std::size_t maxLinks = 40;       // Connections to agents per entry.
    std::size_t remotePerTarget = 3; // Of these, connections to other halls, per target.
    double heartbeatsPerSecond = 18; // The total over all links.
};

// Returns the agents to which the entry keeps connections. If there are more agents than
// `maxLinks`, each target gets at least one agent of `hall`, so many targets can exceed the budget.
std::set<InstanceId> chooseLinks(const InstanceList &list, const InstanceId &entry,
                                 const HallId &hall, const LinkBudget &budget);

// Returns the interval between heartbeats to one agent: at least `minPeriod`, and as long as
// `links` links need to stay within `heartbeatsPerSecond`.
Duration heartbeatPeriod(std::size_t links, Duration minPeriod, const LinkBudget &budget);

} // namespace seamarch
