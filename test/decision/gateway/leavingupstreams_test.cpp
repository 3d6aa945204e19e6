#include "decision/gateway/leavingupstreams.h"

#include "decision/gateway/upstreamtable.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

UpstreamRecord record(const std::string &id, std::int64_t start = 0, std::uint64_t listedAt = 0)
{
    UpstreamRecord record;
    record.id = InstanceId(id);
    record.service = TargetName("portal");
    record.host = "10.0.0.1";
    record.port = static_cast<int>(std::hash<std::string>{}(id) % 60'000);
    record.start = UpstreamStart(start);
    record.listedAt = listedAt;
    record.createdAt = listedAt;
    return record;
}

} // namespace

TEST_GROUP(LeavingUpstreamsTest)
{
    UpstreamTable table;
    const InstanceId one{"one"};
};

TEST(LeavingUpstreamsTest, LeavingTakesEffectImmediately)
{
    table.put(record("one", 5));
    CHECK_TRUE(table.markLeaving(record("one", 5)));
    CHECK_FALSE(table.mayReceive(one));
    CHECK_FALSE(table.markLeaving(record("one", 5))); // Already known.
}

TEST(LeavingUpstreamsTest, LeavingSurvivesEveryKindOfListUpdate)
{
    table.put(record("one", 5));
    table.markLeaving(record("one", 5));
    table.put(record("one", 5, 9));
    CHECK_FALSE(table.mayReceive(one));
    table.mirror({record("one", 5)});
    CHECK_FALSE(table.mayReceive(one));
    table.replaceAll({}, at(0));
    table.replaceAll({record("one", 5)}, at(10));
    CHECK_FALSE(table.mayReceive(one));
    table.remove(one, at(20));
    table.put(record("one", 5));
    CHECK_FALSE(table.mayReceive(one));
}

// An older copy of the store lists the start before the one that is leaving.
TEST(LeavingUpstreamsTest, EarlierStartDoesNotReplaceALaterDeparture)
{
    table.put(record("one", 5));
    table.markLeaving(record("one", 5));
    UpstreamRecord earlier = record("one", 4);
    earlier.leaving = true;
    table.put(earlier);
    table.mirror({record("one", 5)});
    CHECK_FALSE(table.mayReceive(one));
    table.put(record("one", 6));
    CHECK_TRUE(table.mayReceive(one));
}

TEST(LeavingUpstreamsTest, LaterStartGetsRequestsAgain)
{
    table.put(record("one", 5));
    table.markLeaving(record("one", 5));
    table.put(record("one", 6));
    CHECK_TRUE(table.mayReceive(one));
}

// An outdated list, or a store restored from an older copy, shows the start before the one that is
// leaving.
TEST(LeavingUpstreamsTest, EarlierStartIsNotTreatedAsARestart)
{
    table.put(record("one", 5, 40));
    table.markLeaving(record("one", 5, 40));
    table.put(record("one", 4, 30));
    CHECK_FALSE(table.mayReceive(one));
    table.mirror({record("one", 4)});
    CHECK_FALSE(table.mayReceive(one));
}

TEST(LeavingUpstreamsTest, RestartAfterClockSetBackIsDetectedByListingOrder)
{
    table.put(record("one", 5, 40));
    table.markLeaving(record("one", 5, 40));
    table.put(record("one", 4, 41));
    CHECK_TRUE(table.mayReceive(one));
}

TEST(LeavingUpstreamsTest, FirstStartKnownAfterwardsIsTheOneThatLeaves)
{
    table.put(record("one"));
    table.markLeaving(record("one"));
    table.put(record("one", 5));
    CHECK_FALSE(table.mayReceive(one));
    table.put(record("one"));
    CHECK_FALSE(table.mayReceive(one));
    table.put(record("one", 6));
    CHECK_TRUE(table.mayReceive(one));
}

