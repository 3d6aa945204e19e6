// Loads of a site whose service has several groups of engines, one in each hall. The figures are
// those of engines that were published: ten streams a rank, passes of some 80 ms when all ranks are
// full at even load, a pause goal of 150 ms; 42 gateways in three halls, or 149.
#include "decision/gateway/servicelanes.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <memory>
#include <numeric>

using namespace seamarch;

namespace {

constexpr Duration kGoal = std::chrono::milliseconds(150);
constexpr Duration kShort = std::chrono::milliseconds(80);
constexpr Duration kNearGoal = std::chrono::milliseconds(140);
constexpr Duration kOverGoal = std::chrono::milliseconds(200);

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

GroupId group(int number)
{
    return GroupId("g" + std::to_string(number));
}

// The groups as a gateway of hall `own` sees them.
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

StreamQueue::Entry entry(int startBy = 1000)
{
    StreamQueue::Entry entry;
    entry.startBy = at(startBy);
    return entry;
}

} // namespace

TEST_GROUP(ServiceLanesTest)
{
    ServiceLanes::Settings settings;
    UpstreamChooser::Groups groups = groupsSeenFrom(0, 3);
    GroupTable table;
    ServiceLanes lanes{settings};

    void setup() override
    {
        lanes.setGroups(groups, {42, {0, 14}});
    }

    // Sends a stream where the lanes say; returns nothing when it should wait.
    std::optional<GroupId> send(int now)
    {
        auto chosen = lanes.laneFor(entry(now + 400), table, at(now));
        if (chosen) {
            lanes.lane(*chosen).onSent(at(now));
        }
        return chosen;
    }

    // All streams of a group get an event, `pause` after the last.
    void pass(const GroupId &id, Duration pause, int now)
    {
        lanes.lane(id).onFirstEvent(at(now));
        lanes.lane(id).onPause(pause, kGoal, at(now));
    }

    void stopGroup(const GroupId &id, int now)
    {
        lanes.lane(id).onSent(at(now - 1000));
        pass(id, kShort, now - 1000);
        lanes.onTick(0, table, at(now));
    }
};

TEST(ServiceLanesTest, OwnHallsGroupComesFirst)
{
    CHECK_TRUE(send(0) == group(0));
}

TEST(ServiceLanesTest, WhatTheOwnBoundDoesNotAdmitGoesToAnotherGroup)
{
    for (int count = 0; count < 10; ++count) {
        CHECK_TRUE(send(0) == group(0));
    }
    const auto overflow = send(0);
    CHECK_TEXT(overflow && *overflow != group(0),
               "a third group's places are free, none need wait");
}

// One group is held, cut or has lost a rank: what it would have got goes to the two others.
TEST(ServiceLanesTest, GroupThatStandsStillGetsNothingWhileAnotherWorks)
{
    stopGroup(group(0), 2000);
    for (int count = 0; count < 6; ++count) {
        const auto chosen = send(2000);
        CHECK_TEXT(chosen && *chosen != group(0), "expected a group that makes passes");
    }
}

TEST(ServiceLanesTest, RefusingGroupIsTriedWithOneStreamNowAndThen)
{
    lanes.lane(group(0)).onRefusal(at(0), at(1500));
    int tries = 0;
    for (int now = 1500; now < 2500; now += 10) {
        const auto chosen = send(now);
        if (chosen == group(0)) {
            ++tries;
            lanes.lane(group(0)).onLeft(false);
        } else if (chosen) {
            lanes.lane(*chosen).onLeft(false);
        }
    }
    CHECK_TEXT(tries >= 3 && tries <= 5, "expected a try each quarter of a second");
}

TEST(ServiceLanesTest, GroupThatItsAgentsCallClosedIsNotTriedAtAll)
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

// A hall that is cut off cannot be heard; a stream sent there would be silent until its caller
// leaves.
TEST(ServiceLanesTest, GroupOutOfTouchInAnotherHallIsAvoided)
{
    GroupFacts facts;
    for (const int number : {0, 1, 2}) {
        facts.group = group(number);
        table.update(facts, at(0));
    }
    table.renew(group(0), at(3000));
    table.renew(group(1), at(3000));
    for (int count = 0; count < 16; ++count) {
        const auto chosen = send(3100);
        CHECK_TEXT(!chosen || *chosen != group(2), "nothing comes back from the hall that is cut");
    }
}

TEST(ServiceLanesTest, WhenAllGroupsAreInTroubleTheBoundsAloneDecide)
{
    for (const int number : {0, 1, 2}) {
        stopGroup(group(number), 2000);
    }
    CHECK_TRUE(send(2000).has_value());
}

// After a shift of demand passes are long in every group. A stream that left its own group for
// that would bring a prompt into passes that the gateways of the other hall hold theirs back from.
TEST(ServiceLanesTest, StreamWaitsAtHomeWhilePassesAreNearTheGoal)
{
    for (int count = 0; count < 4; ++count) {
        send(0);
    }
    pass(group(0), kNearGoal, 10);
    CHECK_FALSE(send(20).has_value());
}

