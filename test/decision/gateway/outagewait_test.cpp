// Streams that come while no group accepts requests.
#include "decision/gateway/gatewaycore.h"
#include "decision/gateway/routekinds.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <utility>

using namespace seamarch;
using namespace seamarch::testing;

namespace {

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

} // namespace

// One upstream with a limit of four streams.
TEST_GROUP(OutageWaitTest)
{
    std::unique_ptr<GatewayCore> core;
    GatewayActions actions;
    std::shared_ptr<const RouteTable> table = tableFor(Kind::Stream);

    void setup() override
    {
        GatewayCore::Settings settings;
        settings.hall = HallId("north");
        settings.selector.tracker.streamLimiter.initialLimit = 4.0;
        settings.selector.tracker.streamLimiter.maxLimit = 4.0;
        core = std::make_unique<GatewayCore>(settings);
        UpstreamRecord upstream;
        upstream.id = InstanceId("one");
        upstream.service = TargetName("service");
        upstream.hall = HallId("north");
        upstream.slots = 4;
        core->upstreams().put(upstream);
    }

    RequestNumber begin(int now, int deadline = 8000)
    {
        GatewayRequest request;
        request.table = table;
        request.route = table->match("x", "/");
        request.size = {500, 100};
        request.deadline = std::chrono::milliseconds(deadline);
        return core->begin(request, at(now), actions);
    }

    // The group serves a stream and refuses all from `now` on, for long enough to count as out.
    void breakGroup(int now)
    {
        core->onHead(begin(now), AnswerKind::Success, at(now), actions);
        core->onCallerGone(1, actions);
        for (const int time : {now, now + 500}) { // The last one is a probe.
            core->onHead(begin(time), AnswerKind::Full, at(time), actions);
        }
        actions.clear();
    }

    // Refuses the streams that were sent.
    void refuseAll(int now)
    {
        for (const GatewayAction &action : std::exchange(actions, {})) {
            if (const auto *start = std::get_if<StartAttempt>(&action)) {
                core->onHead(start->request, AnswerKind::Full, at(now), actions);
            }
        }
    }

    template <typename Action>
    const Action *first() const
    {
        for (const GatewayAction &action : actions) {
            if (const auto *found = std::get_if<Action>(&action)) {
                return found;
            }
        }
        return nullptr;
    }

    template <typename Action>
    std::size_t count() const
    {
        return static_cast<std::size_t>(
            std::count_if(actions.begin(), actions.end(), [](const GatewayAction &action) {
                return std::holds_alternative<Action>(action);
            }));
    }
};

// A caller that is told to come back at once would be back in the same outage, and does not come a
// third time.
TEST(OutageWaitTest, StreamWaitsForAsLongAsItsCallerBears)
{
    breakGroup(0);
    begin(560);
    begin(570);
    core->onTick(at(2200), actions); // One is sent as a probe, which the group does not answer.
    LONGS_EQUAL(0, count<RejectRequest>());
    core->onTick(at(2275), actions);
    LONGS_EQUAL(1, count<RejectRequest>());
}

TEST(OutageWaitTest, CallerThatWaitedIsToldToReturnAsLateAsItHonours)
{
    breakGroup(0);
    begin(560);
    core->onTick(at(2260), actions);
    const auto *rejection = first<RejectRequest>();
    CHECK_TRUE(rejection != nullptr);
    CHECK_TRUE(rejection->outcome == Outcome::NotRun && rejection->inOutage);
    CHECK_TRUE(rejection->retryAfter == std::chrono::milliseconds(6300) / 3);
}

TEST(OutageWaitTest, OnlyProbesAreSentInAnOutage)
{
    breakGroup(0);
    std::size_t sent = 0;
    for (int now = 550; now < 1550; now += 50) {
        begin(now);
        core->onTick(at(now), actions);
        sent += count<StartAttempt>();
        refuseAll(now);
        actions.clear();
    }
    CHECK_TEXT(sent >= 3 && sent <= 5, "expected a probe every 250 ms");
}

TEST(OutageWaitTest, WaitingStreamsStartWhenTheOutageEnds)
{
    breakGroup(0);
    begin(560);
    begin(570);
    actions.clear();
    core->onTick(at(850), actions);
    const auto *probe = first<StartAttempt>();
    CHECK_TRUE(probe != nullptr);
    const RequestNumber found = probe->request;
    core->onHead(found, AnswerKind::Success, at(860), actions);
    core->onTick(at(875), actions);
    LONGS_EQUAL(2, count<StartAttempt>());
    LONGS_EQUAL(0, count<RejectRequest>());
}

TEST(OutageWaitTest, OthersKeepWaitingWhenAProbeIsRefused)
{
    breakGroup(0);
    begin(560);
    begin(570);
    core->onTick(at(800), actions); // Sends a probe, which the group refuses.
    refuseAll(805);
    core->onTick(at(825), actions);
    LONGS_EQUAL(1, core->queuedStreams(TargetName("service")));
    LONGS_EQUAL(0, count<StartAttempt>());
}

// More than twice the slots could not start soon after the outage.
TEST(OutageWaitTest, OnlyAsManyWaitAsCanStartSoonAfterTheOutage)
{
    breakGroup(0);
    const auto room =
        static_cast<std::size_t>(std::ceil(2.0 * core->streamLimit(TargetName("service"))));
    for (std::size_t stream = 0; stream <= room; ++stream) {
        begin(560);
    }
    LONGS_EQUAL(room, count<AwaitGroup>());
    LONGS_EQUAL(1, count<RejectRequest>());
    CHECK_TRUE(first<RejectRequest>()->retryAfter > std::chrono::seconds(2));
}
