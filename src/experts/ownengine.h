// The engine that runs beside an expert agent. Its agent queries it and sends it orders on behalf
// of the group's decider. Unlike calls to remote engines, calls to it have no cost and its reports
// are current.
#pragma once

#include "decision/expertmap/choicecounts.h"
#include "decision/expertmap/forwardedorders.h"
#include "experts/engineclient.h"
#include "experts/rankwire.h"
#include "net/eventloop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace seamarch {

// Combines an engine's reports with what only its agent knows: the orders sent through this process
// and the counts since an earlier query. Single-threaded. The constructor's references outlive the
// object.
class OwnEngine
{
public:
    using FactsDone = std::function<void(std::optional<RankFacts>)>;
    using OrderDone = std::function<void(MapOrderAnswer)>;

    OwnEngine(EventLoop &loop, EngineClient &engineClient, SocketAddress engine);
    ~OwnEngine();
    OwnEngine(const OwnEngine &) = delete;
    OwnEngine &operator=(const OwnEngine &) = delete;

    // Passes the engine's facts to `done`, or nothing if the engine did not report in time.
    void fetchFacts(RankQuery query, FactsDone done);
    // Sends an order to the engine. A prepare is answered with Copied when its experts are copied,
    // or with Done if that takes long; the decider then learns of the copy from later reports. An
    // order with a lower fence than an earlier one is answered with Fenced and not sent.
    void sendOrder(const MapOrder &order, OrderDone done);
    // Discards the fences and versions of earlier orders, because the engine has changed groups.
    void resetOrders() { forwardedOrders_ = {}; }

private:
    void awaitCopy(const MapOrder &order, TimePoint deadline, const OrderDone &done);

    EventLoop &loop_;
    EngineClient &engineClient_;
    SocketAddress engine_;
    ChoiceCountHistory countHistory_;
    ForwardedOrders forwardedOrders_;
    // False once the object is destroyed; checked by timers and HTTP callbacks.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace seamarch
