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

// Returns a directory of `self` that has heard of all of `others` at the start.
GatewayDirectory directoryOf(const GatewayRecord &self, const std::vector<GatewayRecord> &others)
{
    GatewayDirectory directory(self, {});
    for (const GatewayRecord &other : others) {
        directory.recordSeen(other, at(1));
    }
    return directory;
}

const std::vector<GatewayRecord> kSite = {gateway("a-1", "a"), gateway("a-2", "a"),
                                          gateway("a-3", "a"), gateway("b-1", "b"),
                                          gateway("b-2", "b")};

} // namespace

TEST_GROUP(GatewayDirectoryTest){};

TEST(GatewayDirectoryTest, GatewaysOfAHallChooseSameStoreFollower)
{
    std::set<InstanceId> followed;
    for (const GatewayRecord &self : kSite) {
        if (self.hall == HallId("a")) {
            followed.insert(directoryOf(self, kSite).localStoreFollower(at(2)));
        }
    }
    LONGS_EQUAL(1, followed.size());
    CHECK_TRUE(followed.begin()->value().starts_with("a-"));
}

TEST(GatewayDirectoryTest, FollowsStoreItselfWhenAlone)
{
    GatewayDirectory directory(gateway("a-1", "a"), {});
    CHECK_TRUE(directory.localStoreFollower(at(0)) == InstanceId("a-1"));
    CHECK_FALSE(directory.nextPeer(InstanceId(), at(0)).has_value());
}

TEST(GatewayDirectoryTest, SkipsFailedGatewayUntilCooldownEnds)
{
    GatewayDirectory directory = directoryOf(kSite[0], kSite);
    const InstanceId first = directory.localStoreFollower(at(2));
    GatewayDirectory other = directoryOf(kSite[first == kSite[0].id ? 1 : 0], kSite);
    other.onFailed(first, at(2));
    CHECK_FALSE(other.localStoreFollower(at(3)) == first);
    CHECK_TRUE(other.localStoreFollower(at(2002)) == first);
}

TEST(GatewayDirectoryTest, FollowsGatewayAgainOnceItAnswers)
{
    GatewayDirectory directory = directoryOf(kSite[0], kSite);
    const InstanceId first = directory.localStoreFollower(at(2));
    GatewayDirectory other = directoryOf(kSite[first == kSite[0].id ? 1 : 0], kSite);
    other.onFailed(first, at(2));
    other.onAnswered(first, at(10));
    CHECK_TRUE(other.localStoreFollower(at(11)) == first);
}

