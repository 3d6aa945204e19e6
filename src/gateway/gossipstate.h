// What gateways tell each other besides the state of the platform's store.
#pragma once

#include "decision/gateway/grouptable.h"
#include "decision/gateway/permitissuer.h"
#include "decision/gateway/upstreamlimits.h"
#include "decision/gateway/warmuplimits.h"
#include "decision/retry/crashrecord.h"

namespace seamarch {

// All of it belongs to the gateway's core, which outlives those that are given it.
struct GossipState
{
    GroupTable &groups;
    CrashRecord &crashes;
    UpstreamLimits &limits;
    PermitIssuer &permitIssuer;
    const WarmUpLimits &warmUps;
};

} // namespace seamarch
