// Tests that a gateway sends to an upstream with a reported limit only if it holds a permit: for
// first attempts, retries, resumed and queued streams and requests moved from silent upstreams,
// while lists change and permits are granted, refused or not answered.
#include "decision/gateway/gatewaycore.h"

#include "decision/gateway/routekinds.h"

#include <array>
#include <cstdlib>
#include <fmt/format.h>
#include <iterator>
#include <map>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace seamarch;
using seamarch::testing::Kind;
using seamarch::testing::tableFor;

namespace {

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

constexpr RequestRate kLimit{1.0};

UpstreamRecord record(const std::string &id, std::int64_t start = 1)
{
    UpstreamRecord record;
    record.id = InstanceId(id);
    record.service = TargetName("service");
    record.hall = HallId("north");
    record.slots = 10;
    record.start = UpstreamStart(start);
    return record;
}

} // namespace

TEST_GROUP(LimitedUpstreamTest)
{
    std::unique_ptr<GatewayCore> core;
    GatewayActions actions;
    std::vector<UpstreamRecord> listed;

    void setup() override
    {
        start(1, {"one", "two"});
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
        actions.clear();
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

    void addLimit(const std::string &id, int now, std::optional<RequestRate> limit = kLimit)
    {
        core->limits().merge({InstanceId(id), UpstreamStart(1), limit, at(now)}, at(now));
    }

    // Answers every query that is due with `answer`. Returns the number of queries.
    std::size_t answerQueries(const PermitGrant &answer, int now)
    {
        actions.clear();
        const auto queries = core->takePermitQueries(at(now));
        for (const SendPermits::Query &query : queries) {
            core->onPermits(query.upstream, answer, at(now), at(now), actions);
        }
        return queries.size();
    }
};

TEST(LimitedUpstreamTest, LimitAppliesToTheNextRequest)
{
    start(1, {"one"});
    const RequestNumber first = begin(Kind::Repeatable, 0);
    CHECK_TRUE(core->onLimit(core->attemptOf(first).value(), kLimit, at(5))
               == UpstreamLimits::Change::Begun);
    core->onHead(first, AnswerKind::Success, at(5), actions);
    begin(Kind::Repeatable, 6);
    CHECK_TRUE(last<StartAttempt>() == nullptr);
}

TEST(LimitedUpstreamTest, RequestsWithoutAPermitGoToOtherUpstreams)
{
    addLimit("one", 0);
    for (const Kind kind : {Kind::AtMostOnce, Kind::Repeatable, Kind::Stream}) {
        for (int count = 0; count < 6; ++count) {
            begin(kind, 1);
            CHECK_TRUE(last<StartAttempt>()->upstream.id == InstanceId("two"));
        }
    }
}

TEST(LimitedUpstreamTest, PermitAdmitsOneRequest)
{
    addLimit("one", 0);
    begin(Kind::Repeatable, 1);
    begin(Kind::Repeatable, 1);
    UNSIGNED_LONGS_EQUAL(1, answerQueries({1, Duration{}}, 2));
    begin(Kind::Repeatable, 3);
    CHECK_TRUE(last<StartAttempt>()->upstream.id == InstanceId("one"));
    begin(Kind::Repeatable, 4);
    CHECK_TRUE(last<StartAttempt>()->upstream.id == InstanceId("two"));
}

TEST(LimitedUpstreamTest, NoPermitIsRequestedWhileOthersRankHigher)
{
    start(1, {"one"});
    UpstreamRecord far = record("two");
    far.hall = HallId("south");
    core->upstreams().put(far);
    addLimit("two", 0);
    begin(Kind::Repeatable, 1);
    UNSIGNED_LONGS_EQUAL(0, core->takePermitQueries(at(1)).size());
}

TEST(LimitedUpstreamTest, RetryIsNotSentWithoutAPermit)
{
    addLimit("one", 0);
    const RequestNumber number = begin(Kind::Repeatable, 1);
    actions.clear();
    core->onHead(number, AnswerKind::Full, at(5), actions);
    CHECK_TRUE(last<StartAttempt>() == nullptr);
}

TEST(LimitedUpstreamTest, RequestWaitsForAPermitIfThereIsNoOtherUpstream)
{
    for (const Kind kind : {Kind::AtMostOnce, Kind::Repeatable, Kind::Stream}) {
        start(1, {"one"});
        addLimit("one", 0);
        begin(kind, 1);
        CHECK_TRUE(actions.empty());
        UNSIGNED_LONGS_EQUAL(1, answerQueries({1, Duration{}}, 5));
        CHECK_TRUE(last<StartAttempt>()->upstream.id == InstanceId("one"));
    }
}

TEST(LimitedUpstreamTest, RequestIsRejectedAtOnceIfNoPermitCanArriveInTime)
{
    start(1, {"one"});
    addLimit("one", 0);
    begin(Kind::Repeatable, 1);
    UNSIGNED_LONGS_EQUAL(1, answerQueries({0, std::chrono::milliseconds(900)}, 5));
    CHECK_TRUE(last<RejectRequest>()->outcome == Outcome::NotRun);
    CHECK_TRUE(last<RejectRequest>()->retryAfter == Duration(std::chrono::milliseconds(900)));
    begin(Kind::AtMostOnce, 105);
    CHECK_TRUE(last<RejectRequest>()->retryAfter == Duration(std::chrono::milliseconds(800)));
}

TEST(LimitedUpstreamTest, WaitForAPermitTimesOut)
{
    start(1, {"one"});
    addLimit("one", 0);
    begin(Kind::Repeatable, 1);
    core->takePermitQueries(at(1));
    actions.clear();
    core->onTick(at(150), actions);
    CHECK_TRUE(actions.empty());
    core->onTick(at(201), actions);
    CHECK_TRUE(last<RejectRequest>() != nullptr);
    UNSIGNED_LONGS_EQUAL(0, core->inFlight());
}

TEST(LimitedUpstreamTest, DisconnectedCallerDoesNotUseThePermit)
{
    start(1, {"one"});
    addLimit("one", 0);
    const RequestNumber number = begin(Kind::Repeatable, 1);
    core->onCallerGone(number, actions);
    answerQueries({1, Duration{}}, 5);
    CHECK_TRUE(last<StartAttempt>() == nullptr);
}

TEST(LimitedUpstreamTest, RestartedUpstreamHasNoLimit)
{
    start(1, {"one"});
    addLimit("one", 0);
    core->upstreams().put(record("one", 2));
    begin(Kind::Repeatable, 1);
    CHECK_TRUE(last<StartAttempt>() != nullptr);
}

// Checks random sequences of events: every request that is sent to an upstream with a limit uses a
// permit of its own. SEAMARCH_SEEDS sets the number of seeds.
TEST(LimitedUpstreamTest, NoScheduleSendsWithoutAPermit)
{
    const char *seedCount = std::getenv("SEAMARCH_SEEDS");
    const int seeds = seedCount == nullptr ? 400 : std::atoi(seedCount);
    const std::vector<std::string> ids{"one", "two", "three"};
    for (int seed = 1; seed <= seeds; ++seed) {
        start(static_cast<std::uint64_t>(seed), ids);
        std::mt19937_64 random(static_cast<std::uint64_t>(seed));
        const auto draw = [&random](int most) {
            return static_cast<int>(random() % static_cast<std::uint64_t>(most));
        };
        std::map<InstanceId, std::uint32_t> granted;
        std::map<RequestNumber, InstanceId> attempts; // In flight.
        for (int step = 0, now = 0; step < 300; ++step) {
            now += draw(40);
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
                    const auto limit = draw(3) == 0 ? std::nullopt : std::optional(kLimit);
                    core->onLimit(core->attemptOf(number).value(), limit, at(now));
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
                core->upstreams().replaceAll(draw(2) == 0 ? std::vector<UpstreamRecord>() : listed,
                                             at(now));
                core->upstreams().replaceAll(listed, at(now));
                break;
            case 6:
                for (const SendPermits::Query &query : core->takePermitQueries(at(now))) {
                    if (draw(3) != 0) {
                        const auto count = static_cast<std::uint32_t>(draw(3));
                        granted[query.upstream] += count;
                        core->onPermits(query.upstream,
                                        {count, std::chrono::milliseconds(draw(300))}, at(now),
                                        at(now), actions);
                    }
                }
                break;
            default:
                core->onTick(at(now), actions);
                break;
            }
            for (const GatewayAction &action : actions) {
                if (const auto *sent = std::get_if<StartAttempt>(&action)) {
                    const InstanceId &to = sent->upstream.id;
                    if (core->limits().limitOf(sent->upstream)) {
                        const std::string text = fmt::format(
                            "seed {}, {} ms: sent to {} without a permit", seed, now, to.value());
                        CHECK_TEXT(granted[to] > 0, text.c_str());
                        --granted[to];
                    }
                    attempts[sent->request] = to;
                } else if (const auto *cancelled = std::get_if<CancelAttempt>(&action)) {
                    attempts.erase(cancelled->request);
                }
            }
        }
    }
}
