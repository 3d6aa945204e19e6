// Converts the messages between the agents of a group to and from their Cap'n Proto encoding.
#pragma once

#include "decision/expertmap/choicecounts.h"
#include "experts/engineclient.h"
#include "wire/seamarch.capnp.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace seamarch {

// The answer of a rank's agent to a query of the group's decider.
struct RankFacts
{
    RankReport report;
    std::optional<ChoiceCounts> choices;  // Empty: not queried or no answer from the engine.
    std::optional<ExpertsOfRank> experts; // Empty: not queried or no answer from the engine.
};

void writeFacts(const RankFacts &facts, wire::RankState::Builder state);
RankFacts readFacts(wire::RankState::Reader state);

void writeOrder(const MapOrder &order, wire::RankOrder::Builder to);
// Returns nothing if the order's expert map is malformed.
std::optional<MapOrder> readOrder(wire::RankOrder::Reader from);

// Encodes a map in about one byte per expert, because a prepare carries the whole map to every
// rank. All numbers are LEB128 varints (seven bits per byte, lowest bits first): the number of
// sets, for each set the number of ranks, and for each rank the number of experts followed by the
// differences between successive experts, which must be in ascending order.
std::vector<std::uint8_t> packExperts(const ExpertMap &map);
// Decodes a map. Returns nothing if `bytes` is truncated, has trailing bytes or holds a number
// above 65535.
std::optional<ExpertMap> unpackExperts(std::span<const std::uint8_t> bytes);

} // namespace seamarch
