#include "decision/gateway/leavingupstreams.h"

#include "decision/gateway/upstreamtable.h"

#include <algorithm>

namespace seamarch {

void LeavingUpstreams::add(const UpstreamRecord &upstream)
{
    const auto [found, added] = words_.try_emplace(upstream.id);
    found->second = {upstream.start, upstream.listedAt};
    if (!added) {
        return;
    }
    order_.push_back(upstream.id);
    if (order_.size() > kMost) {
        words_.erase(order_.front());
        order_.pop_front();
    }
}

bool LeavingUpstreams::contains(const UpstreamRecord &listed)
{
    const auto found = words_.find(listed.id);
    if (found == words_.end()) {
        return false;
    }
    Word &word = found->second;
    if (isLaterStart(listed, word.start, word.listedAt)) {
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
