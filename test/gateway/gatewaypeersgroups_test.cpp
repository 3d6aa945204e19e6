// Tests the exchange of group states between two gateways over sockets on the loopback interface.
#include "freeport.h"
#include "gateway/gatewaypeers.h"
#include "storehttp.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;
using namespace std::chrono_literals;

namespace {

struct Gateway
{
    Gateway(EventLoop &loop, const char *name)
        : storeView(loop, upstreams, metrics, FreshnessBounds(), [](const RouteTable &) {})
        , self{InstanceId(name), HallId("north"), "127.0.0.1", freePort()}
        , directory(self, GatewayDirectory::Settings())
        , peers(*GatewayPeers::create(
              loop, storeView, {groups, crashes, limits, permitIssuer, warmUps}, store, directory,
              [](const PeerStoreState &, TimePoint) { return false; }))
    {}

    Metrics metrics{0};
    UpstreamTable upstreams;
    GatewayStoreView storeView;
    GroupTable groups;
    CrashRecord crashes{CrashRecord::Settings()};
    UpstreamLimits limits;
    PermitIssuer permitIssuer;
    WarmUpLimits warmUps;
    platform::StoreHttp store{{"127.0.0.1", 1}};
    GatewayRecord self;
    GatewayDirectory directory;
    std::unique_ptr<GatewayPeers> peers;
};

GroupFacts makeGroupFacts(bool open)
{
    GroupFacts facts;
    facts.group = GroupId("north");
    facts.epoch = 2;
    facts.open = open;
    facts.members = {{"127.0.0.1", 80, 1.0}, {"127.0.0.1", 81, 1.0}, {"127.0.0.1", 82, 5.0}};
    return facts;
}

} // namespace

TEST_GROUP(GatewayPeersGroupsTest)
{
    std::unique_ptr<EventLoop> loop = *EventLoop::create();
    std::unique_ptr<Gateway> first = std::make_unique<Gateway>(*loop, "first");
    std::unique_ptr<Gateway> follower = std::make_unique<Gateway>(*loop, "follower");
    std::unique_ptr<PeriodicTimer> timer;

    void setup() override
    {
        timer = std::make_unique<PeriodicTimer>(*loop, 25ms, [this] {
            first->peers->tick();
            follower->peers->tick();
            const SocketAddress address{first->self.host, first->self.port};
            follower->peers->poll(address, first->self.id, 400ms);
        });
    }

    void teardown() override
    {
        timer.reset();
        follower->peers.reset();
        first->peers.reset();
        loop->shutDown();
        follower.reset();
        first.reset();
        loop.reset();
    }

    void runFor(Duration time)
    {
        loop->schedule(time, [this] { loop->stop(); });
        loop->run();
    }
};

TEST(GatewayPeersGroupsTest, FollowerLearnsStateOfGroups)
{
    first->groups.update(makeGroupFacts(true), loop->now());
    runFor(300ms);
    CHECK_TRUE(follower->groups.digest() == first->groups.digest());
}

// Guards against a state that was received once, dropped as outdated and never sent again, although
// the other gateway has confirmed it since.
TEST(GatewayPeersGroupsTest, FollowerGetsDroppedStateOnceItIsNewer)
{
    follower->groups.update(makeGroupFacts(false), loop->now());
    first->groups.update(makeGroupFacts(true), loop->now() - 300ms);
    runFor(300ms);
    CHECK_TRUE(follower->groups.isClosed(GroupId("north"), loop->now()));
    first->groups.confirm(GroupId("north"), first->groups.digestOf(GroupId("north")), loop->now());
    runFor(1000ms);
    CHECK_FALSE_TEXT(follower->groups.isClosed(GroupId("north"), loop->now()),
                     "the first gateway has held the newer, open state for a second; expected the "
                     "follower to store it");
    UpstreamRecord slow;
    slow.host = "127.0.0.1";
    slow.port = 82;
    DOUBLES_EQUAL(5.0, follower->groups.slowness(slow, loop->now()), 0.01);
}
