// Converts what gateways tell each other from and to its form on the wire.
#pragma once

#include "decision/gateway/grouptable.h"
#include "decision/gateway/upstreamlimits.h"
#include "decision/membership/gatewaydirectory.h"
#include "gateway/gatewaystoreview.h"
#include "wire/seamarch.capnp.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace seamarch {

void writeGateway(const GatewayRecord &record, Duration heardAgo, wire::GatewayRecord::Builder to);
GatewayRecord readGateway(wire::GatewayRecord::Reader from);

// `record` is written as of `now`, and read as of when it is read.
void writeUpstream(const UpstreamRecord &record, TimePoint now, wire::ListedUpstream::Builder to);
UpstreamRecord readUpstream(wire::ListedUpstream::Reader from, TimePoint now);

void writeDrainedHalls(const std::set<HallId> &halls, wire::GatewayNews::Builder to);
std::set<HallId> readDrainedHalls(wire::GatewayNews::Reader from);

// Without `members`, what is written renews facts that the reader has.
void writeGroup(const GroupFacts &facts, Duration age, bool members, wire::GroupNews::Builder to);
GroupFacts readGroup(wire::GroupNews::Reader from);

// `word` is written as of `now`, and read as of when it was written.
void writeLimit(const LimitWord &word, TimePoint now, wire::UpstreamLimit::Builder to);
LimitWord readLimit(wire::UpstreamLimit::Reader from, TimePoint writtenAt);

// A configuration of many routes is a large text that repeats itself, and goes to every gateway of
// a hall over the link of one.
std::vector<std::uint8_t> compressText(std::string_view text);
// Returns nothing when `bytes` are no deflated text of `size` bytes.
std::optional<std::string> decompressText(const std::uint8_t *bytes, std::size_t count,
                                          std::size_t size);

} // namespace seamarch
