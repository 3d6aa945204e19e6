// Compares how fast the upstreams of a service answer requests that are not streamed.
//
// Answers the load of upstreams of uneven speed: with an equal share of the requests each, the
// callers of a slow upstream miss their latency target while the others have room. Each answer is
// compared with what the same route usually takes at the fastest upstreams, so that routes of
// different work are comparable and a service that is slow as a whole has no slow upstream. A
// request that has not been answered counts as soon as it has waited longer than that.
//
// An upstream that is avoided is not observed any more. So what is known of it fades, and it gets a
// request now and then, one at a time from each gateway, until answers show that it has recovered.
//
// Pure and single-threaded; one object for each service.
#pragma once

#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <map>
#include <string>

namespace seamarch {

class UpstreamPace
{
public:
    struct Settings
    {
        // Weight of the previous average; a new sample has the weight 1.
        int historyWeight = 2;
        // Smaller differences than this between upstreams are taken for chance.
        double minRatio = 2.0;
        // Without an answer, half of what is known of an upstream is forgotten in this time.
        Duration fadeHalfTime = std::chrono::seconds(3);
    };

    UpstreamPace() = default;
    explicit UpstreamPace(const Settings &settings)
        : settings_(settings)
    {}

    // Records that `upstream` answered a request of `route` after `time`.
    void onAnswer(const std::string &route, const InstanceId &upstream, Duration time,
                  TimePoint now);
    // Records that a request of `route` has waited for an answer of `upstream` for `time`. Repeated
    // calls for one request replace each other.
    void onWait(const std::string &route, const InstanceId &upstream, Duration time, TimePoint now);
    // Returns how many times longer the upstream takes than the fastest ones; 1 if the difference
    // may be chance, or if nothing is known of it.
    double slowness(const InstanceId &upstream, TimePoint now) const;
    // Drops what has faded. Call it periodically.
    void expire(TimePoint now);

private:
    struct Observation
    {
        double ratio = 1.0; // To the usual time of the route.
        TimePoint at{};
    };

    Settings settings_;
    std::map<std::string, Duration> usualTimes_; // By route, at the fastest upstreams.
    std::map<InstanceId, Observation> observations_;
};

} // namespace seamarch
