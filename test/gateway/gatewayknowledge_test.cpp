#include "gateway/gatewayknowledge.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

UpstreamRecord upstream(const std::string &id, bool leaving = false)
{
    UpstreamRecord record;
    record.id = InstanceId(id);
    record.service = TargetName("portal");
    record.leaving = leaving;
    return record;
}

RoutingDocument document(std::uint64_t version)
{
    RoutingDocument made;
    made.version = ConfigVersion(version);
    return made;
}

} // namespace

TEST_GROUP(GatewayKnowledgeTest)
{
    std::unique_ptr<EventLoop> loop = std::move(*EventLoop::create());
    UpstreamTable upstreams;
    Metrics metrics{0};
    GatewayKnowledge knowledge{*loop,
                               upstreams,
                               metrics,
                               {std::chrono::milliseconds(4700), std::chrono::milliseconds(1900)},
                               [](const RouteTable &) {}};

    // What another gateway tells of version 3 with one upstream, at revision 10.
    SharedKnowledge shared() const
    {
        return {{1, 10}, ConfigVersion(3), document(3), 77, std::vector{upstream("i-1")}, {}};
    }
};

TEST(GatewayKnowledgeTest, TakesWhatAnotherGatewayKnows)
{
    CHECK_TRUE(knowledge.adopt(shared(), loop->now()));
    LONGS_EQUAL(3, knowledge.version().value());
    LONGS_EQUAL(77, knowledge.namedMark());
    CHECK_TRUE(upstreams.mayReceive(InstanceId("i-1")));
    CHECK_TRUE(knowledge.fresh());
}

TEST(GatewayKnowledgeTest, KnowledgeIsAsOldAsItsConfirmation)
{
    CHECK_TRUE(knowledge.adopt(shared(), loop->now() - std::chrono::seconds(5)));
    CHECK_FALSE(knowledge.fresh());
}

TEST(GatewayKnowledgeTest, TakesNothingThatWasConfirmedEarlier)
{
    CHECK_TRUE(knowledge.adopt(shared(), loop->now()));
    CHECK_FALSE(knowledge.adopt(shared(), loop->now() - std::chrono::seconds(1)));
}

TEST(GatewayKnowledgeTest, TakesNothingOfAnEarlierRevision)
{
    CHECK_TRUE(knowledge.adopt(shared(), loop->now() - std::chrono::seconds(1)));
    SharedKnowledge earlier = shared();
    earlier.place.revision = 9;
    CHECK_FALSE(knowledge.adopt(earlier, loop->now()));
}

// The store came back from an older copy: a revision means nothing without its era.
TEST(GatewayKnowledgeTest, TakesALowerRevisionOfALaterEra)
{
    CHECK_TRUE(knowledge.adopt(shared(), loop->now() - std::chrono::seconds(2)));
    SharedKnowledge later = shared();
    later.place = {2, 4};
    CHECK_TRUE(knowledge.adopt(later, loop->now() - std::chrono::seconds(1)));
    SharedKnowledge earlier = shared();
    earlier.place = {1, 99};
    CHECK_FALSE(knowledge.adopt(earlier, loop->now()));
}

TEST(GatewayKnowledgeTest, GatewayOfAnEarlierVersionIsHeardByItsRevisions)
{
    CHECK_TRUE(knowledge.adopt(shared(), loop->now() - std::chrono::seconds(2)));
    SharedKnowledge without = shared();
    without.place = {0, 11};
    CHECK_TRUE(knowledge.adopt(without, loop->now() - std::chrono::seconds(1)));
    without.place = {0, 9};
    CHECK_FALSE(knowledge.adopt(without, loop->now()));
}

TEST(GatewayKnowledgeTest, HigherVersionIsTakenWhateverElseItsGatewayKnows)
{
    CHECK_TRUE(knowledge.adopt(shared(), loop->now()));
    SharedKnowledge behind = shared();
    behind.place = {1, 2};
    behind.version = ConfigVersion(4);
    behind.document = document(4);
    CHECK_FALSE(knowledge.adopt(behind, loop->now() - std::chrono::seconds(1)));
    LONGS_EQUAL(4, knowledge.version().value());
    LONGS_EQUAL(10, knowledge.place().revision);
}

