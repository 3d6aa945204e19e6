// Passes an order of the agent that decides on to the agents of other ranks, and collects what
// became of it there.
//
// The relay assumes nothing of the order but that it does no harm when it comes late, twice or not
// at all; see relayplan.h. An agent that does not answer in time counts as lost, and is reached by
// a new connection next time.
//
// Single-threaded. What the constructor is given outlives the object.
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

// A rank, and where its agent listens.
struct RelayTarget
{
    std::uint32_t rank = 0;
    std::string host;
};

// What became of an order at a rank.
struct RelayedAnswer
{
    std::uint32_t rank = 0;
    MapOrderAnswer answer = MapOrderAnswer::Lost;
};

class OrderRelay
{
public:
    using Done = std::function<void(const std::vector<RelayedAnswer> &)>;

    // Agents listen at `agentPort`.
    OrderRelay(EventLoop &loop, RawTransport &transport, int agentPort);
    ~OrderRelay();
    OrderRelay(const OrderRelay &) = delete;
    OrderRelay &operator=(const OrderRelay &) = delete;

    // Calls `done` once, when all have answered or the time for it is over.
    void relay(const MapOrder &order, const std::vector<RelayTarget> &targets, Done done);

private:
    class CallErrors;
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
    // Timers ask whether the object still exists.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::unique_ptr<CallErrors> callErrors_;
    kj::TaskSet tasks_;
};

} // namespace seamarch
