// Queued streams that are put back for more urgent ones.
#include "decision/gateway/gatewaycore.h"
#include "decision/gateway/routekinds.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;
using namespace seamarch::testing;

namespace {

constexpr Urgency kUrgent{1, 0};
constexpr Urgency kBackground{1, 2};

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

} // namespace

// One upstream with a limit of ten streams, which ends one stream in 100 ms.
TEST_GROUP(DisplacementTest)
{
    std::unique_ptr<GatewayCore> core;
    GatewayActions actions;
    std::vector<RequestNumber> running;
    int now = 0;

    void setup() override
    {
        GatewayCore::Settings settings;
        settings.hall = HallId("north");
        settings.selector.tracker.streamLimiter.initialLimit = 10.0;
        settings.selector.tracker.streamLimiter.maxLimit = 10.0;
        core = std::make_unique<GatewayCore>(settings);
        UpstreamRecord upstream;
        upstream.id = InstanceId("one");
        upstream.service = TargetName("service");
        upstream.hall = HallId("north");
        upstream.slots = 10;
        core->upstreams().put(upstream);
    }

    RequestNumber begin(Urgency urgency)
    {
        GatewayRequest request;
        request.table = tableFor(Kind::Stream);
        request.route = request.table->match("x", "/");
        request.deadline = std::chrono::seconds(8);
        request.urgency = urgency;
        const std::size_t before = actions.size();
        const RequestNumber number = core->begin(request, at(now), actions);
        recordStarts(before);
        return number;
    }

    void recordStarts(std::size_t from)
    {
        for (std::size_t index = from; index < actions.size(); ++index) {
            if (const auto *start = std::get_if<StartAttempt>(&actions[index])) {
                running.push_back(start->request);
            }
        }
    }

    // Ends the oldest stream in progress and starts queued ones.
    void endOne()
    {
        now += 100;
        const std::size_t before = actions.size();
        core->onCallerGone(running.front(), actions);
        running.erase(running.begin());
        core->onTick(at(now), actions);
        recordStarts(before);
    }

    // Brings the service to its limit and to a steady rate of ten starts a second.
    void fill()
    {
        for (int count = 0; count < 12; ++count) {
            begin(kUrgent);
        }
        for (int count = 0; count < 12; ++count) {
            endOne();
            begin(kUrgent);
        }
    }

    std::vector<RejectRequest> rejections() const
    {
        std::vector<RejectRequest> found;
        for (const GatewayAction &action : actions) {
            if (const auto *reject = std::get_if<RejectRequest>(&action)) {
                found.push_back(*reject);
            }
        }
        return found;
    }
};

TEST(DisplacementTest, ABackgroundStreamWithoutHopeIsRejectedForAnUrgentOne)
{
    fill();
    const RequestNumber background = begin(kBackground);
    actions.clear();
    for (int count = 0; count < 5; ++count) {
        begin(kUrgent);
    }
    // As many urgent streams arrive as start: seven wait, each for about 0.7 s.
    const int queuedAt = now;
    RequestNumber urgent = 0;
    while (rejections().empty()) {
        endOne();
        urgent = begin(kUrgent);
    }

    CHECK(now < queuedAt + 1700); // When a queued stream times out.
    LONGS_EQUAL(1, rejections().size());
    const RejectRequest rejected = rejections().front();
    LONGS_EQUAL(background, rejected.request);
    LONGS_EQUAL(urgent, rejected.displacedBy);
    CHECK_TRUE(rejected.outcome == Outcome::NotRun);
    CHECK_TRUE(rejected.retryAfter >= Duration(std::chrono::milliseconds(400)));
}

// A slot that became free since the last tick belongs to the queue, not to whoever arrives first.
TEST(DisplacementTest, ALessUrgentArrivalDoesNotOvertakeAQueuedStream)
{
    fill();
    const RequestNumber urgent = running.empty() ? 0 : begin(kUrgent);
    while (core->queuedStreams(TargetName("service")) > 1) {
        endOne();
    }
    actions.clear();
    core->onCallerGone(running.front(), actions);
    begin(kBackground);

    LONGS_EQUAL(urgent, running.back());
    LONGS_EQUAL(1, core->queuedStreams(TargetName("service")));
}
