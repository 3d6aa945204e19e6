// Tests of the loads that UpstreamPace answers: replicas of uneven speed, whose callers want an
// answer within five times the usual time.
#include "decision/gateway/upstreampace.h"

#include <array>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

constexpr Duration kUsual = std::chrono::milliseconds(30);
constexpr int kTargetRatio = 5; // Latency target to usual time.
const std::string kRoute = "read";
const std::array<InstanceId, 3> kUpstreams = {InstanceId("one"), InstanceId("two"),
                                              InstanceId("three")};
const InstanceId &kSlow = kUpstreams[2];

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

} // namespace

TEST_GROUP(UpstreamPaceTest)
{
    UpstreamPace pace;
    std::mt19937 random{7};
    int now = 1000; // ms

    // Time of an answer with the spread of ordinary work.
    Duration work()
    {
        constexpr double kSpread = 0.5;
        std::lognormal_distribution<double> factor(-kSpread * kSpread / 2, kSpread);
        return std::chrono::duration_cast<Duration>(kUsual * factor(random));
    }

    // Each upstream answers one request, one after the other; the last one is slower by `factor`.
    void answerEach(int factor, const std::string &route = kRoute, Duration mean = kUsual)
    {
        for (const InstanceId &upstream : kUpstreams) {
            now += 20;
            const int slower = upstream == kSlow ? factor : 1;
            pace.onAnswer(route, upstream, mean * slower, at(now));
        }
    }

    void answerRounds(int rounds, int factor)
    {
        for (int round = 0; round < rounds; ++round) {
            answerEach(factor);
        }
    }

    double slowness(const InstanceId &upstream) const
    {
        return pace.slowness(upstream, at(now));
    }
};

TEST(UpstreamPaceTest, NothingIsKnownAtFirst)
{
    DOUBLES_EQUAL(1.0, slowness(kSlow), 0.0);
}

TEST(UpstreamPaceTest, OneAnswerThatMissesTheTargetShowsASlowUpstream)
{
    answerRounds(5, 1);
    pace.onAnswer(kRoute, kSlow, kUsual * kTargetRatio, at(now));
    CHECK_TRUE(slowness(kSlow) >= 2.0);
}

TEST(UpstreamPaceTest, OneSlowOfThreeIsMeasuredByHowSlowItIs)
{
    answerRounds(10, 1);
    answerRounds(10, 4);
    // Half of it would send it twice the requests that it can process.
    CHECK_TRUE(slowness(kSlow) > 2.0);
    CHECK_TRUE(slowness(kSlow) < 8.0);
    DOUBLES_EQUAL(1.0, slowness(kUpstreams[0]), 0.0);
    DOUBLES_EQUAL(1.0, slowness(kUpstreams[1]), 0.0);
}

TEST(UpstreamPaceTest, AnUpstreamThatWasSlowFromTheBeginningIsDetected)
{
    answerRounds(10, kTargetRatio);
    CHECK_TRUE(slowness(kSlow) >= 2.0);
    DOUBLES_EQUAL(1.0, slowness(kUpstreams[0]), 0.0);
}

TEST(UpstreamPaceTest, AServiceThatIsSlowAsAWholeHasNoSlowUpstream)
{
    answerRounds(10, 1);
    for (int round = 0; round < 10; ++round) {
        for (const InstanceId &upstream : kUpstreams) {
            now += 20;
            pace.onAnswer(kRoute, upstream, kUsual * kTargetRatio, at(now));
        }
    }
    for (const InstanceId &upstream : kUpstreams) {
        DOUBLES_EQUAL(1.0, slowness(upstream), 0.0);
    }
}

TEST(UpstreamPaceTest, ALoneUpstreamIsComparedWithItsUsualTime)
{
    for (int answer = 0; answer < 20; ++answer) {
        pace.onAnswer(kRoute, kSlow, work(), at(now += 100));
    }
    DOUBLES_EQUAL(1.0, slowness(kSlow), 0.0);
    for (int answer = 0; answer < 2; ++answer) {
        pace.onAnswer(kRoute, kSlow, kUsual * kTargetRatio, at(now += 100));
    }
    CHECK_TRUE(slowness(kSlow) >= 2.0);
    for (int answer = 0; answer < 100; ++answer) {
        pace.onAnswer(kRoute, kSlow, kUsual * kTargetRatio, at(now += 100));
    }
    DOUBLES_EQUAL(1.0, slowness(kSlow), 0.0);
}

TEST(UpstreamPaceTest, RoutesOfDifferentWorkAreComparable)
{
    answerRounds(5, 1);
    for (int round = 0; round < 5; ++round) {
        answerEach(1, "report", kUsual * 10);
    }
    for (int round = 0; round < 10; ++round) {
        now += 20;
        pace.onAnswer("report", kUpstreams[0], kUsual * 10, at(now));
        pace.onAnswer(kRoute, kUpstreams[1], kUsual, at(now));
    }
    DOUBLES_EQUAL(1.0, slowness(kUpstreams[0]), 0.0);
    DOUBLES_EQUAL(1.0, slowness(kUpstreams[1]), 0.0);
}

TEST(UpstreamPaceTest, DifferencesByChanceAreSeldomTakenForSlowness)
{
    constexpr int kRounds = 2000;
    int slow = 0;
    for (int round = 0; round < kRounds; ++round) {
        for (const InstanceId &upstream : kUpstreams) {
            pace.onAnswer(kRoute, upstream, work(), at(now += 20));
        }
        for (const InstanceId &upstream : kUpstreams) {
            slow += slowness(upstream) > 1.0 ? 1 : 0;
        }
    }
    // A tenth of the time is too much: each upstream would lose that share of its use.
    CHECK_TRUE(slow < kRounds * static_cast<int>(kUpstreams.size()) / 10);
}

