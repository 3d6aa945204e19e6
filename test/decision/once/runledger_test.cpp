#include "decision/once/runledger.h"

#include "decision/once/ticketissuer.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

RequestId request(std::uint64_t counter)
{
    return {Incarnation(1), counter};
}

} // namespace

TEST_GROUP(RunLedgerTest)
{
    RunLedger ledger{2};
};

TEST(RunLedgerTest, CancelBeforeArrivalLeavesATombstone)
{
    CHECK(ledger.cancel(request(1)));

    CHECK_FALSE(ledger.enqueue(request(1)));
}

TEST(RunLedgerTest, CancelAfterTheStartReturnsFalse)
{
    ledger.enqueue(request(1));
    ledger.start(request(1));

    CHECK_FALSE(ledger.cancel(request(1)));
}

TEST(RunLedgerTest, EvictedRequestsStayRefused)
{
    for (std::uint64_t counter = 1; counter <= 5; ++counter) {
        ledger.enqueue(request(counter));
        ledger.start(request(counter));
        ledger.finish(request(counter));
    }

    CHECK(ledger.state(request(1)) == RunState::Evicted);
    CHECK_FALSE(ledger.enqueue(request(1)));
    CHECK_FALSE(ledger.cancel(request(1)));
    CHECK_EQUAL(2U, ledger.size());
}

TEST_GROUP(TicketIssuerTest)
{
    TicketIssuer issuer{InstanceId("portal.1"), Incarnation(7), 42, 2};
};

TEST(TicketIssuerTest, RedeemsATicketOnce)
{
    const Ticket ticket = issuer.issue();

    CHECK(issuer.redeem(ticket) == TicketVerdict::Fresh);
    CHECK(issuer.redeem(ticket) == TicketVerdict::Spent);
}

TEST(TicketIssuerTest, RefusesAnEvictedTicket)
{
    const Ticket oldest = issuer.issue();
    issuer.issue();
    issuer.issue();

    CHECK(issuer.redeem(oldest) == TicketVerdict::Unknown);
}

TEST(TicketIssuerTest, RefusesATicketOfAnotherIncarnation)
{
    Ticket ticket = issuer.issue();
    ticket.incarnation = Incarnation(8);

    CHECK(issuer.redeem(ticket) == TicketVerdict::Unknown);
}

TEST(TicketIssuerTest, ParsesAFormattedTicket)
{
    const Ticket ticket = issuer.issue();

    const auto read = parseTicket(formatTicket(ticket));

    CHECK(read == ticket);
    CHECK_FALSE(parseTicket("portal.1.7").has_value() && parseTicket("x").has_value());
}
