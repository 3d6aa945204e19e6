#include "decision/expertmap/forwardedorders.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

constexpr std::uint64_t kEpoch = 2;

MapOrder order(MapOrderKind kind, std::uint64_t version, std::uint64_t fence = 1)
{
    MapOrder order;
    order.kind = kind;
    order.version = version;
    order.epoch = kEpoch;
    order.fence = fence;
    return order;
}

} // namespace

TEST_GROUP(ForwardedOrdersTest)
{
    ForwardedOrders forwarded;

    void setup() override
    {
        forwarded.recordReport(kEpoch, 5, 5);
    }
};

TEST(ForwardedOrdersTest, ReportsVersionPreparedButNotArmed)
{
    forwarded.admit(order(MapOrderKind::Prepare, 9));
    LONGS_EQUAL(9, forwarded.unarmedVersion(kEpoch));
    forwarded.admit(order(MapOrderKind::Hold, 9));
    LONGS_EQUAL(9, forwarded.unarmedVersion(kEpoch));
    forwarded.admit(order(MapOrderKind::Arm, 9));
    LONGS_EQUAL(0, forwarded.unarmedVersion(kEpoch));
}

// The engine may execute a forwarded arm at any time, even seconds later, so the version must not
// be reported as unarmed again.
TEST(ForwardedOrdersTest, RepeatedPrepareDoesNotUndoArm)
{
    forwarded.admit(order(MapOrderKind::Prepare, 9));
    forwarded.admit(order(MapOrderKind::Arm, 9));
    forwarded.admit(order(MapOrderKind::Prepare, 9));
    LONGS_EQUAL(0, forwarded.unarmedVersion(kEpoch));
}

TEST(ForwardedOrdersTest, DisarmDoesNotUndoArm)
{
    forwarded.admit(order(MapOrderKind::Prepare, 9));
    forwarded.admit(order(MapOrderKind::Arm, 9));
    forwarded.admit(order(MapOrderKind::Disarm, 9, 2));
    LONGS_EQUAL(0, forwarded.unarmedVersion(kEpoch));
}

TEST(ForwardedOrdersTest, AgentStartedAfterCopyReportsNothing)
{
    ForwardedOrders restarted;
    restarted.recordReport(kEpoch, 9, 0);
    restarted.admit(order(MapOrderKind::Prepare, 9));
    LONGS_EQUAL(0, restarted.unarmedVersion(kEpoch));
}

TEST(ForwardedOrdersTest, AgentWithoutEngineReportReportsNothing)
{
    ForwardedOrders restarted;
    restarted.admit(order(MapOrderKind::Prepare, 9));
    LONGS_EQUAL(0, restarted.unarmedVersion(kEpoch));
}

TEST(ForwardedOrdersTest, RejectsLowerFenceAndKeepsState)
{
    forwarded.admit(order(MapOrderKind::Prepare, 9));
    CHECK_TRUE(forwarded.admit(order(MapOrderKind::Disarm, 10, 7)));
    CHECK_FALSE(forwarded.admit(order(MapOrderKind::Arm, 9, 6)));
    LONGS_EQUAL(9, forwarded.unarmedVersion(kEpoch));
    LONGS_EQUAL(7, forwarded.highestFence());
}

TEST(ForwardedOrdersTest, NewEpochDiscardsEarlierState)
{
    forwarded.admit(order(MapOrderKind::Prepare, 9));
    forwarded.recordReport(kEpoch + 1, 0, 0);
    LONGS_EQUAL(0, forwarded.unarmedVersion(kEpoch));
    LONGS_EQUAL(0, forwarded.unarmedVersion(kEpoch + 1));
    forwarded.admit(order(MapOrderKind::Arm, 9)); // A late order of the previous epoch.
    LONGS_EQUAL(0, forwarded.unarmedVersion(kEpoch + 1));
}

// A rank that still copies version 9 accepts an arm of version 7, and reports 9 as copied later. A
// change that was cleared in that belief let it run a pass with another map than its group.
TEST(ForwardedOrdersTest, VersionAfterOneThatIsNotInUseIsNotReported)
{
    forwarded.admit(order(MapOrderKind::Prepare, 7));
    forwarded.recordReport(kEpoch, 7, 5);
    forwarded.admit(order(MapOrderKind::Prepare, 9));
    LONGS_EQUAL(0, forwarded.unarmedVersion(kEpoch));
    forwarded.recordReport(kEpoch, 9, 9);
    forwarded.admit(order(MapOrderKind::Prepare, 11));
    LONGS_EQUAL(11, forwarded.unarmedVersion(kEpoch));
}
