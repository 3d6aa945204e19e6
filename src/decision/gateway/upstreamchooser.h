// Selects the upstream of a service, or of one of its groups, to which a gateway sends a request.
//
// The upstream with the fewest requests of this gateway in flight is the best; upstreams in other
// halls get a penalty. Where a pace is given, each request at an upstream, with the one to be sent,
// counts as often as the upstream is slower than others. Upstreams that have failed, that were
// unreachable, or that are slow ranks of their group are selected only if there are no others. Full
// upstreams are never selected, because sending to them again at once only adds to their load.
//
// Slow ranks are avoided because a group runs no pass faster than its slowest rank: if a rank that
// runs at a fifth of the speed processes a prompt or generates a stream, every stream of the group
// waits, while any other rank could have taken the request.
//
// An upstream that asks for rest gets no request until the rest is over, for first attempts,
// retries and resumed streams alike. No list, no other answer and no lack of other upstreams ends
// the rest early: the upstream would reject the request, which would cost the caller an attempt.
//
// An upstream that reports a limit for all gateways together, or is warming up, gets a request only
// if this gateway holds a permit for it; this, too, holds for every kind of attempt. With a permit
// it is selected like any other: its remaining capacity is useful, and only an answer can show that
// the limit has ended.
//
// A request with a residency restriction goes only to upstreams in halls that are known to be in
// the allowed regions, for every kind of attempt.
//
// Performs no I/O and is not thread-safe.
#pragma once

#include "decision/gateway/grouptable.h"
#include "decision/gateway/hallposition.h"
#include "decision/gateway/residency.h"
#include "decision/gateway/sendpermits.h"
#include "decision/gateway/upstreamlimits.h"
#include "decision/gateway/upstreampace.h"
#include "decision/gateway/upstreamtable.h"
#include "decision/gateway/warmuplimits.h"
#include "decision/retry/outlierdetector.h"
#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace seamarch {

// The region of each hall.
using HallRegions = std::map<HallId, RegionId>;

// Tracks the requests in flight and the recent failures of each upstream, and selects the best
// upstream. Keeps references to the tables that are passed to the constructor; they must outlive
// the object.
class UpstreamChooser
{
public:
    struct Settings
    {
        HallId hall;
        HallRegions regions;
        // Penalty of an upstream in another hall, in requests in flight: traffic between halls is
        // expensive, and the connection can fail.
        double remoteHallPenalty = 2.0;
        // A rank is slow if its pace is at least this multiple of the median of its group. Healthy
        // ranks differ by a few percent.
        double slowRankRatio = 1.5;
        // How long an upstream that rejected a request as full is not selected.
        Duration fullCooldown = std::chrono::milliseconds(150);
        // How long an upstream is deprioritized after a failed connection attempt.
        Duration unreachableCooldown = std::chrono::seconds(1);
        // How long an upstream is deprioritized after another instance answered at its address; an
        // outdated list is corrected within this time.
        Duration wrongInstanceCooldown = std::chrono::seconds(5);
        OutlierDetector::Settings outliers;
    };

    // The upstreams of one group that may get new requests, ordered by id.
    struct Group
    {
        std::vector<const UpstreamRecord *> upstreams;
        double slots = 0.0;
        bool inOwnHall = false; // At least one upstream is in this gateway's hall.
        bool spansHalls = false;
    };

    using Groups = std::map<GroupId, Group>;

    UpstreamChooser(const Settings &settings, const UpstreamTable &upstreams,
                    const GroupTable &groups, const UpstreamLimits &limits,
                    const WarmUpLimits &warmUps, SendPermits &permits);

    // Sets the position of this gateway among those of its hall.
    void setHallPosition(const HallPosition &position) { hallPosition_ = position; }

    // Returns the groups of `service` that have upstreams. The reference is valid until a table
    // changes.
    const Groups &groupsOf(const TargetName &service);

    // Restricts the upstreams among which a request may be sent.
    struct Target
    {
        const TargetName &service;
        const std::optional<GroupId> &group; // nullopt: any group.
        const Residency &residency;
        const UpstreamPace *pace = nullptr; // nullptr: all upstreams count as equally fast.
        std::size_t gateways = 1;           // That share the upstreams.
    };