TEST(UpstreamPaceTest, ARequestThatHasNotBeenAnsweredCountsAsSoonAsItIsLate)
{
    answerRounds(5, 1);
    for (int waited = 20; waited <= 30 * kTargetRatio; waited += 20) {
        pace.onWait(kRoute, kSlow, std::chrono::milliseconds(waited), at(now += 20));
    }
    pace.onWait(kRoute, kSlow, kUsual * kTargetRatio, at(now += 10));
    CHECK_TRUE(slowness(kSlow) >= 2.0);
}

TEST(UpstreamPaceTest, ARequestThatHasWaitedAsUsualDoesNotCount)
{
    answerRounds(5, 1);
    for (int waited = 5; waited <= 60; waited += 5) {
        pace.onWait(kRoute, kSlow, std::chrono::milliseconds(waited), at(now += 5));
        DOUBLES_EQUAL(1.0, slowness(kSlow), 0.0);
    }
}

TEST(UpstreamPaceTest, AnAnswerReplacesTheWaitForIt)
{
    answerRounds(5, 1);
    pace.onWait(kRoute, kSlow, kUsual * 3, at(now));
    pace.onAnswer(kRoute, kSlow, kUsual * 3, at(now));
    UpstreamPace without;
    std::swap(pace, without);
    now = 1000;
    answerRounds(5, 1);
    pace.onAnswer(kRoute, kSlow, kUsual * 3, at(now));
    DOUBLES_EQUAL(pace.slowness(kSlow, at(now)), without.slowness(kSlow, at(now)), 1e-9);
}

TEST(UpstreamPaceTest, AnAvoidedUpstreamIsTriedAgain)
{
    answerRounds(5, 1);
    answerRounds(5, kTargetRatio);
    CHECK_TRUE(slowness(kSlow) >= 2.0);
    now += 20000; // Recovery is noticed before a day's incident is forgotten.
    pace.expire(at(now));
    DOUBLES_EQUAL(1.0, slowness(kSlow), 0.0);
}

TEST(UpstreamPaceTest, OneSlowAnswerOfATriedUpstreamShowsThatItIsStillSlow)
{
    answerRounds(5, 1);
    answerRounds(5, kTargetRatio);
    now += 20000;
    pace.expire(at(now));
    pace.onAnswer(kRoute, kSlow, kUsual * kTargetRatio, at(now));
    CHECK_TRUE(slowness(kSlow) >= 2.0);
}

TEST(UpstreamPaceTest, ARecoveredUpstreamGetsItsShareBackStepByStep)
{
    answerRounds(5, 1);
    answerRounds(5, kTargetRatio);
    const double before = slowness(kSlow);
    pace.onAnswer(kRoute, kSlow, kUsual, at(now));
    CHECK_TRUE(slowness(kSlow) > 1.0);
    CHECK_TRUE(slowness(kSlow) < before);
    answerRounds(20, 1);
    DOUBLES_EQUAL(1.0, slowness(kSlow), 0.0);
}

TEST(UpstreamPaceTest, AnIdThatStartsAnewIsNormalOnceItsFormerAnswersHaveFaded)
{
    answerRounds(5, 1);
    pace.onAnswer(kRoute, kSlow, kUsual * kTargetRatio, at(now));
    // It is gone and comes back; meanwhile the others serve.
    for (int round = 0; round < 500; ++round) {
        now += 20;
        pace.onAnswer(kRoute, kUpstreams[static_cast<std::size_t>(round) % 2], kUsual, at(now));
        pace.expire(at(now));
    }
    DOUBLES_EQUAL(1.0, slowness(kSlow), 0.0);
}

TEST(UpstreamPaceTest, ChangesAreReportedWithTheirReason)
{
    answerRounds(5, 1);
    LONGS_EQUAL(0, pace.takeChanges(at(now)).size());
    pace.onAnswer(kRoute, kSlow, kUsual * kTargetRatio, at(now));
    const auto changes = pace.takeChanges(at(now + 10));
    LONGS_EQUAL(1, changes.size());
    CHECK_TRUE(changes[0].upstream == kSlow);
    CHECK_TRUE(changes[0].slow);
    STRCMP_EQUAL(kRoute.c_str(), changes[0].route.c_str());
    CHECK_TRUE(changes[0].time == kUsual * kTargetRatio);
    CHECK_TRUE(changes[0].age == std::chrono::milliseconds(10));
    LONGS_EQUAL(0, pace.takeChanges(at(now + 20)).size());
}

TEST(UpstreamPaceTest, ChangesToAndFroAreReportedOncePerSecond)
{
    UpstreamPace::Settings settings;
    settings.historyWeight = 0; // Every answer changes the result.
    settings.fullWeight = 1.0;
    pace = UpstreamPace(settings);
    answerRounds(1, 1);
    std::size_t reported = 0;
    for (int round = 0; round < 100; ++round) { // 10 s.
        answerRounds(1, round % 2 == 0 ? kTargetRatio : 1);
        now += 40;
        reported += pace.takeChanges(at(now)).size();
    }
    CHECK_TRUE(reported >= 2);
    CHECK_TRUE(reported <= 11);
}
