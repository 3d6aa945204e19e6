// Tests that a gateway sends nothing to an upstream that sheds load and has asked the gateway for
// some seconds of rest: no first attempts, retries, resumed or queued streams and no requests moved
// from silent upstreams, while lists change.
#include "decision/gateway/gatewaycore.h"

#include "decision/gateway/routekinds.h"

#include <array>
#include <cstdlib>
#include <fmt/format.h>
#include <iterator>
#include <map>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace seamarch;
using seamarch::testing::Kind;
using seamarch::testing::tableFor;

namespace {

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

constexpr int kRestMs = 3000;
const UpstreamNotice kRest{std::chrono::milliseconds(kRestMs), false, false};
const UpstreamNotice kLeaving{std::nullopt, false, true};

UpstreamRecord record(const std::string &id)
{
    UpstreamRecord record;
    record.id = InstanceId(id);
    record.service = TargetName("service");
    record.hall = HallId("north");
    record.slots = 10;
    record.start = UpstreamStart(1);
    return record;
}

} // namespace

TEST_GROUP(RestingUpstreamTest)
{
    std::unique_ptr<GatewayCore> core;
    GatewayActions actions;
    std::vector<UpstreamRecord> listed;

    void setup() override
    {
        start(1, {"one", "two", "three"});
    }

    void start(std::uint64_t seed, const std::vector<std::string> &ids)
    {
        GatewayCore::Settings settings;
        settings.hall = HallId("north");
        settings.seed = seed;
        settings.retries = {0.2, 88.0};
        core = std::make_unique<GatewayCore>(settings);
        listed.clear();
        for (const std::string &id : ids) {
            listed.push_back(record(id));
            core->upstreams().put(listed.back());
        }
    }

    RequestNumber begin(Kind kind, int now)
    {
        GatewayRequest request;
        request.table = tableFor(kind);
        request.route = request.table->match("x", "/");
        request.deadline = std::chrono::seconds(8);
        return core->begin(request, at(now), actions);
    }

    template <typename Action>
    const Action *last() const
    {
        const Action *found = nullptr;
        for (const GatewayAction &action : actions) {
            const auto *matching = std::get_if<Action>(&action);
            found = matching == nullptr ? found : matching;
        }
        return found;
    }

    // Starts a request whose upstream rejects it and asks for rest; the caller then disconnects.
    // Returns the upstream.
    InstanceId askForRest(Kind kind, int now)
    {
        const RequestNumber number = begin(kind, now);
        InstanceId upstream = last<StartAttempt>()->upstream.id;
        core->onNotice(core->attemptOf(number).value(), kRest, at(now));
        core->onHead(number, AnswerKind::Full, at(now), actions);
        core->onCallerGone(number, actions);
        return upstream;
    }

    // Starts `count` requests and returns how many of their first attempts go to `upstream`.
    int sentTo(const InstanceId &upstream, int now, int count = 12)
    {
        int sent = 0;
        for (int index = 0; index < count; ++index) {
            actions.clear();
            const RequestNumber number = begin(Kind::Repeatable, now);
            const auto *attempt = last<StartAttempt>();
            sent += attempt != nullptr && attempt->upstream.id == upstream ? 1 : 0;
            core->onCallerGone(number, actions);
        }
        return sent;
    }
};

TEST(RestingUpstreamTest, FirstAttemptsAvoidARestingUpstream)
{
    const InstanceId resting = askForRest(Kind::Repeatable, 0);
    for (const int now : {1, 200, 1000, kRestMs - 1}) {
        core->onTick(at(now), actions);
        LONGS_EQUAL(0, sentTo(resting, now));
    }
    core->onTick(at(kRestMs), actions);
    CHECK_TRUE(sentTo(resting, kRestMs) > 0);
}

TEST(RestingUpstreamTest, RetriesAvoidARestingUpstream)
{
    for (const Kind kind : {Kind::AtMostOnce, Kind::Repeatable, Kind::Stream}) {
        start(1, {"one", "two"});
        const InstanceId resting = askForRest(kind, 0);
        actions.clear();
        const RequestNumber number = begin(kind, 500);
        core->onHead(number, AnswerKind::Full, at(510), actions);
        core->onTick(at(900), actions); // A stream is queued until the group opens.
        CHECK_TRUE(last<StartAttempt>()->upstream.id != resting);
        CHECK_TRUE(kind == Kind::Stream || last<RejectRequest>() != nullptr);
    }
}

