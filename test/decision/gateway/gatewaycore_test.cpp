#include "decision/gateway/gatewaycore.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace seamarch;

namespace {

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

// The kind of route that a request matches.
enum class Kind { AtMostOnce, Repeatable, Stream };

RouteRule rule(Kind kind)
{
    RouteRule rule;
    rule.name = "route";
    rule.host = "x";
    rule.pathPrefix = "/";
    rule.targets = {{TargetName("service"), 1}};
    rule.repeatable = kind == Kind::Repeatable;
    rule.streamed = kind == Kind::Stream;
    rule.resumable = kind == Kind::Stream;
    rule.timeout = std::chrono::seconds(2);
    rule.latencyTarget = std::chrono::milliseconds(500);
    rule.gapTarget = std::chrono::milliseconds(120);
    rule.maxAttempts = 2;
    return rule;
}

UpstreamRecord upstream(const std::string &id, const char *hall = "north")
{
    UpstreamRecord record;
    record.id = InstanceId(id);
    record.service = TargetName("service");
    record.hall = HallId(hall);
    record.slots = 10; // Determines the initial stream limit of a gateway.
    return record;
}

template <typename Action>
const Action *first(const GatewayActions &actions)
{
    for (const GatewayAction &action : actions) {
        if (const auto *found = std::get_if<Action>(&action)) {
            return found;
        }
    }
    return nullptr;
}

} // namespace

TEST_GROUP(GatewayCoreTest)
{
    GatewayCore::Settings settings;
    std::unique_ptr<GatewayCore> core;
    GatewayActions actions;

    void setup() override
    {
        settings.hall = HallId("north");
        settings.seed = 1;
        settings.retries = {0.2, 88.0};
        core = std::make_unique<GatewayCore>(settings);
        core->upstreams().put(upstream("one"));
        core->upstreams().put(upstream("two"));
    }

    RequestNumber begin(Kind kind, int now = 0)
    {
        RoutingDocument document;
        document.routes = {rule(kind)};
        const auto table = std::make_shared<const RouteTable>(document);
        GatewayRequest request;
        request.table = table;
        request.route = table->match("x", "/");
        request.deadline = std::chrono::seconds(8);
        return core->begin(request, at(now), actions);
    }

    // Returns the rejection that the caller got; fails the test if there is none.
    RejectRequest rejected()
    {
        const auto *found = first<RejectRequest>(actions);
        CHECK_TEXT(found != nullptr, "expected a rejection of the request, found none");
        return found == nullptr ? RejectRequest() : *found;
    }
};

TEST(GatewayCoreTest, TimeLeftIsTheSmallerOfRouteAndCaller)
{
    begin(Kind::Repeatable);
    const auto *start = first<StartAttempt>(actions);
    CHECK_TRUE(start->timeLeft <= std::chrono::seconds(2));
}

TEST(GatewayCoreTest, AtMostOnceRequestIsNotRetriedAfterUnknownOutcome)
{
    const RequestNumber number = begin(Kind::AtMostOnce);
    actions.clear();
    core->onEnd(number, AttemptEnd::Lost, at(10), actions);
    POINTERS_EQUAL(nullptr, first<StartAttempt>(actions));
    CHECK_TRUE(rejected().outcome == Outcome::Unknown);
    CHECK_TRUE(httpStatus(rejected().failure) != 503);
}

TEST(GatewayCoreTest, AtMostOnceRequestIsRetriedWhenProvenNotRun)
{
    const RequestNumber number = begin(Kind::AtMostOnce);
    const InstanceId before = first<StartAttempt>(actions)->upstream.id;
    actions.clear();
    CHECK_FALSE(core->onHead(number, AnswerKind::Full, at(10), actions));
    CHECK_TRUE(first<StartAttempt>(actions)->upstream.id != before);
}

TEST(GatewayCoreTest, RejectionReportsNotRunAndRetryAfterWhenAllUpstreamsAreFull)
{
    const RequestNumber number = begin(Kind::AtMostOnce);
    core->onHead(number, AnswerKind::Full, at(10), actions);
    actions.clear();
    core->onHead(number, AnswerKind::Full, at(20), actions);
    CHECK_TRUE(rejected().outcome == Outcome::NotRun);
    LONGS_EQUAL(503, httpStatus(rejected().failure));
    CHECK_TRUE(rejected().retryAfter > Duration{});
}

