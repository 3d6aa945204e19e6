#include "net/eventloop.h"

#include <CppUTest/TestHarness.h>

#include <kj/async.h>

using namespace seamarch;
using namespace std::chrono_literals;

namespace {

constexpr Duration kIdleTime = 400ms; // Nothing else wakes the loop for this long.
constexpr Duration kMaxDelay = 50ms;  // Scheduling of a busy machine.

} // namespace

TEST_GROUP(EventLoopTimerTest)
{
    std::unique_ptr<EventLoop> loop = *EventLoop::create();
    TimePoint firedAt{};
    TimePoint ranAt{};

    void runUntilStopped()
    {
        loop->schedule(10ms + kIdleTime, [this] { loop->stop(); });
        loop->run();
    }

    void checkRanAtOnce()
    {
        CHECK_TRUE(firedAt != TimePoint{} && ranAt != TimePoint{});
        CHECK_TEXT(ranAt - firedAt < kMaxDelay,
                   "what a timer has made runnable waited for the next event or timer");
    }
};

// Guards against calls to other processes that a timer sends, and that wait for the next event.
TEST(EventLoopTimerTest, RunsPromiseFulfilledByTimerAtOnce)
{
    auto paf = kj::newPromiseAndFulfiller<void>();
    const auto promise = paf.promise.then([this] { ranAt = loop->now(); }).eagerlyEvaluate(nullptr);
    loop->schedule(10ms, [&] {
        firedAt = loop->now();
        paf.fulfiller->fulfill();
    });
    runUntilStopped();
    checkRanAtOnce();
}

TEST(EventLoopTimerTest, RunsActionPostedByTimerAtOnce)
{
    loop->schedule(10ms, [&] {
        firedAt = loop->now();
        loop->post([this] { ranAt = loop->now(); });
    });
    runUntilStopped();
    checkRanAtOnce();
}
