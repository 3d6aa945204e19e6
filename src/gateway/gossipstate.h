// The state that gateways exchange in addition to the state of the platform's store.
#pragma once

#include "decision/gateway/demandexchange.h"
#include "decision/gateway/grouptable.h"
#include "decision/gateway/permitissuer.h"
#include "decision/gateway/upstreamlimits.h"
#include "decision/gateway/warmuplimits.h"
#include "decision/retry/crashrecord.h"

namespace seamarch {

// References to tables that the gateway's core and its service own, which outlive all users of this
// struct.
struct GossipState
{
    GroupTable &groups;
    CrashRecord &crashes;
    UpstreamLimits &limits;
    PermitIssuer &permitIssuer;
    const WarmUpLimits &warmUps;
    DemandExchange *demand = nullptr; // Null if gateways do not tell each other demand.
};

} // namespace seamarch
