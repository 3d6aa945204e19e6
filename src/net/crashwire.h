// Converts records of requests that were running when upstreams crashed to and from Cap'n Proto
// messages. The clocks of two processes are not comparable, so times are sent as ages.
#pragma once

#include "decision/retry/crashrecord.h"
#include "wire/seamarch.capnp.h"

namespace seamarch {

// Writes the times in `suspect` as ages at `now`.
void writeSuspect(const CrashSuspect &suspect, TimePoint now, wire::CrashSuspect::Builder to);
// `referenceTime` is the time on the reader's clock that the ages in the message refer to.
CrashSuspect readSuspect(wire::CrashSuspect::Reader from, TimePoint referenceTime);

// Merges all entries of a message into `record`. Returns the number of changes to `record`.
std::uint64_t mergeSuspects(capnp::List<wire::CrashSuspect>::Reader from, TimePoint referenceTime,
                            CrashRecord &record);

// The maximum number of entries in one message, about 20 KB. The remaining ones follow in the next.
inline constexpr std::size_t kMaxSuspectsPerMessage = 256;

} // namespace seamarch
