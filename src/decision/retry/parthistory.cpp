#include "decision/retry/parthistory.h"

#include <algorithm>

namespace seamarch {

PartHistory::PartHistory(std::size_t capacity)
    : capacity_(capacity)
{}

// Returns the entry of the part as the most recently used one; adds it if there is none.
PartHistory::Entry &PartHistory::use(const SuspectKey &part)
{
    const auto found = positions_.find(part);
    if (found != positions_.end()) {
        entries_.splice(entries_.begin(), entries_, found->second);
        return entries_.front();
    }
    if (entries_.size() >= capacity_) {
        positions_.erase(entries_.back().part);
        entries_.pop_back();
    }
    entries_.push_front({part, 0, std::nullopt});
    positions_.emplace(part, entries_.begin());
    return entries_.front();
}

const PartHistory::Entry *PartHistory::find(const SuspectKey &part) const
{
    const auto found = positions_.find(part);
    return found == positions_.end() ? nullptr : &*found->second;
}

void PartHistory::recordRequest(const SuspectKey &part)
{
    mostRequests_ = std::max(mostRequests_, ++use(part).requests);
}

void PartHistory::recordAnswer(const SuspectKey &part, TimePoint now)
{
    use(part).answeredAt = now;
}

std::uint64_t PartHistory::requests(const SuspectKey &part) const
{
    const Entry *entry = find(part);
    return entry == nullptr ? 0 : entry->requests;
}

std::optional<TimePoint> PartHistory::lastAnsweredAt(const SuspectKey &part) const
{
    const Entry *entry = find(part);
    return entry == nullptr ? std::nullopt : entry->answeredAt;
}

} // namespace seamarch
