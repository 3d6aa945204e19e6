// The load that this answers: a request that ends every upstream that runs it comes again and
// again, as new requests at any gateway, as copies that wait, that are under way, and that are
// about to move off a silent upstream.
#include "decision/gateway/gatewaycore.h"

#include <cstdint>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

const RequestDigest kPoison(7);
const RequestDigest kHarmless(8);
const AccountId kAccount("bids");

enum class Kind { AtMostOnce, Repeatable, Stream };

} // namespace

TEST_GROUP(SuspectRequestTest)
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
        for (const char *id : {"one", "two", "three", "four"}) {
            core->upstreams().put(record(id));
        }
    }

    static UpstreamRecord record(const char *id)
    {
        UpstreamRecord record;
        record.id = InstanceId(id);
        record.service = TargetName("service");
        record.hall = HallId("north");
        record.slots = 10;
        return record;
    }

    RequestNumber begin(Kind kind, RequestDigest digest = kPoison, int now = 0)
    {
        RouteRule route;
        route.name = "route";
        route.host = "x";
        route.pathPrefix = "/";
        route.targets = {{TargetName("service"), 1}};
        route.repeatable = kind == Kind::Repeatable;
        route.streamed = kind == Kind::Stream;
        route.resumable = kind == Kind::Stream;
        route.timeout = std::chrono::seconds(8);
        route.latencyGoal = std::chrono::milliseconds(500);
        route.maxAttempts = 3;
        RoutingDocument document;
        document.routes = {route};
        GatewayRequest request;
        request.table = std::make_shared<const RouteTable>(document);
        request.route = request.table->match("x", "/");
        request.account = kAccount;
        request.deadline = std::chrono::seconds(8);
        request.digest = digest;
        return core->begin(request, at(now), actions);
    }

    template <typename Action>
    const Action *last() const
    {
        const Action *found = nullptr;
        for (const GatewayAction &action : actions) {
            if (const auto *each = std::get_if<Action>(&action)) {
                found = each;
            }
        }
        return found;
    }

    // The upstream that a request was sent to last has ended under it.
    void endUnder(RequestNumber number, int now, RequestDigest digest = kPoison)
    {
        const InstanceId upstream = last<StartAttempt>()->upstream.id;
        core->onUpstreamEnded(digest, kAccount, upstream, at(now), at(now), actions);
        core->onEnd(number, AttemptEnd::Lost, at(now), actions);
    }

    void learnEnds(int count)
    {
        for (int index = 0; index < count; ++index) {
            core->crashes().onUpstreamCrashed(kPoison, kAccount,
                                              InstanceId("elsewhere-" + std::to_string(index)),
                                              at(-1000 + index));
        }
    }

    std::size_t sent() const
    {
        std::size_t count = 0;
        for (const GatewayAction &action : actions) {
            count += std::holds_alternative<StartAttempt>(action) ? 1 : 0;
        }
        return count;
    }
};

TEST(SuspectRequestTest, AnyKindIsRefusedAtOnceAsNotRunAndNotInvitedBack)
{
    learnEnds(3);
    for (const Kind kind : {Kind::AtMostOnce, Kind::Repeatable, Kind::Stream}) {
        actions.clear();
        begin(kind);
        LONGS_EQUAL(0, sent());
        const auto *told = last<RejectRequest>();
        CHECK_TRUE(told != nullptr && told->failure == FailureCode::RequestEndsUpstreams);
        CHECK_TRUE(told->outcome == Outcome::NotRun);
        CHECK_TRUE(told->retryAfter == Duration{});
    }
    LONGS_EQUAL(0, core->inFlight());
}

TEST(SuspectRequestTest, OtherRequestsOfTheAccountAreSent)
{
    learnEnds(3);
    begin(Kind::Repeatable, kHarmless);
    LONGS_EQUAL(1, sent());
}

TEST(SuspectRequestTest, FirstEndIsRepeatedAndTheSecondIsNot)
{
    const RequestNumber number = begin(Kind::Repeatable);
    endUnder(number, 50);
    LONGS_EQUAL(2, sent());
    endUnder(number, 100);
    LONGS_EQUAL(2, sent());
    CHECK_TRUE(last<RejectRequest>()->outcome == Outcome::Unknown);
    CHECK_TRUE(httpStatus(last<RejectRequest>()->failure) != 503);
}

TEST(SuspectRequestTest, StreamThatHasBegunIsBrokenOffAndNotTakenUpElsewhere)
{
    learnEnds(1);
    const RequestNumber number = begin(Kind::Stream);
    core->onHead(number, AnswerKind::Success, at(20), actions);
    core->onFirstEvent(number, at(20));
    endUnder(number, 50);
    LONGS_EQUAL(1, sent());
    CHECK_TRUE(last<BreakAnswer>() != nullptr);
    LONGS_EQUAL(0, core->inFlight());
}

TEST(SuspectRequestTest, WordFromElsewhereTakesBackACopyThatHasNotBegunToAnswer)
{
    begin(Kind::Repeatable);
    learnEnds(3);
    core->onTick(at(30), actions);
    CHECK_TRUE(last<CancelAttempt>() != nullptr);
    CHECK_TRUE(last<RejectRequest>()->outcome == Outcome::Unknown);
    LONGS_EQUAL(0, core->inFlight());
}

