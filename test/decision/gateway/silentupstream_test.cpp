// Engines whose answers are lost (30 % of those of a third of a service, for six seconds), that
// hang, or whose machine is frozen send nothing and reset no connection. Callers disconnect from a
// stream after two seconds of silence, so a request is served only if another engine answers before
// that.
#include "decision/gateway/gatewaycore.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

constexpr int kPass = 100; // Milliseconds between the events of a stream.

} // namespace

TEST_GROUP(SilentUpstreamTest)
{
    GatewayCore::Settings settings;
    std::unique_ptr<GatewayCore> core;
    GatewayActions actions;
    RoutingDocument document;
    std::shared_ptr<const RouteTable> table;

    void setup() override
    {
        settings.hall = HallId("north");
        settings.seed = 1;
        settings.retries = {0.2, 88.0};
        core = std::make_unique<GatewayCore>(settings);
        put("north-1", "north", 1);
        put("north-2", "north", 2);
        RouteRule route;
        route.name = "route";
        route.host = "x";
        route.pathPrefix = "/";
        route.targets = {{TargetName("service"), 1}};
        route.streamed = true;
        route.resumable = true;
        route.timeout = std::chrono::seconds(8);
        route.latencyTarget = std::chrono::milliseconds(500);
        route.gapTarget = std::chrono::milliseconds(150);
        route.silenceTimeout = std::chrono::seconds(2);
        route.maxAttempts = 2;
        document.routes = {route};
    }

    void put(const char *id, const char *hall, int port)
    {
        UpstreamRecord record;
        record.id = InstanceId(id);
        record.service = TargetName("service");
        record.hall = HallId(hall);
        record.host = hall;
        record.port = port;
        record.slots = 10;
        core->upstreams().put(record);
    }

    void learnGroup(const char *name, const std::vector<int> &ports)
    {
        GroupFacts facts;
        facts.group = GroupId(name);
        for (const int port : ports) {
            facts.members.push_back({name, port, 1.0});
        }
        core->groups().update(facts, at(0));
    }

    RequestNumber begin(int now)
    {
        table = std::make_shared<const RouteTable>(document);
        GatewayRequest request;
        request.table = table;
        request.route = table->match("x", "/");
        request.deadline = std::chrono::seconds(8);
        return core->begin(request, at(now), actions);
    }

    // Starts the answer to a request.
    void answer(RequestNumber number, int now)
    {
        core->onHead(number, AnswerKind::Success, at(now), actions);
        core->onFirstEvent(number, at(now));
    }

    // Advances the time; the streams in `producing` get an event at each pass.
    void pass(int from, int to, const std::vector<RequestNumber> &producing)
    {
        for (int now = from; now < to; now += kPass) {
            for (const RequestNumber number : producing) {
                core->onPause(number, std::chrono::milliseconds(kPass), at(now));
            }
            core->onTick(at(now), actions);
        }
    }

    // Returns the upstream of the request's last attempt since the actions were cleared; empty if
    // there is none.
    std::string lastSent(RequestNumber number)
    {
        std::string sent;
        for (const GatewayAction &action : actions) {
            const auto *start = std::get_if<StartAttempt>(&action);
            if (start != nullptr && start->request == number) {
                sent = start->upstream.id.value();
            }
        }
        return sent;
    }

    bool cancelledAsSilent(RequestNumber number)
    {
        for (const GatewayAction &action : actions) {
            const auto *cancel = std::get_if<CancelAttempt>(&action);
            if (cancel != nullptr && cancel->request == number
                && cancel->reason == CancelReason::Silent) {
                return true;
            }
        }
        return false;
    }
};

TEST(SilentUpstreamTest, SilentStreamFailsOverWhileItsGroupMakesProgress)
{
    const RequestNumber active = begin(0);
    const RequestNumber silent = begin(0);
    const std::string before = lastSent(silent);
    answer(active, 50);
    actions.clear();
    pass(100, 1000, {active});
    STRCMP_EQUAL("", lastSent(silent).c_str());
    pass(1000, 1100, {active});
    CHECK_TRUE(cancelledAsSilent(silent));
    CHECK_TRUE(!lastSent(silent).empty());
    CHECK_TRUE_TEXT(lastSent(silent) != before, "expected another upstream than the silent one");
    CHECK_FALSE(cancelledAsSilent(active));
}

