// The permits that a gateway holds to send requests to upstreams that name a limit or are warming
// up.
//
// A permit is asked for when a request would have gone to such an upstream and there was none; the
// request goes elsewhere, or waits a moment where there is nothing else. A permit lasts for half a
// second after the question, so that one that came for a request that went elsewhere serves the
// next one, and none is saved up over a standstill.
//
// Pure and single-threaded.
#pragma once

#include "decision/gateway/permitissuer.h"
#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace seamarch {

class SendPermits
{
public:
    struct Settings
    {
        // How long a permit lasts, from the question on.
        Duration permitTimeToLive = std::chrono::milliseconds(500);
        // How long an answer is waited for: some round trips between halls.
        Duration answerTimeout = std::chrono::milliseconds(350);
        std::uint32_t maxWantedPerQuery = 16; // In one question.
    };

    // A question that is due.
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

    // Tells whether a request may go to `upstream`.
    bool has(const InstanceId &upstream, TimePoint now) const;
    // A request goes there.
    void consume(const InstanceId &upstream, TimePoint now);
    // A request would have gone there.
    void request(const InstanceId &upstream);
    // Tells whether a permit may come until `end`.
    bool mayArriveBefore(const InstanceId &upstream, TimePoint end, TimePoint now) const;

    // Returns from when on a permit may be asked for; the distant past when that is now.
    TimePoint nextQueryAt(const InstanceId &upstream) const;

    // Returns the questions that are due; they are under way from now on.
    std::vector<Query> takeQueries(TimePoint now);
    // The question about `upstream` that was asked at `queriedAt` is answered.
    void onAnswer(const InstanceId &upstream, const PermitGrant &grant, TimePoint queriedAt,
                  TimePoint now);
    // Forgets what means nothing any more.
    void expire(TimePoint now);

private:
    struct State
    {
        std::uint32_t held = 0;
        TimePoint expiresAt{};
        std::uint32_t wanted = 0;
        TimePoint queriedAt{}; // The question under way; none where this is zero.
        TimePoint nextQueryAt{};
    };

    bool awaitsAnswer(const State &state, TimePoint now) const;

    Settings settings_;
    std::unordered_map<InstanceId, State> states_;
};

} // namespace seamarch