TEST(RestingUpstreamTest, BrokenStreamIsNotResumedAtARestingUpstream)
{
    start(1, {"one", "two"});
    const InstanceId resting = askForRest(Kind::Stream, 0);
    actions.clear();
    const RequestNumber number = begin(Kind::Stream, 500);
    core->onHead(number, AnswerKind::Success, at(510), actions);
    core->onFirstEvent(number, at(520));
    core->onEnd(number, AttemptEnd::Lost, at(600), actions);
    CHECK_TRUE(last<StartAttempt>()->upstream.id != resting);
    CHECK_TRUE(last<AbortAnswer>() != nullptr);
}

TEST(RestingUpstreamTest, SilentUpstreamIsReplacedByOneThatIsNotResting)
{
    const InstanceId resting = askForRest(Kind::Repeatable, 0);
    actions.clear();
    begin(Kind::Repeatable, 100);
    const InstanceId silent = last<StartAttempt>()->upstream.id;
    core->onTick(at(1200), actions);
    CHECK_TRUE(last<StartAttempt>()->upstream.id != silent);
    CHECK_TRUE(last<StartAttempt>()->upstream.id != resting);
}

TEST(RestingUpstreamTest, LaterAnswersAndListsDoNotShortenARest)
{
    const InstanceId resting = askForRest(Kind::Repeatable, 0);
    actions.clear();
    core->upstreams().mirror(listed);
    LONGS_EQUAL(0, sentTo(resting, 300));
    core->upstreams().replaceAll({}, at(310));
    core->upstreams().replaceAll(listed, at(320));
    LONGS_EQUAL(0, sentTo(resting, 330));
}

TEST(RestingUpstreamTest, LaterShorterRestDoesNotShortenALongerOne)
{
    const RequestNumber first = begin(Kind::Repeatable, 0);
    const InstanceId upstream = last<StartAttempt>()->upstream.id;
    core->onNotice(core->attemptOf(first).value(), kRest, at(0));
    core->onNotice(core->attemptOf(first).value(), {std::chrono::milliseconds(100), false, false},
                   at(10));
    LONGS_EQUAL(0, sentTo(upstream, kRestMs - 10));
}

TEST(RestingUpstreamTest, RejectionCarriesTheEarliestRestEnd)
{
    start(1, {"one", "two"});
    const RequestNumber number = begin(Kind::Repeatable, 0);
    core->onNotice(core->attemptOf(number).value(), kRest, at(0));
    core->onHead(number, AnswerKind::Full, at(0), actions);
    core->onNotice(core->attemptOf(number).value(), kRest,
                   at(200)); // The retry, at the other upstream.
    core->onHead(number, AnswerKind::Full, at(200), actions);
    CHECK_TRUE(last<RejectRequest>()->retryAfter == Duration(std::chrono::milliseconds(2800)));
    actions.clear();
    begin(Kind::AtMostOnce, 1000);
    CHECK_TRUE(last<StartAttempt>() == nullptr);
    CHECK_TRUE(last<RejectRequest>()->outcome == Outcome::NotRun);
    CHECK_TRUE(last<RejectRequest>()->retryAfter == Duration(std::chrono::milliseconds(2000)));
}

TEST(RestingUpstreamTest, RestToldToACallerWhoHasLeftIsObserved)
{
    const RequestNumber number = begin(Kind::Repeatable, 0);
    core->onCallerGone(number, actions);
    const AttemptRecord abandoned = last<CancelAttempt>()->attempt;
    core->onNotice(abandoned, kRest, at(10));
    core->onAbandonedHead(abandoned, AnswerKind::Full, at(10));
    LONGS_EQUAL(0, sentTo(abandoned.upstream.id, 1000));
}

TEST(RestingUpstreamTest, RefusalOfAnAbandonedAttemptMarksItsUpstreamAsFull)
{
    const RequestNumber number = begin(Kind::Repeatable, 0);
    core->onCallerGone(number, actions);
    const AttemptRecord abandoned = last<CancelAttempt>()->attempt;
    core->onAbandonedHead(abandoned, AnswerKind::Full, at(10));
    LONGS_EQUAL(0, sentTo(abandoned.upstream.id, 20));
    CHECK_TRUE(sentTo(abandoned.upstream.id, 200) > 0);
}

TEST(RestingUpstreamTest, FullUpstreamWithoutARestIsRetriedSoon)
{
    const RequestNumber number = begin(Kind::Repeatable, 0);
    const InstanceId full = last<StartAttempt>()->upstream.id;
    core->onHead(number, AnswerKind::Full, at(0), actions);
    CHECK_TRUE(sentTo(full, 200) > 0);
}

