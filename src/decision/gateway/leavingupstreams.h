// The upstreams that are leaving or were removed, as announced by themselves or by the store.
//
// The announcement of an upstream takes effect at once and overrides any later list, because the
// store may be unreachable, behind, or restored from an older copy. It applies to one start of the
// upstream and is cleared only by a later start (see isLaterStart). If the start is unknown, the
// first start that a list shows afterwards is taken for the one that leaves. An announcement for an
// earlier start, read from an older copy of the store, does not replace that of a later start;
// otherwise the later start would be accepted again.
//
// A removal from the store is treated alike, except that a new entry of the store also clears it:
// the entry of an upstream that is cut off from the store lapses, and the upstream returns with a
// new entry. An entry with the creation revision of the removed one comes from an older copy of the
// store and does not clear it.
//
// Holds at most `kMaxEntries` upstreams and evicts the oldest. Performs no I/O and is not
// thread-safe.
#pragma once

#include "seamarch/ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace seamarch {

struct UpstreamRecord;

// Remembers departures, and rejects list entries of upstreams that have departed.
class LeavingUpstreams
{
public:
    static constexpr std::size_t kMaxEntries = 4096; // About 150 bytes each.

    // Records that `upstream` is leaving. `upstream` is its record at the time of the announcement.
    void addLeaving(const UpstreamRecord &upstream);
    // Records that the store has removed `upstream`. `upstream` is its last record.
    void addRemoved(const UpstreamRecord &upstream);
    // Returns whether the upstream of record `listed` is leaving or was removed. If `listed` shows
    // a later start or a new entry that clears the departure, erases it and returns false. If the
    // start of the departure is unknown, sets it to that of `listed`.
    bool contains(const UpstreamRecord &listed);
    std::size_t size() const { return departures_.size(); }

private:
    // The start that is leaving or was removed.
    struct Departure
    {
        UpstreamStart start;
        std::uint64_t listedAt = 0;
        std::uint64_t createdAt = 0;
        bool isLeaving = false; // False: the store removed it without an announcement.
    };

    bool isOfEarlierStart(const UpstreamRecord &upstream) const;
    Departure &upsert(const UpstreamRecord &upstream);
    static bool isObsolete(const Departure &departure, const UpstreamRecord &listed);

    std::unordered_map<InstanceId, Departure> departures_;
    std::deque<InstanceId> oldestFirst_;
};

} // namespace seamarch
