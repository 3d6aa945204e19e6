// Queries engines over HTTP and sends them expert map orders.
#pragma once

#include "experts/engineprotocol.h"
#include "net/eventloop.h"
#include "net/httpclient.h"

#include <functional>
#include <optional>

namespace seamarch {

// Selects what an engine, or the agent beside it, is to return in addition to its report.
struct RankQuery
{
    bool counts = false;
    bool experts = false;
    std::uint64_t countsSince = 0; // Snapshot at which an agent's counts start; engines ignore it.
};

// An engine's answer to a query.
struct EngineFacts
{
    RankReport report;
    std::vector<std::uint64_t> counts; // Since the engine started. Empty: not queried or no answer.
    std::optional<ExpertsOfRank> experts; // Empty: not queried or no answer.
};

// A stateless client for any number of engines. Single-threaded.
class EngineClient
{
public:
    // The loop, the client and the protocol outlive the object and its calls.
    EngineClient(EventLoop &loop, HttpClient &client, const EngineProtocol &protocol)
        : loop_(loop)
        , client_(client)
        , protocol_(protocol)
    {}

    // Passes the engine's facts to `done`, or nothing if no valid report arrived in time. Counts
    // and experts that the engine fails to return are left empty.
    void fetchFacts(const SocketAddress &engine, RankQuery query,
                    std::function<void(std::optional<EngineFacts>)> done);
    // Sends `order` and passes the outcome to `done`; Lost if no answer arrived in time.
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
