// Reloads an agent's engine to the configured model version, limited by reload permits.
//
// A reload has these steps: collect a permit from every member of the pool, refuse new requests,
// wait until the running ones have ended, order the engine to load the version, wait until it
// serves it, accept requests again, release the permits.
//
// All state is kept in the engine, which reports its version, whether it is loading, and the
// highest fence of the orders it has received. A restarted agent queries it and continues. The
// fence of an order is the version of the configuration, so that an order from an old configuration
// is not executed after a newer one. For engines that do not check fences, the agent queries the
// state before each order and sends it only if its fence is higher than the engine's. This is
// sufficient because only the agent sends orders to its engine.
#pragma once

#include "decision/rollout/reloadpermits.h"
#include "net/eventloop.h"
#include "net/httpclient.h"
#include "seamarch/configdocument.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace seamarch {

// The state that an engine reports.
struct EngineState
{
    std::string version;
    std::uint64_t fence = 0; // The highest fence of the orders that it has received.
    bool loading = false;
};

// The functions of the agent that EngineReloader calls.
class EngineReloaderHost
{
public:
    virtual ~EngineReloaderHost() = default;
    // Makes the agent refuse new requests, or accept them again.
    virtual void setServing(bool serving) = 0;
    // Returns whether no request is queued or running.
    virtual bool upstreamIdle() const = 0;
    // Releases the permit that `member` issued.
    virtual void releasePermit(const InstanceId &member) = 0;
};

// Drives the reloads of one engine over HTTP. The references passed to it must outlive it.
// Single-threaded.
class EngineReloader
{
public:
    EngineReloader(EventLoop &loop, HttpClient &client, EngineReloaderHost &host, InstanceId self,
                   SocketAddress engine);
    EngineReloader(const EngineReloader &) = delete;
    EngineReloader &operator=(const EngineReloader &) = delete;

    // Sets the version that the engine must serve, and the version of the configuration that says
    // so.
    void setTarget(std::string version, ConfigVersion config);
    ReloadPermitCollector &permitCollector() { return permits_; }
    // Takes the next step of a reload, or starts one if it is due. Called periodically.
    void tick();

    // Returns the version that the engine last reported; empty if it has reported none.
    const std::string &engineVersion() const { return engine_.version; }
    // Returns whether a reload is in progress, including the collection of permits.
    bool reloading() const { return step_ != Step::Idle; }

private:
    // Ordering waits for an answer to the state query that precedes the order, then sends the
    // order.
    enum class Step { Idle, Collecting, Draining, Ordering, Loading };

    void fetchState(HttpCallRequest request);
    void queryState();
    void sendOrder();
    void onEngineState(const std::optional<EngineState> &state);
    void advance();
    void finishReload();
    void releasePermits();
    void collectPermits();

    EventLoop &loop_;
    HttpClient &client_;
    EngineReloaderHost &host_;
    InstanceId self_;
    SocketAddress engineAddress_;
    ReloadPermitCollector permits_;
    Step step_ = Step::Idle;
    EngineState engine_;
    std::string targetVersion_;
    ConfigVersion configVersion_;
    TimePoint collectingSince_{};
    bool stateKnown_ = false;        // The engine has reported its state at least once.
    bool inFlight_ = false;          // An HTTP call to the engine is in flight.
    bool ordersUnsupported_ = false; // The engine has no API for orders (status 404).
};

} // namespace seamarch
