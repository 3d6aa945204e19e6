// A weighted fair queue of the requests that wait at one upstream, shared by client accounts.
//
// Each account has a virtual time (VirtualTimes), in the cost unit of requestcost.h. The backlogged
// account with the lowest virtual time is served next. Within an
// account, requests are ordered by priority, highest first, and then by arrival. A request is
// charged its expected cost when it is popped; the charge is adjusted as the actual length becomes
// known, so an account gains nothing by declaring too few tokens. An account that becomes
// backlogged starts at the virtual time of the queue or later, so idle time earns no credit.
//
// The class is pure and single-threaded. Complexity: O(log n) for push, pop and adjustCharge.
#pragma once

#include "decision/fairness/virtualtimes.h"
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

// A request that waits in the queue.
struct QueuedRequest
{
    RequestId id;
    AccountId account;
    std::uint8_t priority = 0;
    Tokens expectedCost = 0; // From the declared answer tokens, see requestcost.h.
    Tokens promptCost = 0;   // Cost of the prompt alone.
    Tokens answerTokens = 0; // As declared by the client.
    TimePoint arrived;
    TimePoint deadline;
};

// The share and the queue limit of an account.
struct AccountPolicy
{
    double share = 1.0;            // Relative weight among the backlogged accounts.
    std::uint32_t maxQueued = 256; // Maximum number of waiting requests.
};

class FairQueue
{
public:
    // Sets the policy of an account. Other accounts have the default policy.
    void setPolicy(const AccountId &account, const AccountPolicy &policy);

    // Adds a request. Returns false if `maxQueued` requests of the account already wait.
    bool push(QueuedRequest request);
    // Removes and returns the next request and charges its expected cost to the account. Returns
    // nullopt if the queue is empty.
    std::optional<QueuedRequest> pop();
    // Removes a request without charging it. Returns false if it is not in the queue.
    bool remove(RequestId id);
    // Removes and returns all requests whose deadline is at or before `now`, without charging them.
    std::vector<QueuedRequest> popExpired(TimePoint now);
    // Removes and returns all requests, without charging them.
    std::vector<QueuedRequest> popAll();
    // Charges `delta` more to an account, or refunds it if negative. Ignores unknown accounts.
    void adjustCharge(const AccountId &account, double delta);

    // Returns the number of waiting requests.
    std::size_t size() const { return positions_.size(); }
    // Returns the total expected cost of the waiting requests.
    Tokens queuedTokens() const { return queuedTokens_; }
    // Returns an estimate of the cost that is served before a new request of `account` is, given
    // the shares of the backlogged accounts.
    double tokensAhead(const AccountId &account) const;
    // Returns the number of accounts for which the queue keeps state.
    std::size_t accounts() const { return accounts_.size(); }
    // Removes accounts that have no policy set and no waiting requests and whose virtual time is
    // not ahead of the queue's.
    void removeIdleAccounts();

private:
    // Sort key of the requests of an account: higher priority first, then first in, first out.
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
        bool configured = false; // Whether setPolicy was called for the account.
        Tokens queuedTokens = 0; // Total expected cost of `waiting`.
        std::map<OrderKey, QueuedRequest> waiting;
    };

    // Where a waiting request is stored.
    struct Position
    {
        AccountId account;
        OrderKey orderKey;
    };

    using Backlog = std::set<std::pair<double, AccountId>>;

    // Removes a request from its account and from the totals; leaves `backlog_` unchanged.
    QueuedRequest extract(Account &account, std::map<OrderKey, QueuedRequest>::iterator request);
    void removeFromBacklog(const AccountId &id);

    std::unordered_map<AccountId, Account> accounts_;
    Backlog backlog_; // Accounts with waiting requests, by virtual time.
    std::unordered_map<RequestId, Position> positions_;
    Tokens queuedTokens_ = 0;
    VirtualTimes times_;
    std::uint64_t nextSequence_ = 0;
};

} // namespace seamarch
