#include "decision/gateway/upstreamtable.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace seamarch {

bool isLaterStart(const UpstreamRecord &listed, UpstreamStart start, std::uint64_t listedAt)
{
    const bool bothKnown = listed.start != UpstreamStart() && start != UpstreamStart();
    if (!bothKnown || listed.start == start) {
        return false;
    }
    const bool listedLater = listedAt != 0 && listed.listedAt > listedAt;
    return listed.start > start || listedLater;
}

bool isFromBeforeRollback(const UpstreamRecord &record)
{
    return record.createdAt != 0 && record.listedAt == 0;
}

void UpstreamTable::put(const UpstreamRecord &record)
{
    if (!claimAddress(record)) {
        erase(record.id);
        return;
    }
    UpstreamRecord updated = record;
    if (record.leaving) {
        leaving_.addLeaving(record);
    }
    updated.leaving = leaving_.contains(record);
    Entry &entry = entries_[record.id];
    changes_ += entry.record == updated ? 0 : 1;
    entry = {std::move(updated), std::nullopt};
}

bool UpstreamTable::markLeaving(const UpstreamRecord &upstream)
{
    leaving_.addLeaving(upstream);
    const auto found = entries_.find(upstream.id);
    if (found == entries_.end() || found->second.record.leaving
        || !leaving_.contains(found->second.record)) {
        return false;
    }
    found->second.record.leaving = true;
    ++changes_;
    return true;
}

// Assigns the address of `record` to it and erases the previous holder. Returns false, without any
// change of the holder, if the holder was listed later.
bool UpstreamTable::claimAddress(const UpstreamRecord &record)
{
    const Address address{record.host, record.port};
    const auto previous = entries_.find(record.id);
    if (previous != entries_.end() && addressOf(previous->second.record) != address) {
        erase(record.id);
    }
    if (record.host.empty()) {
        return true; // Without an address; requests to it will fail.
    }
    const auto [holder, isNew] = byAddress_.try_emplace(address, record.id);
    if (isNew || holder->second == record.id) {
        return true;
    }
    const InstanceId other = holder->second;
    if (entries_.at(other).record.listedAt > record.listedAt) {
        return false;
    }
    erase(other);
    byAddress_.emplace(address, record.id);
    return true;
}

void UpstreamTable::erase(const InstanceId &id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    const auto holder = byAddress_.find(addressOf(found->second.record));
    if (holder != byAddress_.end() && holder->second == id) {
        byAddress_.erase(holder);
    }
    entries_.erase(found);
    ++changes_;
}

// Erases a record that the store has removed, and remembers the removal: an older copy of the store
// may list the record again.
void UpstreamTable::eraseRemoved(const InstanceId &id)
{
    const auto found = entries_.find(id);
    if (found != entries_.end()) {
        leaving_.addRemoved(found->second.record);
        erase(id);
    }
}

// Returns whether a record that the store no longer lists must be erased now. Starts the grace
// period of a record that may have lapsed.
bool UpstreamTable::shouldErase(const InstanceId &id, TimePoint now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return false;
    }
    const bool outage = lastOutage_ && now - *lastOutage_ < settings_.outageWindow;
    if (!outage || found->second.record.leaving) {
        return true;
    }
    startGrace(found->second, now);
    return false;
}

void UpstreamTable::startGrace(Entry &entry, TimePoint now)
{
    if (!entry.lapsedAt) {
        entry.lapsedAt = now;
    }
}

// Handles a record that is missing from a whole list. If the store has not listed the record since
// it was restored from an older copy, the copy may lack it although its upstream is running. This
// also holds if only the gateway that forwarded the record knows of the restoration.
void UpstreamTable::handleMissing(const InstanceId &id, TimePoint now)
{
    Entry &entry = entries_.at(id);
    if (isFromBeforeRollback(entry.record) && !entry.record.leaving) {
        startGrace(entry, now);
    } else {
        remove(id, now);
    }
}

void UpstreamTable::dropUnreadable(const InstanceId &id, TimePoint now)
{
    if (shouldErase(id, now)) {
        erase(id);
    }
}

void UpstreamTable::remove(const InstanceId &id, TimePoint now)
{
    if (shouldErase(id, now)) {
        eraseRemoved(id);
    }
}

void UpstreamTable::onStoreRolledBack(TimePoint now)
{
    onOutage(now);
    for (auto &[id, entry] : entries_) {
        entry.record.listedAt = 0;
    }
}

void UpstreamTable::replaceAll(const std::vector<UpstreamRecord> &records, TimePoint now)
{
    std::unordered_set<InstanceId> listed;
    for (const UpstreamRecord &record : records) {
        listed.insert(record.id);
        put(record);
    }
    std::vector<InstanceId> missing;
    for (const auto &[id, entry] : entries_) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const InstanceId &id : missing) {
        handleMissing(id, now);
    }
}

void UpstreamTable::mirror(const std::vector<UpstreamRecord> &records)
{
    entries_.clear();
    byAddress_.clear();
    for (const UpstreamRecord &record : records) {
        put(record);
    }
    ++changes_;
}

std::vector<InstanceId> UpstreamTable::expire(TimePoint now)
{
    std::vector<InstanceId> expired;
    for (const auto &[id, entry] : entries_) {
        if (entry.lapsedAt && now - *entry.lapsedAt >= settings_.lapseGrace) {
            expired.push_back(id);
        }
    }
    for (const InstanceId &id : expired) {
        eraseRemoved(id);
    }
    return expired;
}

const UpstreamRecord *UpstreamTable::find(const InstanceId &id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second.record;
}

bool UpstreamTable::setDrainedHalls(std::set<HallId> halls)
{
    if (halls == drainedHalls_) {
        return false;
    }
    drainedHalls_ = std::move(halls);
    ++changes_;
    return true;
}

bool UpstreamTable::isActive(const InstanceId &id) const
{
    const UpstreamRecord *record = find(id);
    return record != nullptr && !record->leaving;
}

bool UpstreamTable::mayReceive(const InstanceId &id) const
{
    return isActive(id) && !drainedHalls_.contains(find(id)->hall);
}

std::vector<const UpstreamRecord *> UpstreamTable::candidates(const TargetName &service) const
{
    std::vector<const UpstreamRecord *> found = all();
    std::erase_if(found, [&](const UpstreamRecord *record) {
        return record->leaving || record->service != service
               || drainedHalls_.contains(record->hall);
    });
    return found;
}

std::vector<const UpstreamRecord *> UpstreamTable::all() const
{
    std::vector<const UpstreamRecord *> records;
    records.reserve(entries_.size());
    for (const auto &[id, entry] : entries_) {
        records.push_back(&entry.record);
    }
    std::sort(records.begin(), records.end(),
              [](const UpstreamRecord *left, const UpstreamRecord *right) {
                  return left->id < right->id;
              });
    return records;
}

} // namespace seamarch
