// The one loop of a process, on its one thread.
//
// libwebsockets owns the loop; the kj event loop that Cap'n Proto needs is turned between two calls
// of `lws_service`. Timers are libwebsockets' own. Everything in the network layer hangs on one
// EventLoop, which outlives it all.
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

// Tells kj that the loop around it is another's: kj never blocks and only notes that it has work.
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

// Owns the libwebsockets context, the kj loop and the timers. Not copyable; single-threaded.
class EventLoop
{
public:
    // Creates the loop. Fails when the context cannot be made, for example for want of memory.
    static tl::expected<std::unique_ptr<EventLoop>, NetError> create();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    lws_context *context() const { return context_; }

    // Returns time that never steps back and goes on while the machine is suspended: what was heard
    // before a suspension must be as old after it as it is.
    TimePoint now() const;

    // Calls `action` once after `delay`. The timer can be cancelled until it has fired. A loop that
    // is shutting down takes no timers, and returns zero.
    TimerId schedule(Duration delay, std::function<void()> action);
    void cancel(TimerId timer);

    // Calls `action` on the next turn of the loop.
    void post(std::function<void()> action);

    // Runs until stop() is called; may be called again after that.
    void run();
    void stop();

    // Has `handler` called on the loop's thread soon after interrupt().
    void setInterruptHandler(std::function<void()> handler)
    {
        interruptHandler_ = std::move(handler);
    }
    // May be called from a signal handler.
    void interrupt();

    // Closes every connection. Called after run() and before the servers, clients and transports of
    // the loop are destroyed, because the library tells them of each close.
    void shutDown();

private:
    struct Timer;

    EventLoop();
    void runPosted();
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
    bool closed_ = false; // It has shut down, or is about to.
    volatile std::sig_atomic_t interrupted_ = 0;
};

// Calls `action` again and again, `period` apart, until it is destroyed.
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
