#include "decision/membership/linkplan.h"

#include <algorithm>
#include <map>
#include <vector>
#include <xxhash.h>

namespace seamarch {
namespace {

// The agents of one target, in the entry's own hall and in other halls.
struct Pool
{
    std::vector<InstanceId> local;
    std::vector<InstanceId> remote;
};

void sortByRendezvous(std::vector<InstanceId> &agents, const InstanceId &entry)
{
    const std::uint64_t seed = XXH3_64bits(entry.value().data(), entry.value().size());
    const auto hash = [seed](const InstanceId &agent) {
        return XXH3_64bits_withSeed(agent.value().data(), agent.value().size(), seed);
    };
    std::sort(agents.begin(), agents.end(), [&](const InstanceId &left, const InstanceId &right) {
        return std::pair(hash(left), left) < std::pair(hash(right), right);
    });
}

void insertFirst(const std::vector<InstanceId> &agents, std::size_t count,
                 std::set<InstanceId> &chosen)
{
    const std::size_t inserted = std::min(count, agents.size());
    chosen.insert(agents.begin(), agents.begin() + static_cast<std::ptrdiff_t>(inserted));
}

} // namespace

std::set<InstanceId> chooseLinks(const InstanceList &list, const InstanceId &entry,
                                 const HallId &hall, const LinkBudget &budget)
{
    std::set<InstanceId> all;
    std::map<TargetName, Pool> pools;
    for (const InstanceRecord &record : list.instances) {
        if (record.role != InstanceRole::Agent) {
            continue;
        }
        all.insert(record.id);
        for (const TargetName &target : record.serves) {
            Pool &pool = pools[target];
            (record.hall == hall ? pool.local : pool.remote).push_back(record.id);
        }
    }
    if (all.size() <= budget.maxLinks) {
        return all;
    }
    const std::size_t remoteTotal = budget.remotePerTarget * pools.size();
    const std::size_t localTotal =
        budget.maxLinks > remoteTotal ? budget.maxLinks - remoteTotal : 0;
    const std::size_t localPerTarget = std::max<std::size_t>(1, localTotal / pools.size());
    std::set<InstanceId> chosen;
    for (auto &[target, pool] : pools) {
        sortByRendezvous(pool.local, entry);
        sortByRendezvous(pool.remote, entry);
        insertFirst(pool.local, localPerTarget, chosen);
        insertFirst(pool.remote, budget.remotePerTarget, chosen);
    }
    return chosen;
}

Duration heartbeatPeriod(std::size_t links, Duration minPeriod, const LinkBudget &budget)
{
    const Duration needed = fromSeconds(static_cast<double>(links) / budget.heartbeatsPerSecond);
    return std::max(minPeriod, needed);
}

} // namespace seamarch
