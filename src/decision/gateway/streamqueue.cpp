#include "decision/gateway/streamqueue.h"

#include <algorithm>
#include <iterator>

namespace seamarch {

StreamQueue::Key StreamQueue::sortKey(const Entry &entry, TimePoint now)
{
    if (now <= entry.startDeadline) {
        return {entry.urgency, Timeliness::InTime, entry.number};
    }
    const Timeliness late = entry.isRetry ? Timeliness::LateRetry : Timeliness::Late;
    return {entry.urgency, late, entry.number};
}

// Moves the streams whose start deadline has passed behind those that are still in time.
void StreamQueue::demoteLate(TimePoint now)
{
    while (!startDeadlines_.empty() && startDeadlines_.begin()->first < now) {
        const RequestNumber number = startDeadlines_.begin()->second;
        startDeadlines_.erase(startDeadlines_.begin());
        const Entry &entry = entries_.at(number);
        order_.erase(sortKey(entry, entry.startDeadline));
        order_.emplace(sortKey(entry, now), number);
    }
}

void StreamQueue::add(const Entry &entry, TimePoint now)
{
    entries_.emplace(entry.number, entry);
    order_.emplace(sortKey(entry, now), entry.number);
    if (now <= entry.startDeadline) {
        startDeadlines_.emplace(entry.startDeadline, entry.number);
    }
}

void StreamQueue::remove(RequestNumber number)
{
    const auto found = entries_.find(number);
    if (found == entries_.end()) {
        return;
    }
    const Entry &entry = found->second;
    const auto [begin, end] = startDeadlines_.equal_range(entry.startDeadline);
    const auto deadline = std::find_if(
        begin, end, [number](const auto &waiting) { return waiting.second == number; });
    if (deadline == end) {
        order_.erase(sortKey(entry, TimePoint::max()));
    } else {
        order_.erase(sortKey(entry, entry.startDeadline));
        startDeadlines_.erase(deadline);
    }
    entries_.erase(found);
}

std::optional<StreamQueue::Entry> StreamQueue::next(TimePoint now)
{
    demoteLate(now);
    return order_.empty() ? std::nullopt : std::optional(entries_.at(order_.begin()->second));
}

std::optional<RequestNumber> StreamQueue::takeNext(TimePoint now)
{
    const std::optional<Entry> entry = next(now);
    if (!entry) {
        return std::nullopt;
    }
    remove(entry->number);
    return entry->number;
}

std::size_t StreamQueue::countAhead(const Entry &entry, TimePoint now)
{
    demoteLate(now);
    return static_cast<std::size_t>(
        std::distance(order_.begin(), order_.lower_bound(sortKey(entry, now))));
}

} // namespace seamarch
