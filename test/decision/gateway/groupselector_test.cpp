// Loads of a site whose service has several groups of engines, one in each hall. The figures are
// published ones of engines: ten streams per rank, passes of about 80 ms when all ranks are full
// and evenly loaded, a gap target of 150 ms; 42 or 149 gateways in three halls.
#include "decision/gateway/groupselector.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <memory>
#include <numeric>

using namespace seamarch;

namespace {

constexpr Duration kGapTarget = std::chrono::milliseconds(150);
constexpr Duration kShort = std::chrono::milliseconds(80);
constexpr Duration kNearGapTarget = std::chrono::milliseconds(140);
constexpr Duration kOverGapTarget = std::chrono::milliseconds(200);

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

GroupId group(int number)
{
    return GroupId("g" + std::to_string(number));
}

// Returns the groups as seen by a gateway in the hall of group `own`.
UpstreamChooser::Groups groupsSeenFrom(int own, int count)
{
    UpstreamChooser::Groups groups;
    for (int number = 0; number < count; ++number) {
        UpstreamChooser::Group seen;
        seen.slots = 240.0;
        seen.inOwnHall = number == own;
        groups.emplace(group(number), seen);
    }
    return groups;
}

StreamQueue::Entry entry(int startDeadline = 1000)
{
    StreamQueue::Entry entry;
    entry.startDeadline = at(startDeadline);
    return entry;
}

} // namespace

TEST_GROUP(GroupSelectorTest)
{
    GroupSelector::Settings settings;
    UpstreamChooser::Groups groups = groupsSeenFrom(0, 3);
    GroupTable table;
    GroupSelector selector{settings};

    void setup() override
    {
        selector.setGroups(groups, {42, {0, 14}});
    }

    // Sends a stream to the selected group and returns the group; nullopt if the stream should
    // wait.
    std::optional<GroupId> send(int now)
    {
        auto chosen = selector.selectForNew(entry(now + 400), table, at(now));
        if (chosen) {
            selector.tracker(*chosen).onStreamStart(at(now));
        }
        return chosen;
    }

    // Sends an event on a stream of a group, `pause` after the previous one.
    void pass(const GroupId &id, Duration pause, int now)
    {
        selector.tracker(id).onFirstEvent(at(now));
        selector.tracker(id).onPause(pause, kGapTarget, at(now));
    }

    void stallGroup(const GroupId &id, int now)
    {
        selector.tracker(id).onStreamStart(at(now - 1000));
        pass(id, kShort, now - 1000);
        selector.onTick(0, table, at(now));
    }
};

TEST(GroupSelectorTest, GroupOfOwnHallIsPreferred)
{
    CHECK_TRUE(send(0) == group(0));
}

TEST(GroupSelectorTest, OverflowGoesToAnotherGroup)
{
    for (int count = 0; count < 10; ++count) {
        CHECK_TRUE(send(0) == group(0));
    }
    const auto overflow = send(0);
    CHECK_TEXT(overflow && *overflow != group(0),
               "another group has free slots, so no stream should wait");
}

// A group is held, cut off or has lost a rank: its streams go to the two others.
TEST(GroupSelectorTest, StalledGroupGetsNothingWhileAnotherWorks)
{
    stallGroup(group(0), 2000);
    for (int count = 0; count < 6; ++count) {
        const auto chosen = send(2000);
        CHECK_TEXT(chosen && *chosen != group(0), "expected a group that makes progress");
    }
}

TEST(GroupSelectorTest, RefusingGroupIsProbedPeriodically)
{
    selector.tracker(group(0)).onRefusal(at(0), at(1500));
    int probes = 0;
    for (int now = 1500; now < 2500; now += 10) {
        const auto chosen = send(now);
        if (chosen == group(0)) {
            ++probes;
            selector.tracker(group(0)).onStreamEnd(false);
        } else if (chosen) {
            selector.tracker(*chosen).onStreamEnd(false);
        }
    }
    CHECK_TEXT(probes >= 3 && probes <= 5, "expected a probe every 250 ms");
}

