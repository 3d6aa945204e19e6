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

    void observe(int deadline, int times)
    {
        for (int count = 0; count < times; ++count) {
            estimator.estimateAge(millis(deadline));
        }
    }
};

TEST(RequestAgeEstimatorTest, InitialDeadlineMeansAgeZero)
{
    observe(8000, 10);
    CHECK_TRUE(estimator.estimateAge(millis(8000)) == Duration{});
}

TEST(RequestAgeEstimatorTest, AgeIsTheDifferenceToTheInitialDeadline)
{
    observe(8000, 10);
    CHECK_TRUE(estimator.estimateAge(millis(5400)) == millis(2600));
}

// A single caller with a long deadline must not make all other requests look like retries.
TEST(RequestAgeEstimatorTest, SingleLongDeadlineIsIgnored)
{
    observe(8000, 10);
    observe(60'000, 1);
    CHECK_TRUE(estimator.estimateAge(millis(8000)) == Duration{});
    CHECK_TRUE(estimator.estimateAge(millis(5400)) == millis(2600));
}

TEST(RequestAgeEstimatorTest, DistinguishesTwoInitialDeadlines)
{
    for (int count = 0; count < 10; ++count) {
        observe(8000, 1);
        observe(12'000, 1);
    }
    CHECK_TRUE(estimator.estimateAge(millis(8000)) == Duration{});
    CHECK_TRUE(estimator.estimateAge(millis(11'000)) == millis(1000));
}

TEST(RequestAgeEstimatorTest, DeadlinesThatNeverRepeatMeanAgeZero)
{
    for (int deadline = 1000; deadline < 9000; deadline += 7) {
        CHECK_TRUE(estimator.estimateAge(millis(deadline)) == Duration{});
    }
}

TEST(RequestAgeEstimatorTest, ManyRetriesDoNotHideTheInitialDeadline)
{
    observe(8000, 50);
    for (int deadline = 4000; deadline < 6000; deadline += 3) {
        estimator.estimateAge(millis(deadline));
        observe(8000, deadline % 2);
    }
    CHECK_TRUE(estimator.estimateAge(millis(8000)) == Duration{});
    CHECK_TRUE(estimator.estimateAge(millis(5001)) == millis(2999));
}
