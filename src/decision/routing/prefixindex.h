// What an entry believes about which agents hold a prompt prefix in their cache.
//
// Cache events come late and with gaps, so the knowledge is a probability that decays with age:
// caches are limited and evict. The index is bounded; the least recently used prefix goes first.
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
        std::size_t capacity = 20'000;
        std::size_t holdersPerPrefix = 4;
        Duration halfLife = std::chrono::seconds(120);
    };

    PrefixIndex() = default;
    explicit PrefixIndex(Settings settings)
        : settings_(settings)
    {}

    // A request with the prefix was sent to `agent`, or the agent reported that it holds it.
    void recordHolder(std::uint64_t prefix, const InstanceId &agent, TimePoint now);
    // The agent is gone or has lost its cache.
    void removeAgent(const InstanceId &agent);
    // Returns the probability that `agent` holds the prefix.
    double probability(std::uint64_t prefix, const InstanceId &agent, TimePoint now) const;

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
