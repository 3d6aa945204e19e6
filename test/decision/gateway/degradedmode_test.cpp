#include "decision/gateway/degradedmode.h"

#include "passmodel.h"

#include <CppUTest/TestHarness.h>

#include <cmath>

using namespace seamarch;

namespace {

constexpr double kSlowFrom = 5000.0;
constexpr double kSlowUntil = 14'000.0;

// Returns a model in which one rank is 12 times as slow for nine seconds.
PassModel modelOfASlowRank()
{
    PassModel model;
    model.limiter.resetToShare(PassModel::kPlaces, 1.0);
    model.slowness = [](double now) { return now > kSlowFrom && now < kSlowUntil ? 12.0 : 1.0; };
    return model;
}

int servedThroughSlowRank(bool withMode)
{
    PassModel model = modelOfASlowRank();
    if (!withMode) {
        StreamLimiter::Settings settings;
        settings.degraded.minRatio = 1e9;
        model.limiter = StreamLimiter(settings);
        model.limiter.resetToShare(PassModel::kPlaces, 1.0);
    }
    model.play(kSlowUntil + PassModel::kCallerTime, 14.0);
    return model.served;
}

} // namespace

TEST_GROUP(DegradedModeTest){};

TEST(DegradedModeTest, SlowRankMakesTheGroupDegraded)
{
    PassModel model = modelOfASlowRank();
    model.play(kSlowFrom + 4000.0, 14.0);
    CHECK_TRUE(model.limiter.isDegraded());
}

TEST(DegradedModeTest, MoreCallersAreServedThroughASlowRank)
{
    CHECK_TRUE(servedThroughSlowRank(true) > servedThroughSlowRank(false));
}

TEST(DegradedModeTest, GroupThatIsTooFullIsNotDegraded)
{
    PassModel model;
    model.perStreamMillis = 7.0; // With all places taken, pauses are three times the target.
    model.limiter.resetToShare(PassModel::kPlaces / 0.6, 1.0);
    bool metTarget = false;
    model.onPass = [&] {
        metTarget = metTarget || model.passMillis <= PassModel::kGapTarget;
        CHECK_FALSE(model.limiter.isDegraded());
    };
    model.play(10'000.0, 40.0);
    CHECK_TRUE(metTarget);
}

TEST(DegradedModeTest, ShiftsOfDemandDoNotMakeTheGroupDegraded)
{
    PassModel model;
    model.perStreamMillis = 3.0;
    model.skew = [](double now) { return std::fmod(now, 2500.0) < 900.0 ? 3.0 : 1.2; };
    model.onPass = [&model] { CHECK_FALSE(model.limiter.isDegraded()); };
    model.play(30'000.0, 30.0);
}

TEST(DegradedModeTest, ModeEndsWithoutASwing)
{
    PassModel model = modelOfASlowRank();
    model.play(kSlowUntil + 1500.0, 14.0);
    CHECK_FALSE(model.limiter.isDegraded());
    model.onPass = [&model] {
        CHECK_TRUE(model.passMillis <= PassModel::kGapTarget);
        CHECK_FALSE(model.limiter.isDegraded());
    };
    model.play(30'000.0, 14.0);
    CHECK_TRUE(model.queue.empty());
}
