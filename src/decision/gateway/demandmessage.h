// The encoding of what gateways state of their demand, as bytes within the messages that they
// exchange.
//
// Answers the bytes of such statements at the first gateway of a hall with a hundred gateways: a
// statement with names and small numbers takes about 30 bytes, a third of the same as a list of
// Cap'n Proto structs.
//
// Pure.
#pragma once

#include "decision/gateway/demandtable.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace seamarch {

// What the demands of a message add up.
enum class DemandScope : std::uint8_t {
    None,    // Nothing: the sender does not state any demand to this receiver any more.
    Gateway, // The sender.
    Hall,    // The gateways of the sender's hall.
    Site,    // All gateways that the sender knows of.
};

struct DemandMessage
{
    DemandScope scope = DemandScope::None;
    // The sender does not know the receiver's statement, which may have been lost.
    bool requestsStatement = false;
    DemandTable::Demands demands;

    bool operator==(const DemandMessage &) const = default;
};

// Limits are rounded down to eighths of a stream, so that shares do not exceed their sum.
std::vector<std::uint8_t> encodeDemand(const DemandMessage &message);
// Returns nullopt if the bytes are not a complete message.
std::optional<DemandMessage> decodeDemand(std::span<const std::uint8_t> bytes);

} // namespace seamarch
