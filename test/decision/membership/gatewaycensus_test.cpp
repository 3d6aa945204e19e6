#include "decision/membership/gatewaycensus.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

const HallId kNorth("north");
const HallId kSouth("south");

TimePoint at(Duration since)
{
    return TimePoint(std::chrono::seconds(1)) + since;
}

GatewayCensus censusOf(const std::set<HallId> &halls, bool expectsPeers = true)
{
    GatewayCensus::Settings settings;
    settings.halls = halls;
    settings.expectsPeers = expectsPeers;
    return {settings, kNorth};
}

} // namespace

TEST_GROUP(GatewayCensusTest){};

// Guards against gateways that are cut off from each other and each use the parts of the others.
TEST(GatewayCensusTest, CountsGatewaysThatAreOutOfReach)
{
    GatewayCensus census = censusOf({kNorth, kSouth});
    census.recordSeen(InstanceId("north-2"), kNorth, at(Duration{}));
    census.recordSeen(InstanceId("south-1"), kSouth, at(Duration{}));
    census.expire(at(std::chrono::minutes(10)));
    LONGS_EQUAL(3, census.count().value());
}

TEST(GatewayCensusTest, ForgetsGatewaysThatAreGoneForLong)
{
    GatewayCensus census = censusOf({kNorth, kSouth});
    census.recordSeen(InstanceId("south-1"), kSouth, at(Duration{}));
    census.recordSeen(InstanceId("south-2"), kSouth, at(std::chrono::hours(1)));
    census.expire(at(std::chrono::minutes(61)));
    LONGS_EQUAL(2, census.count().value());
}

TEST(GatewayCensusTest, DoesNotKnowCountBeforeEachHallWasSeen)
{
    GatewayCensus census = censusOf({kNorth, kSouth, HallId("west")});
    census.recordSeen(InstanceId("south-1"), kSouth, at(Duration{}));
    CHECK_FALSE(census.count().has_value());
    census.recordSeen(InstanceId("west-1"), HallId("west"), at(Duration{}));
    LONGS_EQUAL(3, census.count().value());
}

TEST(GatewayCensusTest, DoesNotKnowCountBeforeAnyOfTheNamedGatewaysWasSeen)
{
    GatewayCensus census = censusOf({});
    CHECK_FALSE(census.count().has_value());
    census.recordSeen(InstanceId("north-2"), kNorth, at(Duration{}));
    LONGS_EQUAL(2, census.count().value());
}

TEST(GatewayCensusTest, CountsItselfAloneIfNoOtherIsNamed)
{
    LONGS_EQUAL(1, censusOf({}, false).count().value());
}
