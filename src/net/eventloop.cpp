#include "net/eventloop.h"

#include "base/log.h"

#include <ctime>
#include <string>
#include <sys/resource.h>
#include <utility>

namespace seamarch {
namespace {

constexpr int kMaxHttpHeaderBytes = 16 * 1024;
constexpr int kNetworkTimeoutSeconds = 20;
// The minimum time between two flushes of the log while the loop runs, so that one system call
// writes many lines.
constexpr Duration kLogFlushInterval = std::chrono::milliseconds(50);

void writeLibraryLog(int level, const char *line)
{
    std::string text(line);
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
        text.pop_back();
    }
    logLine(level == LLL_ERR ? LogLevel::Warning : LogLevel::Debug, "libwebsockets",
            {{"message", text}});
}

// Limits the number of open descriptors. Whenever libwebsockets opens or closes a descriptor it
// scans a table with one entry for each descriptor that the process may open; with a high limit the
// scan takes a large part of the time of a short request.
void limitDescriptors()
{
    constexpr rlim_t kMaxDescriptors = 8192;
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur > kMaxDescriptors) {
        limit.rlim_cur = kMaxDescriptors;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

} // namespace

struct EventLoop::Timer
{
    // Must be the first member: onTimer() casts a pointer to the entry to a pointer to the timer.
    lws_sorted_usec_list_t entry{};
    EventLoop *loop = nullptr;
    TimerId id = 0;
    std::function<void()> action;
};

EventLoop::EventLoop()
    : kjLoop_(eventPort_)
    , waitScope_(kjLoop_)
{}

EventLoop::~EventLoop()
{
    shutDown();
}

void EventLoop::shutDown()
{
    if (context_ == nullptr) {
        return;
    }
    closed_ = true;
    // Destroying a timer's action may cancel other timers, so `timers_` is emptied first.
    const auto timers = std::exchange(timers_, {});
    for (const auto &[id, timer] : timers) {
        lws_sul_cancel(&timer->entry);
    }
    lws_context *context = context_;
    lws_context_destroy(context);
    context_ = nullptr;
}

tl::expected<std::unique_ptr<EventLoop>, NetError> EventLoop::create()
{
    lws_set_log_level(LLL_ERR | LLL_WARN, writeLibraryLog);
    limitDescriptors();
    std::unique_ptr<EventLoop> loop(new EventLoop);
    lws_context_creation_info info{};
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DISABLE_IPV6;
    info.max_http_header_data2 = kMaxHttpHeaderBytes;
    info.max_http_header_data = kMaxHttpHeaderBytes;
    info.timeout_secs = kNetworkTimeoutSeconds;
    info.pt_serv_buf_size = 64 * 1024;
    loop->context_ = lws_create_context(&info);
    if (loop->context_ == nullptr) {
        return tl::unexpected(
            NetError{NetError::Kind::ContextFailed, "cannot create the libwebsockets context"});
    }
    return loop;
}

TimePoint EventLoop::now() const
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

TimerId EventLoop::schedule(Duration delay, std::function<void()> action)
{
    if (closed_) {
        return 0; // Users that are notified of a closed connection may retry; the context is gone.
    }
    auto timer = std::make_unique<Timer>();
    timer->loop = this;
    timer->id = nextTimer_++;
    timer->action = std::move(action);
    const TimerId id = timer->id;
    const Duration minimumDelay(1);
    lws_sul_schedule(context_, 0, &timer->entry, onTimer, std::max(delay, minimumDelay).count());
    timers_.emplace(id, std::move(timer));
    return id;
}

void EventLoop::cancel(TimerId timer)
{
    const auto found = timers_.find(timer);
    if (found == timers_.end()) {
        return;
    }
    lws_sul_cancel(&found->second->entry);
    timers_.erase(found);
}

void EventLoop::onTimer(lws_sorted_usec_list_t *entry)
{
    auto *timer = reinterpret_cast<Timer *>(entry);
    EventLoop &loop = *timer->loop;
    const auto action = std::move(timer->action);
    loop.timers_.erase(timer->id);
    action();
    loop.runBeforeWaiting();
}

// Runs what a timer has made runnable. libwebsockets fires timers right before it waits for events,
// so that messages written by promises would otherwise wait as well.
void EventLoop::runBeforeWaiting()
{
    if (eventPort_.runnable()) {
        kjLoop_.run();
    }
    if (!posted_.empty()) {
        lws_cancel_service(context_); // Posted actions may close connections of the present call.
    }
}

void EventLoop::post(std::function<void()> action)
{
    posted_.push_back(std::move(action));
}

void EventLoop::runPosted()
{
    std::vector<std::function<void()>> batch;
    batch.swap(posted_);
    for (const auto &action : batch) {
        action();
    }
}

void EventLoop::run()
{
    constexpr int kPollOnly = -1;
    constexpr int kWaitForEvents = 0;
    TimePoint flushedAt = now();
    while (!stopping_) {
        if (now() - flushedAt >= kLogFlushInterval) {
            flushLog();
            flushedAt = now();
        }
        kjLoop_.run();
        runPosted();
        handleInterrupt();
        const bool busy = eventPort_.runnable() || !posted_.empty();
        if (lws_service(context_, busy ? kPollOnly : kWaitForEvents) < 0) {
            break;
        }
    }
    stopping_ = false;
    flushLog();
}

void EventLoop::stop()
{
    stopping_ = true;
    lws_cancel_service(context_);
}

void EventLoop::interrupt()
{
    interrupted_ = 1;
    lws_cancel_service(context_);
}

void EventLoop::handleInterrupt()
{
    if (interrupted_ == 0) {
        return;
    }
    interrupted_ = 0;
    if (interruptHandler_) {
        interruptHandler_();
    }
}

PeriodicTimer::PeriodicTimer(EventLoop &loop, Duration period, std::function<void()> action)
    : loop_(loop)
    , period_(period)
    , action_(std::move(action))
{
    arm();
}

PeriodicTimer::~PeriodicTimer()
{
    loop_.cancel(timer_);
}

void PeriodicTimer::arm()
{
    timer_ = loop_.schedule(period_, [this] {
        arm();
        action_();
    });
}

} // namespace seamarch
