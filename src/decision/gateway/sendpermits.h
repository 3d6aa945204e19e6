// The permits of this gateway to send requests to upstreams that report a limit or are warming up.
//
// The gateway queries the issuer for a permit when such an upstream is the best choice for a
// request and no permit is available. The request goes to another upstream, or waits briefly if
// there is none. A permit is valid for half a second after the query: if its request went
// elsewhere, the next request can use it, but permits do not accumulate while the process stands
// still.
//
// Performs no I/O and is not thread-safe.
#pragma once

#include "decision/gateway/permitissuer.h"
#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace seamarch {

// Tracks the permits held for each upstream and the pending queries to their issuers.
class SendPermits
{
public:
    struct Settings
    {
        // How long a permit is valid, counted from the query.
        Duration permitTimeToLive = std::chrono::milliseconds(500);
        // When an unanswered query is given up: several round trips between halls.
        Duration answerTimeout = std::chrono::milliseconds(350);
        std::uint32_t maxWantedPerQuery = 16;
    };

    // A query for permits that is due to be sent to the issuer.
    struct Query
    {
        InstanceId upstream;
        std::uint32_t wanted = 0;
    };

    SendPermits()
        : SendPermits(Settings())
    {}
    explicit SendPermits(const Settings &settings)
        : settings_(settings)
    {}

    // Returns whether a valid permit for `upstream` is available.
    bool has(const InstanceId &upstream, TimePoint now) const;
    // Uses one permit, if there is one, for a request that is sent to `upstream`.
    void consume(const InstanceId &upstream, TimePoint now);
    // Adds one permit for `upstream` to the next query.
    void request(const InstanceId &upstream);
    // Returns whether a permit for `upstream` can arrive before `end`: a query is pending or may be
    // sent before then.
    bool mayArriveBefore(const InstanceId &upstream, TimePoint end, TimePoint now) const;

    // Returns the earliest time of the next query for `upstream`; a time in the past means now.
    TimePoint nextQueryAt(const InstanceId &upstream) const;

    // Returns the queries that are due and marks them as pending.
    std::vector<Query> takeQueries(TimePoint now);
    // Handles the answer to the query for `upstream` that was sent at `queriedAt`. Ignores answers
    // to queries that were given up.
    void onAnswer(const InstanceId &upstream, const PermitGrant &grant, TimePoint queriedAt,
                  TimePoint now);
    // Removes the state of upstreams without permits and queries. To be called periodically.
    void expire(TimePoint now);

private:
    struct State
    {
        std::uint32_t held = 0;
        TimePoint expiresAt{};
        std::uint32_t wanted = 0;
        TimePoint queriedAt{}; // Time of the pending query; zero: none is pending.
        TimePoint nextQueryAt{};
    };

    bool awaitsAnswer(const State &state, TimePoint now) const;

    Settings settings_;
    std::unordered_map<InstanceId, State> states_;
};

} // namespace seamarch
