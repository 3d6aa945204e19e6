// The upstreams that have said themselves, in their answers, that they leave.
//
// Such a word counts from the moment that it is heard, whatever any list says: the store may be
// away, behind, or back with an older state. It holds for the start of the upstream that gave it
// and ends with a later start alone (isLaterStart). Where the list does not tell starts, the first
// that it tells afterwards is taken for the one that gave the word.
//
// Bounded: beyond `kMost` the oldest word is forgotten, which takes a thousand ends of upstreams
// that the store still lists. Pure and single-threaded.
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
    static constexpr std::size_t kMost = 1024; // Some 100 bytes each.

    // `upstream`, as it was listed when it was asked, has said that it leaves.
    void add(const UpstreamRecord &upstream);
    // Tells whether an upstream that is listed like this has said that it leaves. Forgets the word
    // of a start that `listed` shows to be over.
    bool contains(const UpstreamRecord &listed);
    std::size_t size() const { return words_.size(); }

private:
    // The start that gave its word.
    struct Word
    {
        UpstreamStart start;
        std::uint64_t listedAt = 0;
    };

    std::unordered_map<InstanceId, Word> words_;
    std::deque<InstanceId> order_; // The oldest first.
};

} // namespace seamarch
