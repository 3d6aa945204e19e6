#include "decision/gateway/leavingupstreams.h"

#include "decision/gateway/upstreamtable.h"

#include <algorithm>

namespace seamarch {

// Tells whether `upstream` shows an earlier start than the one whose word is known.
bool LeavingUpstreams::isOfEarlierStart(const UpstreamRecord &upstream) const
{
    const auto found = words_.find(upstream.id);
    if (found == words_.end()) {
        return false;
    }
    const Departure &word = found->second;
    const bool told = word.start != UpstreamStart() && upstream.start != UpstreamStart();
    return told && upstream.start != word.start
           && !isLaterStart(upstream, word.start, word.listedAt);
}

LeavingUpstreams::Departure &LeavingUpstreams::take(const UpstreamRecord &upstream)
{
    const auto [found, added] = words_.try_emplace(upstream.id);
    Departure &word = found->second;
    word.start = upstream.start;
    word.listedAt = upstream.listedAt;
    word.createdAt = upstream.createdAt;
    if (added) {
        order_.push_back(upstream.id);
    }
    if (order_.size() > kMaxEntries) {
        words_.erase(order_.front());
        order_.pop_front();
    }
    return word;
}

void LeavingUpstreams::add(const UpstreamRecord &upstream)
{
    if (!isOfEarlierStart(upstream)) {
        take(upstream).leaves = true;
    }
}

void LeavingUpstreams::addGone(const UpstreamRecord &upstream)
{
    if (!isOfEarlierStart(upstream)) {
        take(upstream);
    }
}

bool LeavingUpstreams::isOver(const Departure &word, const UpstreamRecord &listed)
{
    const bool told = word.createdAt != 0 && listed.createdAt != 0;
    const bool listedAnew = !told || listed.createdAt != word.createdAt;
    return isLaterStart(listed, word.start, word.listedAt) || (!word.leaves && listedAnew);
}

bool LeavingUpstreams::contains(const UpstreamRecord &listed)
{
    const auto found = words_.find(listed.id);
    if (found == words_.end()) {
        return false;
    }
    Departure &word = found->second;
    if (isOver(word, listed)) {
        words_.erase(found);
        order_.erase(std::find(order_.begin(), order_.end(), listed.id));
        return false;
    }
    if (word.start == UpstreamStart()) {
        word.start = listed.start;
    }
    return true;
}

} // namespace seamarch
