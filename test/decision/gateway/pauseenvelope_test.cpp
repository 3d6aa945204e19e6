#include "decision/gateway/pauseenvelope.h"

#include "passmodel.h"

#include <CppUTest/TestHarness.h>

#include <cmath>

using namespace seamarch;

namespace {

constexpr double kShiftMillis = 900.0; // Until the expert map has followed.

// Returns the skew of demand that shifts every `interval` milliseconds.
std::function<double(double)> shiftsEvery(double interval)
{
    return [interval](double now) { return std::fmod(now, interval) < kShiftMillis ? 3.0 : 1.2; };
}

PassModel modelOfShifts(double interval)
{
    PassModel model;
    model.skew = shiftsEvery(interval);
    return model;
}

// Returns the share of callers served in time by a limiter that remembers pauses for `window`.
double shareInTime(Duration window)
{
    StreamLimiter::Settings settings;
    settings.envelope.window = window;
    PassModel model = modelOfShifts(2500.0);
    model.limiter = StreamLimiter(settings);
    model.play(60'000.0, 20.0);
    return static_cast<double>(model.inTime) / model.offered;
}

} // namespace

TEST_GROUP(PauseEnvelopeTest)
{
    PauseEnvelope envelope;

    // Records surges at these times in milliseconds, with calm before each.
    void recordSurges(std::initializer_list<double> times)
    {
        for (const double millis : times) {
            envelope.onPeriod(0.6, 40, PassModel::at(millis - 200.0));
            envelope.onPeriod(1.7, 40, PassModel::at(millis));
        }
    }
};

TEST(PauseEnvelopeTest, SurgesThatRecurBoundTheStreams)
{
    recordSurges({1000.0, 3500.0, 6000.0});
    const auto safe = envelope.safeStreams(1.0, PassModel::at(6000.0));
    CHECK_TRUE(safe.has_value());
    DOUBLES_EQUAL(40 * 0.7 / 1.4, *safe, 1e-9); // The part of the pass above the fixed one halves.
}

TEST(PauseEnvelopeTest, OneSurgeDoesNotBoundTheStreams)
{
    recordSurges({1000.0});
    CHECK_FALSE(envelope.safeStreams(1.0, PassModel::at(1100.0)).has_value());
}

TEST(PauseEnvelopeTest, BoundEndsWhenSurgesEnd)
{
    recordSurges({1000.0, 3500.0, 6000.0});
    const TimePoint end = PassModel::at(6000.0) + PauseEnvelope::Settings().window;
    CHECK_FALSE(envelope.safeStreams(1.0, end).has_value());
}

TEST(PauseEnvelopeTest, StallsDoNotBoundTheStreams)
{
    for (const double millis : {1000.0, 3500.0, 6000.0}) {
        envelope.onPeriod(0.6, 40, PassModel::at(millis - 200.0));
        envelope.onPeriod(12.0, 40, PassModel::at(millis));
    }
    CHECK_FALSE(envelope.safeStreams(1.0, PassModel::at(6000.0)).has_value());
}

TEST(PauseEnvelopeTest, PausesMeetTheTargetThroughShiftsThatRecur)
{
    PassModel model = modelOfShifts(2500.0);
    model.play(10'000.0, 20.0);
    model.onPass = [&model] { CHECK_TRUE(model.passMillis <= PassModel::kGapTarget); };
    model.play(60'000.0, 20.0);
}

TEST(PauseEnvelopeTest, MoreCallersAreServedInTimeThroughShiftsThatRecur)
{
    CHECK_TRUE(shareInTime(PauseEnvelope::Settings().window) > 1.5 * shareInTime(Duration{}));
}

TEST(PauseEnvelopeTest, RareShiftsDoNotBoundTheLimit)
{
    PassModel model = modelOfShifts(12'000.0);
    model.onPass = [&model] { CHECK_FALSE(model.limiter.bound().has_value()); };
    model.play(60'000.0, 24.0);
}
