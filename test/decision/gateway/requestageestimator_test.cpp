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

    void note(int stated, int times)
    {
        for (int count = 0; count < times; ++count) {
            estimator.estimateAge(millis(stated));
        }
    }
};

TEST(RequestAgeEstimatorTest, FirstTriesAreSaidToBeNew)
{
    note(8000, 10);
    CHECK_TRUE(estimator.estimateAge(millis(8000)) == Duration{});
}

TEST(RequestAgeEstimatorTest, WhatIsMissingFromAUsualTimeHasPassed)
{
    note(8000, 10);
    CHECK_TRUE(estimator.estimateAge(millis(5400)) == millis(2600));
}

// A single caller must not make all others look late.
TEST(RequestAgeEstimatorTest, OneLongTimeChangesNothing)
{
    note(8000, 10);
    note(60'000, 1);
    CHECK_TRUE(estimator.estimateAge(millis(8000)) == Duration{});
    CHECK_TRUE(estimator.estimateAge(millis(5400)) == millis(2600));
}

TEST(RequestAgeEstimatorTest, TellsCallersOfTwoHabitsApart)
{
    for (int count = 0; count < 10; ++count) {
        note(8000, 1);
        note(12'000, 1);
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
    note(8000, 50);
    for (int stated = 4000; stated < 6000; stated += 3) {
        estimator.estimateAge(millis(stated));
        note(8000, stated % 2);
    }
    CHECK_TRUE(estimator.estimateAge(millis(8000)) == Duration{});
    CHECK_TRUE(estimator.estimateAge(millis(5001)) == millis(2999));
}
