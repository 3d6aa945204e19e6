// Requests key-home grants and reload permits from the other agents of this agent's pool.
//
// The pool consists of the agents that serve the same target in the same hall. This class only
// sends requests and delivers the answers; decision/once/keyhome.h defines grants and
// decision/rollout/reloadpermits.h defines reload permits, which the RPC schema calls turns.
#pragma once

#include "decision/dispatch/agentcore.h"
#include "decision/rollout/reloadpermits.h"
#include "net/eventloop.h"
#include "net/rawtransport.h"
#include "net/rpclink.h"
#include "seamarch/configdocument.h"

#include <kj/async.h>
#include <map>
#include <memory>

namespace seamarch {

// The requesting side of grants and reload permits, with one link to each other member of the pool.
// Single-threaded.
class GrantNetwork final : private kj::TaskSet::ErrorHandler
{
public:
    // The objects that the network uses, which must outlive it, and the identity of the agent.
    struct Context
    {
        EventLoop &loop;
        RawTransport &transport;
        AgentCore &core;
        ReloadPermitIssuer &permitIssuer;
        ReloadPermitCollector &permitCollector;
        InstanceId self;
        Incarnation incarnation;
        HallId hall;
    };

    explicit GrantNetwork(const Context &context);
    ~GrantNetwork();
    GrantNetwork(const GrantNetwork &) = delete;
    GrantNetwork &operator=(const GrantNetwork &) = delete;

    // Applies an instance list. The members of the pool are the agents of this hall that serve the
    // first target of this agent.
    void setInstances(const InstanceList &list);
    // Sets the minimum number of upstreams of the pool that must stay in service during reloads.
    void setMinServing(std::uint32_t minServing);
    // Requests or renews the grant of every member, including this agent. Called several times per
    // lease.
    void tick();
    // Requests the next reload permit, if the collector needs one. If it is issued, continues with
    // the next member.
    void requestPermit();
    // Tells `member` that its permit is released.
    void releasePermit(const InstanceId &member);

private:
    void requestGrant(const InstanceId &member, RpcLink &link);
    void taskFailed(kj::Exception &&exception) override;

    // Passes the members and the number of concurrent reloads to the issuer and the collector.
    void updatePool();

    Context context_;
    std::uint32_t minServing_ = 1;
    std::map<InstanceId, std::unique_ptr<RpcLink>> links_;
    kj::TaskSet tasks_;
};

} // namespace seamarch
