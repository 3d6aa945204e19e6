// The request rate limits of upstreams that are warming up, for all gateways together.
//
// An upstream that has just started is slow and fails under many requests, and an upstream may have
// to warm up again at any time. Its entry in the store contains the remaining warm-up time, and the
// configuration of its service contains the rate that it tolerates during that time. Such an
// upstream gets a request only with a permit, like one that reports a limit itself (see SendPermits
// and PermitIssuer).
//
// The tolerated rate applies to each single second, while permits are used some time after they are
// issued. In addition, gateways may disagree on the issuer for a while, for example while halls
// are partitioned. The limit is therefore low enough for three simultaneous issuers.
//
// Performs no I/O and is not thread-safe.
#pragma once

#include "decision/gateway/requestrate.h"
#include "decision/gateway/routetable.h"
#include "decision/gateway/upstreamtable.h"
#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace seamarch {

// The maximum number of requests that a warming upstream may get in one second is its configured
// rate times `factor`, plus `slack`.
struct WarmUpBounds
{
    double factor = 1.5;
    double slack = 5.0;
};

// Returns the limit to pass to PermitIssuer for a warming upstream that tolerates `rate`.
RequestRate warmUpLimit(RequestRate rate, const WarmUpBounds &bounds);

// Looks up the limit of a warming upstream by its service.
class WarmUpLimits
{
public:
    void setBounds(const WarmUpBounds &bounds) { bounds_ = bounds; }
    // Replaces the configured services.
    void setServices(const std::vector<ServiceRule> &services);
    // Returns the limit of `upstream`, or nullopt if it is warm or its service sets no rate.
    std::optional<RequestRate> limitOf(const UpstreamRecord &upstream, TimePoint now) const;

private:
    WarmUpBounds bounds_;
    std::unordered_map<TargetName, RequestRate> rates_; // Of the services that set a warm-up rate.
};

} // namespace seamarch