TEST(SuspectRequestTest, CopyThatAnswersGoesOnAndClearsTheRequest)
{
    const RequestNumber number = begin(Kind::Stream);
    core->onHead(number, AnswerKind::Success, at(20), actions);
    core->onFirstEvent(number, at(20));
    learnEnds(3);
    core->onTick(at(30), actions);
    LONGS_EQUAL(1, core->inFlight());
    core->onEnd(number, AttemptEnd::Complete, at(900), actions);
    CHECK_TRUE(core->crashes().mayBeSent(kPoison, at(901)));
}

TEST(SuspectRequestTest, FailureOfAnUpstreamThatLivesClearsTheRequest)
{
    learnEnds(1);
    const RequestNumber number = begin(Kind::AtMostOnce);
    core->onHead(number, AnswerKind::Failure, at(20), actions);
    core->onEnd(number, AttemptEnd::Complete, at(20), actions);
    LONGS_EQUAL(0, core->crashes().crashCount(kPoison));
}

TEST(SuspectRequestTest, RefusalOfAnUpstreamSaysNothingOfTheRequest)
{
    learnEnds(1);
    const RequestNumber number = begin(Kind::AtMostOnce);
    core->onHead(number, AnswerKind::Full, at(20), actions);
    LONGS_EQUAL(1, core->crashes().crashCount(kPoison));
}

// A planned end: nobody is to blame for it.
TEST(SuspectRequestTest, EndOfAnUpstreamThatWasLeavingIsNotHeldAgainstItsRequests)
{
    const RequestNumber number = begin(Kind::Repeatable);
    UpstreamRecord leaving = last<StartAttempt>()->upstream;
    leaving.leaving = true;
    core->upstreams().put(leaving);
    endUnder(number, 50);
    LONGS_EQUAL(0, core->crashes().crashCount(kPoison));
}

// The gateway hears of the end when the caller has left already.
TEST(SuspectRequestTest, EndIsRememberedWhenTheRequestIsOver)
{
    const RequestNumber number = begin(Kind::Repeatable);
    const InstanceId upstream = last<StartAttempt>()->upstream.id;
    core->onCallerGone(number, actions);
    core->onUpstreamEnded(kPoison, kAccount, upstream, at(50), at(52), actions);
    LONGS_EQUAL(1, core->crashes().crashCount(kPoison));
}

TEST(SuspectRequestTest, WaitingCopyIsRefusedWhenTheProofComes)
{
    std::vector<RequestNumber> running;
    while (core->waiting(TargetName("service")) == 0) {
        running.push_back(begin(Kind::Stream, kHarmless));
    }
    core->onCallerGone(running.back(), actions);
    begin(Kind::Stream);
    LONGS_EQUAL(1, core->waiting(TargetName("service")));
    actions.clear();
    learnEnds(3);
    core->onTick(at(30), actions);
    LONGS_EQUAL(0, core->waiting(TargetName("service")));
    CHECK_TRUE(last<RejectRequest>()->failure == FailureCode::RequestEndsUpstreams);
}

// Upstreams crashed under one kind of request, one after the other, with all that they had; callers
// of others were refused for seconds each time. Whatever part of the requests it is, and whenever
// it comes again, three upstreams are the most that it ends.
TEST(SuspectRequestTest, NoShareAndNoMomentEndsMoreThanThreeUpstreams)
{
    for (const double share : {0.01, 0.03, 0.08, 0.5}) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            setup();
            std::mt19937_64 random(seed);
            std::bernoulli_distribution isPoison(share);
            int ends = 0;
            for (int now = 0; now < 60000; now += 20) {
                actions.clear();
                const RequestDigest digest = isPoison(random) ? kPoison : kHarmless;
                const RequestNumber number = begin(Kind::Repeatable, digest, now);
                while (digest == kPoison && last<StartAttempt>() != nullptr) {
                    const UpstreamRecord ended = last<StartAttempt>()->upstream;
                    ++ends;
                    actions.clear();
                    core->onUpstreamEnded(digest, kAccount, ended.id, at(now), at(now), actions);
                    core->upstreams().remove(ended.id, at(now));
                    core->upstreams().put(record(std::to_string(now + ends).c_str()));
                    core->onEnd(number, AttemptEnd::Lost, at(now), actions);
                }
                core->onCallerGone(number, actions);
                core->onTick(at(now), actions);
            }
            CHECK_TRUE(ends >= 1);
            CHECK_TRUE(ends <= 3);
        }
    }
}

// The upstream says nothing for half of what its caller bears; at another one it would end that.
TEST(SuspectRequestTest, SuspectIsNotMovedOffASilentUpstream)
{
    begin(Kind::Repeatable);
    core->crashes().onUpstreamCrashed(kPoison, kAccount, InstanceId("a"), at(100));
    core->crashes().onUpstreamCrashed(kPoison, kAccount, InstanceId("b"), at(200));
    actions.clear();
    core->onTick(at(300), actions);
    core->onTick(at(7900), actions);
    LONGS_EQUAL(0, sent());
}