// Callers honour a retry delay of up to a third of their remaining time, here of eight seconds.
TEST(GatewayCoreTest, RetryAfterIsLongestHonouredWhenServiceIsOut)
{
    const Duration latest = Duration(std::chrono::seconds(8)) / 3;
    for (const int now : {0, 400}) {
        actions.clear();
        const RequestNumber number = begin(Kind::AtMostOnce, now);
        core->onHead(number, AnswerKind::Full, at(now), actions);
        core->onHead(number, AnswerKind::Full, at(now), actions);
        CHECK_TRUE(rejected().retryAfter == (now == 0 ? settings.retryAfter : latest));
    }
}

// A group that loses a rank stalls for 1.5 s and then refuses all accepted requests at every
// gateway. Callers that retry at once would be rejected again, and do not try a third time.
TEST(GatewayCoreTest, LateRefusalMarksServiceAsOut)
{
    const RequestNumber number = begin(Kind::Stream);
    core->onHead(number, AnswerKind::Full, at(1500), actions);
    actions.clear();
    core->onHead(number, AnswerKind::Full, at(1510), actions);
    CHECK_TRUE(rejected().outcome == Outcome::NotRun);
    CHECK_TRUE(rejected().retryAfter > std::chrono::seconds(2));
}

TEST(GatewayCoreTest, OneAnswerEndsTheOutage)
{
    RequestNumber number = begin(Kind::AtMostOnce);
    core->onHead(number, AnswerKind::Full, at(0), actions);
    core->onHead(number, AnswerKind::Success, at(300), actions);
    number = begin(Kind::AtMostOnce, 600);
    core->onHead(number, AnswerKind::Full, at(600), actions);
    actions.clear();
    core->onHead(number, AnswerKind::Full, at(600), actions);
    CHECK_TRUE(rejected().retryAfter == settings.retryAfter);
}

TEST(GatewayCoreTest, NotRunIsNeverReportedAfterALostAttempt)
{
    const RequestNumber number = begin(Kind::Repeatable);
    core->onEnd(number, AttemptEnd::Lost, at(10), actions);
    actions.clear();
    core->onHead(number, AnswerKind::Full, at(20), actions);
    CHECK_TRUE(rejected().outcome == Outcome::Unknown);
    CHECK_TRUE(httpStatus(rejected().failure) != 503);
}

TEST(GatewayCoreTest, InvalidAnswerNeverReachesTheCaller)
{
    const RequestNumber number = begin(Kind::AtMostOnce);
    actions.clear();
    CHECK_FALSE(core->onHead(number, AnswerKind::Invalid, at(10), actions));
    CHECK_TRUE(first<CancelAttempt>(actions) != nullptr);
    CHECK_TRUE(rejected().outcome == Outcome::Unknown);
}

TEST(GatewayCoreTest, UnsentAttemptIsRetriedWithoutUsingTheBudget)
{
    const RequestNumber number = begin(Kind::AtMostOnce);
    actions.clear();
    core->onEnd(number, AttemptEnd::NotSent, at(10), actions);
    CHECK_TRUE(first<StartAttempt>(actions) != nullptr);
    LONGS_EQUAL(0, core->secondAttempts());
}

TEST(GatewayCoreTest, BrokenStreamIsResumedAtAnotherUpstream)
{
    const RequestNumber number = begin(Kind::Stream);
    const InstanceId before = first<StartAttempt>(actions)->upstream.id;
    CHECK_TRUE(core->onHead(number, AnswerKind::Success, at(10), actions));
    actions.clear();
    core->onEnd(number, AttemptEnd::Lost, at(20), actions);
    CHECK_TRUE(first<StartAttempt>(actions)->upstream.id != before);
    POINTERS_EQUAL(nullptr, first<AbortAnswer>(actions));
}

TEST(GatewayCoreTest, BrokenAnswerThatCannotBeResumedIsAborted)
{
    const RequestNumber number = begin(Kind::Repeatable);
    core->onHead(number, AnswerKind::Success, at(10), actions);
    actions.clear();
    core->onEnd(number, AttemptEnd::Lost, at(20), actions);
    CHECK_TRUE(first<AbortAnswer>(actions) != nullptr);
    LONGS_EQUAL(0, core->inFlight());
}

