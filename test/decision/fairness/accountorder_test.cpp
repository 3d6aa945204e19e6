// Tests of the order in which waiting requests of several accounts share capacity.
#include "decision/fairness/accountorder.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

TEST_GROUP(AccountOrderTest)
{
    const AccountId busy{"busy"};
    const AccountId modest{"modest"};
    AccountOrder order;

    // Removes all requests, first to last, and returns them in this order.
    std::vector<AccountOrder::Number> drain()
    {
        std::vector<AccountOrder::Number> drained;
        while (const auto first = order.first()) {
            drained.push_back(*first);
            order.remove(busy, *first);
            order.remove(modest, *first);
        }
        return drained;
    }
};

TEST(AccountOrderTest, AnEmptyOrderHasNoRequest)
{
    CHECK_FALSE(order.first().has_value());
    CHECK_FALSE(order.last().has_value());
    DOUBLES_EQUAL(0.0, order.lowestTime(), 0.0);
    LONGS_EQUAL(0, order.waitingOf(busy));
}

TEST(AccountOrderTest, TheAccountWithTheLowestVirtualTimeGoesFirst)
{
    order.add(busy, 1, 5.0);
    order.add(busy, 2, 5.0);
    order.add(modest, 3, 1.0);
    LONGS_EQUAL(3, *order.first());
    DOUBLES_EQUAL(1.0, order.lowestTime(), 0.0);
    CHECK_TRUE(drain() == (std::vector<AccountOrder::Number>{3, 1, 2}));
}

TEST(AccountOrderTest, TheNewestRequestOfTheAccountWithTheHighestVirtualTimeGoesLast)
{
    order.add(busy, 1, 5.0);
    order.add(busy, 2, 5.0);
    order.add(modest, 3, 1.0);
    LONGS_EQUAL(2, *order.last());
}

TEST(AccountOrderTest, RequestsOfOneAccountGoByAgeInWhateverOrderTheyAreAdded)
{
    order.add(busy, 7, 1.0);
    order.add(busy, 2, 1.0);
    order.add(busy, 5, 1.0);
    CHECK_TRUE(drain() == (std::vector<AccountOrder::Number>{2, 5, 7}));
}

TEST(AccountOrderTest, EqualVirtualTimesGoByTheOldestRequest)
{
    order.add(busy, 2, 1.0);
    order.add(modest, 1, 1.0);
    order.add(modest, 3, 1.0);
    CHECK_TRUE(drain() == (std::vector<AccountOrder::Number>{1, 2, 3}));
}

TEST(AccountOrderTest, AnAccountThatWasServedGoesAfterTheOthers)
{
    order.add(busy, 1, 1.0);
    order.add(busy, 2, 1.0);
    order.add(modest, 3, 2.0);
    order.remove(busy, 1);
    order.setTime(busy, 3.0);
    LONGS_EQUAL(3, *order.first());
    LONGS_EQUAL(2, *order.last());
    DOUBLES_EQUAL(2.0, order.lowestTime(), 0.0);
}

TEST(AccountOrderTest, ALaterRequestBringsTheAccountsPresentVirtualTime)
{
    order.add(busy, 1, 1.0);
    order.add(modest, 2, 2.0);
    order.add(busy, 3, 4.0);
    LONGS_EQUAL(2, *order.first());
    LONGS_EQUAL(3, *order.last());
}

TEST(AccountOrderTest, RequestsAreCountedByAccountAndAge)
{
    order.add(busy, 1, 1.0);
    order.add(busy, 4, 1.0);
    order.add(modest, 2, 1.0);
    LONGS_EQUAL(3, order.size());
    LONGS_EQUAL(2, order.accounts());
    LONGS_EQUAL(2, order.waitingOf(busy));
    LONGS_EQUAL(0, order.olderOf(busy, 1));
    LONGS_EQUAL(1, order.olderOf(busy, 3));
    LONGS_EQUAL(0, order.olderOf(modest, 1));
}

TEST(AccountOrderTest, ARequestThatIsAddedTwiceCountsOnce)
{
    order.add(busy, 1, 1.0);
    order.add(busy, 1, 2.0);
    LONGS_EQUAL(1, order.size());
    DOUBLES_EQUAL(2.0, order.lowestTime(), 0.0);
}

TEST(AccountOrderTest, UnknownRequestsAndAccountsAreIgnored)
{
    order.add(busy, 1, 1.0);
    order.remove(busy, 2);
    order.remove(modest, 1);
    order.setTime(modest, 0.5);
    LONGS_EQUAL(1, order.size());
    LONGS_EQUAL(1, *order.first());
    DOUBLES_EQUAL(1.0, order.lowestTime(), 0.0);
}

TEST(AccountOrderTest, AnAccountWithoutRequestsIsForgotten)
{
    order.add(busy, 1, 1.0);
    order.add(modest, 2, 3.0);
    order.remove(busy, 1);
    LONGS_EQUAL(1, order.accounts());
    DOUBLES_EQUAL(3.0, order.lowestTime(), 0.0);
}
