// Tickets with which a client has a request run at most once, through whichever entry it retries.
//
// An agent issues tickets in advance. A ticket contains the agent's incarnation, so it becomes
// invalid when the agent restarts, and a random secret, so it cannot be guessed. A request with a
// ticket runs only at the agent that issued the ticket, and only once. This requires neither clocks
// nor agreement on the members, and holds under every network partition.
//
// The classes are pure and single-threaded.
#pragma once

#include "seamarch/ids.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>

namespace seamarch {

// A ticket as carried in the `Seamarch-Ticket` header.
struct Ticket
{
    InstanceId agent;
    Incarnation incarnation;
    std::uint64_t secret = 0;

    friend bool operator==(const Ticket &, const Ticket &) = default;
};

// Returns the text form `agent.incarnation.secret`, with both numbers in hexadecimal.
std::string formatTicket(const Ticket &ticket);
// Parses the text form. Returns nullopt if the text is not a well-formed ticket.
std::optional<Ticket> parseTicket(std::string_view text);

// The result of redeeming a ticket.
enum class TicketVerdict {
    Fresh,   // Issued here and not used before; the ticket is now spent.
    Spent,   // A request with this ticket was already accepted here.
    Unknown, // Not issued by this incarnation, or evicted.
};

// Issues the tickets of an agent and redeems each at most once. Keeps at most `capacity` tickets;
// the oldest are evicted, and evicted tickets are refused.
class TicketIssuer
{
public:
    TicketIssuer(InstanceId agent, Incarnation incarnation, std::uint64_t seed,
                 std::size_t capacity);

    // Returns a new ticket with a unique random secret.
    Ticket issue();
    // Marks the ticket as spent if it is fresh, and returns its state before the call.
    TicketVerdict redeem(const Ticket &ticket);
    // Makes a spent ticket fresh again after its request was refused before its start.
    void restore(const Ticket &ticket);

private:
    InstanceId agent_;
    Incarnation incarnation_;
    std::mt19937_64 random_;
    std::size_t capacity_;
    std::unordered_map<std::uint64_t, bool> spentBySecret_; // Whether each ticket is spent.
    std::deque<std::uint64_t> issueOrder_;                  // Oldest first.
};

} // namespace seamarch