TEST(GatewayCoreTest, FailureIsForwardedWhenNoAttemptIsLeft)
{
    const RequestNumber number = begin(Kind::Repeatable);
    CHECK_FALSE(core->onHead(number, AnswerKind::Failure, at(10), actions));
    CHECK_TRUE(core->onHead(number, AnswerKind::Failure, at(20), actions));
}

TEST(GatewayCoreTest, FailureIsForwardedWhenRetryBudgetIsSpent)
{
    settings.retries = {0.0, 0.0};
    core = std::make_unique<GatewayCore>(settings);
    core->upstreams().put(upstream("one"));
    core->upstreams().put(upstream("two"));
    const RequestNumber number = begin(Kind::Repeatable);
    CHECK_TRUE(core->onHead(number, AnswerKind::Failure, at(10), actions));
}

TEST(GatewayCoreTest, TimesOutShortlyBeforeTheRouteTimeout)
{
    begin(Kind::AtMostOnce);
    actions.clear();
    core->onTick(at(1980), actions);
    POINTERS_EQUAL(nullptr, first<RejectRequest>(actions));
    core->onTick(at(1995), actions);
    CHECK_TRUE(rejected().outcome == Outcome::Unknown);
    LONGS_EQUAL(504, httpStatus(rejected().failure));
}

// Guards against callers without an answer when the process ends.
TEST(GatewayCoreTest, EndOfAllRequestsRejectsThoseWithoutAnswer)
{
    const RequestNumber answered = begin(Kind::Stream);
    core->onHead(answered, AnswerKind::Success, at(10), actions);
    const RequestNumber sent = begin(Kind::AtMostOnce);
    RequestNumber queued = 0;
    for (int count = 0; count < 13; ++count) {
        queued = begin(Kind::Stream);
    }
    actions.clear();
    core->endAll(at(20), actions);
    std::map<RequestNumber, Outcome> rejections;
    for (const GatewayAction &action : actions) {
        if (const auto *rejection = std::get_if<RejectRequest>(&action)) {
            rejections.emplace(rejection->request, rejection->outcome);
        }
    }
    CHECK_TRUE(rejections.at(sent) == Outcome::Unknown);
    CHECK_TRUE(rejections.at(queued) == Outcome::NotRun);
    LONGS_EQUAL(answered, first<AbortAnswer>(actions)->request);
    LONGS_EQUAL(0, core->inFlight());
}

TEST(GatewayCoreTest, CallerDisconnectCancelsTheAttempt)
{
    const RequestNumber number = begin(Kind::Stream);
    actions.clear();
    core->onCallerGone(number, actions);
    CHECK_TRUE(first<CancelAttempt>(actions) != nullptr);
    LONGS_EQUAL(0, core->inFlight());
}

TEST(GatewayCoreTest, SecondAttemptsStayWithinTheBudget)
{
    // Without a budget each request would be sent twice.
    int second = 0;
    for (int count = 0; count < 200; ++count) {
        const RequestNumber number = begin(Kind::Repeatable, count);
        actions.clear();
        core->onEnd(number, AttemptEnd::Lost, at(count), actions);
        second += first<StartAttempt>(actions) != nullptr ? 1 : 0;
        core->onCallerGone(number, actions);
    }
    CHECK_TRUE(second <= 200 * 0.2);
    CHECK_TRUE(second > 0);
}

TEST(GatewayCoreTest, PrefersItsOwnHall)
{
    core->upstreams().put(upstream("far", "south"));
    for (int count = 0; count < 4; ++count) {
        actions.clear();
        begin(Kind::Repeatable);
        STRCMP_EQUAL("north", first<StartAttempt>(actions)->upstream.hall.value().c_str());
    }
}

TEST(GatewayCoreTest, StreamsBeyondTheLimitAreQueuedAndThenStarted)
{
    std::vector<RequestNumber> numbers;
    for (int count = 0; count < 13; ++count) {
        actions.clear();
        numbers.push_back(begin(Kind::Stream));
    }
    POINTERS_EQUAL(nullptr, first<StartAttempt>(actions));
    core->onCallerGone(numbers.front(), actions);
    actions.clear();
    core->onTick(at(10), actions);
    CHECK_TRUE(first<StartAttempt>(actions) != nullptr);
}

