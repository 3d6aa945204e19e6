#include "decision/membership/gatewaydirectory.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

GatewayRecord gateway(const std::string &id, const std::string &hall)
{
    return {InstanceId(id), HallId(hall), "10.0.0.1", 7000};
}

// Returns the directory of `self`, which saw all of `others` at 1 ms.
GatewayDirectory directoryOf(const GatewayRecord &self, const std::vector<GatewayRecord> &others)
{
    GatewayDirectory directory(self, {});
    for (const GatewayRecord &other : others) {
        directory.recordSeen(other, at(1));
    }
    return directory;
}

const std::vector<GatewayRecord> kGateways = {gateway("a-1", "a"), gateway("a-2", "a"),
                                              gateway("a-3", "a"), gateway("b-1", "b"),
                                              gateway("b-2", "b")};

} // namespace

TEST_GROUP(GatewayDirectoryTest){};

TEST(GatewayDirectoryTest, GatewaysOfAHallChooseSameStoreFollower)
{
    std::set<InstanceId> followers;
    for (const GatewayRecord &self : kGateways) {
        if (self.hall == HallId("a")) {
            followers.insert(directoryOf(self, kGateways).localStoreFollower(at(2)));
        }
    }
    LONGS_EQUAL(1, followers.size());
    CHECK_TRUE(followers.begin()->value().starts_with("a-"));
}

TEST(GatewayDirectoryTest, FollowsStoreItselfWhenAlone)
{
    GatewayDirectory directory(gateway("a-1", "a"), {});
    CHECK_TRUE(directory.localStoreFollower(at(0)) == InstanceId("a-1"));
    CHECK_FALSE(directory.nextPeer(InstanceId(), at(0)).has_value());
}

TEST(GatewayDirectoryTest, SkipsFailedGatewayUntilCooldownEnds)
{
    GatewayDirectory directory = directoryOf(kGateways[0], kGateways);
    const InstanceId first = directory.localStoreFollower(at(2));
    GatewayDirectory other = directoryOf(kGateways[first == kGateways[0].id ? 1 : 0], kGateways);
    other.onFailed(first, at(2));
    CHECK_FALSE(other.localStoreFollower(at(3)) == first);
    CHECK_TRUE(other.localStoreFollower(at(2002)) == first);
}

TEST(GatewayDirectoryTest, FollowsGatewayAgainOnceItAnswers)
{
    GatewayDirectory directory = directoryOf(kGateways[0], kGateways);
    const InstanceId first = directory.localStoreFollower(at(2));
    GatewayDirectory other = directoryOf(kGateways[first == kGateways[0].id ? 1 : 0], kGateways);
    other.onFailed(first, at(2));
    other.onAnswered(first, at(10));
    CHECK_TRUE(other.localStoreFollower(at(11)) == first);
}

