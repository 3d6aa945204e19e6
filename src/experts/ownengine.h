// The engine beside an agent, as the agent sees it: it asks the engine on behalf of the agent that
// decides, and hands it that agent's orders. Calls to it are free and its reports are fresh.
//
// Single-threaded. What the constructor is given outlives the object.
#pragma once

#include "decision/expertmap/choicecounts.h"
#include "decision/expertmap/handedorders.h"
#include "experts/engineclient.h"
#include "experts/rankwire.h"
#include "net/eventloop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace seamarch {

class OwnEngine
{
public:
    using FactsDone = std::function<void(std::optional<RankFacts>)>;
    using OrderDone = std::function<void(MapOrderAnswer)>;

    OwnEngine(EventLoop &loop, EngineClient &engineClient, SocketAddress engine);
    ~OwnEngine();
    OwnEngine(const OwnEngine &) = delete;
    OwnEngine &operator=(const OwnEngine &) = delete;

    // Hands over the facts, or nothing when the engine did not answer in time.
    void fetchFacts(RankQuery query, FactsDone done);
    // Hands an order to the engine. A prepare is answered when its experts are copied, or as begun
    // when that takes long: the agent that decides then learns of it with the next reports. An
    // order under a lower fence than an earlier one is refused here.
    void sendOrder(const MapOrder &order, OrderDone done);
    // Forgets the fences and versions that were used: the engine is in another group.
    void resetOrders() { handedOrders_ = {}; }

private:
    void awaitCopy(const MapOrder &order, TimePoint deadline, const OrderDone &done);

    EventLoop &loop_;
    EngineClient &engineClient_;
    SocketAddress engine_;
    ChoiceLedger choiceLedger_;
    HandedOrders handedOrders_;
    // Timers and answers ask whether the object still exists.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace seamarch