TEST(GroupSelectorTest, GroupReportedClosedIsNotProbed)
{
    GroupFacts closed;
    closed.group = group(0);
    closed.open = false;
    table.update(closed, at(1000));
    for (int now = 1000; now < 2000; now += 50) {
        const auto chosen = send(now);
        CHECK_TRUE(!chosen || *chosen != group(0));
    }
}

// A hall that is cut off cannot answer: a stream sent there would be silent until its caller
// disconnects.
TEST(GroupSelectorTest, UnreachableGroupOfAnotherHallIsAvoided)
{
    GroupFacts facts;
    for (const int number : {0, 1, 2}) {
        facts.group = group(number);
        table.update(facts, at(0));
    }
    CHECK_TRUE(table.confirm(group(0), table.digestOf(group(0)), at(3000)));
    CHECK_TRUE(table.confirm(group(1), table.digestOf(group(1)), at(3000)));
    for (int count = 0; count < 16; ++count) {
        const auto chosen = send(3100);
        CHECK_TEXT(!chosen || *chosen != group(2),
                   "expected no stream for the hall that is cut off");
    }
}

TEST(GroupSelectorTest, LimitsAloneDecideWhenAllGroupsAreFaulty)
{
    for (const int number : {0, 1, 2}) {
        stallGroup(group(number), 2000);
    }
    CHECK_TRUE(send(2000).has_value());
}

// After a shift of demand passes are long in every group. A stream that overflowed because of that
// would add a prompt to passes that the gateways of the other hall hold their own prompts back
// from.
TEST(GroupSelectorTest, StreamWaitsForOwnGroupWhilePausesAreNearGapTarget)
{
    for (int count = 0; count < 4; ++count) {
        send(0);
    }
    pass(group(0), kNearGapTarget, 10);
    CHECK_FALSE(send(20).has_value());
}

TEST(GroupSelectorTest, TrackerOfARemovedGroupLastsUntilItsStreamsEnd)
{
    selector.tracker(group(2)).onStreamStart(at(0));
    const UpstreamChooser::Groups fewer = groupsSeenFrom(0, 2);
    selector.setGroups(fewer, {42, {0, 14}});
    selector.onTick(1, table, at(100));
    CHECK_TRUE(selector.find(group(2)) != nullptr);
    selector.tracker(group(2)).onStreamEnd(false);
    selector.setGroups(fewer, {42, {0, 14}});
    CHECK_TRUE(selector.find(group(2)) == nullptr);
}

TEST(GroupSelectorTest, AllRefusingNeedsEveryGroupToRefuse)
{
    selector.tracker(group(0)).onRefusal(at(0), at(1500));
    selector.tracker(group(1)).onRefusal(at(0), at(1500));
    CHECK_FALSE(selector.allRefusing(at(1500)));
    selector.tracker(group(2)).onRefusal(at(0), at(1500));
    CHECK_TRUE(selector.allRefusing(at(1500)));
}

TEST(GroupSelectorTest, RetryGoesToAWorkingGroupRegardlessOfLimits)
{
    stallGroup(group(0), 2000);
    const auto chosen = selector.selectForRetry(table, at(2000));
    CHECK_TRUE(chosen && *chosen != group(0));
}

namespace {

// A simulated site: gateways and one group per hall. A group with more streams than slots makes
// passes that are longer than the gap target.
class Site
{
public:
    Site(int gateways, int groups, double slotsOfAGroup)
        : groups_(groups)
        , slots_(slotsOfAGroup)
    {
        for (int index = 0; index < gateways; ++index) {
            Gateway gateway;
            gateway.hall = index % groups;
            gateway.groups =
                std::make_unique<UpstreamChooser::Groups>(groupsSeenFrom(gateway.hall, groups));
            for (auto &[id, seen] : *gateway.groups) {
                seen.slots = slotsOfAGroup;
            }
            gateway.selector = std::make_unique<GroupSelector>(GroupSelector::Settings());
            const auto position = static_cast<std::size_t>(index / groups);
            const auto hallGateways = static_cast<std::size_t>(gateways / groups);
            gateway.selector->setGroups(
                *gateway.groups, {static_cast<std::size_t>(gateways), {position, hallGateways}});
            gateways_.push_back(std::move(gateway));
        }
    }

