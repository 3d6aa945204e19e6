// Which upstream of a service, or of one group of it, a gateway sends a request to.
//
// The upstream with the fewest of this gateway's requests is the best; one in another hall is
// charged for the way. Upstreams that failed, that could not be reached, or that are slow ranks of
// their group are passed over while others are left. Upstreams without room are passed over always,
// because asking them again at once only adds to their load.
//
// A slow rank is worth a rule of its own: its group makes no pass faster than it, so a prompt that
// it reads, or a stream that it writes, at a fifth of the speed makes every stream of the group
// wait, while any other rank could have taken it.
//
// An upstream that asks for rest gets nothing before the rest is over, by whatever way a request
// comes to be sent: no list, no answer of another kind and no lack of others cuts it short. It
// knows why it asks; what it gets all the same is turned away and costs its callers a try.
//
// An upstream that names a limit for all gateways together, or is warming up, gets a request only
// for a permit that this gateway holds, by whatever way the request comes to be sent. With a permit
// it is chosen as any other is: what it still takes is worth having, and only an answer shows that
// it names no limit any more.
//
// A request that may be served in some regions only goes to upstreams of halls that are known to be
// in these, by whatever way it comes to be sent.
//
// Pure and single-threaded. The tables outlive the object.
#pragma once

#include "decision/gateway/grouptable.h"
#include "decision/gateway/residency.h"
#include "decision/gateway/sendpermits.h"
#include "decision/gateway/upstreamlimits.h"
#include "decision/gateway/upstreamtable.h"
#include "decision/gateway/upstreamturn.h"
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

class UpstreamChooser
{
public:
    struct Settings
    {
        HallId hall;
        HallRegions regions;
        // What an upstream in another hall is charged, in requests in flight: bytes between halls
        // are dear, and the way there can be cut.
        double remoteHallPenalty = 2.0;
        // A rank that takes so many times as long as the median of its group is slow. Ranks that
        // are well differ by a few parts in a hundred.
        double slowRankRatio = 1.5;
        // How long an upstream that refused for want of room is passed over.
        Duration fullPause = std::chrono::milliseconds(150);
        // How long an upstream that could not be connected to is passed over.
        Duration unreachablePause = std::chrono::seconds(1);
        // How long an address that another instance holds is passed over: a list that is out of
        // date is corrected within that time.
        Duration wrongInstancePause = std::chrono::seconds(5);
        OutlierDetector::Settings outliers;
    };

    // The upstreams of one group that may get requests, in the order of their ids.
    struct Group
    {
        std::vector<const UpstreamRecord *> upstreams;
        double slots = 0.0;
        bool inOwnHall = false; // At least one of them is.
        bool spansHalls = false;
    };

    using Groups = std::map<GroupId, Group>;

    UpstreamChooser(const Settings &settings, const UpstreamTable &upstreams,
                    const GroupTable &groups, const UpstreamLimits &limits,
                    const WarmUpLimits &warmUps, SendPermits &permits);

    // Takes where this gateway stands among those of its hall.
    void setPlace(const HallPlace &place) { place_ = place; }

    // Returns the groups of `service` that have upstreams. Valid until a table changes.
    const Groups &groupsOf(const TargetName &service);

    // Where a request is to be sent.
    struct Target
    {
        const TargetName &service;
        const std::optional<GroupId> &group; // Nothing: any.
        const Residency &residency;
    };

    // Returns the best upstream of `target` that is not in `tried`. Wants permits for those that
    // would be better.
    std::optional<InstanceId> choose(const Target &target, const std::set<InstanceId> &tried,
                                     TimePoint now);
    // Tells whether `service` has an upstream where a request with this residency may be served, or
    // the request may be served anywhere.
    bool hasUpstream(const TargetName &service, const Residency &residency);

    // A request goes to `upstream`; it is there no more.
    void onSent(const UpstreamRecord &upstream, TimePoint now);
    void onFinished(const InstanceId &upstream);
    void onFull(const InstanceId &upstream, TimePoint now);
    // `upstream` wants nothing before `until`.
    void onRestRequested(const InstanceId &upstream, TimePoint until);
    void onWrongInstance(const InstanceId &upstream, TimePoint now);
    void onUnreachable(const InstanceId &upstream, TimePoint now);
    void onSuccess(const InstanceId &upstream) { outliers_.onSuccess(upstream); }
    void onFailure(const InstanceId &upstream, TimePoint now)
    {
        outliers_.onFailure(upstream, now);
    }

    // Forgets what means nothing any more. Call it now and then.
    void expire(TimePoint now);

    // Returns when the first upstream of `service` takes requests again; nothing when there is none
    // or some do not rest.
    std::optional<TimePoint> earliestRestEnd(const TargetName &service, TimePoint now);
    // Tells whether a permit for an upstream of `service` that a request with this residency may go
    // to may come until `end`.
    bool mayGetPermitBefore(const TargetName &service, const Residency &residency, TimePoint end,
                            TimePoint now);
    // Returns from when on a permit for an upstream of `service` may be had; nothing when some take
    // requests without one.
    std::optional<TimePoint> earliestPermitAt(const TargetName &service, TimePoint now);
    // Returns the upstreams that rest, and until when, in the order of their ids.
    std::map<InstanceId, TimePoint> resting(TimePoint now) const;

    // Returns this gateway's requests in flight at an upstream.
    std::uint32_t inFlightAt(const InstanceId &upstream) const;

private:
    struct State
    {
        std::uint32_t inFlight = 0;
        TimePoint deprioritizedUntil{};
        TimePoint fullUntil{}; // By this gateway's own guess.
        TimePoint restUntil{}; // By the upstream's word.
    };

    // The groups of a service, as the tables stood after so many changes.
    struct CachedGroups
    {
        std::uint64_t upstreamChanges = 0;
        std::uint64_t groupChanges = 0;
        Groups groups;
    };

    using Positions = std::unordered_map<InstanceId, double>;

    Groups buildGroups(const TargetName &service) const;
    bool mayServe(const UpstreamRecord &upstream, const Residency &residency) const;
    bool isFullOrResting(const InstanceId &upstream, TimePoint now) const;
    bool needsPermit(const UpstreamRecord &upstream, TimePoint now) const;
    bool lacksPermit(const UpstreamRecord &upstream, TimePoint now) const;
    // An upstream that is passed over for want of a permit, by its rank among the candidates.
    using Ranked = std::pair<std::pair<bool, double>, InstanceId>;
    void requestPermits(std::vector<Ranked> upstreams, TimePoint now);
    Positions positionsOf(const std::vector<const UpstreamRecord *> &upstreams) const;
    double score(const UpstreamRecord &record, double position) const;

    Settings settings_;
    const UpstreamTable &upstreams_;
    const GroupTable &groups_;
    const UpstreamLimits &limits_;
    const WarmUpLimits &warmUps_;
    SendPermits &permits_;
    OutlierDetector outliers_;
    HallPlace place_;
    std::unordered_map<InstanceId, State> states_;
    std::unordered_map<TargetName, CachedGroups> groupCache_;
};

} // namespace seamarch
