// Polls the agents beside the engines for the state of expert groups.
//
// Runs on the gateway of a hall that follows the store; the other gateways of the hall receive the
// state from that gateway (see GatewayPeers). Agents read the reports of their own engine at no
// cost and know their group, whereas a gateway would pay for each report that it requested from an
// engine. A poll is a long poll at the agent that decides for the group, so changes arrive within
// the latency of one connection. A poll names the state that is held here, not the one that was
// received last: a report that was dropped as outdated is sent again. Without agents no groups are
// known, and all upstreams of a service count as one group.
//
// GroupPollPlanner selects the agents to poll. Single-threaded; the constructor's arguments must
// outlive the object.
#pragma once

#include "decision/gateway/grouptable.h"
#include "decision/membership/grouppollplanner.h"
#include "gateway/gatewaystoreview.h"
#include "net/eventloop.h"
#include "net/rawtransport.h"
#include "net/rpclink.h"
#include "wire/seamarch.capnp.h"

#include <kj/async.h>
#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace seamarch {

class GroupPoller final : private kj::TaskSet::ErrorHandler
{
public:
    // Creates a poller for agents that listen on `agentPort` at the addresses of their engines.
    // Fails if no transport can be set up.
    static tl::expected<std::unique_ptr<GroupPoller>, NetError>
    create(EventLoop &loop, const GatewayStoreView &storeView, GroupTable &groups, int agentPort);
    ~GroupPoller();
    GroupPoller(const GroupPoller &) = delete;
    GroupPoller &operator=(const GroupPoller &) = delete;

    // Sends the polls that are due if `active`, and closes idle connections. Must be called at
    // short intervals.
    void tick(bool active);

private:
    struct Link
    {
        std::unique_ptr<RpcLink> rpc;
        GroupId group; // The group for which the agent last decided; empty if none.
        TimePoint lastUsedAt{};
    };

    GroupPoller(EventLoop &loop, const GatewayStoreView &storeView, GroupTable &groups,
                int agentPort);
    void refreshEngines();
    void poll(const std::string &host);
    void onReply(const std::string &host, TimePoint sentAt, std::uint64_t namedDigest,
                 wire::RankAgent::GroupResults::Reader reply);
    void onPollFailed(const std::string &host);
    void taskFailed(kj::Exception &&exception) override;

    EventLoop &loop_;
    const GatewayStoreView &storeView_;
    GroupTable &groups_;
    int agentPort_;
    std::unique_ptr<RawTransport> transport_;
    GroupPollPlanner planner_;
    // Built from the list and configuration that the next two members identify.
    std::vector<GroupPollPlanner::Engine> engines_;
    std::uint64_t engineListChanges_ = 0;
    ConfigVersion engineListVersion_;
    std::map<std::string, Link> links_; // Keyed by host.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    kj::TaskSet tasks_;
};

} // namespace seamarch