// The answer came from the start before the one that is listed now.
TEST(LeavingUpstreamsTest, DepartureOfAnEarlierStartDoesNotAffectTheLaterOne)
{
    table.put(record("one", 6));
    CHECK_FALSE(table.markLeaving(record("one", 5)));
    CHECK_TRUE(table.mayReceive(one));
}

TEST(LeavingUpstreamsTest, LeavingUpstreamRemovedAroundAnOutageGetsNoGracePeriod)
{
    table.put(record("one", 5));
    table.markLeaving(record("one", 5));
    table.onOutage(at(0));
    table.remove(one, at(10));
    CHECK_TRUE(table.find(one) == nullptr);
}

TEST(LeavingUpstreamsTest, OldestDepartureIsEvictedFirst)
{
    LeavingUpstreams departures;
    for (std::size_t number = 0; number < LeavingUpstreams::kMaxEntries + 10; ++number) {
        departures.addLeaving(record(std::to_string(number)));
    }
    LONGS_EQUAL(LeavingUpstreams::kMaxEntries, departures.size());
    CHECK_FALSE(departures.contains(record("9")));
    CHECK_TRUE(departures.contains(record("10")));
}

// The store was restored from an older copy, in which the upstream was not leaving yet.
TEST(LeavingUpstreamsTest, LeavingMarkFromTheStoreSurvivesARollback)
{
    UpstreamRecord leaving = record("one", 5, 40);
    leaving.leaving = true;
    table.put(leaving);
    table.onStoreRolledBack(at(0));
    table.replaceAll({record("one", 5, 40)}, at(0));
    CHECK_FALSE(table.mayReceive(one));
}

TEST(LeavingUpstreamsTest, RemovedUpstreamDoesNotReturnWithItsOldEntry)
{
    table.put(record("one", 5, 40));
    table.remove(one, at(0));
    table.onStoreRolledBack(at(10));
    table.replaceAll({record("one", 5, 40)}, at(10));
    CHECK_FALSE(table.mayReceive(one));
}

TEST(LeavingUpstreamsTest, LapsedUpstreamReturnsWithANewEntry)
{
    table.put(record("one", 5, 40));
    table.remove(one, at(0));
    table.put(record("one", 5, 55));
    CHECK_TRUE(table.mayReceive(one));
}

// The records in a list from another gateway have no store revisions.
TEST(LeavingUpstreamsTest, RemovedUpstreamReturnsIfItsEntryRevisionIsUnknown)
{
    table.put(record("one", 5));
    table.remove(one, at(0));
    table.put(record("one", 5));
    CHECK_TRUE(table.mayReceive(one));
}

TEST(LeavingUpstreamsTest, UnreadableEntryDoesNotCountAsRemoval)
{
    table.put(record("one", 5, 40));
    table.dropUnreadable(one, at(0));
    CHECK_FALSE(table.mayReceive(one));
    table.put(record("one", 5, 40));
    CHECK_TRUE(table.mayReceive(one));
}

TEST(LeavingUpstreamsTest, UpstreamMissingAfterARollbackIsKeptForTheGracePeriod)
{
    table.put(record("one", 5, 40));
    table.onStoreRolledBack(at(0));
    table.replaceAll({}, at(0));
    CHECK_TRUE(table.mayReceive(one));
    table.expire(at(1400));
    CHECK_TRUE(table.mayReceive(one));
    table.expire(at(1500));
    CHECK_FALSE(table.mayReceive(one));
    table.put(record("one", 5, 41));
    CHECK_TRUE(table.mayReceive(one));
}

// The restored store reuses revisions, so that of the earlier holder of the address is meaningless.
TEST(LeavingUpstreamsTest, UpstreamListedAfterARollbackTakesOverTheAddress)
{
    UpstreamRecord earlier = record("one", 5, 90);
    UpstreamRecord later = record("two", 6, 41);
    later.port = earlier.port;
    table.put(earlier);
    table.onStoreRolledBack(at(0));
    table.replaceAll({later}, at(0));
    CHECK_TRUE(table.mayReceive(InstanceId("two")));
    CHECK_FALSE(table.mayReceive(one));
}