TEST(GatewayKnowledgeTest, OlderCopyOfTheStoreTakesNothingBack)
{
    StoreItems listed;
    listed.position = {1, 20};
    listed.items.emplace_back(document(4));
    listed.items.emplace_back(upstream("i-1", true));
    listed.items.emplace_back(upstream("i-2"));
    knowledge.onStoreListed(listed, loop->now());
    StoreItems copy;
    copy.position = {2, 9};
    copy.items.emplace_back(document(3));
    copy.items.emplace_back(upstream("i-1"));
    knowledge.onStoreListed(copy, loop->now());
    LONGS_EQUAL(4, knowledge.version().value());
    LONGS_EQUAL(9, knowledge.place().revision);
    CHECK_FALSE(upstreams.mayReceive(InstanceId("i-1")));
    CHECK_TRUE(upstreams.mayReceive(InstanceId("i-2"))); // It may live, and lists itself again.
}

TEST(GatewayKnowledgeTest, WarmUpIsCountedFromWhenTheEntryIsRead)
{
    StoreItems listed;
    listed.position = {1, 20};
    UpstreamRecord record = upstream("i-1");
    record.warmUpLeft = std::chrono::seconds(3);
    listed.items.emplace_back(record);
    knowledge.onStoreListed(listed, loop->now());
    CHECK_TRUE(upstreams.find(InstanceId("i-1"))->warmAt > loop->now() + std::chrono::seconds(2));
    record.warmUpLeft = Duration{};
    StoreItems changed;
    changed.position = {1, 21};
    changed.items.emplace_back(record);
    knowledge.onStoreChanged(changed, loop->now());
    CHECK_TRUE(upstreams.find(InstanceId("i-1"))->warmAt <= loop->now());
}

TEST(GatewayKnowledgeTest, EntryThatDoesNotTellItsWarmUpIsOfANewStart)
{
    StoreItems listed;
    listed.position = {1, 20};
    RoutingDocument made = document(1);
    made.services.emplace_back();
    made.services.back().name = TargetName("portal");
    made.services.back().warmUp = std::chrono::seconds(3);
    listed.items.emplace_back(made);
    knowledge.onStoreListed(listed, loop->now());
    StoreItems changed;
    changed.position = {1, 21};
    UpstreamRecord record = upstream("i-1");
    record.start = UpstreamStart(1);
    changed.items.emplace_back(record);
    knowledge.onStoreChanged(changed, loop->now());
    const TimePoint warmAt = upstreams.find(InstanceId("i-1"))->warmAt;
    CHECK_TRUE(warmAt > loop->now() + std::chrono::seconds(2));
    changed.position = {1, 22};
    knowledge.onStoreChanged(changed, loop->now());
    CHECK_TRUE(upstreams.find(InstanceId("i-1"))->warmAt == warmAt);
}

TEST(GatewayKnowledgeTest, DrainedHallsComeFromListsChangesAndOtherGateways)
{
    const auto drained = [this](const char *hall) {
        return upstreams.drainedHalls().contains(HallId(hall));
    };
    StoreItems listed;
    listed.position = {1, 20};
    listed.items.emplace_back(document(1));
    listed.items.emplace_back(HallDrain{HallId("north"), false});
    knowledge.onStoreListed(listed, loop->now() - std::chrono::seconds(2));
    CHECK_TRUE(drained("north"));
    StoreItems changed;
    changed.position = {1, 21};
    changed.items.emplace_back(HallDrain{HallId("north"), true});
    changed.items.emplace_back(HallDrain{HallId("south"), false});
    knowledge.onStoreChanged(changed, loop->now() - std::chrono::seconds(1));
    CHECK_TRUE(!drained("north") && drained("south"));
    SharedKnowledge told = shared();
    told.place = {1, 22};
    told.drainedHalls = {HallId("west")};
    CHECK_TRUE(knowledge.adopt(told, loop->now()));
    CHECK_TRUE(!drained("south") && drained("west"));
}

