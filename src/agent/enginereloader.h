// Brings an agent's engine to the published version by fenced orders, when its turn has come.
//
// The engine's own word is the only memory: it tells its version, whether it is loading, and the
// highest fence that it was ordered under. An agent that is replaced asks it and goes on. The fence
// is the configuration's version. Engines that do not check fences are asked before each order, and
// an order under a lower fence is not given; the agent is the only one who orders.
//
// Steps: want a turn of every member of the pool, take no new work, wait until what runs has ended,
// order, wait until the engine serves the version, take work again, give the turns back.
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

// What an engine says of itself.
struct EngineState
{
    std::string version;
    std::uint64_t fence = 0;
    bool loading = false;
};

// What the driver needs of the agent around it.
class EngineReloaderHost
{
public:
    virtual ~EngineReloaderHost() = default;
    // Takes no new work, or takes it again.
    virtual void setServing(bool serving) = 0;
    // Tells whether nothing runs or waits at the upstream.
    virtual bool upstreamIdle() const = 0;
    // Gives a turn back to a member of the pool.
    virtual void releasePermit(const InstanceId &member) = 0;
};

class EngineReloader
{
public:
    EngineReloader(EventLoop &loop, HttpClient &client, EngineReloaderHost &host, InstanceId self,
                   SocketAddress engine);
    EngineReloader(const EngineReloader &) = delete;
    EngineReloader &operator=(const EngineReloader &) = delete;

    // Takes the version that the engine should have, from a configuration.
    void setTarget(std::string version, ConfigVersion config);
    ReloadPermitCollector &permitCollector() { return permits_; }
    // Time has passed: takes the next step.
    void tick();

    const std::string &engineVersion() const { return engine_.version; }
    bool reloading() const { return step_ != Step::Idle; }

private:
    enum class Step { Idle, Collecting, Draining, Ordering, Loading };

    class Receiver;

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
    bool stateKnown_ = false;        // The engine has told its state at least once.
    bool inFlight_ = false;          // A call to the engine is under way.
    bool ordersUnsupported_ = false; // The engine takes no orders.
};

} // namespace seamarch
