// Asks the other agents of this agent's service and hall for key-home grants and for turns.
//
// What grants and turns mean is in decision/once/keyhome.h and decision/rollout/turns.h; this class
// only carries the questions and the answers.
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

class GrantNetwork final : private kj::TaskSet::ErrorHandler
{
public:
    // What the network works for. All of it outlives the network.
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

    // Takes the list: the members are the agents that serve the same first target in this hall.
    void setInstances(const InstanceList &list);
    // Sets how many upstreams of the pool must stay in service.
    void setMinServing(std::uint32_t minServing);
    // Asks every member for its grant, this agent included.
    void tick();
    // Asks for the next turn that is wanted.
    void requestPermit();
    void releasePermit(const InstanceId &member);

private:
    void requestGrant(const InstanceId &member, RpcLink &link);
    void taskFailed(kj::Exception &&exception) override;

    void updatePool();

    Context context_;
    std::uint32_t minServing_ = 1;
    std::map<InstanceId, std::unique_ptr<RpcLink>> links_;
    kj::TaskSet tasks_;
};

} // namespace seamarch
