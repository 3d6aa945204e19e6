// Forecast of pass times right after the load of a group has changed.
#include "decision/expertmap/passforecast.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

constexpr Duration kEvenPass = std::chrono::milliseconds(60);

} // namespace

TEST_GROUP(PassForecastTest){};

TEST(PassForecastTest, ForecastsLongPassBeforeOneWasMeasured)
{
    PassForecast forecast;
    forecast.record(kEvenPass, 1.0);
    CHECK_TRUE(forecast.expectedAt(10.0) == 10 * kEvenPass);
}

TEST(PassForecastTest, IsNotBelowLastMeasurement)
{
    PassForecast forecast;
    forecast.record(kEvenPass, 1.0);
    forecast.record(5 * kEvenPass, 1.0); // The cause of the slow passes is not known yet.
    CHECK_TRUE(forecast.expectedAt(1.0) == 5 * kEvenPass);
    CHECK_TRUE(forecast.evenTimeScaledTo(1.0) == kEvenPass);
}

TEST(PassForecastTest, KnowsNothingWithoutMeasurement)
{
    PassForecast forecast;
    forecast.record(kEvenPass, 1.0);
    forecast.clear();
    CHECK_TRUE(forecast.expectedAt(3.0) == Duration{});
}