TEST(ServiceLanesTest, LaneOfAGroupWhoseUpstreamsAreGoneEndsWithItsStreams)
{
    lanes.lane(group(2)).onSent(at(0));
    const UpstreamChooser::Groups fewer = groupsSeenFrom(0, 2);
    lanes.setGroups(fewer, {42, {0, 14}});
    lanes.onTick(1, table, at(100));
    CHECK_TRUE(lanes.find(group(2)) != nullptr);
    lanes.lane(group(2)).onLeft(false);
    lanes.setGroups(fewer, {42, {0, 14}});
    CHECK_TRUE(lanes.find(group(2)) == nullptr);
}

TEST(ServiceLanesTest, ServiceIsOutOnlyWhenEveryGroupRefuses)
{
    lanes.lane(group(0)).onRefusal(at(0), at(1500));
    lanes.lane(group(1)).onRefusal(at(0), at(1500));
    CHECK_FALSE(lanes.isOut(at(1500)));
    lanes.lane(group(2)).onRefusal(at(0), at(1500));
    CHECK_TRUE(lanes.isOut(at(1500)));
}

TEST(ServiceLanesTest, RetryGoesToAGroupThatWorksWhateverTheBounds)
{
    stopGroup(group(0), 2000);
    const auto chosen = lanes.laneForRetry(table, at(2000));
    CHECK_TRUE(chosen && *chosen != group(0));
}

namespace {

// Gateways of three halls before groups of one hall each, which serve by their slots alone: a group
// with more streams than slots makes passes over the goal.
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
            gateway.lanes = std::make_unique<ServiceLanes>(ServiceLanes::Settings());
            const auto place = static_cast<std::size_t>(index / groups);
            const auto hallGateways = static_cast<std::size_t>(gateways / groups);
            gateway.lanes->setGroups(*gateway.groups,
                                     {static_cast<std::size_t>(gateways), {place, hallGateways}});
            gateways_.push_back(std::move(gateway));
        }
    }

    // Plays `seconds` of `rate` streams a second, each of twenty passes. From `fallsAt` on, the
    // group `fallen` makes no pass. Returns the most streams that a group that lives had.
    double play(double rate, int seconds, int fallen, int fallsAt)
    {
        constexpr int kStep = 25;
        double most = 0.0;
        double owed = 0.0;
        for (int now = 0; now < seconds * 1000; now += kStep) {
            owed += rate * kStep / 1000.0;
            while (owed >= 1.0) {
                owed -= 1.0;
                next_ = (next_ + 1) % gateways_.size();
                ++gateways_[next_].waiting;
            }
            const bool down = now >= fallsAt;
            for (Gateway &gateway : gateways_) {
                serve(gateway, now, down ? fallen : -1);
            }
            for (int number = 0; number < groups_; ++number) {
                most = std::max(most, number == fallen && down ? 0.0 : streamsAt(number));
            }
        }
        return most;
    }

    double streamsAt(int number) const
    {
        return std::accumulate(gateways_.begin(), gateways_.end(), 0.0,
                               [&](double sum, const Gateway &gateway) {
                                   return sum + gateway.lanes->find(group(number))->inFlight();
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
        int endsAt = 0;
    };

    struct Gateway
    {
        int hall = 0;
        std::unique_ptr<UpstreamChooser::Groups> groups;
        std::unique_ptr<ServiceLanes> lanes;
        std::vector<Stream> streams;
        int waiting = 0;
    };

    void serve(Gateway &gateway, int now, int down)
    {
        std::erase_if(gateway.streams, [&](const Stream &stream) {
            // Callers leave a stream that is silent for two seconds.
            const bool over = now >= stream.endsAt + (stream.group == down ? 2000 : 0);
            if (over) {
                gateway.lanes->lane(group(stream.group)).onLeft(true);
            }
            return over;
        });
        for (const Stream &stream : gateway.streams) {
            if (stream.group != down) {
                const Duration pause = streamsAt(stream.group) > slots_ ? kOverGoal : kShort;
                gateway.lanes->lane(group(stream.group)).onPause(pause, kGoal, at(now));
            }
        }
        gateway.lanes->onTick(static_cast<std::size_t>(gateway.waiting), table_, at(now));
        while (gateway.waiting > 0) {
            const auto chosen = gateway.lanes->laneFor(entry(now + 400), table_, at(now));
            if (!chosen) {
                return;
            }
            --gateway.waiting;
            StreamLane &lane = gateway.lanes->lane(*chosen);
            lane.onSent(at(now));
            lane.onFirstEvent(at(now));
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

// The pattern: one of several groups falls out, and all gateways of its hall look for another at
// the same moment. The others have room for it in sum, so nobody should wait for long, and no group
// should be taken far over its slots, where every stream of it is late.
TEST(ServiceLanesTest, FallenGroupDoesNotTipTheNextOneOver)
{
    struct Case
    {
        int gateways;
        int groups;
    };
    for (const Case &each : {Case{42, 3}, Case{149, 3}, Case{45, 9}, Case{149, 9}}) {
        constexpr double kSlots = 240.0;
        Site site(each.gateways, each.groups, kSlots);
        // Full groups carry 150 streams a second each; half of that is asked for.
        const double rate = 75.0 * each.groups;
        const double most = site.play(rate, 8, 0, 4000);
        CHECK_TEXT(most <= 1.15 * kSlots, "expected the others to stay near their slots");
        CHECK_TEXT(site.waiting() <= each.gateways,
                   "expected no queue behind the groups that live");
    }
}
