// Waiting requests in the order in which accounts share capacity: the account with the lowest
// virtual time first, and the oldest request of each account.
//
// Pure and single-threaded. All operations take O(log n).
#pragma once

#include "seamarch/ids.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>
#include <functional>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

namespace seamarch {

class AccountOrder
{
public:
    // Numbers of requests, which increase in order of arrival.
    using Number = std::uint64_t;

    // Adds a request of an account whose virtual time is `time`.
    void add(const AccountId &account, Number number, double time);
    // Removes a request; ignores one that is not there.
    void remove(const AccountId &account, Number number);
    // Updates the virtual time of an account; ignores one without requests.
    void setTime(const AccountId &account, double time);

    // Returns the request that goes first; nullopt if there is none.
    std::optional<Number> first() const;
    // Returns the request that goes last: the newest of the account with the highest virtual time.
    std::optional<Number> last() const;
    // Returns the lowest virtual time of the accounts, or 0 if there is none.
    double lowestTime() const { return order_.empty() ? 0.0 : order_.begin()->time; }
    // Returns the number of requests of one account.
    std::size_t waitingOf(const AccountId &account) const;
    // Returns the number of requests of one account that are older than `number`.
    std::size_t olderOf(const AccountId &account, Number number) const;
    std::size_t accounts() const { return accounts_.size(); }
    std::size_t size() const { return size_; }

private:
    // The position of an account; equal virtual times are ordered by the age of the oldest request.
    struct Position
    {
        double time = 0.0;
        Number oldest = 0;
        AccountId account;

        bool operator<(const Position &other) const
        {
            return std::tie(time, oldest) < std::tie(other.time, other.oldest);
        }
    };

    // An ordered set that tells the rank of a number in O(log n).
    using Numbers =
        __gnu_pbds::tree<Number, __gnu_pbds::null_type, std::less<>, __gnu_pbds::rb_tree_tag,
                         __gnu_pbds::tree_order_statistics_node_update>;

    struct Account
    {
        double time = 0.0;
        Numbers numbers;
    };

    static Position positionOf(const AccountId &id, const Account &account);

    std::unordered_map<AccountId, Account> accounts_; // Only accounts with requests.
    std::set<Position> order_;
    std::size_t size_ = 0;
};

} // namespace seamarch