TEST(GatewayCoreTest, StreamIsRejectedAtOnceWhenExpectedWaitIsTooLong)
{
    settings.selector.tracker.streamLimiter.initialLimit = 3.0;
    settings.selector.tracker.streamLimiter.maxLimit = 3.0;
    core = std::make_unique<GatewayCore>(settings);
    core->upstreams().put(upstream("one"));
    // Three start. At three starts per second two more may be queued; a third would wait for 1 s.
    for (int count = 0; count < 5; ++count) {
        begin(Kind::Stream);
    }
    actions.clear();
    begin(Kind::Stream);
    CHECK_TRUE(rejected().outcome == Outcome::NotRun);
    CHECK_TRUE(rejected().retryAfter == Duration(std::chrono::seconds(1)));
    LONGS_EQUAL(2, core->queuedStreams(TargetName("service")));
}

TEST(GatewayCoreTest, QueuedStreamIsRejectedAsNotRunAfterTimeout)
{
    settings.selector.tracker.streamLimiter.initialLimit = 3.0;
    settings.selector.tracker.streamLimiter.maxLimit = 3.0;
    core = std::make_unique<GatewayCore>(settings);
    core->upstreams().put(upstream("one"));
    for (int count = 0; count < 4; ++count) {
        begin(Kind::Stream);
    }
    actions.clear();
    core->onTick(at(1699), actions);
    POINTERS_EQUAL(nullptr, first<RejectRequest>(actions));
    core->onTick(at(1700), actions);
    CHECK_TRUE(rejected().outcome == Outcome::NotRun);
    LONGS_EQUAL(503, httpStatus(rejected().failure));
}

// All gateways of a service share the retry burst of one.
TEST(GatewayCoreTest, GatewaysShareTheBurstOfSecondAttempts)
{
    const auto secondAttempts = [this](std::optional<std::size_t> gateways) {
        core = std::make_unique<GatewayCore>(settings);
        core->upstreams().put(upstream("one"));
        core->upstreams().put(upstream("two"));
        core->setRetryGateways(gateways);
        for (int count = 0; count < 200; ++count) { // Requests without a retry fill the budget.
            const RequestNumber number = begin(Kind::Repeatable);
            core->onHead(number, AnswerKind::Success, at(0), actions);
            core->onEnd(number, AttemptEnd::Complete, at(0), actions);
        }
        for (int count = 0; count < 60; ++count) {
            core->onEnd(begin(Kind::Repeatable), AttemptEnd::Lost, at(0), actions);
        }
        return core->secondAttempts();
    };
    const std::uint64_t alone = secondAttempts(1);
    const std::uint64_t one = secondAttempts(64);
    CHECK_TEXT(one + 15 < alone, "the burst must shrink with the number of gateways");
    CHECK_TEXT(one <= 10, "expected what sixty requests add to the budget, and one more");
    const std::uint64_t ofUnknownNumber = secondAttempts(std::nullopt);
    LONGS_EQUAL(one, ofUnknownNumber);
}

TEST(GatewayCoreTest, QueuedStreamStartsByItsDeadlineWhilePausesAreNearGapTarget)
{
    RequestNumber running = 0;
    for (int count = 0; count < 4; ++count) {
        running = begin(Kind::Stream);
    }
    core->onPause(running, std::chrono::milliseconds(100), at(0));
    actions.clear();
    begin(Kind::Stream, 10);
    POINTERS_EQUAL(nullptr, first<StartAttempt>(actions));
    for (int now = 25; now < 450; now += 25) {
        core->onPause(running, std::chrono::milliseconds(100), at(now));
        core->onTick(at(now), actions);
    }
    POINTERS_EQUAL(nullptr, first<StartAttempt>(actions));
    core->onPause(running, std::chrono::milliseconds(100), at(475));
    core->onTick(at(475), actions);
    CHECK_TEXT(first<StartAttempt>(actions) != nullptr,
               "expected a start before the latency target at 510 ms");
}

TEST(GatewayCoreTest, QueuedStreamsStartOnceAPauseIsShort)
{
    RequestNumber running = 0;
    for (int count = 0; count < 4; ++count) {
        running = begin(Kind::Stream);
    }
    core->onPause(running, std::chrono::milliseconds(100), at(0));
    begin(Kind::Stream, 10);
    actions.clear();
    core->onPause(running, std::chrono::milliseconds(60), at(60));
    core->onTick(at(60), actions);
    CHECK_TRUE(first<StartAttempt>(actions) != nullptr);
}

