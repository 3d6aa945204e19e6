#include "decision/fairness/fairqueue.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

QueuedRequest makeRequest(std::uint64_t number, const char *account, Tokens expectedCost,
                          std::uint8_t priority = 0)
{
    QueuedRequest request;
    request.id = {Incarnation(1), number};
    request.account = AccountId(account);
    request.priority = priority;
    request.expectedCost = expectedCost;
    request.deadline = TimePoint::max();
    return request;
}

} // namespace

TEST_GROUP(FairQueueTest)
{
    FairQueue queue;

    // Pops `count` requests from accounts that stay backlogged. `sizes` gives the cost of each
    // account's requests. Returns the cost served by account.
    std::map<std::string, double> serveBacklogged(int count,
                                                  const std::map<std::string, Tokens> &sizes)
    {
        std::map<std::string, double> served;
        std::uint64_t number = 0;
        for (const auto &[account, size] : sizes) {
            for (int index = 0; index < count; ++index) {
                queue.push(makeRequest(++number, account.c_str(), size));
            }
        }
        for (int index = 0; index < count; ++index) {
            const auto popped = queue.pop();
            served[popped->account.value()] += static_cast<double>(popped->expectedCost);
        }
        return served;
    }
};

TEST(FairQueueTest, ServesBackloggedAccountsByShare)
{
    queue.setPolicy(AccountId("large"), {3.0, 10'000});
    queue.setPolicy(AccountId("small"), {1.0, 10'000});

    const auto served = serveBacklogged(2000, {{"large", 100}, {"small", 100}});

    DOUBLES_EQUAL(3.0, served.at("large") / served.at("small"), 0.03);
}

TEST(FairQueueTest, CountsTokensAndNotRequests)
{
    queue.setPolicy(AccountId("long"), {1.0, 10'000});
    queue.setPolicy(AccountId("short"), {1.0, 10'000});

    const auto served = serveBacklogged(3000, {{"long", 1000}, {"short", 10}});

    DOUBLES_EQUAL(1.0, served.at("long") / served.at("short"), 0.05);
}

TEST(FairQueueTest, IdleAccountEarnsNoCredit)
{
    queue.setPolicy(AccountId("busy"), {1.0, 10'000});
    queue.setPolicy(AccountId("idle"), {1.0, 10'000});
    for (std::uint64_t number = 0; number < 1000; ++number) {
        queue.push(makeRequest(number, "busy", 100));
    }
    for (int index = 0; index < 500; ++index) {
        queue.pop();
    }

    for (std::uint64_t number = 2000; number < 2100; ++number) {
        queue.push(makeRequest(number, "idle", 100));
    }
    int busyServed = 0;
    for (int index = 0; index < 100; ++index) {
        busyServed += queue.pop()->account == AccountId("busy") ? 1 : 0;
    }

    CHECK(busyServed >= 49);
}

TEST(FairQueueTest, ChargesForUnderdeclaredTokens)
{
    queue.setPolicy(AccountId("liar"), {1.0, 10'000});
    queue.setPolicy(AccountId("honest"), {1.0, 10'000});
    std::uint64_t number = 0;
    for (int index = 0; index < 1000; ++index) {
        queue.push(makeRequest(++number, "liar", 1));
        queue.push(makeRequest(++number, "honest", 100));
    }

    std::map<std::string, double> produced;
    for (int index = 0; index < 400; ++index) {
        const auto popped = queue.pop();
        const double actual = 100.0;
        queue.adjustCharge(popped->account, actual - static_cast<double>(popped->expectedCost));
        produced[popped->account.value()] += actual;
    }

    DOUBLES_EQUAL(1.0, produced.at("liar") / produced.at("honest"), 0.03);
}

TEST(FairQueueTest, RunsHigherPriorityFirstInsideAnAccount)
{
    queue.push(makeRequest(1, "one", 10, 0));
    queue.push(makeRequest(2, "one", 10, 5));

    CHECK_EQUAL(2U, queue.pop()->id.counter);
    CHECK_EQUAL(1U, queue.pop()->id.counter);
}

TEST(FairQueueTest, PriorityOfOneAccountDoesNotStarveAnother)
{
    queue.setPolicy(AccountId("urgent"), {1.0, 10'000});
    queue.setPolicy(AccountId("plain"), {1.0, 10'000});
    for (std::uint64_t number = 0; number < 100; ++number) {
        queue.push(makeRequest(number, "urgent", 10, 9));
        queue.push(makeRequest(1000 + number, "plain", 10, 0));
    }

    int plainServed = 0;
    for (int index = 0; index < 100; ++index) {
        plainServed += queue.pop()->account == AccountId("plain") ? 1 : 0;
    }

    CHECK_EQUAL(50, plainServed);
}

TEST(FairQueueTest, RefusesPushBeyondMaxQueued)
{
    queue.setPolicy(AccountId("one"), {1.0, 2});
    CHECK(queue.push(makeRequest(1, "one", 10)));
    CHECK(queue.push(makeRequest(2, "one", 10)));

    CHECK_FALSE(queue.push(makeRequest(3, "one", 10)));
    CHECK_EQUAL(2U, queue.size());
}

TEST(FairQueueTest, PopExpiredRemovesRequestsPastTheirDeadline)
{
    QueuedRequest late = makeRequest(1, "one", 10);
    late.deadline = TimePoint(Duration(100));
    queue.push(late);
    queue.push(makeRequest(2, "one", 10));

    const auto expired = queue.popExpired(TimePoint(Duration(100)));

    CHECK_EQUAL(1U, expired.size());
    CHECK_EQUAL(1U, queue.size());
    CHECK_EQUAL(10U, queue.queuedTokens());
}
