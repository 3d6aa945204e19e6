// Forwards an order from the group's decider to the agents of other ranks and collects their
// answers.
//
// Only orders that are harmless when they arrive late, twice or not at all may be relayed; see
// relayplan.h. If an agent does not answer in time, its answer is reported as lost, and the next
// order to it uses a new connection.
#pragma once

#include "decision/expertmap/groupdecider.h"
#include "net/eventloop.h"
#include "net/rawtransport.h"
#include "net/rpclink.h"

#include <functional>
#include <kj/async.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace seamarch {

// A rank and the host of its agent.
struct RelayTarget
{
    std::uint32_t rank = 0;
    std::string host;
};

// The outcome of a relayed order at one rank.
struct RelayedAnswer
{
    std::uint32_t rank = 0;
    MapOrderAnswer answer = MapOrderAnswer::Lost;
};

// Keeps one RPC link per agent and closes links that are idle. Single-threaded. The constructor's
// references outlive the object.
class OrderRelay
{
public:
    using Done = std::function<void(const std::vector<RelayedAnswer> &)>;

    // All agents listen on `agentPort`.
    OrderRelay(EventLoop &loop, RawTransport &transport, int agentPort);
    ~OrderRelay();
    OrderRelay(const OrderRelay &) = delete;
    OrderRelay &operator=(const OrderRelay &) = delete;

    // Sends `order` to all targets. Calls `done` once, when all have answered or the timeout has
    // elapsed; a target without an answer is reported as MapOrderAnswer::Lost.
    void relay(const MapOrder &order, const std::vector<RelayTarget> &targets, Done done);

private:
    class CallErrorLogger;
    struct Batch;

    struct Link
    {
        std::unique_ptr<RpcLink> link;
        TimePoint lastUsedAt{};
    };

    RpcLink &linkTo(const std::string &host);
    void closeIdleLinks();
    void send(const MapOrder &order, const RelayTarget &target,
              const std::shared_ptr<Batch> &batch);
    void onAnswer(Batch &batch, std::uint32_t rank, MapOrderAnswer answer);
    void onTimeout(Batch &batch);

    EventLoop &loop_;
    RawTransport &transport_;
    int agentPort_;
    std::map<std::string, Link> links_; // By host.
    // False once the object is destroyed; checked by timers.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::unique_ptr<CallErrorLogger> callErrorLogger_;
    kj::TaskSet tasks_;
};

} // namespace seamarch
