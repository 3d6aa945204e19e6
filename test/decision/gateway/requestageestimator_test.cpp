#include "decision/gateway/requestageestimator.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

Duration millis(int count)
{
    return std::chrono::milliseconds(count);
}

} // namespace

TEST_GROUP(RequestAgeEstimatorTest)
{
    RequestAgeEstimator estimator;

    void observe(int stated, int times)
    {
        for (int count = 0; count < times; ++count) {
            estimator.estimateAge(millis(stated));
        }
    }
};

TEST(RequestAgeEstimatorTest, FirstTriesAreSaidToBeNew)
{
    observe(8000, 10);
    CHECK_TRUE(estimator.estimateAge(millis(8000)) == Duration{});
}

TEST(RequestAgeEstimatorTest, WhatIsMissingFromAUsualTimeHasPassed)
{
    observe(8000, 10);
    CHECK_TRUE(estimator.estimateAge(millis(5400)) == millis(2600));
}

// A single caller must not make all others look late.
TEST(RequestAgeEstimatorTest, OneLongTimeChangesNothing)
{
    observe(8000, 10);
    observe(60'000, 1);
    CHECK_TRUE(estimator.estimateAge(millis(8000)) == Duration{});
    CHECK_TRUE(estimator.estimateAge(millis(5400)) == millis(2600));
}

TEST(RequestAgeEstimatorTest, TellsCallersOfTwoHabitsApart)
{
    for (int count = 0; count < 10; ++count) {
        observe(8000, 1);
        observe(12'000, 1);
    }
    CHECK_TRUE(estimator.estimateAge(millis(8000)) == Duration{});
    CHECK_TRUE(estimator.estimateAge(millis(11'000)) == millis(1000));
}

TEST(RequestAgeEstimatorTest, WhereNoTimeRepeatsAllAreFirstTries)
{
    for (int stated = 1000; stated < 9000; stated += 7) {
        CHECK_TRUE(estimator.estimateAge(millis(stated)) == Duration{});
    }
}

TEST(RequestAgeEstimatorTest, ManySecondTriesDoNotHideTheFirst)
{
    observe(8000, 50);
    for (int stated = 4000; stated < 6000; stated += 3) {
        estimator.estimateAge(millis(stated));
        observe(8000, stated % 2);
    }
    CHECK_TRUE(estimator.estimateAge(millis(8000)) == Duration{});
    CHECK_TRUE(estimator.estimateAge(millis(5001)) == millis(2999));
}
