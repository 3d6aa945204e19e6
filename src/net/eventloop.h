// The event loop of the process. It runs on a single thread.
//
// libwebsockets drives the loop; the kj event loop that Cap'n Proto needs runs between two calls of
// `lws_service`. Timers are libwebsockets timers. All objects of the network layer use the same
// EventLoop, which must outlive them.
#pragma once

#include "net/neterror.h"
#include "seamarch/units.h"

#include <csignal>
#include <cstdint>
#include <functional>
#include <kj/async.h>
#include <libwebsockets.h>
#include <map>
#include <memory>
#include <tl/expected.hpp>
#include <vector>

namespace seamarch {

namespace detail {

// Embeds kj's event loop in another loop: kj never blocks in it and only records whether it has
// work.
class NonBlockingEventPort final : public kj::EventPort
{
public:
    bool wait() override { return false; }
    bool poll() override { return false; }
    void setRunnable(bool runnable) override { runnable_ = runnable; }
    bool runnable() const { return runnable_; }

private:
    bool runnable_ = false;
};

} // namespace detail

using TimerId = std::uint64_t;

// The loop runs expired timers before it reads sockets. A deadline is applied so much later: by
// then, what had arrived by the deadline has been read, also if the process was held up meanwhile.
constexpr Duration kReadTime = std::chrono::milliseconds(1);

// Runs the libwebsockets context, the kj loop and the timers, all of which it owns.
// Single-threaded.
class EventLoop
{
public:
    // Creates the loop. Fails if the libwebsockets context cannot be created, for example because
    // memory is exhausted.
    static tl::expected<std::unique_ptr<EventLoop>, NetError> create();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    lws_context *context() const { return context_; }

    // Returns the monotonic time including time that the machine was suspended, so that data
    // received before a suspension shows its true age after it.
    TimePoint now() const;

    // Calls `action` once after `delay`, which is raised to 1 us if it is shorter. Returns an id
    // for cancel(). Schedules nothing and returns 0 once shutDown() has begun.
    TimerId schedule(Duration delay, std::function<void()> action);
    // Cancels a timer. Has no effect if the timer has fired or `timer` is 0.
    void cancel(TimerId timer);

    // Calls `action` in the next iteration of the loop.
    void post(std::function<void()> action);

    // Runs the loop until stop() is called. May be called again after it has returned.
    void run();
    void stop();

    // Sets the handler that the loop calls on its thread after interrupt().
    void setInterruptHandler(std::function<void()> handler)
    {
        interruptHandler_ = std::move(handler);
    }
    // Requests a call of the interrupt handler. Safe to call from a signal handler.
    void interrupt();

    // Closes every connection. Call it after run() has returned and before the servers, clients and
    // transports of the loop are destroyed, because libwebsockets notifies them of each close.
    void shutDown();

private:
    struct Timer;

    EventLoop();
    void runPosted();
    void runBeforeWaiting();
    void handleInterrupt();
    static void onTimer(lws_sorted_usec_list_t *entry);

    detail::NonBlockingEventPort eventPort_;
    kj::EventLoop kjLoop_;
    kj::WaitScope waitScope_;
    lws_context *context_ = nullptr;
    std::map<TimerId, std::unique_ptr<Timer>> timers_;
    TimerId nextTimer_ = 1;
    std::vector<std::function<void()>> posted_;
    std::function<void()> interruptHandler_;
    bool stopping_ = false;
    bool closed_ = false; // Set when shutDown() begins.
    volatile std::sig_atomic_t interrupted_ = 0;
};

// Calls `action` every `period` until the timer is destroyed. The first call comes after one
// period.
class PeriodicTimer
{
public:
    PeriodicTimer(EventLoop &loop, Duration period, std::function<void()> action);
    ~PeriodicTimer();
    PeriodicTimer(const PeriodicTimer &) = delete;
    PeriodicTimer &operator=(const PeriodicTimer &) = delete;

private:
    void arm();

    EventLoop &loop_;
    Duration period_;
    std::function<void()> action_;
    TimerId timer_ = 0;
};

} // namespace seamarch
