#include "decision/gateway/leavingupstreams.h"

#include "decision/gateway/upstreamtable.h"

#include <algorithm>

namespace seamarch {

// Returns whether `upstream` shows an earlier start than the recorded departure.
bool LeavingUpstreams::isOfEarlierStart(const UpstreamRecord &upstream) const
{
    const auto found = departures_.find(upstream.id);
    if (found == departures_.end()) {
        return false;
    }
    const Departure &departure = found->second;
    const bool bothKnown = departure.start != UpstreamStart() && upstream.start != UpstreamStart();
    return bothKnown && upstream.start != departure.start
           && !isLaterStart(upstream, departure.start, departure.listedAt);
}

LeavingUpstreams::Departure &LeavingUpstreams::upsert(const UpstreamRecord &upstream)
{
    const auto [found, added] = departures_.try_emplace(upstream.id);
    Departure &departure = found->second;
    departure.start = upstream.start;
    departure.listedAt = upstream.listedAt;
    departure.createdAt = upstream.createdAt;
    if (added) {
        oldestFirst_.push_back(upstream.id);
    }
    if (oldestFirst_.size() > kMaxEntries) {
        departures_.erase(oldestFirst_.front());
        oldestFirst_.pop_front();
    }
    return departure;
}

void LeavingUpstreams::addLeaving(const UpstreamRecord &upstream)
{
    if (!isOfEarlierStart(upstream)) {
        upsert(upstream).isLeaving = true;
    }
}

void LeavingUpstreams::addRemoved(const UpstreamRecord &upstream)
{
    if (!isOfEarlierStart(upstream)) {
        upsert(upstream);
    }
}

bool LeavingUpstreams::isObsolete(const Departure &departure, const UpstreamRecord &listed)
{
    const bool bothKnown = departure.createdAt != 0 && listed.createdAt != 0;
    const bool listedAnew = !bothKnown || listed.createdAt != departure.createdAt;
    return isLaterStart(listed, departure.start, departure.listedAt)
           || (!departure.isLeaving && listedAnew);
}

bool LeavingUpstreams::contains(const UpstreamRecord &listed)
{
    const auto found = departures_.find(listed.id);
    if (found == departures_.end()) {
        return false;
    }
    Departure &departure = found->second;
    if (isObsolete(departure, listed)) {
        departures_.erase(found);
        oldestFirst_.erase(std::find(oldestFirst_.begin(), oldestFirst_.end(), listed.id));
        return false;
    }
    if (departure.start == UpstreamStart()) {
        departure.start = listed.start;
    }
    return true;
}

} // namespace seamarch
