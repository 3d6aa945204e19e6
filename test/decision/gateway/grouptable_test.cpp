#include "decision/gateway/grouptable.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

UpstreamRecord upstream(const std::string &host)
{
    UpstreamRecord record;
    record.id = InstanceId("i-" + host);
    record.host = host;
    record.port = 80;
    return record;
}

GroupFacts facts(const char *group, const std::vector<std::string> &hosts)
{
    GroupFacts facts;
    facts.group = GroupId(group);
    for (const std::string &host : hosts) {
        facts.members.push_back({host, 80, 1.0});
    }
    return facts;
}

} // namespace

TEST_GROUP(GroupTableTest)
{
    GroupTable table;

    std::string groupOf(const std::string &host)
    {
        return table.groupOf(upstream(host)).value();
    }
};

TEST(GroupTableTest, UnreportedUpstreamBelongsToTheUnnamedGroup)
{
    STRCMP_EQUAL("", groupOf("a").c_str());
}

TEST(GroupTableTest, NewestReportWins)
{
    CHECK_TRUE(table.update(facts("one", {"a"}), at(100)));
    GroupFacts older = facts("one", {"a"});
    older.open = false;
    CHECK_FALSE(table.update(older, at(50)));
    CHECK_FALSE(table.isClosed(GroupId("one"), at(100)));
}

// A new decider knows few ranks at first. If an engine that it does not report left its group, the
// engine would look like an empty group and attract all streams.
TEST(GroupTableTest, EngineMissingFromALaterReportStaysInItsGroup)
{
    table.update(facts("one", {"a", "b"}), at(0));
    table.update(facts("one", {"b"}), at(10));
    STRCMP_EQUAL("one", groupOf("a").c_str());
}

TEST(GroupTableTest, EngineReportedByAnotherGroupMoves)
{
    table.update(facts("one", {"a", "b"}), at(0));
    const std::uint64_t before = table.changes();
    table.update(facts("two", {"a"}), at(10));
    STRCMP_EQUAL("two", groupOf("a").c_str());
    CHECK_TEXT(table.changes() > before,
               "the change counter must rise when an engine moves to another group");
}

TEST(GroupTableTest, LaterReportOfTheOldGroupWithoutTheEngineDoesNotMoveItBack)
{
    table.update(facts("one", {"a", "b"}), at(0));
    table.update(facts("two", {"a"}), at(10));
    table.update(facts("one", {"b"}), at(20));
    STRCMP_EQUAL("two", groupOf("a").c_str());
}

TEST(GroupTableTest, SlownessIsRelativeToTheMedianOfTheGroup)
{
    GroupFacts slow = facts("one", {"a", "b", "c"});
    for (GroupMember &member : slow.members) {
        member.pace = 2.0;
    }
    slow.members[2].pace = 10.0;
    table.update(slow, at(0));
    DOUBLES_EQUAL(1.0, table.slowness(upstream("a"), at(0)), 0.001);
    DOUBLES_EQUAL(5.0, table.slowness(upstream("c"), at(0)), 0.001);
}

TEST(GroupTableTest, SlownessExpires)
{
    GroupFacts slow = facts("one", {"a", "b", "c"});
    slow.members[2].pace = 5.0;
    table.update(slow, at(0));
    DOUBLES_EQUAL(5.0, table.slowness(upstream("c"), at(4000)), 0.001);
    DOUBLES_EQUAL(1.0, table.slowness(upstream("c"), at(6000)), 0.001);
}

TEST(GroupTableTest, ClosedStateExpires)
{
    GroupFacts closed = facts("one", {"a"});
    closed.open = false;
    table.update(closed, at(0));
    CHECK_TRUE(table.isClosed(GroupId("one"), at(1000)));
    CHECK_FALSE(table.isClosed(GroupId("one"), at(3000)));
    CHECK_TRUE(table.confirm(GroupId("one"), table.digestOf(GroupId("one")), at(2500)));
    CHECK_TRUE(table.isClosed(GroupId("one"), at(3000)));
}

// Guards against the renewal of an outdated state by a confirmation of the present one.
TEST(GroupTableTest, ConfirmationOfOtherFactsRenewsNothing)
{
    GroupFacts closed = facts("one", {"a"});
    closed.open = false;
    table.update(closed, at(0));
    const GroupFacts open = facts("one", {"a"});
    CHECK_FALSE(table.confirm(GroupId("one"), digestOf(open), at(1500)));
    CHECK_FALSE_TEXT(table.isClosed(GroupId("one"), at(3000)),
                     "the closed state was not confirmed; expected it to expire");
    CHECK_FALSE(table.confirm(GroupId("two"), digestOf(open), at(1500)));
}

// When a hall is cut off, reports of its group stop while those of the local hall still arrive.
TEST(GroupTableTest, GroupThatAloneStopsReportingIsIsolated)
{
    table.update(facts("near", {"a"}), at(0));
    table.update(facts("far", {"b"}), at(0));
    CHECK_TRUE(table.confirm(GroupId("near"), table.digestOf(GroupId("near")), at(2500)));
    CHECK_TRUE(table.isIsolated(GroupId("far"), at(2600)));
    CHECK_FALSE(table.isIsolated(GroupId("near"), at(2600)));
}

// Reports pass through two polling intervals of 0.4 s, and an agent that plans a map answers late.
TEST(GroupTableTest, LateReportDoesNotIsolateAGroup)
{
    table.update(facts("near", {"a"}), at(0));
    table.update(facts("far", {"b"}), at(0));
    CHECK_TRUE(table.confirm(GroupId("near"), table.digestOf(GroupId("near")), at(2000)));
    CHECK_FALSE(table.isIsolated(GroupId("far"), at(2100)));
}

// The gateway that polls the groups on behalf of all has died, which says nothing about the groups.
TEST(GroupTableTest, NoGroupIsIsolatedWhenAllStopReporting)
{
    table.update(facts("near", {"a"}), at(0));
    table.update(facts("far", {"b"}), at(0));
    CHECK_FALSE(table.isIsolated(GroupId("far"), at(5000)));
}

TEST(GroupTableTest, DigestCoversTheFactsButNotTheirAge)
{
    GroupTable other;
    table.update(facts("one", {"a"}), at(0));
    other.update(facts("one", {"a"}), at(700));
    CHECK_EQUAL(table.digest(), other.digest());
    other.update(facts("one", {"a", "b"}), at(800));
    CHECK_TRUE(table.digest() != other.digest());
}

TEST(GroupTableTest, GroupWithoutReportsExpires)
{
    table.update(facts("one", {"a"}), at(0));
    table.expire(at(61'000));
    STRCMP_EQUAL("", groupOf("a").c_str());
    LONGS_EQUAL(0, table.digest());
}