TEST(GatewayDirectoryTest, EvictsGatewaysNotSeenWithinTimeToLive)
{
    GatewayDirectory directory = directoryOf(kSite[0], kSite);
    directory.recordSeen(kSite[1], at(9000));
    directory.expire(at(11'000));
    LONGS_EQUAL(2, directory.size());
    CHECK_TRUE(directory.find(kSite[1].id) != nullptr);
    CHECK_TRUE(directory.find(kSite[2].id) == nullptr);
}

TEST(GatewayDirectoryTest, KeepsLatestRecordOfAGateway)
{
    GatewayDirectory directory = directoryOf(kSite[0], kSite);
    GatewayRecord moved = kSite[1];
    moved.port = 7001;
    directory.recordSeen(moved, at(5));
    directory.recordSeen(kSite[1], at(4));
    LONGS_EQUAL(7001, directory.find(moved.id)->port);
}

TEST(GatewayDirectoryTest, NextPeerRotatesOverAllPeers)
{
    GatewayDirectory directory = directoryOf(kSite[0], kSite);
    std::set<InstanceId> asked;
    for (std::size_t turn = 0; turn < kSite.size() - 1; ++turn) {
        asked.insert(*directory.nextPeer(InstanceId(), at(2)));
    }
    LONGS_EQUAL(kSite.size() - 1, asked.size());
}

TEST(GatewayDirectoryTest, NextPeerReturnsFailedPeersLast)
{
    GatewayDirectory directory = directoryOf(kSite[0], {kSite[1], kSite[2]});
    directory.onFailed(kSite[1].id, at(2));
    CHECK_TRUE(*directory.nextPeer(InstanceId(), at(3)) == kSite[2].id);
    CHECK_TRUE(*directory.nextPeer(InstanceId(), at(3)) == kSite[2].id);
    CHECK_TRUE(*directory.nextPeer(kSite[2].id, at(3)) == kSite[1].id);
}

TEST(GatewayDirectoryTest, StoreFollowerOfHallIsInThatHall)
{
    const GatewayDirectory directory = directoryOf(kSite[0], kSite);
    for (const HallId &hall : directory.peerHalls()) {
        CHECK_TRUE(directory.find(*directory.storeFollowerOf(hall, at(2)))->hall == hall);
    }
    CHECK_TRUE(directory.peerHalls().contains(HallId("b")));
}

TEST(GatewayDirectoryTest, DigestDependsOnlyOnKnownGateways)
{
    std::set<std::uint64_t> digests;
    for (const GatewayRecord &self : kSite) {
        digests.insert(directoryOf(self, kSite).digest());
    }
    UNSIGNED_LONGS_EQUAL(1, digests.size());
    GatewayDirectory directory = directoryOf(kSite[0], kSite);
    GatewayRecord moved = kSite[1];
    moved.port = 7001;
    directory.recordSeen(moved, at(2));
    CHECK_FALSE(digests.contains(directory.digest()));
}

TEST(GatewayDirectoryTest, SendsAgesWhenDigestsMatch)
{
    GatewayDirectory sender = directoryOf(kSite[0], kSite);
    GatewayDirectory receiver = directoryOf(kSite[1], kSite);
    sender.recordSeen(kSite[4], at(6000));
    const auto gossip = sender.gossipFor(receiver.digest(), at(7000));
    CHECK_TRUE(gossip.peers.empty());
    CHECK_TRUE(receiver.applyGossip(gossip, at(7000)));
    receiver.expire(at(10050)); // Ages are told in steps, and never too young.
    CHECK_TRUE(receiver.find(kSite[4].id) != nullptr);
    CHECK_TRUE(receiver.find(kSite[3].id) == nullptr);
    CHECK_TRUE(receiver.find(kSite[0].id) != nullptr);
    receiver.expire(at(16050));
    CHECK_TRUE(receiver.find(kSite[4].id) == nullptr);
}

TEST(GatewayDirectoryTest, RejectsAgesForDifferentDigest)
{
    GatewayDirectory sender = directoryOf(kSite[0], kSite);
    GatewayDirectory receiver = directoryOf(kSite[1], kSite);
    const auto gossip = sender.gossipFor(receiver.digest(), at(7000));
    receiver.recordSeen(gateway("c-1", "c"), at(7000));
    CHECK_FALSE(receiver.applyGossip(gossip, at(7001)));
}

TEST(GatewayDirectoryTest, SendsFullRecordsWhenDigestsDiffer)
{
    GatewayDirectory sender = directoryOf(kSite[0], kSite);
    GatewayDirectory receiver(kSite[1], {});
    receiver.recordSeen(kSite[0], at(1));
    CHECK_TRUE(receiver.applyGossip(sender.gossipFor(receiver.digest(), at(2)), at(2)));
    UNSIGNED_LONGS_EQUAL(kSite.size(), receiver.size());
}

TEST(GatewayDirectoryTest, GatewaysAgreeOnStoreFollowerOfAnotherHall)
{
    std::set<InstanceId> firsts;
    for (const GatewayRecord &self : {kSite[0], kSite[1], kSite[2]}) {
        firsts.insert(*directoryOf(self, kSite).storeFollowerOf(HallId("b"), at(2)));
    }
    LONGS_EQUAL(1, firsts.size());
    GatewayDirectory directory = directoryOf(kSite[0], kSite);
    directory.onFailed(*firsts.begin(), at(2));
    CHECK_TRUE(*directory.storeFollowerOf(HallId("b"), at(3)) != *firsts.begin());
    CHECK_FALSE(directory.storeFollowerOf(HallId("nowhere"), at(3)).has_value());
}

TEST(GatewayDirectoryTest, ReturnsHallsOfPeers)
{
    LONGS_EQUAL(2, directoryOf(kSite[0], kSite).peerHalls().size());
    LONGS_EQUAL(0, directoryOf(kSite[0], {}).peerHalls().size());
}
