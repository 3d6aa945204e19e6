// Tickets: a caller's way to have a request run at most once, whatever entry it retries through.
//
// An agent hands out tickets ahead of use. A ticket names the agent's incarnation, so it is dead
// when that incarnation is gone, and carries a random secret, so it cannot be guessed. A request
// with a ticket runs only at the agent that issued it, and only once. This needs no clock and no
// agreement on members and is safe in every partition.
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

// A ticket as it travels in the header `Seamarch-Ticket`.
struct Ticket
{
    InstanceId agent;
    Incarnation incarnation;
    std::uint64_t secret = 0;

    friend bool operator==(const Ticket &, const Ticket &) = default;
};

// Writes a ticket as text.
std::string formatTicket(const Ticket &ticket);
// Reads a ticket; returns nothing when the text is not one.
std::optional<Ticket> parseTicket(std::string_view text);

// What an agent says of a ticket that is presented to it.
enum class TicketVerdict {
    Fresh,   // Issued here and never used; it is spent now.
    Spent,   // Used before: a request with it was accepted here.
    Unknown, // Never issued by this incarnation, or forgotten.
};

// The agent's side: issues tickets and redeems each once. Bounded: the oldest are forgotten, and a
// forgotten ticket is refused.
class TicketIssuer
{
public:
    TicketIssuer(InstanceId agent, Incarnation incarnation, std::uint64_t seed,
                 std::size_t capacity);

    Ticket issue();
    // Spends the ticket if it is fresh.
    TicketVerdict redeem(const Ticket &ticket);
    // Makes a spent ticket fresh again, because its request was refused before it started.
    void restore(const Ticket &ticket);

private:
    InstanceId agent_;
    Incarnation incarnation_;
    std::mt19937_64 random_;
    std::size_t capacity_;
    std::unordered_map<std::uint64_t, bool> spentBySecret_; // By secret.
    std::deque<std::uint64_t> issueOrder_;                  // Oldest first.
};

} // namespace seamarch
