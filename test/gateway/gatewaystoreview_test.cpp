#include "gateway/gatewaystoreview.h"

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
    RoutingDocument routing;
    routing.version = ConfigVersion(version);
    return routing;
}

} // namespace

TEST_GROUP(GatewayStoreViewTest)
{
    std::unique_ptr<EventLoop> loop = std::move(*EventLoop::create());
    UpstreamTable upstreams;
    Metrics metrics{0};
    GatewayStoreView view{*loop,
                          upstreams,
                          metrics,
                          {std::chrono::milliseconds(4700), std::chrono::milliseconds(1900)},
                          [](const RouteTable &) {}};

    // Returns a peer's state at revision 10, with configuration version 3 and one upstream.
    PeerStoreState peerState() const
    {
        return {{1, 10}, ConfigVersion(3), document(3), 77, std::vector{upstream("i-1")}, {}};
    }
};

TEST(GatewayStoreViewTest, AdoptsTheStateOfAPeer)
{
    CHECK_TRUE(view.adopt(peerState(), loop->now()));
    LONGS_EQUAL(3, view.version().value());
    LONGS_EQUAL(77, view.advertisedDigest());
    CHECK_TRUE(upstreams.mayReceive(InstanceId("i-1")));
    CHECK_TRUE(view.fresh());
}

TEST(GatewayStoreViewTest, AgeIsCountedFromTheConfirmation)
{
    CHECK_TRUE(view.adopt(peerState(), loop->now() - std::chrono::seconds(5)));
    CHECK_FALSE(view.fresh());
}

TEST(GatewayStoreViewTest, RejectsAnEarlierConfirmation)
{
    CHECK_TRUE(view.adopt(peerState(), loop->now()));
    CHECK_FALSE(view.adopt(peerState(), loop->now() - std::chrono::seconds(1)));
}

TEST(GatewayStoreViewTest, RejectsAnEarlierRevision)
{
    CHECK_TRUE(view.adopt(peerState(), loop->now() - std::chrono::seconds(1)));
    PeerStoreState earlier = peerState();
    earlier.position.revision = 9;
    CHECK_FALSE(view.adopt(earlier, loop->now()));
}

// After the store is restored from an older copy, it assigns revisions again in a new era, so
// revisions compare only within an era.
TEST(GatewayStoreViewTest, AdoptsALowerRevisionOfALaterEra)
{
    CHECK_TRUE(view.adopt(peerState(), loop->now() - std::chrono::seconds(2)));
    PeerStoreState later = peerState();
    later.position = {2, 4};
    CHECK_TRUE(view.adopt(later, loop->now() - std::chrono::seconds(1)));
    PeerStoreState earlier = peerState();
    earlier.position = {1, 99};
    CHECK_FALSE(view.adopt(earlier, loop->now()));
}

TEST(GatewayStoreViewTest, StateWithoutEraIsOrderedByRevision)
{
    CHECK_TRUE(view.adopt(peerState(), loop->now() - std::chrono::seconds(2)));
    PeerStoreState without = peerState();
    without.position = {0, 11};
    CHECK_TRUE(view.adopt(without, loop->now() - std::chrono::seconds(1)));
    without.position = {0, 9};
    CHECK_FALSE(view.adopt(without, loop->now()));
}

TEST(GatewayStoreViewTest, HigherVersionIsAdoptedFromAnOutdatedPeer)
{
    CHECK_TRUE(view.adopt(peerState(), loop->now()));
    PeerStoreState behind = peerState();
    behind.position = {1, 2};
    behind.version = ConfigVersion(4);
    behind.document = document(4);
    CHECK_FALSE(view.adopt(behind, loop->now() - std::chrono::seconds(1)));
    LONGS_EQUAL(4, view.version().value());
    LONGS_EQUAL(10, view.position().revision);
}

