// Asks the agents beside the engines what becomes of their groups, for the gateway of a hall that
// follows the store. The others of the hall hear it from that one (see GatewayPeers).
//
// Agents read their own engine's reports for nothing and know their group; a gateway that asked the
// engines themselves would pay for each report. A question waits at the agent that decides until
// something changes, so news comes within a connection's delay. Without any agent nothing is known
// of groups, and all upstreams of a service count as one.
//
// Whom to ask is decided elsewhere: see GroupPollPlanner. Single-threaded; what the constructor is
// given outlives the object.
#pragma once

#include "decision/gateway/grouptable.h"
#include "decision/membership/grouppollplanner.h"
#include "gateway/gatewayknowledge.h"
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

class GroupWatch final : private kj::TaskSet::ErrorHandler
{
public:
    // Agents listen at `agentPort`, each at the address of its engine.
    static tl::expected<std::unique_ptr<GroupWatch>, NetError>
    create(EventLoop &loop, const GatewayKnowledge &knowledge, GroupTable &groups, int agentPort);
    ~GroupWatch();
    GroupWatch(const GroupWatch &) = delete;
    GroupWatch &operator=(const GroupWatch &) = delete;

    // Asks those whose turn it is, if this gateway `watches`. Call it often.
    void tick(bool watches);

private:
    struct Link
    {
        std::unique_ptr<RpcLink> rpc;
        std::uint64_t mark = 0; // Of the facts that the agent told last.
        TimePoint usedAt{};
    };

    GroupWatch(EventLoop &loop, const GatewayKnowledge &knowledge, GroupTable &groups,
               int agentPort);
    void listEngines();
    void ask(const std::string &host);
    void onAnswer(const std::string &host, TimePoint askedAt,
                  wire::RankAgent::GroupResults::Reader answer);
    void onFailed(const std::string &host);
    void taskFailed(kj::Exception &&exception) override;

    EventLoop &loop_;
    const GatewayKnowledge &knowledge_;
    GroupTable &groups_;
    int agentPort_;
    std::unique_ptr<RawTransport> transport_;
    GroupPollPlanner survey_;
    std::vector<GroupPollPlanner::Engine> engines_; // As of the list and the configuration below.
    std::uint64_t listedChanges_ = 0;
    ConfigVersion listedVersion_;
    std::map<std::string, Link> links_; // By host.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    kj::TaskSet tasks_;
};

} // namespace seamarch
