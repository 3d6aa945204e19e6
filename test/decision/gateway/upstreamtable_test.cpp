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

} // namespace

TEST_GROUP(UpstreamTableTest)
{
    UpstreamTable table;
    const TargetName portal{"portal"};
};

TEST(UpstreamTableTest, LeavingUpstreamGetsNothingNew)
{
    table.put(record("one"));
    table.put(record("two", true));
    LONGS_EQUAL(1, table.candidates(portal).size());
    CHECK_FALSE(table.mayReceive(InstanceId("two")));
}

TEST(UpstreamTableTest, VanishedUpstreamGetsNothingAtOnce)
{
    table.put(record("one"));
    table.remove(InstanceId("one"), at(0));
    CHECK_FALSE(table.mayReceive(InstanceId("one")));
}

TEST(UpstreamTableTest, RecordThatLapsedAroundAnOutageStaysInUseForAWhile)
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

TEST(UpstreamTableTest, LeavingUpstreamThatVanishesAroundAnOutageIsGone)
{
    table.put(record("one", true));
    table.onOutage(at(0));
    table.remove(InstanceId("one"), at(100));
    POINTERS_EQUAL(nullptr, table.find(InstanceId("one")));
}

TEST(UpstreamTableTest, RecordThatComesBackIsNotDropped)
{
    table.put(record("one"));
    table.onOutage(at(0));
    table.replaceAll({}, at(100));
    table.put(record("one"));
    table.expire(at(9000));
    CHECK_TRUE(table.mayReceive(InstanceId("one")));
}

TEST(UpstreamTableTest, ListReplacesWhatWasKnown)
{
    table.put(record("one"));
    table.replaceAll({record("two")}, at(0));
    CHECK_FALSE(table.mayReceive(InstanceId("one")));
    CHECK_TRUE(table.mayReceive(InstanceId("two")));
}

TEST(UpstreamTableTest, MirrorsAnotherListWithoutAGraceOfItsOwn)
{
    table.put(record("one"));
    table.onOutage(at(1000));
    const std::uint64_t before = table.changes();
    table.mirror({});
    CHECK_FALSE(table.mayReceive(InstanceId("one")));
    CHECK_TRUE(table.changes() > before);
}

TEST(UpstreamTableTest, SameRecordAgainIsNoChange)
{
    table.put(record("one"));
    const std::uint64_t before = table.changes();
    table.put(record("one"));
    LONGS_EQUAL(before, table.changes());
    table.put(record("one", true));
    CHECK_TRUE(table.changes() > before);
}
