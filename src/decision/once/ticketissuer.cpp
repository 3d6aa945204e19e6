#include "decision/once/ticketissuer.h"

#include <charconv>
#include <fmt/format.h>
#include <utility>

namespace seamarch {
namespace {

std::optional<std::uint64_t> parseHex(std::string_view text)
{
    constexpr int kHexBase = 16;
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value, kHexBase);
    if (text.empty() || error != std::errc() || stop != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::string formatTicket(const Ticket &ticket)
{
    return fmt::format("{}.{:x}.{:x}", ticket.agent.value(), ticket.incarnation.value(),
                       ticket.secret);
}

std::optional<Ticket> parseTicket(std::string_view text)
{
    const std::size_t secretDot = text.rfind('.');
    if (secretDot == std::string_view::npos || secretDot == 0) {
        return std::nullopt;
    }
    const std::size_t incarnationDot = text.rfind('.', secretDot - 1);
    if (incarnationDot == std::string_view::npos || incarnationDot == 0) {
        return std::nullopt;
    }
    const auto incarnation =
        parseHex(text.substr(incarnationDot + 1, secretDot - incarnationDot - 1));
    const auto secret = parseHex(text.substr(secretDot + 1));
    if (!incarnation || !secret) {
        return std::nullopt;
    }
    return Ticket{InstanceId(std::string(text.substr(0, incarnationDot))),
                  Incarnation(*incarnation), *secret};
}

TicketIssuer::TicketIssuer(InstanceId agent, Incarnation incarnation, std::uint64_t seed,
                           std::size_t capacity)
    : agent_(std::move(agent))
    , incarnation_(incarnation)
    , random_(seed)
    , capacity_(capacity)
{}

Ticket TicketIssuer::issue()
{
    std::uint64_t secret = random_();
    while (secret == 0 || spentBySecret_.contains(secret)) {
        secret = random_();
    }
    spentBySecret_.emplace(secret, false);
    issueOrder_.push_back(secret);
    if (issueOrder_.size() > capacity_) {
        spentBySecret_.erase(issueOrder_.front());
        issueOrder_.pop_front();
    }
    return {agent_, incarnation_, secret};
}

TicketVerdict TicketIssuer::redeem(const Ticket &ticket)
{
    if (ticket.incarnation != incarnation_ || ticket.agent != agent_) {
        return TicketVerdict::Unknown;
    }
    const auto found = spentBySecret_.find(ticket.secret);
    if (found == spentBySecret_.end()) {
        return TicketVerdict::Unknown;
    }
    if (found->second) {
        return TicketVerdict::Spent;
    }
    found->second = true;
    return TicketVerdict::Fresh;
}

void TicketIssuer::restore(const Ticket &ticket)
{
    const auto found = spentBySecret_.find(ticket.secret);
    if (found != spentBySecret_.end() && ticket.incarnation == incarnation_) {
        found->second = false;
    }
}

} // namespace seamarch