TEST(GatewayDirectoryTest, EvictsGatewaysNotSeenWithinTimeToLive)
{
    GatewayDirectory directory = directoryOf(kGateways[0], kGateways);
    directory.recordSeen(kGateways[1], at(9000));
    directory.expire(at(11'000));
    LONGS_EQUAL(2, directory.size());
    CHECK_TRUE(directory.find(kGateways[1].id) != nullptr);
    CHECK_TRUE(directory.find(kGateways[2].id) == nullptr);
}

TEST(GatewayDirectoryTest, KeepsLatestRecordOfAGateway)
{
    GatewayDirectory directory = directoryOf(kGateways[0], kGateways);
    GatewayRecord moved = kGateways[1];
    moved.port = 7001;
    directory.recordSeen(moved, at(5));
    directory.recordSeen(kGateways[1], at(4));
    LONGS_EQUAL(7001, directory.find(moved.id)->port);
}

TEST(GatewayDirectoryTest, NextPeerRotatesOverAllPeers)
{
    GatewayDirectory directory = directoryOf(kGateways[0], kGateways);
    std::set<InstanceId> polled;
    for (std::size_t round = 0; round < kGateways.size() - 1; ++round) {
        polled.insert(*directory.nextPeer(InstanceId(), at(2)));
    }
    LONGS_EQUAL(kGateways.size() - 1, polled.size());
}

TEST(GatewayDirectoryTest, NextPeerReturnsFailedPeersLast)
{
    GatewayDirectory directory = directoryOf(kGateways[0], {kGateways[1], kGateways[2]});
    directory.onFailed(kGateways[1].id, at(2));
    CHECK_TRUE(*directory.nextPeer(InstanceId(), at(3)) == kGateways[2].id);
    CHECK_TRUE(*directory.nextPeer(InstanceId(), at(3)) == kGateways[2].id);
    CHECK_TRUE(*directory.nextPeer(kGateways[2].id, at(3)) == kGateways[1].id);
}

TEST(GatewayDirectoryTest, StoreFollowerOfHallIsInThatHall)
{
    const GatewayDirectory directory = directoryOf(kGateways[0], kGateways);
    for (const HallId &hall : directory.peerHalls()) {
        CHECK_TRUE(directory.find(*directory.storeFollowerOf(hall, at(2)))->hall == hall);
    }
    CHECK_TRUE(directory.peerHalls().contains(HallId("b")));
}

TEST(GatewayDirectoryTest, DigestDependsOnlyOnKnownGateways)
{
    std::set<std::uint64_t> digests;
    for (const GatewayRecord &self : kGateways) {
        digests.insert(directoryOf(self, kGateways).digest());
    }
    UNSIGNED_LONGS_EQUAL(1, digests.size());
    GatewayDirectory directory = directoryOf(kGateways[0], kGateways);
    GatewayRecord moved = kGateways[1];
    moved.port = 7001;
    directory.recordSeen(moved, at(2));
    CHECK_FALSE(digests.contains(directory.digest()));
}

TEST(GatewayDirectoryTest, SendsAgesWhenDigestsMatch)
{
    GatewayDirectory sender = directoryOf(kGateways[0], kGateways);
    GatewayDirectory receiver = directoryOf(kGateways[1], kGateways);
    sender.recordSeen(kGateways[4], at(6000));
    const auto gossip = sender.gossipFor(receiver.digest(), at(7000));
    CHECK_TRUE(gossip.peers.empty());
    CHECK_TRUE(receiver.applyGossip(gossip, at(7000)));
    receiver.expire(at(10050)); // Ages are rounded up to whole steps of 50 ms.
    CHECK_TRUE(receiver.find(kGateways[4].id) != nullptr);
    CHECK_TRUE(receiver.find(kGateways[3].id) == nullptr);
    CHECK_TRUE(receiver.find(kGateways[0].id) != nullptr);
    receiver.expire(at(16050));
    CHECK_TRUE(receiver.find(kGateways[4].id) == nullptr);
}

TEST(GatewayDirectoryTest, RejectsAgesForDifferentDigest)
{
    GatewayDirectory sender = directoryOf(kGateways[0], kGateways);
    GatewayDirectory receiver = directoryOf(kGateways[1], kGateways);
    const auto gossip = sender.gossipFor(receiver.digest(), at(7000));
    receiver.recordSeen(gateway("c-1", "c"), at(7000));
    CHECK_FALSE(receiver.applyGossip(gossip, at(7001)));
}

TEST(GatewayDirectoryTest, SendsFullRecordsWhenDigestsDiffer)
{
    GatewayDirectory sender = directoryOf(kGateways[0], kGateways);
    GatewayDirectory receiver(kGateways[1], {});
    receiver.recordSeen(kGateways[0], at(1));
    CHECK_TRUE(receiver.applyGossip(sender.gossipFor(receiver.digest(), at(2)), at(2)));
    UNSIGNED_LONGS_EQUAL(kGateways.size(), receiver.size());
}

TEST(GatewayDirectoryTest, GatewaysAgreeOnStoreFollowerOfAnotherHall)
{
    std::set<InstanceId> followers;
    for (const GatewayRecord &self : {kGateways[0], kGateways[1], kGateways[2]}) {
        followers.insert(*directoryOf(self, kGateways).storeFollowerOf(HallId("b"), at(2)));
    }
    LONGS_EQUAL(1, followers.size());
    GatewayDirectory directory = directoryOf(kGateways[0], kGateways);
    directory.onFailed(*followers.begin(), at(2));
    CHECK_TRUE(*directory.storeFollowerOf(HallId("b"), at(3)) != *followers.begin());
    CHECK_FALSE(directory.storeFollowerOf(HallId("nowhere"), at(3)).has_value());
}

TEST(GatewayDirectoryTest, ReturnsHallsOfPeers)
{
    LONGS_EQUAL(2, directoryOf(kGateways[0], kGateways).peerHalls().size());
    LONGS_EQUAL(0, directoryOf(kGateways[0], {}).peerHalls().size());
}