// Part of the answer was forwarded: the stream resumes at another engine after the last complete
// event.
TEST(SilentUpstreamTest, StreamThatFallsSilentMidwayFailsOver)
{
    const RequestNumber active = begin(0);
    const RequestNumber silent = begin(0);
    answer(active, 50);
    answer(silent, 50);
    actions.clear();
    pass(100, 700, {active, silent});
    pass(700, 1500, {active});
    CHECK_FALSE(cancelledAsSilent(silent));
    pass(1500, 1800, {active});
    CHECK_TRUE(cancelledAsSilent(silent));
}

// A caller takes its answer slowly, so the gateway does not read it for a while.
TEST(SilentUpstreamTest, StreamThatIsNotReadForItsCallerDoesNotFailOver)
{
    const RequestNumber active = begin(0);
    const RequestNumber unread = begin(0);
    answer(active, 50);
    answer(unread, 50);
    actions.clear();
    core->onReadingPaused(unread, true, at(100));
    pass(100, 3000, {active});
    CHECK_FALSE(cancelledAsSilent(unread));
    core->onReadingPaused(unread, false, at(3000));
    pass(3000, 3900, {active});
    CHECK_FALSE(cancelledAsSilent(unread));
    pass(3900, 4200, {active});
    CHECK_TRUE_TEXT(cancelledAsSilent(unread), "expected silence to count once the answer is read");
}

// Another upstream of the same stalled group would not answer either.
TEST(SilentUpstreamTest, StreamStaysWhenTheOnlyGroupIsStalled)
{
    const RequestNumber one = begin(0);
    const RequestNumber two = begin(0);
    answer(one, 50);
    answer(two, 50);
    actions.clear();
    pass(100, 1900, {});
    CHECK_FALSE(cancelledAsSilent(one));
    CHECK_FALSE(cancelledAsSilent(two));
}

TEST(SilentUpstreamTest, StreamOfAStalledGroupFailsOverToAnotherGroup)
{
    put("south-1", "south", 1);
    learnGroup("north", {1, 2});
    learnGroup("south", {1});
    const RequestNumber silent = begin(10);
    answer(silent, 60);
    actions.clear();
    pass(100, 1300, {});
    CHECK_TRUE(cancelledAsSilent(silent));
    STRCMP_EQUAL("south-1", lastSent(silent).c_str());
}

TEST(SilentUpstreamTest, AtMostOnceRequestStays)
{
    document.routes.front().streamed = false;
    document.routes.front().resumable = false;
    const RequestNumber number = begin(0);
    actions.clear();
    pass(100, 1900, {});
    CHECK_FALSE(cancelledAsSilent(number));
}

// Second attempts add load to a service in trouble, so they must be limited.
TEST(SilentUpstreamTest, NothingFailsOverWithoutARetryBudget)
{
    core->setRetryLimits({0.0, 0.0});
    const RequestNumber active = begin(0);
    const RequestNumber silent = begin(0);
    answer(active, 50);
    actions.clear();
    pass(100, 1900, {active});
    CHECK_FALSE(cancelledAsSilent(silent));
}

TEST(SilentUpstreamTest, RepeatableRequestFailsOverAtHalfTheSilenceLimit)
{
    document.routes.front().streamed = false;
    document.routes.front().resumable = false;
    document.routes.front().repeatable = true;
    const RequestNumber number = begin(0);
    const std::string before = lastSent(number);
    actions.clear();
    pass(100, 1000, {});
    CHECK_FALSE(cancelledAsSilent(number));
    pass(1000, 1100, {});
    CHECK_TRUE(cancelledAsSilent(number));
    CHECK_TRUE(lastSent(number) != before);
}