    // Returns the best upstream of `target` that is not in `tried`, or nullopt if there is none.
    // Requests permits for better upstreams that were skipped for lack of a permit.
    std::optional<InstanceId> choose(const Target &target, const std::set<InstanceId> &tried,
                                     TimePoint now);
    // Returns whether `service` has an upstream in an allowed region of `residency`. Always returns
    // true for an unrestricted residency.
    bool hasUpstream(const TargetName &service, const Residency &residency);

    // Counts a request that is sent to `upstream` as in flight, and uses a permit if one is needed.
    void onSent(const UpstreamRecord &upstream, TimePoint now);
    // Ends one request in flight at `upstream`, whatever its result.
    void onFinished(const InstanceId &upstream);
    // Records that `upstream` sent an answer or a part of one.
    void onAnswered(const InstanceId &upstream, TimePoint now);
    // Returns whether `upstream` has answered since its connections broke at `time`.
    bool answeredSince(const InstanceId &upstream, TimePoint time) const;
    void onFull(const InstanceId &upstream, TimePoint now);
    // Sends nothing to `upstream` before `until`.
    void onRestRequested(const InstanceId &upstream, TimePoint until);
    void onWrongInstance(const InstanceId &upstream, TimePoint now);
    void onUnreachable(const InstanceId &upstream, TimePoint now);
    void onSuccess(const InstanceId &upstream) { outliers_.onSuccess(upstream); }
    void onFailure(const InstanceId &upstream, TimePoint now)
    {
        outliers_.onFailure(upstream, now);
    }

    // Removes the state of upstreams without requests in flight and cooldowns. To be called
    // periodically.
    void expire(TimePoint now);

    // Returns the earliest end of a rest if all upstreams of `service` are resting; nullopt if it
    // has no upstream or any of them is not resting.
    std::optional<TimePoint> earliestRestEnd(const TargetName &service, TimePoint now);
    // Returns whether a permit can arrive before `end` for an upstream of `service` that is allowed
    // by `residency`.
    bool mayGetPermitBefore(const TargetName &service, const Residency &residency, TimePoint end,
                            TimePoint now);
    // Returns the earliest time of a query for a permit if all upstreams of `service` lack one;
    // nullopt if it has no upstream or any of them needs none or has one.
    std::optional<TimePoint> earliestPermitAt(const TargetName &service, TimePoint now);
    // Returns the resting upstreams with the end of their rest.
    std::map<InstanceId, TimePoint> resting(TimePoint now) const;

    // Returns the number of requests of this gateway in flight at `upstream`.
    std::uint32_t inFlightAt(const InstanceId &upstream) const;

private:
    struct State
    {
        std::uint32_t inFlight = 0;
        TimePoint deprioritizedUntil{};
        TimePoint fullUntil{};  // Estimated by this gateway.
        TimePoint restUntil{};  // Requested by the upstream.
        TimePoint answeredAt{}; // Last answer or part of one.
    };

    // The groups of a service, with the change counters of the tables that they were built from.
    struct CachedGroups
    {
        std::uint64_t upstreamChanges = 0;
        std::uint64_t groupChanges = 0;
        Groups groups;
    };

    using Positions = std::unordered_map<InstanceId, double>;
    using Penalties = std::unordered_map<InstanceId, double>;

    Groups buildGroups(const TargetName &service) const;
    bool mayServe(const UpstreamRecord &upstream, const Residency &residency) const;
    bool isFullOrResting(const InstanceId &upstream, TimePoint now) const;
    bool needsPermit(const UpstreamRecord &upstream, TimePoint now) const;
    bool lacksPermit(const UpstreamRecord &upstream, TimePoint now) const;
    // An upstream without a permit, with its rank among the candidates; lower ranks are better.
    using Ranked = std::pair<std::pair<bool, double>, InstanceId>;
    void requestPermits(std::vector<Ranked> upstreams, TimePoint now);
    Positions positionsOf(const std::vector<const UpstreamRecord *> &upstreams) const;
    double score(const UpstreamRecord &record, double position) const;
    Penalties slownessPenalties(const std::vector<const UpstreamRecord *> &candidates,
                                const Target &target, TimePoint now) const;

    Settings settings_;
    const UpstreamTable &upstreams_;
    const GroupTable &groups_;
    const UpstreamLimits &limits_;
    const WarmUpLimits &warmUps_;
    SendPermits &permits_;
    OutlierDetector outliers_;
    HallPosition hallPosition_;
    std::unordered_map<InstanceId, State> states_;
    std::unordered_map<TargetName, CachedGroups> groupCache_;
};

} // namespace seamarch
