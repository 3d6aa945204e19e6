// How long queued streams wait before they are rejected.
#include "decision/gateway/gatewaycore.h"
#include "decision/gateway/routekinds.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace seamarch;
using namespace seamarch::testing;

namespace {

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

} // namespace

// One upstream with a limit of three streams.
TEST_GROUP(QueueWaitTest)
{
    std::unique_ptr<GatewayCore> core;
    GatewayActions actions;
    std::shared_ptr<const RouteTable> table = tableFor(Kind::Stream);

    void setup() override
    {
        GatewayCore::Settings settings;
        settings.hall = HallId("north");
        settings.selector.tracker.streamLimiter.initialLimit = 3.0;
        settings.selector.tracker.streamLimiter.maxLimit = 3.0;
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

    // Three streams start at `start` and have their first events `time` ms later.
    void startSlowly(int start, int time)
    {
        for (RequestNumber stream = 1; stream <= 3; ++stream) {
            core->onHead(begin(start), AnswerKind::Success, at(start), actions);
        }
        for (RequestNumber stream = 1; stream <= 3; ++stream) {
            core->onFirstEvent(stream, at(start + time));
        }
        actions.clear();
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

// First events come 0.9 s after the start, and a caller leaves after 2 s without one.
TEST(QueueWaitTest, StreamIsRejectedOnceItsFirstEventWouldComeAfterItsCallerHasLeft)
{
    startSlowly(0, 900);
    begin(700);
    core->onTick(at(1775), actions);
    LONGS_EQUAL(0, count<RejectRequest>());
    core->onTick(at(1825), actions);
    LONGS_EQUAL(1, count<RejectRequest>());
}

// Otherwise a gateway whose streams are all rejected would never learn that the pace is back.
TEST(QueueWaitTest, TimesOfMoreThanASecondAgoRejectNobody)
{
    startSlowly(0, 900);
    begin(950);
    core->onTick(at(2250), actions);
    LONGS_EQUAL(0, count<RejectRequest>());
}