TEST(GatewayKnowledgeTest, VersionNeverGoesBack)
{
    CHECK_TRUE(knowledge.adopt(shared(), loop->now() - std::chrono::seconds(1)));
    SharedKnowledge later = shared();
    later.place.revision = 11;
    later.version = ConfigVersion(2);
    later.document = document(2);
    CHECK_TRUE(knowledge.adopt(later, loop->now()));
    LONGS_EQUAL(3, knowledge.version().value());
}

TEST(GatewayKnowledgeTest, ListThatIsLeftOutHoldsOnlyUnderItsMark)
{
    CHECK_TRUE(knowledge.adopt(shared(), loop->now() - std::chrono::seconds(2)));
    SharedKnowledge same{{1, 11}, ConfigVersion(3), std::nullopt, 77, std::nullopt, {}};
    CHECK_TRUE(knowledge.adopt(same, loop->now() - std::chrono::seconds(1)));
    same.upstreamsMark = 78;
    CHECK_FALSE(knowledge.adopt(same, loop->now()));
}

// The pattern: the gateway that a hall follows is turned away, and each of the others asks one
// gateway after the other. Handing the list over each time took more bytes than all else.
TEST(GatewayKnowledgeTest, GatewaysThatHoldTheSameListNameItAlike)
{
    UpstreamTable otherUpstreams;
    GatewayKnowledge other{*loop, otherUpstreams, metrics, knowledge.freshness(),
                           [](const RouteTable &) {}};
    CHECK_TRUE(knowledge.adopt(shared(), loop->now()));
    StoreItems listed;
    listed.position.revision = 12;
    listed.items.emplace_back(upstream("i-1"));
    other.onStoreListed(listed, loop->now());
    CHECK_TRUE(knowledge.upstreamsMark() == other.upstreamsMark());
    listed.items.emplace_back(upstream("i-2"));
    other.onStoreListed(listed, loop->now());
    CHECK_FALSE(knowledge.upstreamsMark() == other.upstreamsMark());
}

TEST(GatewayKnowledgeTest, OwnChangeOfTheListEndsItsMark)
{
    CHECK_TRUE(knowledge.adopt(shared(), loop->now() - std::chrono::seconds(1)));
    StoreItems items;
    items.position.revision = 11;
    items.items.emplace_back(upstream("i-1", true));
    knowledge.onStoreChanged(items, loop->now());
    CHECK_TRUE(knowledge.namedMark() == knowledge.upstreamsMark());
    CHECK_FALSE(knowledge.namedMark() == 77);
}

// The pattern: a gateway that follows the store asks others, and was handed the whole list each
// time because it named none.
TEST(GatewayKnowledgeTest, ListOfTheStoreIsNamedAndNotHandedOverAgain)
{
    LONGS_EQUAL(0, knowledge.namedMark());
    StoreItems listed;
    listed.position = {1, 9};
    listed.items.emplace_back(document(3));
    listed.items.emplace_back(upstream("i-1"));
    knowledge.onStoreListed(listed, loop->now() - std::chrono::seconds(2));
    const std::uint64_t mark = knowledge.namedMark();
    CHECK_TRUE(mark != 0);
    const SharedKnowledge same{{1, 10}, ConfigVersion(3), std::nullopt, mark, std::nullopt, {}};
    CHECK_TRUE(knowledge.adopt(same, loop->now()));
    LONGS_EQUAL(10, knowledge.place().revision);
    CHECK_TRUE(upstreams.mayReceive(InstanceId("i-1")));
}

TEST(GatewayKnowledgeTest, NewVersionWithoutItsDocumentIsNotTaken)
{
    const SharedKnowledge bare{
        {1, 10}, ConfigVersion(3), std::nullopt, 77, std::vector{upstream("i-1")}, {}};
    CHECK_FALSE(knowledge.adopt(bare, loop->now()));
    CHECK_FALSE(knowledge.hasConfiguration());
}
