#include "decision/expertmap/passmeter.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

constexpr Duration kWindow = std::chrono::milliseconds(100);
constexpr double kEvenCost = 1.0;

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

double millis(Duration time)
{
    return toSeconds(time) * 1000.0;
}

} // namespace

TEST_GROUP(PassMeterTest)
{
    PassMeter meter{kWindow};
};

TEST(PassMeterTest, NothingIsKnownBeforeAWindowHasPassed)
{
    meter.record(100, kEvenCost, at(1000));
    meter.record(109, kEvenCost, at(1090));
    DOUBLES_EQUAL(0.0, millis(meter.timeSince(at(0), kEvenCost)), 0.001);
}

TEST(PassMeterTest, PassTimeIsTheTimeOfAWindowForEachStep)
{
    meter.record(100, kEvenCost, at(1000));
    meter.record(120, kEvenCost, at(1100));
    DOUBLES_EQUAL(5.0, millis(meter.timeSince(at(0), kEvenCost)), 0.001);
}

// A group that forms anew counts its steps anew.
TEST(PassMeterTest, FewerStepsThanBeforeStartAnotherMeasurement)
{
    meter.record(100, kEvenCost, at(1000));
    meter.record(3, kEvenCost, at(1100));
    DOUBLES_EQUAL(0.0, millis(meter.timeSince(at(0), kEvenCost)), 0.001);
    meter.record(13, kEvenCost, at(1200));
    DOUBLES_EQUAL(10.0, millis(meter.timeSince(at(0), kEvenCost)), 0.001);
}

TEST(PassMeterTest, RestartDiscardsWhatWasMeasured)
{
    meter.record(100, kEvenCost, at(1000));
    meter.record(120, kEvenCost, at(1100));
    meter.restart();
    DOUBLES_EQUAL(0.0, millis(meter.timeSince(at(0), kEvenCost)), 0.001);
}

// Demand has shifted, and the map that answers it is in use since the last measurement began.
TEST(PassMeterTest, PassTimeUnderANewMapIsExpectedByItsCost)
{
    constexpr double kCost = 3.0;
    meter.record(100, kCost, at(1000));
    meter.record(110, kCost, at(1150));
    DOUBLES_EQUAL(15.0, millis(meter.timeSince(at(900), kCost)), 0.001);
    CHECK_TRUE(meter.timeSince(at(1050), kEvenCost) < meter.timeSince(at(900), kCost));
}
