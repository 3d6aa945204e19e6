#include "decision/gateway/outagehistory.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;
using std::chrono::milliseconds;

namespace {

TimePoint at(int millis)
{
    return TimePoint(milliseconds(millis));
}

} // namespace

TEST_GROUP(OutageHistoryTest)
{
    OutageHistory history;

    // Records an outage from `from` to `until`.
    void outage(int from, int until)
    {
        history.onState(false, at(from));
        history.onState(true, at(until));
        history.onState(true, at(until + 1000));
    }
};

TEST(OutageHistoryTest, GatewayThatHasJustStartedKnowsNoOutage)
{
    history.onState(true, at(0));
    CHECK_FALSE(history.age(at(10)).has_value());
    DOUBLES_EQUAL(1.0, history.endsWithin(milliseconds(1), at(10)), 0.0);
}

TEST(OutageHistoryTest, FirstOutageIsExpectedToLastAsLongAsItHas)
{
    history.onState(false, at(0));
    DOUBLES_EQUAL(0.5, history.endsWithin(milliseconds(4000), at(4000)), 0.01);
    CHECK_TRUE(history.endsWithin(milliseconds(1000), at(4000)) < 0.25);
}

TEST(OutageHistoryTest, OutagesOfOneLengthPredictTheNext)
{
    outage(0, 5000);
    outage(10'000, 15'100);
    outage(20'000, 24'900);
    history.onState(false, at(30'000));
    CHECK_TRUE(history.endsWithin(milliseconds(1000), at(33'000)) < 0.25);
    CHECK_TRUE(history.endsWithin(milliseconds(1500), at(34'000)) > 0.75);
}

TEST(OutageHistoryTest, GroupThatBreaksAgainWhileItOpensIsStillOut)
{
    history.onState(false, at(0));
    history.onState(true, at(2000));
    history.onState(false, at(2200));
    CHECK_TRUE(history.age(at(3000)) == Duration(milliseconds(3000)));
}
