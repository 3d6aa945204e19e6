#include "decision/gateway/gatewaycore.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

// Which kind of route a request takes.
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
    record.slots = 10; // The streams that a gateway begins with follow from it.
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

    // Returns what the caller was told; fails the test when it was told nothing.
    RejectRequest rejected()
    {
        const auto *found = first<RejectRequest>(actions);
        CHECK_TEXT(found != nullptr, "expected a rejection, found none; the request is lost");
        return found == nullptr ? RejectRequest() : *found;
    }
};

TEST(GatewayCoreTest, TimeLeftIsTheSmallerOfRouteAndCaller)
{
    begin(Kind::Repeatable);
    const auto *start = first<StartAttempt>(actions);
    CHECK_TRUE(start->timeLeft <= std::chrono::seconds(2));
}

TEST(GatewayCoreTest, UnknownOutcomeOfAnAtMostOnceRequestEndsIt)
{
    const RequestNumber number = begin(Kind::AtMostOnce);
    actions.clear();
    core->onEnd(number, AttemptEnd::Lost, at(10), actions);
    POINTERS_EQUAL(nullptr, first<StartAttempt>(actions));
    CHECK_TRUE(rejected().outcome == Outcome::Unknown);
    CHECK_TRUE(httpStatus(rejected().failure) != 503);
}

TEST(GatewayCoreTest, ProofOfNotRunLetsAnAtMostOnceRequestGoElsewhere)
{
    const RequestNumber number = begin(Kind::AtMostOnce);
    const InstanceId before = first<StartAttempt>(actions)->upstream.id;
    actions.clear();
    CHECK_FALSE(core->onHead(number, AnswerKind::Full, at(10), actions));
    CHECK_TRUE(first<StartAttempt>(actions)->upstream.id != before);
}

TEST(GatewayCoreTest, NotRunEverywhereIsSaidAndWhenToComeBack)
{
    const RequestNumber number = begin(Kind::AtMostOnce);
    core->onHead(number, AnswerKind::Full, at(10), actions);
    actions.clear();
    core->onHead(number, AnswerKind::Full, at(20), actions);
    CHECK_TRUE(rejected().outcome == Outcome::NotRun);
    LONGS_EQUAL(503, httpStatus(rejected().failure));
    CHECK_TRUE(rejected().retryAfter > Duration{});
}

// Callers heed the time to come back up to a third of what they wait still: here of eight seconds.
TEST(GatewayCoreTest, CallersOfAServiceThatIsOutComeBackAsLateAsTheyWill)
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

// The pattern: a group loses a rank, stands still for a second and a half and then refuses all that
// it had taken, at every gateway. Callers told to come back at once would be refused again, and
// come no third time.
TEST(GatewayCoreTest, RefusalAfterAStandstillMeansThatTheServiceIsOut)
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

TEST(GatewayCoreTest, OneLostAttemptForbidsNotRunForEver)
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

TEST(GatewayCoreTest, UnsentAttemptGoesElsewhereWithoutCounting)
{
    const RequestNumber number = begin(Kind::AtMostOnce);
    actions.clear();
    core->onEnd(number, AttemptEnd::NotSent, at(10), actions);
    CHECK_TRUE(first<StartAttempt>(actions) != nullptr);
    LONGS_EQUAL(0, core->secondAttempts());
}

TEST(GatewayCoreTest, BrokenStreamIsTakenUpElsewhere)
{
    const RequestNumber number = begin(Kind::Stream);
    const InstanceId before = first<StartAttempt>(actions)->upstream.id;
    CHECK_TRUE(core->onHead(number, AnswerKind::Success, at(10), actions));
    actions.clear();
    core->onEnd(number, AttemptEnd::Lost, at(20), actions);
    CHECK_TRUE(first<StartAttempt>(actions)->upstream.id != before);
    POINTERS_EQUAL(nullptr, first<BreakAnswer>(actions));
}

TEST(GatewayCoreTest, BrokenAnswerThatCannotGoOnIsBrokenOff)
{
    const RequestNumber number = begin(Kind::Repeatable);
    core->onHead(number, AnswerKind::Success, at(10), actions);
    actions.clear();
    core->onEnd(number, AttemptEnd::Lost, at(20), actions);
    CHECK_TRUE(first<BreakAnswer>(actions) != nullptr);
    LONGS_EQUAL(0, core->inFlight());
}

TEST(GatewayCoreTest, FailureGoesToTheCallerWhenNothingElseIsLeft)
{
    const RequestNumber number = begin(Kind::Repeatable);
    CHECK_FALSE(core->onHead(number, AnswerKind::Failure, at(10), actions));
    CHECK_TRUE(core->onHead(number, AnswerKind::Failure, at(20), actions));
}

TEST(GatewayCoreTest, FailureGoesToTheCallerWhenTheBudgetIsSpent)
{
    settings.retries = {0.0, 0.0};
    core = std::make_unique<GatewayCore>(settings);
    core->upstreams().put(upstream("one"));
    core->upstreams().put(upstream("two"));
    const RequestNumber number = begin(Kind::Repeatable);
    CHECK_TRUE(core->onHead(number, AnswerKind::Failure, at(10), actions));
}

TEST(GatewayCoreTest, GivesUpBeforeTheRoutesTimeIsOver)
{
    begin(Kind::AtMostOnce);
    actions.clear();
    core->onTick(at(1980), actions);
    POINTERS_EQUAL(nullptr, first<RejectRequest>(actions));
    core->onTick(at(1995), actions);
    CHECK_TRUE(rejected().outcome == Outcome::Unknown);
    LONGS_EQUAL(504, httpStatus(rejected().failure));
}

