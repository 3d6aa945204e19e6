// The history of a gateway's list of upstreams, from which deltas for other gateways are computed.
//
// While many upstreams start and stop, the list changes several times a second. Sending the whole
// list to all followers would cost bytes in proportion to gateways times upstreams for each change;
// a delta costs only the changed records. A state of the list is identified by its digest, which is
// the same on all gateways with the same list, so a follower can switch to another gateway and
// still receive deltas.
//
// Keeps `kMaxStates` states; a follower with an older state must get the whole list. Performs no
// I/O and is not thread-safe.
#pragma once

#include "decision/gateway/upstreamtable.h"
#include "seamarch/ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace seamarch {

// A bounded log of the changes between successive states of the list.
class UpstreamHistory
{
public:
    static constexpr std::size_t kMaxStates = 256;

    // Records that the list is now `records`, with digest `digest`. Does nothing if the digest has
    // not changed.
    void recordState(std::uint64_t digest, const std::vector<const UpstreamRecord *> &records);
    // Returns the upstreams that were added, changed or removed since the list had digest `digest`;
    // nullopt if that state is not known or more than half of the list has changed, so that the
    // whole list should be sent.
    std::optional<std::set<InstanceId>> changedSince(std::uint64_t digest) const;

private:
    // The changes from the state with digest `fromDigest` to the next state.
    struct Delta
    {
        std::uint64_t fromDigest = 0;
        std::vector<InstanceId> changed;
    };

    std::map<InstanceId, UpstreamRecord> records_;
    std::uint64_t digest_ = 0;
    std::deque<Delta> deltas_; // Oldest first.
};

// Returns `list` with the records of `changed` replaced or added and those of `removed` left out,
// ordered by id.
std::vector<UpstreamRecord> applyChanges(const std::vector<const UpstreamRecord *> &list,
                                         const std::vector<UpstreamRecord> &changed,
                                         const std::set<InstanceId> &removed);

} // namespace seamarch
