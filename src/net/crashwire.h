// Converts what processes tell each other of requests that end upstreams from and to its form on
// the wire.
#pragma once

#include "decision/retry/crashrecord.h"
#include "wire/seamarch.capnp.h"

namespace seamarch {

void writeSuspect(const CrashSuspect &suspect, TimePoint now, wire::CrashSuspect::Builder to);
// `referenceTime` is the moment from which the message counts back.
CrashSuspect readSuspect(wire::CrashSuspect::Reader from, TimePoint referenceTime);

// Takes all of a message into `record`. Returns how many of them were news.
std::uint64_t mergeSuspects(capnp::List<wire::CrashSuspect>::Reader from, TimePoint referenceTime,
                            CrashRecord &record);

// Requests that end upstreams in one message: some 20 KB; the rest comes with the next.
inline constexpr std::size_t kMaxSuspectsPerMessage = 256;

} // namespace seamarch
