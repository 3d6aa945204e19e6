#include "decision/gateway/upstreamtable.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

UpstreamRecord record(const char *id, bool leaving = false)
{
    UpstreamRecord record;
    record.id = InstanceId(id);
    record.service = TargetName("portal");
    record.leaving = leaving;
    return record;
}

UpstreamRecord fromBeforeRollback(const char *id)
{
    UpstreamRecord forwarded = record(id);
    forwarded.createdAt = 24;
    return forwarded;
}

} // namespace

TEST_GROUP(UpstreamTableTest)
{
    UpstreamTable table;
    const TargetName portal{"portal"};
};

TEST(UpstreamTableTest, LeavingUpstreamGetsNoNewRequests)
{
    table.put(record("one"));
    table.put(record("two", true));
    LONGS_EQUAL(1, table.candidates(portal).size());
    CHECK_FALSE(table.mayReceive(InstanceId("two")));
}

TEST(UpstreamTableTest, RemovedUpstreamGetsNoNewRequests)
{
    table.put(record("one"));
    table.remove(InstanceId("one"), at(0));
    CHECK_FALSE(table.mayReceive(InstanceId("one")));
}

TEST(UpstreamTableTest, RecordLapsedAroundAnOutageIsKeptForTheGracePeriod)
{
    table.put(record("one"));
    table.onOutage(at(0));
    table.remove(InstanceId("one"), at(1000));
    CHECK_TRUE(table.mayReceive(InstanceId("one")));
    table.expire(at(2400));
    CHECK_TRUE(table.mayReceive(InstanceId("one")));
    table.expire(at(2500));
    CHECK_FALSE(table.mayReceive(InstanceId("one")));
}

// A gateway that starts after the store was restored from an older copy adopts the list of another
// one, which still holds an upstream that the copy lacks.
TEST(UpstreamTableTest, ForwardedRecordFromBeforeARollbackIsKeptForTheGracePeriod)
{
    table.mirror({fromBeforeRollback("one")});
    table.replaceAll({}, at(0));
    table.expire(at(1400));
    CHECK_TRUE(table.mayReceive(InstanceId("one")));
    table.expire(at(1500));
    CHECK_FALSE(table.mayReceive(InstanceId("one")));
}

TEST(UpstreamTableTest, ForwardedRecordThatTheStoreRemovesGetsNoGracePeriod)
{
    table.mirror({fromBeforeRollback("one")});
    table.remove(InstanceId("one"), at(0));
    CHECK_FALSE(table.mayReceive(InstanceId("one")));
}

TEST(UpstreamTableTest, ForwardedRecordThatTheStoreHasListedGetsNoGracePeriod)
{
    UpstreamRecord listed = fromBeforeRollback("one");
    listed.listedAt = listed.createdAt;
    table.mirror({listed});
    table.replaceAll({}, at(0));
    CHECK_FALSE(table.mayReceive(InstanceId("one")));
}

TEST(UpstreamTableTest, LeavingUpstreamRemovedAroundAnOutageGetsNoGracePeriod)
{
    table.put(record("one", true));
    table.onOutage(at(0));
    table.remove(InstanceId("one"), at(100));
    POINTERS_EQUAL(nullptr, table.find(InstanceId("one")));
}

TEST(UpstreamTableTest, RelistedRecordDoesNotExpire)
{
    table.put(record("one"));
    table.onOutage(at(0));
    table.replaceAll({}, at(100));
    table.put(record("one"));
    table.expire(at(9000));
    CHECK_TRUE(table.mayReceive(InstanceId("one")));
}

TEST(UpstreamTableTest, ReplaceAllRemovesUnlistedUpstreams)
{
    table.put(record("one"));
    table.replaceAll({record("two")}, at(0));
    CHECK_FALSE(table.mayReceive(InstanceId("one")));
    CHECK_TRUE(table.mayReceive(InstanceId("two")));
}

TEST(UpstreamTableTest, MirrorAppliesNoGracePeriod)
{
    table.put(record("one"));
    table.onOutage(at(1000));
    const std::uint64_t before = table.changes();
    table.mirror({});
    CHECK_FALSE(table.mayReceive(InstanceId("one")));
    CHECK_TRUE(table.changes() > before);
}

TEST(UpstreamTableTest, IdenticalRecordIsNoChange)
{
    table.put(record("one"));
    const std::uint64_t before = table.changes();
    table.put(record("one"));
    LONGS_EQUAL(before, table.changes());
    table.put(record("one", true));
    CHECK_TRUE(table.changes() > before);
}

// After a power failure of all machines, each engine returns with a new id at its old address,
// while the store lists the old ids for some more seconds.
TEST_GROUP(UpstreamTableAfterPowerCutTest)
{
    UpstreamTable table;
    const TargetName portal{"portal"};

    static UpstreamRecord placed(const char *id, const char *host, std::uint64_t listedAt)
    {
        UpstreamRecord placed = record(id);
        placed.host = host;
        placed.port = 8000;
        placed.listedAt = listedAt;
        return placed;
    }
};

TEST(UpstreamTableAfterPowerCutTest, AddressBelongsToTheLatestListedUpstream)
{
    table.replaceAll({placed("new", "10.1.0.1", 90), placed("old", "10.1.0.1", 7),
                      placed("other", "10.1.0.2", 8)},
                     at(0));
    CHECK_TRUE(table.mayReceive(InstanceId("new")));
    CHECK_FALSE(table.mayReceive(InstanceId("old")));
    CHECK_TRUE(table.mayReceive(InstanceId("other")));
    LONGS_EQUAL(2, table.candidates(portal).size());
}

TEST(UpstreamTableAfterPowerCutTest, ReadOrderDoesNotMatter)
{
    table.replaceAll({placed("a-old", "10.1.0.1", 7), placed("b-new", "10.1.0.1", 90)}, at(0));
    LONGS_EQUAL(1, table.candidates(portal).size());
    CHECK_TRUE(table.mayReceive(InstanceId("b-new")));
    table.put(placed("a-old", "10.1.0.1", 7)); // A late update of the old record.
    CHECK_TRUE(table.mayReceive(InstanceId("b-new")));
    CHECK_FALSE(table.mayReceive(InstanceId("a-old")));
}

TEST(UpstreamTableAfterPowerCutTest, RemovingTheOldRecordKeepsTheNewOne)
{
    table.put(placed("old", "10.1.0.1", 7));
    table.put(placed("new", "10.1.0.1", 90));
    table.remove(InstanceId("old"), at(0));
    CHECK_TRUE(table.mayReceive(InstanceId("new")));
    table.remove(InstanceId("new"), at(10));
    LONGS_EQUAL(0, table.candidates(portal).size());
}

TEST(UpstreamTableAfterPowerCutTest, MirroredListReplacesTheHolderOfAnAddress)
{
    table.put(placed("old", "10.1.0.1", 7));
    table.mirror({placed("new", "10.1.0.1", 0)});
    CHECK_TRUE(table.mayReceive(InstanceId("new")));
    table.replaceAll({placed("new", "10.1.0.1", 90), placed("old", "10.1.0.1", 7)}, at(0));
    CHECK_TRUE(table.mayReceive(InstanceId("new")));
    LONGS_EQUAL(1, table.candidates(portal).size());
}
