// Weighted fair queueing of requests by tokens, over client accounts, at one upstream.
//
// Each account has a virtual time that advances by (tokens served) / (share). The backlogged
// account with the lowest virtual time goes next; within an account the higher priority goes first,
// then the older request. A request is charged its expected tokens when it is taken and corrected
// as its true length becomes known, so a wrong declaration is paid back. An account that becomes
// backlogged starts no earlier than the queue's own virtual time: idling earns no credit.
//
// The class is pure and single-threaded. Cost: O(log n) for push, take and charge.
#pragma once

#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace seamarch {

// A request that waits.
struct QueuedRequest
{
    RequestId id;
    AccountId account;
    std::uint8_t priority = 0;
    Tokens expectedCost = 0; // Cost by the declared answer tokens, see cost.h.
    Tokens promptCost = 0;   // The part of it that the prompt makes.
    Tokens answerTokens = 0;
    TimePoint arrived;
    TimePoint deadline;
};

// What an account may claim.
struct AccountPolicy
{
    double share = 1.0;
    std::uint32_t maxQueued = 256;
};

class FairQueue
{
public:
    // Sets the claim of an account. Accounts that were never set have the default claim.
    void setPolicy(const AccountId &account, const AccountPolicy &policy);

    // Adds a request. Returns false when the account has its full number of requests waiting.
    bool push(QueuedRequest request);
    // Takes the request whose turn it is and charges its expected tokens.
    std::optional<QueuedRequest> pop();
    // Removes a waiting request. Returns false when it does not wait here.
    bool remove(RequestId id);
    // Removes and returns all requests whose deadline is at or before `now`.
    std::vector<QueuedRequest> popExpired(TimePoint now);
    // Removes and returns all requests.
    std::vector<QueuedRequest> popAll();
    // Corrects what an account was charged: `delta` tokens more, or fewer when negative.
    void adjustCharge(const AccountId &account, double delta);

    std::size_t size() const { return positions_.size(); }
    Tokens queuedTokens() const { return queuedTokens_; }
    // Returns the tokens that will be served before a new request of `account` could be, by shares.
    double tokensAhead(const AccountId &account) const;
    // Returns the number of accounts that the queue keeps state for.
    std::size_t accounts() const { return accounts_.size(); }
    // Forgets accounts that are idle and whose virtual time lies behind the queue's.
    void removeIdleAccounts();

private:
    // Orders requests inside an account.
    struct OrderKey
    {
        std::uint8_t priority = 0;
        std::uint64_t sequence = 0;

        bool operator<(const OrderKey &other) const
        {
            return priority != other.priority ? priority > other.priority
                                              : sequence < other.sequence;
        }
    };

    struct Account
    {
        AccountPolicy policy;
        bool configured = false;
        double virtualTime = 0.0;
        Tokens queuedTokens = 0;
        std::map<OrderKey, QueuedRequest> waiting;
    };

    struct Position
    {
        AccountId account;
        OrderKey orderKey;
    };

    using Backlog = std::set<std::pair<double, AccountId>>;

    QueuedRequest extract(Account &account, std::map<OrderKey, QueuedRequest>::iterator request);
    void removeFromBacklog(const AccountId &id, const Account &account);

    std::unordered_map<AccountId, Account> accounts_;
    Backlog backlog_; // Accounts that have requests waiting, by virtual time.
    std::unordered_map<RequestId, Position> positions_;
    Tokens queuedTokens_ = 0;
    double virtualTime_ = 0.0;
    std::uint64_t nextSequence_ = 0;
};

} // namespace seamarch
