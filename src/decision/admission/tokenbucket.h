// Rate limits of client accounts at one entry.
//
// The limit of an account is over all entries. Each entry holds a part of it: an equal part among
// the entries of its hall that its list shows, of the hall's fixed part. The parts of all entries
// with the same list sum to the limit. While lists differ or a hall is cut off, the sum can exceed
// the limit by at most the ratio of the entries that run to the entries that the stalest list
// shows; docs/design/limits.md works the bound out.
//
// The classes are pure and single-threaded.
#pragma once

#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <optional>
#include <unordered_map>

namespace seamarch {

// A bucket of permits that refills at a steady rate.
class TokenBucket
{
public:
    TokenBucket(double permitsPerSecond, double burst, TimePoint now);

    // Changes the rate and the burst; what has been saved up to now is kept.
    void setRate(double permitsPerSecond, double burst, TimePoint now);
    // Takes one permit. Returns how long to wait when there is none.
    std::optional<Duration> tryAcquire(TimePoint now);

private:
    void refill(TimePoint now);

    double permitsPerSecond_;
    double burst_;
    double permits_;
    TimePoint refilledAt_;
};

// This entry's part of the rate limits of all accounts.
class RateLimiter
{
public:
    // Sets an account's limit over all entries; zero removes it.
    void setLimit(const AccountId &account, double requestsPerSecond);
    // Sets the part of each limit that this entry holds, from 0 to 1.
    void setShare(double share) { share_ = share; }
    // Admits a request. Returns how long to wait when the account is over its limit.
    std::optional<Duration> admit(const AccountId &account, TimePoint now);

private:
    std::unordered_map<AccountId, double> limits_;
    std::unordered_map<AccountId, TokenBucket> buckets_;
    double share_ = 1.0;
};

} // namespace seamarch