    // Simulates `seconds` of `rate` streams per second, each of twenty passes. From `failsAt` (in
    // milliseconds) on, the group `failed` makes no pass. Returns the maximum number of streams at
    // any working group.
    double simulate(double rate, int seconds, int failed, int failsAt)
    {
        constexpr int kStep = 25;
        double most = 0.0;
        double due = 0.0;
        for (int now = 0; now < seconds * 1000; now += kStep) {
            due += rate * kStep / 1000.0;
            while (due >= 1.0) {
                due -= 1.0;
                next_ = (next_ + 1) % gateways_.size();
                ++gateways_[next_].waiting;
            }
            const bool down = now >= failsAt;
            for (Gateway &gateway : gateways_) {
                serve(gateway, now, down ? failed : -1);
            }
            for (int number = 0; number < groups_; ++number) {
                most = std::max(most, number == failed && down ? 0.0 : streamsAt(number));
            }
        }
        return most;
    }

    double streamsAt(int number) const
    {
        return std::accumulate(gateways_.begin(), gateways_.end(), 0.0,
                               [&](double sum, const Gateway &gateway) {
                                   return sum + gateway.selector->find(group(number))->inFlight();
                               });
    }
    int waiting() const
    {
        return std::accumulate(
            gateways_.begin(), gateways_.end(), 0,
            [](int sum, const Gateway &gateway) { return sum + gateway.waiting; });
    }

private:
    struct Stream
    {
        int group = 0;
        int endAt = 0;
    };

    struct Gateway
    {
        int hall = 0;
        std::unique_ptr<UpstreamChooser::Groups> groups;
        std::unique_ptr<GroupSelector> selector;
        std::vector<Stream> streams;
        int waiting = 0;
    };

    void serve(Gateway &gateway, int now, int down)
    {
        std::erase_if(gateway.streams, [&](const Stream &stream) {
            // Callers disconnect from a stream that is silent for two seconds.
            const bool over = now >= stream.endAt + (stream.group == down ? 2000 : 0);
            if (over) {
                gateway.selector->tracker(group(stream.group)).onStreamEnd(true);
            }
            return over;
        });
        for (const Stream &stream : gateway.streams) {
            if (stream.group != down) {
                const Duration pause = streamsAt(stream.group) > slots_ ? kOverGapTarget : kShort;
                gateway.selector->tracker(group(stream.group)).onPause(pause, kGapTarget, at(now));
            }
        }
        gateway.selector->onTick(static_cast<std::size_t>(gateway.waiting), table_, at(now));
        while (gateway.waiting > 0) {
            const auto chosen = gateway.selector->selectForNew(entry(now + 400), table_, at(now));
            if (!chosen) {
                return;
            }
            --gateway.waiting;
            GroupTracker &tracker = gateway.selector->tracker(*chosen);
            tracker.onStreamStart(at(now));
            tracker.onFirstEvent(at(now));
            constexpr int kStreamMillis = 1600; // Twenty passes of 80 ms.
            gateway.streams.push_back({std::stoi(chosen->value().substr(1)), now + kStreamMillis});
        }
    }

    int groups_;
    double slots_;
    GroupTable table_;
    std::vector<Gateway> gateways_;
    std::size_t next_ = 0;
};

} // namespace

// One of several groups fails, and all gateways of its hall look for another at the same moment.
// The remaining groups have enough capacity in total, so no stream should be queued for long, and
// no group should get many more streams than slots, as all its streams would be late.
TEST(GroupSelectorTest, FailedGroupDoesNotOverloadTheOthers)
{
    struct Case
    {
        int gateways;
        int groups;
    };
    for (const Case &each : {Case{42, 3}, Case{149, 3}, Case{45, 9}, Case{149, 9}}) {
        constexpr double kSlots = 240.0;
        Site site(each.gateways, each.groups, kSlots);
        // A full group serves 150 streams per second; the demand is half of that.
        const double rate = 75.0 * each.groups;
        const double most = site.simulate(rate, 8, 0, 4000);
        CHECK_TEXT(most <= 1.15 * kSlots, "expected no group to get many more streams than slots");
        CHECK_TEXT(site.waiting() <= each.gateways, "expected no queue for the working groups");
    }
}
