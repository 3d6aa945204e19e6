// Rate limits for client accounts at one entry.
//
// The limit of an account applies to all entries together. Each hall has a fixed share of it, which
// is divided equally among the entries of the hall that the entry's list shows. The shares of all
// entries with the same list add up to the limit. While lists differ or a hall is partitioned, the
// sum can exceed the limit, at most by the ratio of the running entries to the entries in the
// stalest list; docs/design/limits.md derives this bound.
//
// The classes perform no I/O, read no clock, and are not thread-safe.
#pragma once

#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <optional>
#include <unordered_map>

namespace seamarch {

// A token bucket whose permits refill at a constant rate. Starts full.
class TokenBucket
{
public:
    TokenBucket(double permitsPerSecond, double burst, TimePoint now);

    // Changes the rate and the burst size. Keeps the accumulated permits, up to the new burst size.
    void setRate(double permitsPerSecond, double burst, TimePoint now);
    // Consumes one permit. If none is available, returns the time until the next one instead.
    std::optional<Duration> tryAcquire(TimePoint now);

private:
    void refill(TimePoint now);

    double permitsPerSecond_;
    double burst_;
    double permits_;
    TimePoint refilledAt_;
};

// Enforces this entry's share of the rate limits of all accounts.
class RateLimiter
{
public:
    // Sets an account's limit over all entries, in requests per second. Zero removes the limit.
    void setLimit(const AccountId &account, double requestsPerSecond);
    // Sets this entry's share of every limit, from 0 to 1.
    void setShare(double share) { share_ = share; }
    // Admits a request. If the account is over its limit, returns the time to wait instead.
    std::optional<Duration> admit(const AccountId &account, TimePoint now);

private:
    std::unordered_map<AccountId, double> limits_;
    std::unordered_map<AccountId, TokenBucket> buckets_;
    double share_ = 1.0;
};

} // namespace seamarch