TEST(GatewayStoreViewTest, StoreRollbackKeepsVersionAndLeavingUpstreams)
{
    StoreItems listed;
    listed.position = {1, 20};
    listed.items.emplace_back(document(4));
    listed.items.emplace_back(upstream("i-1", true));
    listed.items.emplace_back(upstream("i-2"));
    view.onStoreListed(listed, loop->now());
    StoreItems copy;
    copy.position = {2, 9};
    copy.items.emplace_back(document(3));
    copy.items.emplace_back(upstream("i-1"));
    view.onStoreListed(copy, loop->now());
    LONGS_EQUAL(4, view.version().value());
    LONGS_EQUAL(9, view.position().revision);
    CHECK_FALSE(upstreams.mayReceive(InstanceId("i-1")));
    CHECK_TRUE(upstreams.mayReceive(InstanceId("i-2"))); // It may be alive and register again.
}

// Guards against a gateway that is never ready again after the store has held an unreadable
// document.
TEST(GatewayStoreViewTest, ReadableDocumentOfAnyVersionEndsTheDoubtAboutAnUnreadableOne)
{
    StoreItems items;
    items.position = {1, 20};
    items.items.emplace_back(document(4));
    view.onStoreListed(items, loop->now() - std::chrono::seconds(9));
    StoreItems unreadable;
    unreadable.position = {1, 21};
    unreadable.routingUnreadable = true;
    for (const std::uint64_t version : {4, 3}) {
        const auto age = std::chrono::seconds(version);
        view.onStoreChanged(unreadable, loop->now());
        CHECK_TRUE(view.age() > age);
        items.items = {document(version)};
        view.onStoreChanged(items, loop->now() - age);
        CHECK_TRUE(view.age() < age + std::chrono::seconds(1));
        LONGS_EQUAL(4, view.version().value());
    }
}

TEST(GatewayStoreViewTest, WarmUpIsCountedFromReadingTheEntry)
{
    StoreItems listed;
    listed.position = {1, 20};
    UpstreamRecord record = upstream("i-1");
    record.warmUpLeft = std::chrono::seconds(3);
    listed.items.emplace_back(record);
    view.onStoreListed(listed, loop->now());
    CHECK_TRUE(upstreams.find(InstanceId("i-1"))->warmAt > loop->now() + std::chrono::seconds(2));
    record.warmUpLeft = Duration{};
    StoreItems changed;
    changed.position = {1, 21};
    changed.items.emplace_back(record);
    view.onStoreChanged(changed, loop->now());
    CHECK_TRUE(upstreams.find(InstanceId("i-1"))->warmAt <= loop->now());
}

TEST(GatewayStoreViewTest, EntryWithoutWarmUpUsesTheServiceWarmUpOncePerStart)
{
    StoreItems listed;
    listed.position = {1, 20};
    RoutingDocument routing = document(1);
    routing.services.emplace_back();
    routing.services.back().name = TargetName("portal");
    routing.services.back().warmUp = std::chrono::seconds(3);
    listed.items.emplace_back(routing);
    view.onStoreListed(listed, loop->now());
    StoreItems changed;
    changed.position = {1, 21};
    UpstreamRecord record = upstream("i-1");
    record.start = UpstreamStart(1);
    changed.items.emplace_back(record);
    view.onStoreChanged(changed, loop->now());
    const TimePoint warmAt = upstreams.find(InstanceId("i-1"))->warmAt;
    CHECK_TRUE(warmAt > loop->now() + std::chrono::seconds(2));
    changed.position = {1, 22};
    view.onStoreChanged(changed, loop->now());
    CHECK_TRUE(upstreams.find(InstanceId("i-1"))->warmAt == warmAt);
}

TEST(GatewayStoreViewTest, DrainedHallsComeFromListsChangesAndPeers)
{
    const auto drained = [this](const char *hall) {
        return upstreams.drainedHalls().contains(HallId(hall));
    };
    StoreItems listed;
    listed.position = {1, 20};
    listed.items.emplace_back(document(1));
    listed.items.emplace_back(HallDrain{HallId("north"), false});
    view.onStoreListed(listed, loop->now() - std::chrono::seconds(2));
    CHECK_TRUE(drained("north"));
    StoreItems changed;
    changed.position = {1, 21};
    changed.items.emplace_back(HallDrain{HallId("north"), true});
    changed.items.emplace_back(HallDrain{HallId("south"), false});
    view.onStoreChanged(changed, loop->now() - std::chrono::seconds(1));
    CHECK_TRUE(!drained("north") && drained("south"));
    PeerStoreState received = peerState();
    received.position = {1, 22};
    received.drainedHalls = {HallId("west")};
    CHECK_TRUE(view.adopt(received, loop->now()));
    CHECK_TRUE(!drained("south") && drained("west"));
}

