// A request that crashes every upstream that runs it is sent again and again: as new requests at
// any gateway, queued, in progress, and about to fail over from a silent upstream. These tests
// check that it is stopped in each of these states.
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
const PromptPartId kPoisonPart(70);
const PromptPartId kCommonPart(71);
const PromptPartId kOtherPart(72);
const AccountId kAccount("bids");

enum class Kind { AtMostOnce, Repeatable, Stream };

} // namespace

TEST_GROUP(SuspectRequestTest)
{
    GatewayCore::Settings settings;
    std::unique_ptr<GatewayCore> core;
    GatewayActions actions;
    std::vector<PromptPartId> sharedParts;
    std::uint64_t lastDigest = 1000;

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

    // Begins a request that differs from all others and whose prompt has these shared parts.
    RequestNumber beginWithParts(Kind kind, std::vector<PromptPartId> parts, int now = 0)
    {
        sharedParts = std::move(parts);
        const RequestNumber number = begin(kind, RequestDigest(++lastDigest), now);
        sharedParts.clear();
        return number;
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
        route.latencyTarget = std::chrono::milliseconds(500);
        route.maxAttempts = 3;
        RoutingDocument document;
        document.routes = {route};
        GatewayRequest request;
        request.table = std::make_shared<const RouteTable>(document);
        request.route = request.table->match("x", "/");
        request.account = kAccount;
        request.deadline = std::chrono::seconds(8);
        request.digest = digest;
        request.sharedParts = sharedParts;
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

    // Ends the upstream that the last request was sent to.
    void crashUnder(RequestNumber number, int now, RequestDigest digest = kPoison)
    {
        const InstanceId upstream = last<StartAttempt>()->upstream.id;
        core->onUpstreamEnded({SuspectKey(digest)}, kAccount, upstream, at(now), at(now), actions);
        core->onEnd(number, AttemptEnd::Lost, at(now), actions);
    }

    // Ends the upstream of a request that `crashSuspects` still knows.
    void crashAt(RequestNumber number, int now)
    {
        const InstanceId upstream = last<StartAttempt>()->upstream.id;
        core->onUpstreamEnded(core->crashSuspects(number), kAccount, upstream, at(now), at(now),
                              actions);
        core->onEnd(number, AttemptEnd::Lost, at(now), actions);
    }

    // Has an upstream answer a request with another part, without which two crashes block nothing.
    void answerAnotherPart()
    {
        const RequestNumber number = beginWithParts(Kind::AtMostOnce, {kOtherPart});
        core->onHead(number, AnswerKind::Success, at(10), actions);
        core->onEnd(number, AttemptEnd::Complete, at(20), actions);
        actions.clear();
    }

    bool partAllowed(const PromptPartId &part, int now) const
    {
        return core->crashes().mayBeSent(SuspectKey(TargetName("service"), part), at(now));
    }

    void recordCrashes(int count)
    {
        for (int index = 0; index < count; ++index) {
            core->crashes().onUpstreamCrashed(SuspectKey(kPoison), kAccount,
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

TEST(SuspectRequestTest, SuspectOfAnyKindIsRejectedAsNotRunWithoutRetryAfter)
{
    recordCrashes(3);
    for (const Kind kind : {Kind::AtMostOnce, Kind::Repeatable, Kind::Stream}) {
        actions.clear();
        begin(kind);
        LONGS_EQUAL(0, sent());
        const auto *rejection = last<RejectRequest>();
        CHECK_TRUE(rejection != nullptr && rejection->failure == FailureCode::RequestEndsUpstreams);
        CHECK_TRUE(rejection->outcome == Outcome::NotRun);
        CHECK_TRUE(rejection->retryAfter == Duration{});
    }
    LONGS_EQUAL(0, core->inFlight());
}

TEST(SuspectRequestTest, OtherRequestsOfTheAccountAreSent)
{
    recordCrashes(3);
    begin(Kind::Repeatable, kHarmless);
    LONGS_EQUAL(1, sent());
}

TEST(SuspectRequestTest, RequestIsRetriedAfterTheFirstCrashOnly)
{
    const RequestNumber number = begin(Kind::Repeatable);
    crashUnder(number, 50);
    LONGS_EQUAL(2, sent());
    crashUnder(number, 100);
    LONGS_EQUAL(2, sent());
    CHECK_TRUE(last<RejectRequest>()->outcome == Outcome::Unknown);
    CHECK_TRUE(httpStatus(last<RejectRequest>()->failure) != 503);
}

TEST(SuspectRequestTest, CrashAfterTheCallerHasLeftCounts)
{
    recordCrashes(1);
    const RequestNumber number = begin(Kind::AtMostOnce);
    core->onCallerGone(number, actions);
    const AttemptRecord abandoned = last<CancelAttempt>()->attempt;
    CHECK_TRUE(abandoned.suspects == std::vector<SuspectKey>{SuspectKey(kPoison)});
    core->onUpstreamEnded(abandoned.suspects, kAccount, abandoned.upstream.id, at(20), at(20),
                          actions);
    actions.clear();
    begin(Kind::AtMostOnce, kPoison, 30);
    LONGS_EQUAL(0, sent());
}

TEST(SuspectRequestTest, StartedStreamOfASuspectIsAbortedNotResumed)
{
    recordCrashes(1);
    const RequestNumber number = begin(Kind::Stream);
    core->onHead(number, AnswerKind::Success, at(20), actions);
    core->onFirstEvent(number, at(20));
    crashUnder(number, 50);
    LONGS_EQUAL(1, sent());
    CHECK_TRUE(last<AbortAnswer>() != nullptr);
    LONGS_EQUAL(0, core->inFlight());
}

TEST(SuspectRequestTest, RemoteCrashReportsCancelAnAttemptWithoutAnswer)
{
    begin(Kind::Repeatable);
    recordCrashes(3);
    core->onTick(at(30), actions);
    CHECK_TRUE(last<CancelAttempt>() != nullptr);
    CHECK_TRUE(last<RejectRequest>()->outcome == Outcome::Unknown);
    LONGS_EQUAL(0, core->inFlight());
}

TEST(SuspectRequestTest, AnsweringAttemptContinuesAndClearsTheRequest)
{
    const RequestNumber number = begin(Kind::Stream);
    core->onHead(number, AnswerKind::Success, at(20), actions);
    core->onFirstEvent(number, at(20));
    recordCrashes(3);
    core->onTick(at(30), actions);
    LONGS_EQUAL(1, core->inFlight());
    core->onEnd(number, AttemptEnd::Complete, at(900), actions);
    CHECK_TRUE(core->crashes().mayBeSent(SuspectKey(kPoison), at(901)));
}

TEST(SuspectRequestTest, FailureWithoutACrashClearsTheRequest)
{
    recordCrashes(1);
    const RequestNumber number = begin(Kind::AtMostOnce);
    core->onHead(number, AnswerKind::Failure, at(20), actions);
    core->onEnd(number, AttemptEnd::Complete, at(20), actions);
    LONGS_EQUAL(0, core->crashes().crashCount(SuspectKey(kPoison)));
}

TEST(SuspectRequestTest, RefusalDoesNotClearTheRequest)
{
    recordCrashes(1);
    const RequestNumber number = begin(Kind::AtMostOnce);
    core->onHead(number, AnswerKind::Full, at(20), actions);
    LONGS_EQUAL(1, core->crashes().crashCount(SuspectKey(kPoison)));
}

// A planned end is not a crash.
TEST(SuspectRequestTest, EndOfALeavingUpstreamIsNotCounted)
{
    const RequestNumber number = begin(Kind::Repeatable);
    UpstreamRecord leaving = last<StartAttempt>()->upstream;
    leaving.leaving = true;
    core->upstreams().put(leaving);
    crashUnder(number, 50);
    LONGS_EQUAL(0, core->crashes().crashCount(SuspectKey(kPoison)));
}

// The gateway learns of the crash after the caller has disconnected.
TEST(SuspectRequestTest, CrashIsRecordedAfterTheRequestEnded)
{
    const RequestNumber number = begin(Kind::Repeatable);
    const InstanceId upstream = last<StartAttempt>()->upstream.id;
    core->onCallerGone(number, actions);
    core->onUpstreamEnded({SuspectKey(kPoison)}, kAccount, upstream, at(50), at(52), actions);
    LONGS_EQUAL(1, core->crashes().crashCount(SuspectKey(kPoison)));
}

TEST(SuspectRequestTest, QueuedSuspectIsRejectedOnceCrashesAreReported)
{
    std::vector<RequestNumber> running;
    while (core->queuedStreams(TargetName("service")) == 0) {
        running.push_back(begin(Kind::Stream, kHarmless));
    }
    core->onCallerGone(running.back(), actions);
    begin(Kind::Stream);
    LONGS_EQUAL(1, core->queuedStreams(TargetName("service")));
    actions.clear();
    recordCrashes(3);
    core->onTick(at(30), actions);
    LONGS_EQUAL(0, core->queuedStreams(TargetName("service")));
    CHECK_TRUE(last<RejectRequest>()->failure == FailureCode::RequestEndsUpstreams);
}

// Each crash of an upstream fails all its requests, and other callers are rejected for seconds. A
// request that crashes its upstreams may end three of them at most, whatever its share of the load
// and whenever it is repeated.
TEST(SuspectRequestTest, SuspectEndsAtMostThreeUpstreams)
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
                    core->onUpstreamEnded({SuspectKey(digest)}, kAccount, ended.id, at(now),
                                          at(now), actions);
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

// The upstream is silent for half of the silence timeout; a failover would crash another one.
TEST(SuspectRequestTest, SuspectIsNotFailedOverFromASilentUpstream)
{
    begin(Kind::Repeatable);
    core->crashes().onUpstreamCrashed(SuspectKey(kPoison), kAccount, InstanceId("a"), at(100));
    core->crashes().onUpstreamCrashed(SuspectKey(kPoison), kAccount, InstanceId("b"), at(200));
    actions.clear();
    core->onTick(at(300), actions);
    core->onTick(at(7900), actions);
    LONGS_EQUAL(0, sent());
}

// No two requests are alike; the part that they share crashes each upstream that begins to answer.
TEST(SuspectRequestTest, RequestsWithACrashingPartAreRejected)
{
    for (const Kind kind : {Kind::AtMostOnce, Kind::Repeatable, Kind::Stream}) {
        setup();
        for (const int now : {0, 5000}) {
            const RequestNumber number = beginWithParts(kind, {kCommonPart, kPoisonPart}, now);
            if (kind == Kind::Stream) {
                core->onHead(number, AnswerKind::Success, at(now + 20), actions);
            }
            crashAt(number, now + 50);
            core->onCallerGone(number, actions);
            const RequestNumber sound = beginWithParts(kind, {kCommonPart}, now + 100);
            core->onHead(sound, AnswerKind::Success, at(now + 120), actions);
            core->onEnd(sound, AttemptEnd::Complete, at(now + 200), actions);
        }
        actions.clear();
        beginWithParts(kind, {kCommonPart, kPoisonPart}, 5300);
        LONGS_EQUAL(0, sent());
        const auto *rejection = last<RejectRequest>();
        CHECK_TRUE(rejection != nullptr && rejection->failure == FailureCode::RequestEndsUpstreams);
        LONGS_EQUAL(1, *rejection->crashingPart);
        beginWithParts(kind, {kCommonPart}, 5300);
        LONGS_EQUAL(1, sent());
    }
}

TEST(SuspectRequestTest, QueuedRequestIsRejectedOnceItsPartIsKnownToCrash)
{
    answerAnotherPart();
    while (core->queuedStreams(TargetName("service")) == 0) {
        beginWithParts(Kind::Stream, {kPoisonPart});
    }
    for (const int now : {100, 5000}) {
        core->crashes().onUpstreamCrashed(SuspectKey(TargetName("service"), kPoisonPart), kAccount,
                                          InstanceId(std::to_string(now)), at(now));
    }
    core->onTick(at(5030), actions);
    LONGS_EQUAL(0, core->inFlight());
}

// An upstream may crash as it begins to answer, before it has sent the head.
TEST(SuspectRequestTest, StreamIsSuspectForItsPartsBeforeItsHead)
{
    const RequestNumber number = beginWithParts(Kind::Stream, {kPoisonPart});
    LONGS_EQUAL(2, core->crashSuspects(number).size());
    core->onHead(number, AnswerKind::Success, at(20), actions);
    LONGS_EQUAL(2, core->crashSuspects(number).size());
}

TEST(SuspectRequestTest, StreamThatGoesOnClearsItsParts)
{
    answerAnotherPart();
    const RequestNumber number = beginWithParts(Kind::Stream, {kCommonPart});
    core->onHead(number, AnswerKind::Success, at(20), actions);
    core->onFirstEvent(number, at(30));
    for (const int now : {100, 5000}) {
        core->crashes().onUpstreamCrashed(SuspectKey(TargetName("service"), kCommonPart), kAccount,
                                          InstanceId(std::to_string(now)), at(now));
    }
    CHECK_FALSE(partAllowed(kCommonPart, 5010));
    core->onPause(number, std::chrono::milliseconds(4990), at(5020));
    CHECK_TRUE(partAllowed(kCommonPart, 5020));
    LONGS_EQUAL(1, core->crashSuspects(number).size());
}

// The first events may still arrive just before the crash.
TEST(SuspectRequestTest, StreamThatHasJustBegunDoesNotClearItsParts)
{
    const RequestNumber number = beginWithParts(Kind::Stream, {kPoisonPart});
    core->onHead(number, AnswerKind::Success, at(20), actions);
    core->onFirstEvent(number, at(30));
    core->onPause(number, std::chrono::milliseconds(40), at(70));
    LONGS_EQUAL(2, core->crashSuspects(number).size());
}

TEST(SuspectRequestTest, FailureOfTheUpstreamDoesNotClearItsParts)
{
    answerAnotherPart();
    const RequestNumber number = beginWithParts(Kind::AtMostOnce, {kPoisonPart});
    core->onHead(number, AnswerKind::Failure, at(20), actions);
    core->onEnd(number, AttemptEnd::Complete, at(20), actions);
    for (const int now : {100, 5000}) {
        core->crashes().onUpstreamCrashed(SuspectKey(TargetName("service"), kPoisonPart), kAccount,
                                          InstanceId(std::to_string(now)), at(now));
    }
    CHECK_FALSE(partAllowed(kPoisonPart, 5010));
}
