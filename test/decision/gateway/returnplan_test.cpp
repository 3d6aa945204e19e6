#include "decision/gateway/returnplan.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace seamarch;
using std::chrono::milliseconds;

namespace {

ReturnPlan::Caller caller(int timeLeft, bool isRetry = false)
{
    return {isRetry, milliseconds(1500), milliseconds(timeLeft), milliseconds(2000),
            milliseconds(timeLeft / 3)};
}

} // namespace

TEST_GROUP(ReturnPlanTest)
{
    ReturnPlan plan;
    TimePoint now{milliseconds(1000)};
};

TEST(ReturnPlanTest, ReturnsAreNoDenserThanStarts)
{
    std::vector<Duration> delays;
    for (int count = 0; count < 20; ++count) {
        delays.push_back(plan.decide(caller(8000), {0.1, milliseconds(500), 20.0}, now).retryAfter);
    }
    for (std::size_t next = 1; next < delays.size(); ++next) {
        CHECK_TRUE(delays[next] - delays[next - 1] >= milliseconds(50));
    }
}

TEST(ReturnPlanTest, NobodyIsToldALongerDelayThanIsHonoured)
{
    for (int count = 0; count < 200; ++count) {
        const auto decision = plan.decide(caller(6000), {0.1, milliseconds(500), 20.0}, now);
        CHECK_TRUE(decision.retryAfter <= milliseconds(2000));
    }
}

TEST(ReturnPlanTest, CallerReturnsAsLateAsItCanIntoAnOutageOfUnknownLength)
{
    const auto decision = plan.decide(caller(6000), {0.1, {}, 20.0}, now);
    CHECK_FALSE(decision.wait);
    CHECK_TRUE(decision.retryAfter == Duration(milliseconds(2000)));
}

TEST(ReturnPlanTest, CallerThatCannotFinishIsNotToldToReturn)
{
    const auto decision = plan.decide(caller(2300), {0.1, milliseconds(500), 20.0}, now);
    CHECK_FALSE(decision.wait);
    CHECK_TRUE(decision.retryAfter == Duration{});
}

TEST(ReturnPlanTest, CallerThatCameBackWaitsOnASmallerChance)
{
    const ReturnPlan::Outage outage{0.3, {}, 20.0};
    CHECK_FALSE(plan.decide(caller(5000), outage, now).wait);
    CHECK_TRUE(plan.decide(caller(5000, true), outage, now).wait);
}

TEST(ReturnPlanTest, NobodyWaitsWithoutARealChance)
{
    CHECK_FALSE(plan.decide(caller(5000, true), {0.1, {}, 20.0}, now).wait);
}
