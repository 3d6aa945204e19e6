// Virtual times of client accounts, for sharing capacity in proportion to their shares (start-time
// fair queueing).
//
// An account's virtual time advances by (cost charged) / (share). The account with the lowest one
// is to be served next. An account that becomes active starts at the virtual time of the service or
// later, so idle time earns no credit, and one that bursts falls behind by what it has used.
//
// Used by every queue that shares capacity among accounts. Pure and single-threaded. All operations
// take O(log n) for n accounts.
#pragma once

#include "seamarch/ids.h"

#include <cstddef>
#include <unordered_map>

namespace seamarch {

class VirtualTimes
{
public:
    // Sets the weight of an account; it must be positive. Others have the weight 1.
    void setShare(const AccountId &account, double share);
    // Marks an account as active. Call it when its first request is queued.
    void activate(const AccountId &account);
    // Marks an account as inactive. Its virtual time is kept while it is ahead of the service's.
    void deactivate(const AccountId &account);
    // Charges the cost of a request that is served; a negative cost is a refund.
    void charge(const AccountId &account, double cost);
    // Returns the virtual time of an account: the lowest one goes first. That of an account without
    // state is the service's.
    double of(const AccountId &account) const;
    // Advances the virtual time of the service to that of the account that is served now.
    void onServed(const AccountId &account);
    // Returns the virtual time of the service, at which an idle account starts.
    double serviceTime() const { return serviceTime_; }
    // Removes inactive accounts that have no share set and are not ahead of the service.
    void removeIdle();
    // Returns the number of accounts for which state is kept.
    std::size_t size() const { return accounts_.size(); }

private:
    struct Account
    {
        double share = 1.0;
        double time = 0.0;
        bool active = false;
        bool configured = false; // Whether setShare was called.
    };

    Account &stateOf(const AccountId &account);

    std::unordered_map<AccountId, Account> accounts_;
    double serviceTime_ = 0.0;
};

} // namespace seamarch
