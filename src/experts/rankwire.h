// Converts what the agents of a group tell each other from and to its form on the wire.
#pragma once

#include "decision/expertmap/choicecounts.h"
#include "experts/engineclient.h"
#include "wire/seamarch.capnp.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace seamarch {

// What the agent beside a rank tells the one that decides.
struct RankFacts
{
    RankReport report;
    std::optional<ChoiceCounts> choices;  // When asked for, and the engine answered.
    std::optional<ExpertsOfRank> experts; // The same.
};

void writeFacts(const RankFacts &facts, wire::RankState::Builder state);
RankFacts readFacts(wire::RankState::Reader state);

void writeOrder(const MapOrder &order, wire::RankOrder::Builder to);
// Returns nothing when the order's experts make no sense.
std::optional<MapOrder> readOrder(wire::RankOrder::Reader from);

// Writes a map in about a byte an expert, because a prepare carries the whole map to every rank:
// numbers in groups of seven bits, lowest first; for each set its ranks, for each rank its experts,
// as the gaps between them in rising order.
std::vector<std::uint8_t> packExperts(const ExpertMap &map);
std::optional<ExpertMap> unpackExperts(std::span<const std::uint8_t> bytes);

} // namespace seamarch
