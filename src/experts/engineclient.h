// Asks one engine for what its agent and its group's decider need, and hands it orders.
#pragma once

#include "experts/engineprotocol.h"
#include "net/eventloop.h"
#include "net/httpclient.h"

#include <functional>
#include <optional>

namespace seamarch {

// What an engine, or the agent beside it, is asked for beside its report.
struct RankQuery
{
    bool counts = false;
    bool experts = false;
    std::uint64_t countsSince = 0; // Agents count from the moment that this mark names.
};

// What it answered.
struct EngineFacts
{
    RankReport report;
    std::vector<std::uint64_t> counts; // Since its start. Empty: not asked for, or not answered.
    std::optional<ExpertsOfRank> experts;
};

class EngineClient
{
public:
    // The loop, the client and the calls outlive the object.
    EngineClient(EventLoop &loop, HttpClient &client, const EngineProtocol &protocol)
        : loop_(loop)
        , client_(client)
        , protocol_(protocol)
    {}

    // Hands over the facts, or nothing when the engine did not answer in time.
    void fetchFacts(const SocketAddress &engine, RankQuery query,
                    std::function<void(std::optional<EngineFacts>)> done);
    void sendOrder(const SocketAddress &engine, const MapOrder &order,
                   std::function<void(MapOrderAnswer)> done);

private:
    struct PendingQuery;

    void fetchCounts(const std::shared_ptr<PendingQuery> &pending);
    void fetchExperts(const std::shared_ptr<PendingQuery> &pending);

    EventLoop &loop_;
    HttpClient &client_;
    const EngineProtocol &protocol_;
};

} // namespace seamarch