TEST(GatewayStoreViewTest, VersionNeverDecreases)
{
    CHECK_TRUE(view.adopt(peerState(), loop->now() - std::chrono::seconds(1)));
    PeerStoreState later = peerState();
    later.position.revision = 11;
    later.version = ConfigVersion(2);
    later.document = document(2);
    CHECK_TRUE(view.adopt(later, loop->now()));
    LONGS_EQUAL(3, view.version().value());
}

TEST(GatewayStoreViewTest, OmittedListIsAdoptedOnlyUnderItsDigest)
{
    CHECK_TRUE(view.adopt(peerState(), loop->now() - std::chrono::seconds(2)));
    PeerStoreState same{{1, 11}, ConfigVersion(3), std::nullopt, 77, std::nullopt, {}};
    CHECK_TRUE(view.adopt(same, loop->now() - std::chrono::seconds(1)));
    same.upstreamsDigest = 78;
    CHECK_FALSE(view.adopt(same, loop->now()));
}

// When the gateway that a hall follows becomes unavailable, each of the others polls one gateway
// after another. If equal lists had different digests, each poll would transfer the full list,
// which outweighs all other traffic between gateways.
TEST(GatewayStoreViewTest, EqualListsHaveEqualDigests)
{
    UpstreamTable otherUpstreams;
    GatewayStoreView other{*loop, otherUpstreams, metrics, view.freshness(),
                           [](const RouteTable &) {}};
    CHECK_TRUE(view.adopt(peerState(), loop->now()));
    StoreItems listed;
    listed.position.revision = 12;
    listed.items.emplace_back(upstream("i-1"));
    other.onStoreListed(listed, loop->now());
    CHECK_TRUE(view.upstreamsDigest() == other.upstreamsDigest());
    listed.items.emplace_back(upstream("i-2"));
    other.onStoreListed(listed, loop->now());
    CHECK_FALSE(view.upstreamsDigest() == other.upstreamsDigest());
}

TEST(GatewayStoreViewTest, OwnListChangeReplacesTheAdoptedDigest)
{
    CHECK_TRUE(view.adopt(peerState(), loop->now() - std::chrono::seconds(1)));
    StoreItems items;
    items.position.revision = 11;
    items.items.emplace_back(upstream("i-1", true));
    view.onStoreChanged(items, loop->now());
    CHECK_TRUE(view.advertisedDigest() == view.upstreamsDigest());
    CHECK_FALSE(view.advertisedDigest() == 77);
}

// Guards against a gateway that reads the store itself and polls others without naming its list's
// digest: it would receive the full list with each answer.
TEST(GatewayStoreViewTest, StoreListIsAdvertisedByItsDigest)
{
    LONGS_EQUAL(0, view.advertisedDigest());
    StoreItems listed;
    listed.position = {1, 9};
    listed.items.emplace_back(document(3));
    listed.items.emplace_back(upstream("i-1"));
    view.onStoreListed(listed, loop->now() - std::chrono::seconds(2));
    const std::uint64_t digest = view.advertisedDigest();
    CHECK_TRUE(digest != 0);
    const PeerStoreState same{{1, 10}, ConfigVersion(3), std::nullopt, digest, std::nullopt, {}};
    CHECK_TRUE(view.adopt(same, loop->now()));
    LONGS_EQUAL(10, view.position().revision);
    CHECK_TRUE(upstreams.mayReceive(InstanceId("i-1")));
}

TEST(GatewayStoreViewTest, NewVersionWithoutDocumentIsRejected)
{
    const PeerStoreState bare{
        {1, 10}, ConfigVersion(3), std::nullopt, 77, std::vector{upstream("i-1")}, {}};
    CHECK_FALSE(view.adopt(bare, loop->now()));
    CHECK_FALSE(view.hasConfiguration());
}
