#include "decision/routing/prefixindex.h"

#include <algorithm>
#include <cmath>

namespace seamarch {

void PrefixIndex::recordHolder(std::uint64_t prefix, const InstanceId &agent, TimePoint now)
{
    const auto [entry, added] = entries_.try_emplace(prefix);
    if (!added) {
        recency_.erase(entry->second.recencyPosition);
    }
    recency_.push_front(prefix);
    entry->second.recencyPosition = recency_.begin();
    std::vector<Holder> &holders = entry->second.holders;
    std::erase_if(holders, [&agent](const Holder &holder) { return holder.agent == agent; });
    holders.insert(holders.begin(), Holder{agent, now});
    if (holders.size() > settings_.holdersPerPrefix) {
        holders.pop_back();
    }
    if (entries_.size() > settings_.capacity) {
        entries_.erase(recency_.back());
        recency_.pop_back();
    }
}

void PrefixIndex::removeAgent(const InstanceId &agent)
{
    for (auto &[prefix, entry] : entries_) {
        std::erase_if(entry.holders,
                      [&agent](const Holder &holder) { return holder.agent == agent; });
    }
}

double PrefixIndex::probability(std::uint64_t prefix, const InstanceId &agent, TimePoint now) const
{
    const auto entry = entries_.find(prefix);
    if (entry == entries_.end()) {
        return 0.0;
    }
    const auto &holders = entry->second.holders;
    const auto holder = std::find_if(holders.begin(), holders.end(),
                                     [&agent](const Holder &each) { return each.agent == agent; });
    if (holder == holders.end()) {
        return 0.0;
    }
    return std::exp2(-toSeconds(now - holder->recordedAt) / toSeconds(settings_.halfLife));
}

} // namespace seamarch
