// A gateway that knows its share of a group of engines.
#include "decision/gateway/groupselector.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;
using namespace std::chrono_literals;

namespace {

constexpr Duration kGapTarget = 100ms;
constexpr double kInitialLimit = StreamLimiter::Settings().initialLimit;

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

// Returns the limit after a period with pauses of `pause` in which callers wait or not.
double limitAfter(double share, Duration pause, std::size_t waiting)
{
    StreamLimiter limiter;
    limiter.setShare(share);
    limiter.onPause(pause, kGapTarget, at(900));
    limiter.onTick(12, waiting, at(1000));
    return limiter.limit();
}

} // namespace

TEST_GROUP(SharedGroupTest){};

TEST(SharedGroupTest, CallersWhoWaitGetTheShareThatOthersDoNotUse)
{
    CHECK_TRUE(limitAfter(40.0, 85ms, 5) > kInitialLimit + 10.0);
}

TEST(SharedGroupTest, AShareIsNotTakenWhilePausesAreTooLong)
{
    CHECK_TRUE(limitAfter(40.0, 99ms, 5) < kInitialLimit);
}

TEST(SharedGroupTest, UnusedPlacesAreGivenUpOnceEnginesHaveNoRoom)
{
    CHECK_TRUE(limitAfter(4.0, 85ms, 0) <= kInitialLimit - 4.0);
}

TEST(SharedGroupTest, UnusedPlacesAreKeptWhileEnginesHaveRoom)
{
    DOUBLES_EQUAL(kInitialLimit, limitAfter(4.0, 40ms, 0), 1e-9);
}

TEST(SharedGroupTest, NoShareTakesTheLastStreams)
{
    CHECK_TRUE(limitAfter(0.0, 85ms, 0) >= StreamLimiter::Settings().minLimit);
}

TEST(SharedGroupTest, OnlyGroupsOfThisHallThatReportThemselvesAreStated)
{
    UpstreamChooser::Groups groups;
    groups[GroupId("here")].inOwnHall = true;
    groups[GroupId("unknown")].inOwnHall = true;
    groups[GroupId("elsewhere")];
    GroupTable table;
    GroupFacts facts;
    for (const char *known : {"here", "elsewhere"}) {
        facts.group = GroupId(known);
        table.update(facts, at(1));
    }
    GroupSelector selector{GroupSelector::Settings()};
    selector.setGroups(groups, {2, {0, 2}});
    selector.tracker(GroupId("here")).onStreamStart(at(2));
    const auto demands = selector.demands(TargetName("s"), 7, table);
    LONGS_EQUAL(1, demands.size());
    CHECK_TRUE(demands[0]
               == (GroupDemand{TargetName("s"), GroupId("here"), 1, 1, 7, demands[0].limit}));
}
