#include "decision/gateway/upstreamhistory.h"

#include <algorithm>
#include <utility>

namespace seamarch {
namespace {

// Returns `record` without the fields that differ between gateways with the same list.
UpstreamRecord withoutLocalFields(const UpstreamRecord &record)
{
    UpstreamRecord copy = record;
    copy.listedAt = 0;
    copy.createdAt = 0;
    copy.warmAt = {};
    return copy;
}

} // namespace

void UpstreamHistory::recordState(std::uint64_t digest,
                                  const std::vector<const UpstreamRecord *> &records)
{
    if (digest == digest_) {
        return;
    }
    Delta delta;
    delta.fromDigest = digest_;
    std::map<InstanceId, UpstreamRecord> list;
    for (const UpstreamRecord *record : records) {
        const auto &[id, listed] = *list.emplace(record->id, withoutLocalFields(*record)).first;
        const auto before = records_.find(id);
        if (before == records_.end() || before->second != listed) {
            delta.changed.push_back(id);
        }
    }
    for (const auto &[id, record] : records_) {
        if (!list.contains(id)) {
            delta.changed.push_back(id);
        }
    }
    records_ = std::move(list);
    digest_ = digest;
    if (delta.fromDigest != 0) {
        deltas_.push_back(std::move(delta));
    }
    if (deltas_.size() > kMaxStates) {
        deltas_.pop_front();
    }
}

std::optional<std::set<InstanceId>> UpstreamHistory::changedSince(std::uint64_t digest) const
{
    constexpr std::size_t kMinSizeRatio = 2; // Of the list to a delta that is worth sending.
    std::set<InstanceId> changed;
    if (digest == digest_) {
        return changed;
    }
    for (auto delta = deltas_.rbegin(); delta != deltas_.rend(); ++delta) {
        changed.insert(delta->changed.begin(), delta->changed.end());
        if (changed.size() * kMinSizeRatio > records_.size()) {
            return std::nullopt;
        }
        if (delta->fromDigest == digest) {
            return changed;
        }
    }
    return std::nullopt;
}

std::vector<UpstreamRecord> applyChanges(const std::vector<const UpstreamRecord *> &list,
                                         const std::vector<UpstreamRecord> &changed,
                                         const std::set<InstanceId> &removed)
{
    std::map<InstanceId, UpstreamRecord> records;
    for (const UpstreamRecord *record : list) {
        records.emplace(record->id, *record);
    }
    for (const UpstreamRecord &record : changed) {
        records[record.id] = record;
    }
    std::vector<UpstreamRecord> result;
    for (auto &[id, record] : records) {
        if (!removed.contains(id)) {
            result.push_back(std::move(record));
        }
    }
    return result;
}

} // namespace seamarch
