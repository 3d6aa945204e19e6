// How urgent a request is, for the order in which requests get scarce capacity.
//
// The priority of the client account takes precedence over that of the route: the route decides
// only between requests whose accounts are equally urgent. An account without a priority of its own
// has that of the route. In both, 0 is the most urgent.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>

namespace seamarch {

// Smaller values are more urgent.
struct Urgency
{
    std::uint8_t account = 5;
    std::uint8_t route = 5;

    // Returns the urgency of a request from the priorities of its route and its account.
    static constexpr Urgency of(std::uint8_t routePriority,
                                std::optional<std::uint8_t> accountPriority)
    {
        return {accountPriority.value_or(routePriority), routePriority};
    }

    constexpr auto operator<=>(const Urgency &) const = default;
};

} // namespace seamarch
