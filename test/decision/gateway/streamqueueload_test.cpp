// Loads under which callers compete for the slots of one service.
#include "decision/gateway/streamqueue.h"

#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

constexpr Urgency kUrgent{1, 0};
constexpr Urgency kNormal{1, 1};
constexpr Urgency kBackground{1, 2};

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

} // namespace

TEST_GROUP(StreamQueueLoadTest)
{
    StreamQueue queue;
    RequestNumber lastNumber = 0;
    std::map<RequestNumber, StreamQueue::Entry> added;

    StreamQueue::Entry entry(const char *account, Urgency urgency = kNormal)
    {
        StreamQueue::Entry entry;
        entry.number = ++lastNumber;
        entry.urgency = urgency;
        entry.account = AccountId(account);
        entry.startDeadline = at(1000);
        return entry;
    }

    StreamQueue::Entry add(const char *account, Urgency urgency = kNormal)
    {
        StreamQueue::Entry each = entry(account, urgency);
        added.emplace(each.number, each);
        queue.add(each, at(0));
        return each;
    }

    void addMany(int count, const char *account, Urgency urgency = kNormal)
    {
        for (int index = 0; index < count; ++index) {
            add(account, urgency);
        }
    }

    // Starts `count` streams and returns how many of them belong to each account.
    std::map<std::string, int> startsByAccount(int count)
    {
        std::map<std::string, int> starts;
        for (int index = 0; index < count; ++index) {
            ++starts[added.at(*queue.takeNext(at(1))).account.value()];
        }
        return starts;
    }

    // Starts `count` streams, each replaced by a new one of its kind, and returns how many are of
    // `urgency`.
    int startsOfSteadyLoad(int count, Urgency urgency)
    {
        int starts = 0;
        for (int index = 0; index < count; ++index) {
            const StreamQueue::Entry started = added.at(*queue.takeNext(at(1)));
            starts += started.urgency == urgency ? 1 : 0;
            add(started.account.value().c_str(), started.urgency);
        }
        return starts;
    }
};

TEST(StreamQueueLoadTest, AnUrgentStreamGoesBeforeABurstOfBackgroundOnes)
{
    addMany(500, "one", kBackground);
    LONGS_EQUAL(0, queue.countAhead(entry("two", kUrgent), at(1)));
    const StreamQueue::Entry urgent = add("two", kUrgent);

    LONGS_EQUAL(urgent.number, *queue.takeNext(at(1)));
}

TEST(StreamQueueLoadTest, AnAccountAtTenTimesItsShareGetsNoMoreThanTheOthers)
{
    addMany(200, "greedy");
    addMany(20, "modest");

    const auto starts = startsByAccount(40);

    LONGS_EQUAL(20, starts.at("greedy"));
    LONGS_EQUAL(20, starts.at("modest"));
}

TEST(StreamQueueLoadTest, AnAccountOfLongStreamsIsChargedTheirCost)
{
    for (int index = 0; index < 100; ++index) {
        StreamQueue::Entry large = entry("large");
        large.cost = 300.0;
        added.emplace(large.number, large);
        queue.add(large, at(0));
        StreamQueue::Entry small = entry("small");
        small.cost = 100.0;
        added.emplace(small.number, small);
        queue.add(small, at(0));
    }

    const auto starts = startsByAccount(80);

    LONGS_EQUAL(20, starts.at("large"));
    LONGS_EQUAL(60, starts.at("small"));
}

TEST(StreamQueueLoadTest, RepeatsAtOnceTakeNothingFromOtherAccounts)
{
    // Each caller of "impatient" sends three more copies of its request and is an early retry.
    for (int caller = 0; caller < 20; ++caller) {
        for (int copy = 0; copy < 4; ++copy) {
            StreamQueue::Entry repeated = entry("impatient");
            repeated.isRetry = copy > 0;
            added.emplace(repeated.number, repeated);
            queue.add(repeated, at(0));
        }
        add("patient");
    }

    const auto starts = startsByAccount(40);

    LONGS_EQUAL(20, starts.at("patient"));
}

