// Asks the other agents of this agent's service and hall for key-home grants.
//
// What the grants mean is in decision/once/keyhome.h; this class only carries the questions and the
// answers.
#pragma once

#include "decision/dispatch/agentcore.h"
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
    GrantNetwork(EventLoop &loop, RawTransport &transport, AgentCore &core, InstanceId self,
                 HallId hall);
    ~GrantNetwork();
    GrantNetwork(const GrantNetwork &) = delete;
    GrantNetwork &operator=(const GrantNetwork &) = delete;

    // Takes the list: the members are the agents that serve the same first target in this hall.
    void setInstances(const InstanceList &list);
    // Asks every member for its grant, this agent included.
    void tick();

private:
    void ask(const InstanceId &member, RpcLink &link);
    void taskFailed(kj::Exception &&exception) override;

    EventLoop &loop_;
    RawTransport &transport_;
    AgentCore &core_;
    InstanceId self_;
    HallId hall_;
    std::map<InstanceId, std::unique_ptr<RpcLink>> links_;
    kj::TaskSet tasks_;
};

} // namespace seamarch