TEST(GatewayCoreTest, CallerThatLeavesClosesTheUpstreamsConnection)
{
    const RequestNumber number = begin(Kind::Stream);
    actions.clear();
    core->onCallerGone(number, actions);
    CHECK_TRUE(first<CancelAttempt>(actions) != nullptr);
    LONGS_EQUAL(0, core->inFlight());
}

TEST(GatewayCoreTest, SecondAttemptsStayWithinTheBudget)
{
    // With no upstream to fail at the second time, each request would be sent twice.
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

TEST(GatewayCoreTest, StreamsBeyondTheBoundWaitAndThenGo)
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

TEST(GatewayCoreTest, StreamThatWouldWaitTooLongIsRefusedAtOnce)
{
    settings.lanes.lane.streams.initial = 3.0;
    settings.lanes.lane.streams.most = 3.0;
    core = std::make_unique<GatewayCore>(settings);
    core->upstreams().put(upstream("one"));
    // Three go, and at three a second two more may wait; a third would wait a second.
    for (int count = 0; count < 5; ++count) {
        begin(Kind::Stream);
    }
    actions.clear();
    begin(Kind::Stream);
    CHECK_TRUE(rejected().outcome == Outcome::NotRun);
    CHECK_TRUE(rejected().retryAfter == Duration(std::chrono::seconds(1)));
    LONGS_EQUAL(2, core->waiting(TargetName("service")));
}

TEST(GatewayCoreTest, StreamThatWaitedTooLongIsRefusedAsNotRun)
{
    settings.lanes.lane.streams.initial = 3.0;
    settings.lanes.lane.streams.most = 3.0;
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

// Sixty-four gateways of one service share what one alone may send.
TEST(GatewayCoreTest, GatewaysShareTheBurstOfSecondAttempts)
{
    const auto secondAttempts = [this](std::size_t gateways) {
        core = std::make_unique<GatewayCore>(settings);
        core->upstreams().put(upstream("one"));
        core->upstreams().put(upstream("two"));
        core->setGateways(gateways);
        for (int count = 0; count < 200; ++count) { // A calm time, in which permits are earned.
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
    CHECK_TEXT(one + 15 < alone, "the bank of permits must shrink with the number of gateways");
    CHECK_TEXT(one <= 10, "expected what sixty requests earn, and one permit besides");
}

TEST(GatewayCoreTest, StreamWaitsWhilePausesAreNearTheGoalAndStillBeginsInTime)
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
    CHECK_TEXT(first<StartAttempt>(actions) != nullptr, "it would miss its goal at 510 ms");
}

TEST(GatewayCoreTest, WaitingStreamsBeginOnceAPauseIsShortAgain)
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

// The pattern: all instances lose power. Gateways are back a second before the engines' groups have
// formed, and most callers are at their last try: they had a connection cut or none at all.
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

TEST(GatewayCoreAfterPowerCutTest, StreamThatAFormingGroupRefusesWaits)
{
    const RequestNumber number = begin(0);
    actions.clear();
    core->onHead(number, AnswerKind::Full, at(5), actions);
    LONGS_EQUAL(0, count(true));
    LONGS_EQUAL(1, core->waiting(TargetName("service")));
}

TEST(GatewayCoreAfterPowerCutTest, OneRequestInAWhileFindsOutWhetherTheGroupIsOpen)
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
    CHECK_TEXT(sent >= 2 && sent <= 5, "expected a try each quarter of a second");
}

TEST(GatewayCoreAfterPowerCutTest, AllThatWaitBeginOnceTheGroupIsOpen)
{
    const RequestNumber first = begin(0);
    core->onHead(first, AnswerKind::Full, at(5), actions);
    begin(100);
    begin(200);
    actions.clear();
    core->onTick(at(600), actions); // A request finds out.
    const auto *probe = ::first<StartAttempt>(actions);
    CHECK_TRUE(probe != nullptr);
    const RequestNumber found = probe->request;
    actions.clear();
    core->onHead(found, AnswerKind::Success, at(640), actions);
    core->onTick(at(650), actions);
    LONGS_EQUAL(2, count(false));
    LONGS_EQUAL(0, count(true));
}

// A group that does not open is no reason to hold a caller until it leaves.
TEST(GatewayCoreAfterPowerCutTest, StreamsOfAGroupThatStaysClosedAreRefused)
{
    begin(0);
    core->onHead(1, AnswerKind::Full, at(5), actions);
    actions.clear();
    core->onTick(at(1700), actions);
    CHECK_TRUE(count(true) + count(false) == 1);
    actions.clear();
    // Three seconds after the first refusal nobody believes any more that the group is forming.
    const RequestNumber late = begin(3300);
    core->onHead(late, AnswerKind::Full, at(3305), actions);
    core->onHead(late, AnswerKind::Full, at(3310), actions);
    LONGS_EQUAL(1, count(true));
}

// What its agents say goes before what a gateway guesses.
TEST(GatewayCoreAfterPowerCutTest, StreamsWaitForAGroupWhoseAgentsSayThatItForms)
{
    GroupFacts facts;
    facts.group = GroupId("g");
    facts.open = false;
    facts.forming = true;
    facts.members = {{"", 0, 1.0}}; // Where the test's upstreams are listed.
    core->groups().update(facts, at(10'000));
    begin(10'010); // The one that finds out.
    begin(10'020);
    begin(10'030);
    LONGS_EQUAL(0, count(true));
    LONGS_EQUAL(2, core->waiting(TargetName("service")));
}
