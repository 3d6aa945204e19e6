#include "decision/retry/answeredparts.h"

namespace seamarch {

AnsweredParts::AnsweredParts(std::size_t capacity)
    : capacity_(capacity)
{}

void AnsweredParts::record(const SuspectKey &part, TimePoint now)
{
    const auto found = positions_.find(part);
    if (found != positions_.end()) {
        found->second->answeredAt = now;
        entries_.splice(entries_.begin(), entries_, found->second);
        return;
    }
    entries_.push_front({part, now});
    positions_.emplace(part, entries_.begin());
    if (entries_.size() > capacity_) {
        positions_.erase(entries_.back().part);
        entries_.pop_back();
    }
}

std::optional<TimePoint> AnsweredParts::lastAnsweredAt(const SuspectKey &part) const
{
    const auto found = positions_.find(part);
    if (found == positions_.end()) {
        return std::nullopt;
    }
    return found->second->answeredAt;
}

} // namespace seamarch
