#include "decision/expertmap/forwardedorders.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

constexpr std::uint64_t kEpoch = 2;

MapOrder order(MapOrderKind kind, std::uint64_t version, std::uint64_t highestFence = 1)
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
    ForwardedOrders handed;

    void setup() override
    {
        handed.recordReport(kEpoch, 5);
    }
};

TEST(ForwardedOrdersTest, VouchesForWhatWasPreparedAndNotArmed)
{
    handed.admit(order(MapOrderKind::Prepare, 9));
    LONGS_EQUAL(9, handed.unarmedVersion(kEpoch));
    handed.admit(order(MapOrderKind::Hold, 9));
    LONGS_EQUAL(9, handed.unarmedVersion(kEpoch));
    handed.admit(order(MapOrderKind::Arm, 9));
    LONGS_EQUAL(0, handed.unarmedVersion(kEpoch));
}

// Whether the engine carries an arm out at once or seconds later, nobody can tell.
TEST(ForwardedOrdersTest, PrepareThatComesAgainUndoesNoArm)
{
    handed.admit(order(MapOrderKind::Prepare, 9));
    handed.admit(order(MapOrderKind::Arm, 9));
    handed.admit(order(MapOrderKind::Prepare, 9));
    LONGS_EQUAL(0, handed.unarmedVersion(kEpoch));
}

TEST(ForwardedOrdersTest, DisarmLeavesTheArmRemembered)
{
    handed.admit(order(MapOrderKind::Prepare, 9));
    handed.admit(order(MapOrderKind::Arm, 9));
    handed.admit(order(MapOrderKind::Disarm, 9, 2));
    LONGS_EQUAL(0, handed.unarmedVersion(kEpoch));
}

TEST(ForwardedOrdersTest, AgentThatStartedAfterTheCopyVouchesForNothing)
{
    ForwardedOrders fresh;
    fresh.recordReport(kEpoch, 9);
    fresh.admit(order(MapOrderKind::Prepare, 9));
    LONGS_EQUAL(0, fresh.unarmedVersion(kEpoch));
}

TEST(ForwardedOrdersTest, AgentThatHasHeardNothingOfItsEngineVouchesForNothing)
{
    ForwardedOrders fresh;
    fresh.admit(order(MapOrderKind::Prepare, 9));
    LONGS_EQUAL(0, fresh.unarmedVersion(kEpoch));
}

TEST(ForwardedOrdersTest, LowerFenceIsRefusedAndNotRemembered)
{
    handed.admit(order(MapOrderKind::Prepare, 9));
    CHECK_TRUE(handed.admit(order(MapOrderKind::Disarm, 10, 7)));
    CHECK_FALSE(handed.admit(order(MapOrderKind::Arm, 9, 6)));
    LONGS_EQUAL(9, handed.unarmedVersion(kEpoch));
    LONGS_EQUAL(7, handed.highestFence());
}

TEST(ForwardedOrdersTest, NewEpochVoidsTheOneBefore)
{
    handed.admit(order(MapOrderKind::Prepare, 9));
    handed.recordReport(kEpoch + 1, 0);
    LONGS_EQUAL(0, handed.unarmedVersion(kEpoch));
    LONGS_EQUAL(0, handed.unarmedVersion(kEpoch + 1));
    handed.admit(order(MapOrderKind::Arm, 9)); // Of the epoch before, late.
    LONGS_EQUAL(0, handed.unarmedVersion(kEpoch + 1));
}
