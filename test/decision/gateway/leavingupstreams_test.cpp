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
    return record;
}

} // namespace

TEST_GROUP(LeavingUpstreamsTest)
{
    UpstreamTable table;
    const InstanceId one{"one"};
};

TEST(LeavingUpstreamsTest, WordCountsAtOnce)
{
    table.put(record("one", 5));
    CHECK_TRUE(table.announceLeaving(record("one", 5)));
    CHECK_FALSE(table.mayReceive(one));
    CHECK_FALSE(table.announceLeaving(record("one", 5))); // It is known by now.
}

TEST(LeavingUpstreamsTest, WordOutlivesEveryKindOfList)
{
    table.put(record("one", 5));
    table.announceLeaving(record("one", 5));
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

TEST(LeavingUpstreamsTest, LaterStartGetsRequestsAgain)
{
    table.put(record("one", 5));
    table.announceLeaving(record("one", 5));
    table.put(record("one", 6));
    CHECK_TRUE(table.mayReceive(one));
}

// A list that lags, or a store that came back older, shows the start before the one that leaves.
TEST(LeavingUpstreamsTest, EarlierStartIsNoNewOne)
{
    table.put(record("one", 5, 40));
    table.announceLeaving(record("one", 5, 40));
    table.put(record("one", 4, 30));
    CHECK_FALSE(table.mayReceive(one));
    table.mirror({record("one", 4)});
    CHECK_FALSE(table.mayReceive(one));
}

TEST(LeavingUpstreamsTest, StartUnderAClockThatWasSetBackIsKnownByWhenItWasListed)
{
    table.put(record("one", 5, 40));
    table.announceLeaving(record("one", 5, 40));
    table.put(record("one", 4, 41));
    CHECK_TRUE(table.mayReceive(one));
}

TEST(LeavingUpstreamsTest, FirstStartThatIsToldAfterTheWordIsTheOneThatLeaves)
{
    table.put(record("one"));
    table.announceLeaving(record("one"));
    table.put(record("one", 5));
    CHECK_FALSE(table.mayReceive(one));
    table.put(record("one"));
    CHECK_FALSE(table.mayReceive(one));
    table.put(record("one", 6));
    CHECK_TRUE(table.mayReceive(one));
}

// The answer came from the start before the one that is listed by now.
TEST(LeavingUpstreamsTest, WordOfAnEarlierStartDoesNotBindTheLaterOne)
{
    table.put(record("one", 6));
    CHECK_FALSE(table.announceLeaving(record("one", 5)));
    CHECK_TRUE(table.mayReceive(one));
}

TEST(LeavingUpstreamsTest, LeavingUpstreamThatVanishesAroundAnOutageIsGone)
{
    table.put(record("one", 5));
    table.announceLeaving(record("one", 5));
    table.onOutage(at(0));
    table.remove(one, at(10));
    CHECK_TRUE(table.find(one) == nullptr);
}

TEST(LeavingUpstreamsTest, MemoryIsBoundedAndTheOldestWordGoesFirst)
{
    LeavingUpstreams words;
    for (std::size_t number = 0; number < LeavingUpstreams::kMost + 10; ++number) {
        words.add(record(std::to_string(number)));
    }
    LONGS_EQUAL(LeavingUpstreams::kMost, words.size());
    CHECK_FALSE(words.contains(record("9")));
    CHECK_TRUE(words.contains(record("10")));
}
