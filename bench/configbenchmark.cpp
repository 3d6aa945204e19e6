#include "benchmarkresult.h"
#include "config/versioneddocument.h"
#include "decision/membership/linkplan.h"

#include <algorithm>
#include <fmt/format.h>
#include <random>

namespace seamarch::bench {
namespace {

using nlohmann::json;

// The size of a modelled site.
struct SiteSize
{
    int halls = 3;
    int entriesPerHall = 2;
    int agentsPerHall = 5;
    int accounts = 10;
};

constexpr double kLongPollSeconds = 5.0;         // Longest wait of a peer exchange for a change.
constexpr double kOneWayLatencySeconds = 0.0015; // Within a hall and to the platform.
constexpr double kWatchersPerHall = 2;
// Bytes on the wire of an exchange and its answer together, including RPC framing; measured by
// scripts/capacity.
constexpr double kExchangeBytes = 576.0;

json makeDocument(int accounts, std::uint64_t version)
{
    json list = json::array();
    for (int index = 0; index < accounts; ++index) {
        list.push_back({{"id", fmt::format("account-{:04}", index)},
                        {"keySha256", json::array({fmt::format("{:064x}", index)})},
                        {"share", index == 0 ? static_cast<double>(version) : 1.0},
                        {"homeHall", "north"}});
    }
    return {{"version", version}, {"base", version - 1}, {"accounts", list}};
}

// Delay and cost of one configuration change.
struct PropagationResult
{
    double seconds = 0.0;           // Until the change is in force in the last process.
    double updateBytes = 0.0;       // Size of a delta for one change.
    double fullDocumentBytes = 0.0; // Size of the full document.
    double controlBytes = 0.0; // Per second, for exchanges and heartbeats of one entry; maximum.
    double platformCallsPerDay = 0.0;
};

// Models how a change travels from the platform to the watchers of each hall, to the other entries
// and to the agents, with random heartbeat phases from a fixed seed.
PropagationResult simulatePropagation(const SiteSize &size)
{
    std::mt19937_64 random(42);
    std::uniform_real_distribution<double> phase(0.0, 1.0);
    PropagationResult result;
    InstanceList list;
    for (int hall = 0; hall < size.halls; ++hall) {
        for (int agent = 0; agent < size.agentsPerHall; ++agent) {
            InstanceRecord record;
            record.id = InstanceId(fmt::format("h{}-a{}", hall, agent));
            record.hall = HallId(fmt::format("h{}", hall));
            record.serves = {TargetName(fmt::format("m{}", agent % 3))};
            list.instances.push_back(record);
        }
    }
    std::map<InstanceId, double> agentReceivedAt;
    for (int hall = 0; hall < size.halls; ++hall) {
        for (int entry = 0; entry < size.entriesPerHall; ++entry) {
            // Watchers receive the change through their pending watch of the platform and pass it
            // on by answering the exchanges that other entries hold open with them.
            const bool watcher = entry < kWatchersPerHall;
            const double receivedAt = watcher ? kOneWayLatencySeconds : 2 * kOneWayLatencySeconds;
            result.seconds = std::max(result.seconds, receivedAt);
            const InstanceId id(fmt::format("h{}-e{}", hall, entry));
            const auto links = chooseLinks(list, id, HallId(fmt::format("h{}", hall)), {});
            const double period =
                toSeconds(heartbeatPeriod(links.size(), std::chrono::milliseconds(500), {}));
            for (const InstanceId &agent : links) {
                // The agent sees the version in the next heartbeat and requests the update, which
                // the entry then sends.
                const double offeredAt =
                    receivedAt + period * phase(random) + 4 * kOneWayLatencySeconds;
                const auto [at, first] = agentReceivedAt.try_emplace(agent, offeredAt);
                at->second = std::min(at->second, offeredAt);
            }
            // A watcher also answers the pending exchanges of all other entries of its hall.
            const double waiting = watcher ? size.entriesPerHall / kLongPollSeconds : 0.0;
            const double exchanges = static_cast<double>(links.size()) / period
                                     + kWatchersPerHall / kLongPollSeconds + waiting;
            result.controlBytes = std::max(result.controlBytes, exchanges * kExchangeBytes);
        }
    }
    for (const auto &[agent, at] : agentReceivedAt) {
        result.seconds = std::max(result.seconds, at);
    }
    VersionedDocument versions;
    versions.accept(makeDocument(size.accounts, 1));
    versions.accept(makeDocument(size.accounts, 2));
    result.updateBytes = static_cast<double>(versions.updateFor(1)->payload.size());
    result.fullDocumentBytes = static_cast<double>(versions.updateFor(0)->payload.size());
    // A pending watch returns every 5 s or on a change; each watcher holds two watches.
    constexpr double kWatchSeconds = 5.0;
    constexpr double kDay = 86400.0;
    result.platformCallsPerDay = size.halls * kWatchersPerHall * 2 * kDay / kWatchSeconds;
    return result;
}

} // namespace

void addConfigResults(BenchmarkResults &results)
{
    const std::pair<const char *, SiteSize> sizes[] = {
        {"7", {3, 3, 5, 10}}, {"34", {3, 12, 26, 220}}, {"340", {9, 38, 84, 2200}}};
    for (const auto &[name, size] : sizes) {
        const PropagationResult result = simulatePropagation(size);
        const auto label = [name = name](const char *metric) {
            return fmt::format("config.nodes{}.{}", name, metric);
        };
        results.push_back({label("in_force_seconds"), result.seconds, "s", 3.0, true,
                           kLongPollSeconds, "asking every five seconds"});
        results.push_back({label("update_bytes"), result.updateBytes, "bytes", 4096.0, true,
                           result.fullDocumentBytes, "whole document"});
        results.push_back({label("entry_control_bytes_per_second"), result.controlBytes, "bytes/s",
                           15'000.0, true, size.halls * size.agentsPerHall * 2 * kExchangeBytes,
                           "every agent twice a second"});
        results.push_back(
            {label("platform_calls_per_day"), result.platformCallsPerDay, "calls", 700'000.0, true,
             size.halls * (size.entriesPerHall + size.agentsPerHall) * 2 * 86400.0 / 5.0,
             "every process watches"});
    }
}

} // namespace seamarch::bench
