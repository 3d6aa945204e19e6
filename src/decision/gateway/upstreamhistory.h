// What has changed in a gateway's list of upstreams, from state to state, for the gateways that
// ask.
//
// While many upstreams come and go the list changes several times a second. Handed on whole to all
// that follow, it takes the bytes of gateways times upstreams for each change; what has changed
// takes those of the change. States are named by the marks of the list, which gateways with the
// same list compute alike, so one may ask another than before and still be told changes alone.
//
// Bounded: `kMaxStates` states are remembered; one that names an earlier state is handed the whole
// list. Pure and single-threaded.
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

class UpstreamHistory
{
public:
    static constexpr std::size_t kMaxStates = 256;

    // The list is `records` from now on, and is named `mark`.
    void recordState(std::uint64_t digest, const std::vector<const UpstreamRecord *> &records);
    // Returns the upstreams that were listed, changed or removed since the list was named `mark`;
    // nothing when that state is not remembered, or when the whole list is hardly longer.
    std::optional<std::set<InstanceId>> changedSince(std::uint64_t digest) const;

private:
    // From the state `from` to the one after it.
    struct Delta
    {
        std::uint64_t fromDigest = 0;
        std::vector<InstanceId> changed;
    };

    std::map<InstanceId, UpstreamRecord> records_;
    std::uint64_t digest_ = 0;
    std::deque<Delta> deltas_; // The oldest first.
};

// Returns `list` with `changed` in the place of those that it lists already, or besides, and
// without `removed`; in the order of ids.
std::vector<UpstreamRecord> applyChanges(const std::vector<const UpstreamRecord *> &list,
                                         const std::vector<UpstreamRecord> &changed,
                                         const std::set<InstanceId> &removed);

} // namespace seamarch
