// Converts what the agents of a group tell each other from and to its form on the wire.
#pragma once

#include "experts/rankclient.h"
#include "wire/seamarch.capnp.h"

namespace seamarch {

void writeFacts(const RankFacts &facts, wire::RankState::Builder state);
RankFacts readFacts(wire::RankState::Reader state);

void writeOrder(const MapOrder &order, wire::RankOrder::Builder to);
MapOrder readOrder(wire::RankOrder::Reader from);

} // namespace seamarch