// All instances lose power. Gateways restart a second before the engines' groups have formed, and
// most callers are at their last try: their connections were cut or could not be made.
TEST_GROUP(GatewayCoreAfterPowerCutTest)
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
        core->upstreams().put(upstream("one"));
        core->upstreams().put(upstream("two"));
        RouteRule route = rule(Kind::Stream);
        route.timeout = std::chrono::seconds(8);
        document.routes = {route};
        table = std::make_shared<const RouteTable>(document);
    }

    RequestNumber begin(int now)
    {
        GatewayRequest request;
        request.table = table;
        request.route = table->match("x", "/");
        request.deadline = std::chrono::seconds(8);
        return core->begin(request, at(now), actions);
    }

    std::size_t count(bool rejections)
    {
        std::size_t count = 0;
        for (const GatewayAction &action : actions) {
            count += rejections ? std::holds_alternative<RejectRequest>(action)
                                : std::holds_alternative<StartAttempt>(action);
        }
        return count;
    }
};

TEST(GatewayCoreAfterPowerCutTest, StreamRefusedByAFormingGroupIsQueued)
{
    const RequestNumber number = begin(0);
    actions.clear();
    core->onHead(number, AnswerKind::Full, at(5), actions);
    LONGS_EQUAL(0, count(true));
    LONGS_EQUAL(1, core->queuedStreams(TargetName("service")));
}

TEST(GatewayCoreAfterPowerCutTest, FormingGroupIsProbedPeriodically)
{
    const RequestNumber first = begin(0);
    core->onHead(first, AnswerKind::Full, at(5), actions);
    actions.clear();
    int sent = 0;
    for (int now = 10; now < 1000; now += 10) {
        begin(now);
        core->onTick(at(now), actions);
        for (const GatewayAction &action : GatewayActions(actions)) {
            if (const auto *start = std::get_if<StartAttempt>(&action)) {
                ++sent;
                GatewayActions answer;
                core->onHead(start->request, AnswerKind::Full, at(now), answer);
            }
        }
        actions.clear();
    }
    CHECK_TEXT(sent >= 2 && sent <= 5, "expected a probe every 250 ms");
}

TEST(GatewayCoreAfterPowerCutTest, QueuedStreamsStartOnceTheGroupIsOpen)
{
    const RequestNumber first = begin(0);
    core->onHead(first, AnswerKind::Full, at(5), actions);
    begin(100);
    begin(200);
    actions.clear();
    core->onTick(at(600), actions); // Sends a probe.
    const auto *probe = ::first<StartAttempt>(actions);
    CHECK_TRUE(probe != nullptr);
    const RequestNumber found = probe->request;
    actions.clear();
    core->onHead(found, AnswerKind::Success, at(640), actions);
    core->onTick(at(650), actions);
    LONGS_EQUAL(2, count(false));
    LONGS_EQUAL(0, count(true));
}

// If the group does not open, streams must be rejected before their callers disconnect.
TEST(GatewayCoreAfterPowerCutTest, StreamsAreRejectedWhenTheGroupStaysClosed)
{
    begin(0);
    core->onHead(1, AnswerKind::Full, at(5), actions);
    actions.clear();
    core->onTick(at(1700), actions);
    CHECK_TRUE(count(true) + count(false) == 1);
    actions.clear();
    // Three seconds after the first refusal the group no longer counts as forming.
    const RequestNumber late = begin(3300);
    core->onHead(late, AnswerKind::Full, at(3305), actions);
    core->onHead(late, AnswerKind::Full, at(3310), actions);
    LONGS_EQUAL(1, count(true));
}

// Reports of the group's agents take precedence over the gateway's estimate.
TEST(GatewayCoreAfterPowerCutTest, StreamsAreQueuedWhileAgentsReportThatTheGroupForms)
{
    GroupFacts facts;
    facts.group = GroupId("g");
    facts.open = false;
    facts.forming = true;
    facts.members = {{"", 0, 1.0}}; // The address of the test's upstreams.
    core->groups().update(facts, at(10'000));
    begin(10'010); // The probe.
    begin(10'020);
    begin(10'030);
    LONGS_EQUAL(0, count(true));
    LONGS_EQUAL(2, core->queuedStreams(TargetName("service")));
}
