// The upstreams that leave or are gone, as they have said themselves or as the store has told.
//
// A word of leaving counts from the moment that it is heard, whatever any later list says: the
// store may be away, behind, or back from an older copy. It holds for the start of the upstream
// that it was said of, and ends with a later start alone (isLaterStart). Where the list does not
// tell starts, the first that it tells afterwards is taken for the one that leaves. A word of an
// earlier start, out of an older copy of the store, does not take its place: the later start would
// be believed again.
//
// One that the store has taken away is the same, unless the store lists it anew: an upstream that
// was cut off from the store lapses there and comes back in a new entry. An entry that was listed
// when the one that went was listed is that one, out of an older copy.
//
// Bounded: beyond `kMaxEntries` the oldest is forgotten. Pure and single-threaded.
#pragma once

#include "seamarch/ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace seamarch {

struct UpstreamRecord;

class LeavingUpstreams
{
public:
    static constexpr std::size_t kMaxEntries = 4096; // Some 150 bytes each.

    // `upstream`, listed like this when it was heard of, leaves.
    void addLeaving(const UpstreamRecord &upstream);
    // The store no longer lists `upstream`, which was listed like this.
    void addRemoved(const UpstreamRecord &upstream);
    // Tells whether an upstream that is listed like this leaves or is gone. Forgets what was known
    // of a start, or of an entry, that `listed` shows to be over.
    bool contains(const UpstreamRecord &listed);
    std::size_t size() const { return departures_.size(); }

private:
    // The start that leaves or is gone.
    struct Departure
    {
        UpstreamStart start;
        std::uint64_t listedAt = 0;
        std::uint64_t createdAt = 0;
        bool isLeaving = false; // Else it is only gone from the list.
    };

    bool isOfEarlierStart(const UpstreamRecord &upstream) const;
    Departure &upsert(const UpstreamRecord &upstream);
    static bool isObsolete(const Departure &departure, const UpstreamRecord &listed);

    std::unordered_map<InstanceId, Departure> departures_;
    std::deque<InstanceId> oldestFirst_; // The oldest first.
};

} // namespace seamarch
