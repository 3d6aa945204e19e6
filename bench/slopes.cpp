#include "slopes.h"

#include "config/parse.h"
#include "config/versioneddocument.h"
#include "decision/dispatch/agentcore.h"
#include "decision/dispatch/entrycore.h"
#include "decision/expertmap/mapswitchparticipant.h"
#include "decision/gateway/streamqueue.h"
#include "decision/placement/balancer.h"
#include "observe/metrics.h"

#include <chrono>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <malloc.h>
#include <nlohmann/json.hpp>
#include <random>
#include <unistd.h>

namespace seamarch::bench {
namespace {

using nlohmann::json;

double measureSeconds(const std::function<void()> &action)
{
    const auto start = std::chrono::steady_clock::now();
    action();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

double allocatedHeapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

// Returns the average heap bytes per entity of the `count` entities that `make` allocates.
template <typename Make>
double bytesPerEntity(int count, Make make)
{
    const double before = allocatedHeapBytes();
    const auto entities = make(count);
    return (allocatedHeapBytes() - before) / count;
}

json makeAccountsDocument(int count)
{
    json accounts = json::array();
    for (int index = 0; index < count; ++index) {
        accounts.push_back({{"id", fmt::format("account-{:04}", index)},
                            {"keySha256", json::array({fmt::format("{:064x}", index)})},
                            {"share", 1.0}});
    }
    return {{"version", 1U}, {"accounts", accounts}};
}

InstanceList makeInstanceList(int count)
{
    InstanceList list;
    list.version = ListVersion(1);
    for (int index = 0; index < count; ++index) {
        InstanceRecord record;
        record.id = InstanceId(fmt::format("bid-{:04}", index));
        record.hall = HallId("north");
        record.serves = {TargetName("bid")};
        list.instances.push_back(record);
    }
    return list;
}

std::unique_ptr<EntryCore> makeEntryCore(int candidates)
{
    EntryCore::Settings settings;
    settings.hall = HallId("north");
    settings.incarnation = Incarnation(1);
    auto core = std::make_unique<EntryCore>(settings, std::make_unique<ExpectedWaitRouter>());
    const InstanceList list = makeInstanceList(candidates);
    core->applyList(list);
    EntryActions actions;
    for (const InstanceRecord &record : list.instances) {
        AgentReport report;
        report.incarnation = Incarnation(7);
        report.slots = 8;
        report.tokensPerSecond = 1000;
        core->onReport(record.id, report, TimePoint{}, TimePoint{}, actions);
    }
    return core;
}

// Returns the microseconds that an entry takes to route, track and complete one request.
double entryMicrosPerRequest(int candidates)
{
    constexpr int kRequests = 20'000;
    const auto core = makeEntryCore(candidates);
    EntryRequest request;
    request.account = AccountId("bids");
    request.target = TargetName("bid");
    request.promptTokens = 1000;
    request.answerTokens = 100;
    request.deadline = std::chrono::seconds(60);
    const TimePoint now{};
    const double seconds = measureSeconds([&] {
        for (int index = 0; index < kRequests; ++index) {
            request.prefixHash = static_cast<std::uint64_t>(index % 500) + 1;
            EntryActions actions;
            const RequestId id = core->begin(request, now, actions);
            const InstanceId agent = std::get<SendCall>(actions.front()).agent;
            core->onAccepted(id, true);
            core->onAnswer(id, agent);
            core->onComplete(id, agent, now);
        }
    });
    return seconds / kRequests * 1e6;
}

// Returns the microseconds that an agent takes to queue, start, account for and complete one
// request.
double agentMicrosPerRequest(int accounts)
{
    constexpr int kRequests = 50'000;
    AgentCore::Settings settings;
    settings.self = InstanceId("bid-1");
    settings.incarnation = Incarnation(7);
    AgentCore core(settings, TimePoint{});
    const double seconds = measureSeconds([&] {
        for (int index = 0; index < kRequests; ++index) {
            AgentCall call;
            call.id = {Incarnation(1), static_cast<std::uint64_t>(index) + 1};
            call.account = AccountId(fmt::format("account-{}", index % accounts));
            call.answerTokens = 100;
            call.deadline = std::chrono::hours(1);
            call.agentIncarnation = Incarnation(7);
            AgentActions actions;
            core.onCall(call, TimePoint{}, {}, actions);
            core.onTokens(call.id, 100);
            core.onEnded(call.id, TimePoint{}, actions);
        }
    });
    return seconds / kRequests * 1e6;
}

// Returns the microseconds in which a gateway estimates the wait of a stream, queues it and starts
// the next one, while 10,000 streams of `accounts` accounts wait.
double streamQueueMicrosPerStream(std::uint64_t accounts)
{
    constexpr std::uint64_t kQueued = 10'000;
    constexpr std::uint64_t kStreams = 20'000;
    constexpr std::uint64_t kRoutePriorities = 3;
    std::vector<StreamQueue::Entry> entries;
    for (std::uint64_t number = 1; number <= kQueued + kStreams; ++number) {
        StreamQueue::Entry entry;
        entry.number = number;
        entry.urgency = {1, static_cast<std::uint8_t>(number % kRoutePriorities)};
        entry.account = AccountId(fmt::format("account-{}", number % accounts));
        entry.cost = 100.0;
        entries.push_back(entry);
    }
    StreamQueue queue;
    const TimePoint now{};
    for (std::uint64_t index = 0; index < kQueued; ++index) {
        queue.add(entries[index], now);
    }
    const double seconds = measureSeconds([&] {
        for (std::uint64_t index = kQueued; index < entries.size(); ++index) {
            static_cast<void>(queue.countAhead(entries[index], now));
            queue.add(entries[index], now);
            queue.takeNext(now);
        }
    });
    return seconds / static_cast<double>(kStreams) * 1e6;
}

// Returns the milliseconds of one balancer step with at most one move, for Zipf-distributed
// experts.
double balanceMillisPerStep(std::uint32_t ranks, std::uint32_t experts)
{
    std::vector<double> shares;
    double sum = 0.0;
    for (std::uint32_t expert = 0; expert < experts; ++expert) {
        shares.push_back(1.0 / (expert + 1.0));
        sum += shares.back();
    }
    for (double &share : shares) {
        share /= sum;
    }
    BalanceInput input;
    input.shares = shares;
    input.speeds.assign(ranks, 1.0);
    input.objective = {4.0, 1.0};
    input.maxMoves = 1;
    const std::uint32_t slots = experts / ranks + 1;
    Placement placement = staticPlacement(ranks, slots, experts);
    constexpr int kPlans = 20;
    const double seconds = measureSeconds([&] {
        for (int plan = 0; plan < kPlans; ++plan) {
            placement = balance(placement, input).placement;
        }
    });
    return seconds / kPlans * 1e3;
}

json timeSlopes()
{
    const json document = makeAccountsDocument(2200);
    VersionedDocument versioned;
    versioned.accept(document);
    json next = document;
    next["version"] = 2U;
    next["base"] = 1U;
    next["accounts"][7]["share"] = 3.0;
    VersionedDocument sender = versioned;
    const double diffSeconds = measureSeconds([&] { sender.accept(next); });
    const auto update = sender.updateFor(1);
    const double applySeconds = measureSeconds([&] { versioned.apply(*update); });
    const double validateSeconds = measureSeconds([&] { static_cast<void>(readConfig(next)); });
    return {{"entry_request_us_at_8_candidates", entryMicrosPerRequest(8)},
            {"entry_request_us_at_40_candidates", entryMicrosPerRequest(40)},
            {"agent_request_us_at_10_accounts", agentMicrosPerRequest(10)},
            {"agent_request_us_at_2200_accounts", agentMicrosPerRequest(2200)},
            {"stream_queue_us_at_24_accounts", streamQueueMicrosPerStream(24)},
            {"stream_queue_us_at_2200_accounts", streamQueueMicrosPerStream(2200)},
            {"config_diff_ms_at_2200_accounts", diffSeconds * 1e3},
            {"config_apply_ms_at_2200_accounts", applySeconds * 1e3},
            {"config_validate_ms_at_2200_accounts", validateSeconds * 1e3},
            {"config_update_bytes", update->payload.size()},
            {"balance_step_ms_at_8x16", balanceMillisPerStep(8, 16)},
            {"balance_step_ms_at_32x64", balanceMillisPerStep(32, 64)},
            {"balance_step_ms_at_32x128", balanceMillisPerStep(32, 128)}};
}

json memorySlopes()
{
    const double accountBytes = bytesPerEntity(2200, [](int count) {
        const json document = makeAccountsDocument(count);
        return std::pair(document, *readConfig(document));
    });
    const double agentBytes = bytesPerEntity(760, [](int count) { return makeEntryCore(count); });
    const double requestBytes = bytesPerEntity(20'000, [](int count) {
        auto ledger = std::make_unique<RunLedger>(static_cast<std::size_t>(count));
        for (int index = 0; index < count; ++index) {
            const RequestId id{Incarnation(1), static_cast<std::uint64_t>(index) + 1};
            ledger->enqueue(id);
            ledger->start(id);
            ledger->finish(id);
        }
        return ledger;
    });
    const double prefixBytes = bytesPerEntity(20'000, [](int count) {
        auto index = std::make_unique<PrefixIndex>();
        for (int number = 0; number < count; ++number) {
            index->recordHolder(static_cast<std::uint64_t>(number), InstanceId("bid-0001"),
                                TimePoint{});
        }
        return index;
    });
    const double histogramBytes = bytesPerEntity(1200, [](int count) {
        auto metrics = std::make_unique<Metrics>(static_cast<std::size_t>(count));
        for (int number = 0; number < count; ++number) {
            metrics->observe(RequestStage::Total, AccountId(fmt::format("account-{}", number)),
                             "p0", std::chrono::milliseconds(5));
        }
        return metrics;
    });
    const double ticketBytes = bytesPerEntity(20'000, [](int count) {
        auto issuer = std::make_unique<TicketIssuer>(InstanceId("a"), Incarnation(1), 1,
                                                     static_cast<std::size_t>(count));
        for (int number = 0; number < count; ++number) {
            issuer->issue();
        }
        return issuer;
    });
    return {{"bytes_per_account_in_config", accountBytes},
            {"bytes_per_agent_at_an_entry", agentBytes},
            {"bytes_per_closed_request", requestBytes},
            {"bytes_per_known_prefix", prefixBytes},
            {"bytes_per_histogram", histogramBytes},
            {"bytes_per_ticket", ticketBytes},
            {"bytes_per_expert_of_popularity", 8.0 * (2 + 48)}};
}

} // namespace

int printSlopes()
{
    fmt::print("{}\n", json{{"time", timeSlopes()}, {"memory", memorySlopes()}}.dump(2));
    return 0;
}

} // namespace seamarch::bench
