#include "net/crashwire.h"

namespace seamarch {

void writeSuspect(const CrashSuspect &suspect, TimePoint now, wire::CrashSuspect::Builder to)
{
    to.setKind(static_cast<std::uint8_t>(suspect.key.kind));
    to.setDigest(suspect.key.value);
    to.setAccount(suspect.account);
    auto ends = to.initEnds(static_cast<std::uint32_t>(suspect.crashes.size()));
    for (std::uint32_t index = 0; index < ends.size(); ++index) {
        ends[index].setUpstream(suspect.crashes[index].upstream);
        ends[index].setMicrosAgo((now - suspect.crashes[index].at).count());
    }
    if (suspect.lastCompletedAt) {
        to.setSurvived(true);
        to.setSurvivedMicrosAgo((now - *suspect.lastCompletedAt).count());
    }
}

CrashSuspect readSuspect(wire::CrashSuspect::Reader from, TimePoint referenceTime)
{
    CrashSuspect suspect;
    suspect.key = SuspectKey(static_cast<SuspectKind>(from.getKind()), from.getDigest());
    suspect.account = from.getAccount();
    for (const auto &end : from.getEnds()) {
        suspect.crashes.push_back(
            {end.getUpstream(), referenceTime - Duration(end.getMicrosAgo())});
    }
    if (from.getSurvived()) {
        suspect.lastCompletedAt = referenceTime - Duration(from.getSurvivedMicrosAgo());
    }
    return suspect;
}

std::uint64_t mergeSuspects(capnp::List<wire::CrashSuspect>::Reader from, TimePoint referenceTime,
                            CrashRecord &record)
{
    const std::uint64_t before = record.cursor();
    for (const auto &suspect : from) {
        if (suspect.getKind() <= static_cast<std::uint8_t>(SuspectKind::PromptPart)) {
            record.merge(readSuspect(suspect, referenceTime));
        }
    }
    return record.cursor() - before;
}

} // namespace seamarch
