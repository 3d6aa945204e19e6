// What upstreams that are warming up take from all gateways together.
//
// An upstream that has just started is slow and ends under many requests, and one may have to warm
// up anew at any moment. Its entry in the store tells for how long; its service's configuration
// tells how many requests a second it bears meanwhile. So a request goes there for a permit alone,
// as to an upstream that names a limit itself (SendPermits, PermitIssuer).
//
// What an upstream bears is counted in single seconds, and permits are used some time after they
// were given. Gateways may also differ for a while on whom to ask for them, as when halls are cut
// off from each other. The limit is therefore so low that three issuers at once stay within what
// is borne.
//
// Pure and single-threaded.
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

// What an upstream that warms up gets at most in one second: its rate times `factor`, and `slack`.
struct WarmUpBounds
{
    double factor = 1.5;
    double slack = 5.0;
};

// Returns the limit under which an issuer hands out permits for an upstream that bears `rate`.
RequestRate warmUpLimit(RequestRate rate, const WarmUpBounds &bounds);

class WarmUpLimits
{
public:
    void setBounds(const WarmUpBounds &bounds) { bounds_ = bounds; }
    // Takes the services as the configuration has them, in place of those before.
    void setServices(const std::vector<ServiceRule> &services);
    // Returns what `upstream` takes while it warms up; nothing: it is warm, or not bound.
    std::optional<RequestRate> limitOf(const UpstreamRecord &upstream, TimePoint now) const;

private:
    WarmUpBounds bounds_;
    std::unordered_map<TargetName, RequestRate> rates_; // Of services that have a bound.
};

} // namespace seamarch
