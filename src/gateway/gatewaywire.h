// Converts the data that gateways exchange to and from its Cap'n Proto messages. The write
// functions fill a message, the read functions return what it holds. The clocks of two processes
// are not comparable, so times are sent as ages or remaining times.
#pragma once

#include "decision/gateway/grouptable.h"
#include "decision/gateway/upstreamlimits.h"
#include "decision/membership/gatewaydirectory.h"
#include "gateway/gatewaystoreview.h"
#include "wire/seamarch.capnp.h"

#include <capnp/any.h>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace seamarch {

// `lastSeenAge` is the time since the gateway was last seen; `readGateway` does not return it.
void writeGateway(const GatewayRecord &record, Duration lastSeenAge,
                  wire::GatewayRecord::Builder to);
GatewayRecord readGateway(wire::GatewayRecord::Reader from);

// The end of the warm-up is sent as the time remaining at `now`, and counts from `now` when read.
void writeUpstream(const UpstreamRecord &record, TimePoint now, wire::ListedUpstream::Builder to);
UpstreamRecord readUpstream(wire::ListedUpstream::Reader from, TimePoint now);

void writeDrainedHalls(const std::set<HallId> &halls, wire::GatewayNews::Builder to);
std::set<HallId> readDrainedHalls(wire::GatewayNews::Reader from);

// If `members` is false, the members are omitted; the message then only renews facts that the
// reader has already. `age` is the time since the facts were confirmed.
void writeGroup(const GroupFacts &facts, Duration age, bool members, wire::GroupNews::Builder to);
GroupFacts readGroup(wire::GroupNews::Reader from);

// The time at which the upstream reported the limit is sent as its age at `now`. `writtenAt` is
// when the message was written, on the reader's clock.
void writeLimit(const LimitReport &report, TimePoint now, wire::UpstreamLimit::Builder to);
LimitReport readLimit(wire::UpstreamLimit::Reader from, TimePoint writtenAt);

// Sets the field `demand` of a message if `statement` is not empty.
template <typename Builder>
void writeDemand(Builder &message, const std::vector<std::uint8_t> &statement)
{
    if (!statement.empty()) {
        message.setDemand(kj::arrayPtr(statement.data(), statement.size()));
    }
}

// Initializes a message, with the field `demand` only if `statement` is not empty.
template <typename Message>
typename Message::Builder initWithDemand(capnp::AnyPointer::Builder to,
                                         const std::vector<std::uint8_t> &statement)
{
    auto message = to.initAs<Message>();
    writeDemand(message, statement);
    return message;
}

// Returns the field `demand` of a message; empty if it has none.
template <typename MessageReader>
std::span<const std::uint8_t> readDemand(const MessageReader &message)
{
    const auto bytes = message.getDemand();
    return {bytes.begin(), bytes.size()};
}

// Compresses a text with zlib. Configurations are sent compressed, because one with many routes is
// large and repetitive, and one gateway sends it over its link to all gateways of a hall.
std::vector<std::uint8_t> compressText(std::string_view text);
// Returns the text that `compressText` compressed to the `count` bytes at `bytes`, or nothing if
// they do not decompress to exactly `size` bytes or `size` exceeds the limit for a configuration.
std::optional<std::string> decompressText(const std::uint8_t *bytes, std::size_t count,
                                          std::size_t size);

} // namespace seamarch
