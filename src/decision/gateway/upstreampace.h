// Compares how fast the upstreams of a service answer requests that are not streamed.
//
// Answers the load of upstreams of uneven speed: with an equal share of the requests each, the
// callers of a slow upstream miss their latency target while the others have room. Each answer is
// compared with what the same route usually takes at the fastest upstreams, so that routes of
// different work are comparable and a service that is slow as a whole has no slow upstream. A
// request that has not been answered counts as soon as it has waited longer than that.
//
// Work varies from request to request, so two equal upstreams seldom answer in equal times. A
// weight for each such difference would move requests to and fro without any gain, and away from
// the own hall. So an upstream is slow only from `minRatio` on, and stays slow until answers or the
// time without any bring it close to the others again.
//
// An upstream that is avoided is not observed any more. So what is known of it fades, and it gets a
// request now and then, one at a time from each gateway, until answers show that it has recovered.
//
// Pure and single-threaded; one object for each service.
#pragma once

#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace seamarch {

class UpstreamPace
{
public:
    struct Settings
    {
        // Weight of all previous answers; a new one has the weight 1.
        int historyWeight = 5;
        // Weight of answers that outweighs the assumption that an upstream is normal. With few
        // answers before, one is enough to show that it takes four times as long.
        double fullWeight = 3.0;
        // Weight of all previous answers in the usual time of a route.
        int usualHistoryWeight = 15;
        // Smaller differences than this between upstreams are taken for chance.
        double minRatio = 2.0;
        // A slow upstream is taken for normal again below this ratio.
        double endRatio = 1.25;
        // A longer answer counts as this one, so that one lost answer is not remembered for long.
        double maxRatio = 10.0;
        // Without an answer, half of what is known of an upstream is forgotten in this time.
        Duration fadeHalfTime = std::chrono::seconds(3);
        // Usual times of routes without requests are dropped after this time.
        Duration routeTimeToLive = std::chrono::minutes(10);
        // Changes of one upstream are reported at most once in this time.
        Duration reportInterval = std::chrono::seconds(1);
    };

    // An upstream that has become slow or is taken for normal again, and the reason.
    struct Change
    {
        InstanceId upstream;
        bool slow = false;
        double slowness = 1.0;
        std::string route; // Of the last answer or wait, with its time and the usual one.
        Duration time{};
        Duration usualTime{};
        Duration age{}; // Time since the last answer or wait.
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
    // Returns the changes since the last call.
    std::vector<Change> takeChanges(TimePoint now);

private:
    // The mean time of a route at the upstreams that are not slow.
    struct UsualTime
    {
        Duration time{};
        int answers = 0; // Up to the history weight.
        TimePoint at{};
    };

    // Answers as ratios to the usual time of their route; recent ones have the greatest weight.
    struct Evidence
    {
        double sum = 0.0;
        double weight = 0.0;
    };

    struct Sample
    {
        std::string route;
        Duration time{};
        Duration usualTime{};
    };

    struct Observation
    {
        Evidence answers;
        TimePoint at{};         // Of the last answer.
        double waitRatio = 0.0; // Of the longest wait at `waitedAt`; zero: none since an answer.
        TimePoint waitedAt{};
        Sample last;
        bool slow = false;
        bool reportedSlow = false;
        TimePoint reportedAt{};
    };

    Evidence combine(const Evidence &history, double ratio) const;
    Evidence fade(const Evidence &evidence, Duration age) const;
    Evidence evidenceOf(const Observation &observation, TimePoint now) const;
    double cautiousRatio(const Evidence &evidence) const;
    double fastestRatio(TimePoint now) const;
    double ratioToUsual(const UsualTime &usual, Duration time) const;
    void updateSlow(TimePoint now);

    Settings settings_;
    std::map<std::string, UsualTime> usualTimes_; // By route.
    std::map<InstanceId, Observation> observations_;
};

} // namespace seamarch
