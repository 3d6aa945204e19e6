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

// One upstream with a limit of four streams.
TEST_GROUP(QueueWaitTest)
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

    template <typename Action>
    std::size_t count() const
    {
        return static_cast<std::size_t>(
            std::count_if(actions.begin(), actions.end(), [](const GatewayAction &action) {
                return std::holds_alternative<Action>(action);
            }));
    }
};

// All slots are taken, and no stream has started for more than a second.
TEST(QueueWaitTest, NextStreamWaitsHoweverRarelyStreamsStart)
{
    for (int stream = 0; stream < 4; ++stream) {
        begin(0);
    }
    actions.clear();
    begin(1500);
    LONGS_EQUAL(0, count<RejectRequest>());
    core->onCallerGone(1, actions);
    core->onTick(at(2000), actions);
    LONGS_EQUAL(1, count<StartAttempt>());
}