TEST(RestingUpstreamTest, LeavingUpstreamFinishesItsRequestsAndGetsNoNewOnes)
{
    const RequestNumber number = begin(Kind::Stream, 0);
    const InstanceId leaving = last<StartAttempt>()->upstream.id;
    actions.clear();
    core->onNotice(core->attemptOf(number).value(), kLeaving, at(10));
    CHECK_TRUE(core->onHead(number, AnswerKind::Success, at(10), actions));
    LONGS_EQUAL(0, sentTo(leaving, 20));
    actions.clear();
    core->onEnd(number, AttemptEnd::Complete, at(900), actions);
    CHECK_TRUE(actions.empty()); // The answer was delivered completely.
}

// Checks random sequences of events: no attempt is sent to an upstream that is resting or leaving
// at that time. SEAMARCH_SEEDS sets the number of seeds.
TEST(RestingUpstreamTest, NoScheduleSendsToARestingOrLeavingUpstream)
{
    const char *seedCount = std::getenv("SEAMARCH_SEEDS");
    const int seeds = seedCount == nullptr ? 400 : std::atoi(seedCount);
    const std::vector<std::string> ids{"one", "two", "three", "four"};
    for (int seed = 1; seed <= seeds; ++seed) {
        start(static_cast<std::uint64_t>(seed), ids);
        std::mt19937_64 random(static_cast<std::uint64_t>(seed));
        const auto draw = [&random](int most) {
            return static_cast<int>(random() % static_cast<std::uint64_t>(most));
        };
        std::map<InstanceId, TimePoint> restUntil;
        std::set<InstanceId> leaving;
        std::map<RequestNumber, InstanceId> attempts; // In flight.
        for (int step = 0, now = 0; step < 300; ++step) {
            now += draw(60);
            actions.clear();
            const auto chosen =
                attempts.empty()
                    ? attempts.end()
                    : std::next(attempts.begin(), draw(static_cast<int>(attempts.size())));
            switch (draw(8)) {
            case 0:
            case 1:
                begin(static_cast<Kind>(draw(3)), now);
                break;
            case 2:
            case 3:
                if (chosen != attempts.end()) {
                    const RequestNumber number = chosen->first;
                    if (draw(2) == 0) {
                        const Duration rest = std::chrono::milliseconds(draw(2000));
                        restUntil[chosen->second] =
                            std::max(restUntil[chosen->second], at(now) + rest);
                        core->onNotice(core->attemptOf(number).value(), {rest, false, false},
                                       at(now));
                    } else if (draw(10) == 0) {
                        leaving.insert(chosen->second);
                        core->onNotice(core->attemptOf(number).value(), kLeaving, at(now));
                    }
                    const std::array kinds{AnswerKind::Full, AnswerKind::Failure,
                                           AnswerKind::Invalid, AnswerKind::Success};
                    core->onHead(number, kinds[static_cast<std::size_t>(draw(4))], at(now),
                                 actions);
                }
                break;
            case 4:
                if (chosen != attempts.end()) {
                    const std::array ends{AttemptEnd::Complete, AttemptEnd::NotSent,
                                          AttemptEnd::Lost};
                    const RequestNumber number = chosen->first;
                    attempts.erase(chosen);
                    core->onEnd(number, ends[static_cast<std::size_t>(draw(3))], at(now), actions);
                }
                break;
            case 5:
                if (draw(2) == 0) {
                    core->upstreams().mirror(listed);
                } else {
                    core->upstreams().replaceAll(
                        draw(2) == 0 ? std::vector<UpstreamRecord>() : listed, at(now));
                    core->upstreams().replaceAll(listed, at(now));
                }
                break;
            default:
                core->onTick(at(now), actions);
                break;
            }
            for (const GatewayAction &action : actions) {
                if (const auto *sent = std::get_if<StartAttempt>(&action)) {
                    const InstanceId &to = sent->upstream.id;
                    const std::string text =
                        fmt::format("seed {}, {} ms: sent to {}, which is resting or leaving", seed,
                                    now, to.value());
                    CHECK_TEXT(restUntil[to] <= at(now) && !leaving.contains(to), text.c_str());
                    attempts[sent->request] = to;
                } else if (const auto *cancelled = std::get_if<CancelAttempt>(&action)) {
                    attempts.erase(cancelled->request);
                }
            }
        }
    }
}
