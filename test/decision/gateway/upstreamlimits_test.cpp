#include "decision/gateway/upstreamlimits.h"

#include "decision/gateway/upstreamtable.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

using Change = UpstreamLimits::Change;

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

UpstreamRecord record(const std::string &id, std::int64_t start = 1)
{
    UpstreamRecord record;
    record.id = InstanceId(id);
    record.start = UpstreamStart(start);
    return record;
}

LimitReport report(const std::string &id, std::optional<RequestRate> rate, int reportedAt)
{
    return {InstanceId(id), UpstreamStart(1), rate, at(reportedAt)};
}

constexpr RequestRate kOne{1.0};
constexpr RequestRate kTwo{2.0};

} // namespace

TEST_GROUP(UpstreamLimitsTest)
{
    UpstreamLimits limits;

    Change answer(std::optional<RequestRate> rate, int sentAt, int now)
    {
        return limits.onAnswer(record("up"), rate, at(sentAt), at(now));
    }
};

TEST(UpstreamLimitsTest, LimitAppliesFromTheAnswerThatReportsIt)
{
    CHECK_FALSE(limits.limitOf(record("up")).has_value());
    CHECK_TRUE(answer(kOne, 0, 10) == Change::Begun);
    CHECK_TRUE(limits.limitOf(record("up")) == kOne);
    CHECK_FALSE(limits.limitOf(record("another")).has_value());
}

TEST(UpstreamLimitsTest, LaterAnswerChangesOrEndsTheLimit)
{
    answer(kOne, 0, 10);
    CHECK_TRUE(answer(kTwo, 5, 20) == Change::Changed);
    CHECK_TRUE(limits.limitOf(record("up")) == kTwo);
    CHECK_TRUE(answer(std::nullopt, 21, 30) == Change::Ended);
    CHECK_FALSE(limits.limitOf(record("up")).has_value());
}

// The request was sent before the limit was reported, so the order of the two answers is unknown.
TEST(UpstreamLimitsTest, AnswerToAnEarlierRequestDoesNotEndTheLimit)
{
    answer(kOne, 0, 10);
    CHECK_TRUE(answer(std::nullopt, 9, 30) == Change::None);
    CHECK_TRUE(limits.limitOf(record("up")) == kOne);
}

TEST(UpstreamLimitsTest, RepeatedReportIsNoChangeButRefreshesItsTime)
{
    answer(kOne, 0, 10);
    const std::uint64_t version = limits.version();
    CHECK_TRUE(answer(kOne, 20, 40) == Change::None);
    UNSIGNED_LONGS_EQUAL(version, limits.version());
    CHECK_TRUE(answer(std::nullopt, 30, 50) == Change::None);
}

TEST(UpstreamLimitsTest, RestartedUpstreamHasNoLimitUntilItReportsOne)
{
    answer(kOne, 0, 10);
    CHECK_FALSE(limits.limitOf(record("up", 2)).has_value());
    CHECK_TRUE(limits.onAnswer(record("up", 2), std::nullopt, at(20), at(30)) == Change::None);
    CHECK_TRUE(limits.onAnswer(record("up", 2), kTwo, at(40), at(50)) == Change::Begun);
    CHECK_TRUE(limits.limitOf(record("up", 2)) == kTwo);
}

TEST(UpstreamLimitsTest, UnknownStartMatchesTheReportedOne)
{
    answer(kOne, 0, 10);
    CHECK_TRUE(limits.limitOf(record("up", 0)) == kOne);
}

TEST(UpstreamLimitsTest, ReportFromAnotherGatewayApplies)
{
    CHECK_TRUE(limits.merge(report("up", kOne, 10), at(20)));
    CHECK_TRUE(limits.limitOf(record("up")) == kOne);
    CHECK_FALSE(limits.merge(report("up", kOne, 10), at(30)));
    UNSIGNED_LONGS_EQUAL(0, limits.localChanges());
}

TEST(UpstreamLimitsTest, LaterReportFromAnotherGatewayWins)
{
    answer(kOne, 0, 1000);
    CHECK_FALSE(limits.merge(report("up", kTwo, 500), at(1500)));
    CHECK_TRUE(limits.merge(report("up", kTwo, 1400), at(1500)));
    CHECK_FALSE(limits.merge(report("up", std::nullopt, 1000), at(1500)));
    CHECK_TRUE(limits.merge(report("up", std::nullopt, 1600), at(1700)));
    CHECK_FALSE(limits.limitOf(record("up")).has_value());
}

// Times from different gateways are comparable only within several round trips.
TEST(UpstreamLimitsTest, LimitWinsOverNoLimitIfTheReportOrderIsAmbiguous)
{
    answer(kOne, 0, 1000);
    CHECK_FALSE(limits.merge(report("up", std::nullopt, 1050), at(1100)));
    answer(std::nullopt, 1101, 1200);
    CHECK_TRUE(limits.merge(report("up", kOne, 1150), at(1250)));
    CHECK_TRUE(limits.limitOf(record("up")) == kOne);
}

TEST(UpstreamLimitsTest, LowerLimitWinsIfTheReportOrderIsAmbiguous)
{
    answer(kOne, 0, 1000);
    CHECK_FALSE(limits.merge(report("up", kTwo, 1050), at(1100)));
    CHECK_TRUE(limits.merge(report("up", RequestRate(0.5), 950), at(1100)));
}

TEST(UpstreamLimitsTest, ReportExpiresUnlessItIsRepeated)
{
    const int timeToLive = static_cast<int>(toMillis(UpstreamLimits::Settings().timeToLive));
    answer(kOne, 0, 10);
    answer(kOne, timeToLive / 2, timeToLive / 2);
    limits.expire(at(timeToLive + 1000));
    CHECK_TRUE(limits.limitOf(record("up")).has_value());
    limits.expire(at(2 * timeToLive));
    CHECK_FALSE(limits.limitOf(record("up")).has_value());
}

TEST(UpstreamLimitsTest, RepeatedReportIsPublishedPeriodically)
{
    const int renewal = static_cast<int>(toMillis(UpstreamLimits::Settings().renewalInterval));
    answer(kOne, 0, 10);
    const std::uint64_t version = limits.version();
    answer(kOne, renewal, renewal + 20);
    CHECK_TRUE(limits.version() != version);
}

TEST(UpstreamLimitsTest, OldestReportIsEvictedFirst)
{
    for (std::size_t index = 0; index <= UpstreamLimits::kMaxEntries; ++index) {
        const int now = static_cast<int>(index) + 1;
        limits.onAnswer(record(fmt::format("up-{}", index)), kOne, at(now), at(now));
    }
    UNSIGNED_LONGS_EQUAL(UpstreamLimits::kMaxEntries, limits.all().size());
    CHECK_FALSE(limits.limitOf(record("up-0")).has_value());
    CHECK_TRUE(limits.limitOf(record("up-1")).has_value());
}