TEST(StreamQueueLoadTest, AnAccountThatStartsStreamsDirectlyFallsBehind)
{
    addMany(20, "bursting");
    addMany(20, "other");
    for (int index = 0; index < 10; ++index) {
        queue.chargeDirectStart(entry("bursting"));
    }

    LONGS_EQUAL(10, startsByAccount(10).at("other"));
}

TEST(StreamQueueLoadTest, StartsWithoutCompetitionAreFree)
{
    for (int index = 0; index < 10; ++index) {
        queue.chargeDirectStart(entry("early"));
    }
    addMany(10, "early");
    addMany(10, "late");

    LONGS_EQUAL(5, startsByAccount(10).at("early"));
}

TEST(StreamQueueLoadTest, AnIdleAccountEarnsNoCredit)
{
    addMany(100, "busy");
    startsByAccount(50);
    addMany(50, "idle");

    LONGS_EQUAL(10, startsByAccount(20).at("busy"));
}

TEST(StreamQueueLoadTest, NoClassStarvesWhileMoreUrgentOnesKeepTheSlotsBusy)
{
    addMany(10, "one", kUrgent);
    addMany(10, "two", kNormal);
    addMany(10, "three", kBackground);

    const int starts = startsOfSteadyLoad(1200, kBackground);

    // A quarter of an equal share, and no more: the other starts serve more urgent streams.
    CHECK(starts >= 1200 / 3 / 4 - 1);
    CHECK(starts <= 1200 / 3 / 4 + 1);
}

TEST(StreamQueueLoadTest, LeastSharesDelayUrgentStreamsByAtMostOneStartInFour)
{
    addMany(5, "one", kUrgent);
    addMany(1000, "two", kBackground);

    const int starts = startsOfSteadyLoad(400, kUrgent);

    CHECK(starts >= 400 * 3 / 4);
}

TEST(StreamQueueLoadTest, IdleTimeOfAClassIsNotMadeUpFor)
{
    addMany(500, "one", kUrgent);
    startsByAccount(400);
    addMany(100, "two", kBackground);

    const auto starts = startsByAccount(20);

    CHECK(starts.at("one") >= 15);
}

TEST(StreamQueueLoadTest, MostUrgentStreamIsACandidateWhileALeastShareIsDue)
{
    addMany(100, "one", kUrgent);
    addMany(100, "two", kBackground);
    while (added.at(queue.next(at(1))->number).urgency == kUrgent) {
        queue.takeNext(at(1));
    }

    const auto candidates = queue.candidates(at(1));

    CHECK(candidates[0].urgency == kBackground);
    CHECK(candidates[1].urgency == kUrgent);
}

// A group with long passes holds streams back until they would become late.
TEST(StreamQueueLoadTest, AStreamAboutToBecomeLateIsACandidateBehindAnAccountWithLessService)
{
    const StreamQueue::Entry older = add("bursting");
    queue.chargeDirectStart(entry("bursting"));
    StreamQueue::Entry newer = entry("modest");
    newer.startDeadline = at(2000);
    queue.add(newer, at(0));

    const auto candidates = queue.candidates(at(1));

    LONGS_EQUAL(newer.number, candidates.front().number);
    LONGS_EQUAL(older.number, candidates.back().number);
}

TEST(StreamQueueLoadTest, LastStreamIsTheNewestOfTheLeastUrgentAndBusiestAccount)
{
    add("three", kBackground);
    addMany(4, "busy", kBackground);
    queue.chargeDirectStart(entry("busy", kBackground));
    const RequestNumber newest = lastNumber - 1;
    add("one", kUrgent);

    LONGS_EQUAL(newest, queue.last(at(1))->number);
}

TEST(StreamQueueLoadTest, ANewAccountExpectsToWaitForOneStreamOfEachOther)
{
    addMany(300, "greedy");
    addMany(300, "other");

    LONGS_EQUAL(2, queue.countAhead(entry("new"), at(1)));
}
