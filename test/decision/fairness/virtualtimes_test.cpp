#include "decision/fairness/virtualtimes.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

TEST_GROUP(VirtualTimesTest)
{
    VirtualTimes times;
    const AccountId busy{"busy"};
    const AccountId other{"other"};

    // Serves one request of `account`.
    void serve(const AccountId &account, double cost)
    {
        times.onServed(account);
        times.charge(account, cost);
    }
};

TEST(VirtualTimesTest, AnAccountWithTwiceTheShareAdvancesHalfAsFast)
{
    times.setShare(busy, 2.0);
    times.activate(busy);
    times.activate(other);

    serve(busy, 100.0);
    serve(other, 50.0);

    DOUBLES_EQUAL(times.of(busy), times.of(other), 1e-9);
}

TEST(VirtualTimesTest, IdleTimeEarnsNoCredit)
{
    times.activate(busy);
    for (int request = 0; request < 10; ++request) {
        serve(busy, 100.0);
    }

    times.activate(other);

    DOUBLES_EQUAL(900.0, times.of(other), 1e-9);
}

TEST(VirtualTimesTest, AnAccountKeepsItsDebtWhileItIsIdle)
{
    times.activate(busy);
    serve(busy, 500.0);
    times.deactivate(busy);

    times.removeIdle();
    times.activate(busy);

    DOUBLES_EQUAL(500.0, times.of(busy), 1e-9);
}

TEST(VirtualTimesTest, StateOfAccountsThatAreNotAheadIsRemoved)
{
    times.activate(busy);
    times.activate(other);
    times.deactivate(other);
    serve(busy, 100.0);

    times.removeIdle();

    LONGS_EQUAL(1, times.size());
}

TEST(VirtualTimesTest, ASetShareSurvivesIdleTime)
{
    times.setShare(other, 4.0);
    times.removeIdle();
    times.activate(other);

    serve(other, 100.0);

    DOUBLES_EQUAL(25.0, times.of(other), 1e-9);
}
