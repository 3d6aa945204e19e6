#include "decision/membership/grouppollplanner.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace seamarch;

namespace {

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

std::vector<GroupPollPlanner::Engine> engines(int count)
{
    std::vector<GroupPollPlanner::Engine> list;
    for (int number = 0; number < count; ++number) {
        list.push_back({"host" + std::to_string(number), 80});
    }
    return list;
}

GroupFacts facts(const char *group, int from, int count)
{
    GroupFacts facts;
    facts.group = GroupId(group);
    for (int number = from; number < from + count; ++number) {
        facts.members.push_back({"host" + std::to_string(number), 80, 1.0});
    }
    return facts;
}

} // namespace

TEST_GROUP(GroupPollPlannerTest)
{
    GroupPollPlanner planner;
    GroupTable table;
};

TEST(GroupPollPlannerTest, LimitsDiscoveryPollsWhileNoGroupIsKnown)
{
    LONGS_EQUAL(3, planner.nextHosts(engines(72), table, at(0)).size());
    LONGS_EQUAL(0, planner.nextHosts(engines(72), table, at(50)).size());
}

TEST(GroupPollPlannerTest, PollsReferredDeciderNext)
{
    const auto polled = planner.nextHosts(engines(24), table, at(0));
    planner.onReferred(polled.front(), "host20", at(5));
    const auto next = planner.nextHosts(engines(24), table, at(10));
    CHECK_TRUE(std::find(next.begin(), next.end(), "host20") != next.end());
}

// With nine groups of 32 ranks, the number of polls equals the number of groups, not of ranks.
TEST(GroupPollPlannerTest, PollsOneAgentPerKnownGroup)
{
    for (int number = 0; number < 9; ++number) {
        const std::string name = "g" + std::to_string(number);
        table.update(facts(name.c_str(), number * 32, 32), at(0));
        planner.onDecider("host" + std::to_string(number * 32), GroupId(name));
    }
    LONGS_EQUAL(9, planner.nextHosts(engines(288), table, at(50)).size());
    LONGS_EQUAL(0, planner.nextHosts(engines(288), table, at(100)).size());
}

TEST(GroupPollPlannerTest, PollsAnotherMemberWhenDeciderFails)
{
    table.update(facts("one", 0, 4), at(0));
    planner.onDecider("host0", GroupId("one"));
    planner.nextHosts(engines(4), table, at(0));
    planner.onFailed("host0", at(700));
    const auto next = planner.nextHosts(engines(4), table, at(750));
    LONGS_EQUAL(1, next.size());
    STRCMP_EQUAL("host1", next.front().c_str());
}

TEST(GroupPollPlannerTest, DelaysRetryOfAgentWithoutReferral)
{
    const auto polled = planner.nextHosts(engines(1), table, at(0));
    planner.onReferred(polled.front(), "", at(10));
    LONGS_EQUAL(0, planner.nextHosts(engines(1), table, at(100)).size());
    LONGS_EQUAL(1, planner.nextHosts(engines(1), table, at(600)).size());
}
