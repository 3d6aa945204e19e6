// An entry's index of the agents that probably hold a prompt prefix in their cache.
//
// Cache events arrive late and with gaps, and caches are bounded and evict. The index therefore
// returns a probability that decays with the age of the last event. It is bounded and evicts the
// least recently recorded prefix first.
//
// The class is pure and single-threaded.
#pragma once

#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace seamarch {

class PrefixIndex
{
public:
    struct Settings
    {
        std::size_t capacity = 20'000;                 // Number of prefixes that are kept.
        std::size_t holdersPerPrefix = 4;              // Number of agents kept for a prefix.
        Duration halfLife = std::chrono::seconds(120); // Time in which the probability halves.
    };

    PrefixIndex() = default;
    explicit PrefixIndex(Settings settings)
        : settings_(settings)
    {}

    // Records that a request with the prefix was sent to `agent`, or that the agent reported that
    // it holds the prefix. `prefix` is a hash.
    void recordHolder(std::uint64_t prefix, const InstanceId &agent, TimePoint now);
    // Removes `agent` from all prefixes, because it is gone or has lost its cache.
    void removeAgent(const InstanceId &agent);
    // Returns the estimated probability, from 0 to 1, that `agent` holds the prefix at `now`.
    double probability(std::uint64_t prefix, const InstanceId &agent, TimePoint now) const;

    // Returns the number of prefixes in the index.
    std::size_t size() const { return entries_.size(); }

private:
    struct Holder
    {
        InstanceId agent;
        TimePoint recordedAt;
    };

    struct Entry
    {
        std::vector<Holder> holders; // Most recent first.
        std::list<std::uint64_t>::iterator recencyPosition;
    };

    Settings settings_;
    std::list<std::uint64_t> recency_; // Most recent first.
    std::unordered_map<std::uint64_t, Entry> entries_;
};

} // namespace seamarch
