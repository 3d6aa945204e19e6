// The state that gateways exchange in addition to the state of the platform's store.
#pragma once

#include "decision/gateway/grouptable.h"
#include "decision/gateway/permitissuer.h"
#include "decision/gateway/upstreamlimits.h"
#include "decision/gateway/warmuplimits.h"
#include "decision/retry/crashrecord.h"

namespace seamarch {

// References to tables that the gateway's core owns. The core outlives all users of this struct.
struct GossipState
{
    GroupTable &groups;
    CrashRecord &crashes;
    UpstreamLimits &limits;
    PermitIssuer &permitIssuer;
    const WarmUpLimits &warmUps;
};

} // namespace seamarch
