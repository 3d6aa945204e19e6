// Serves the RPCs that the agents of other ranks and gateways make to an agent.
//
// Single-threaded.
#pragma once

#include "experts/groupreporter.h"
#include "experts/orderrelay.h"
#include "experts/ownengine.h"
#include "wire/seamarch.capnp.h"

#include <string>
#include <vector>

namespace seamarch {

// What the callers ask of the agent. Each `done` is called once.
class RankService
{
public:
    virtual ~RankService() = default;

    virtual const GroupId &ownGroup() const = 0;
    // Called for each query of a decider, which runs on `host`.
    virtual void onDeciderQuery(const GroupId &deciderGroup, std::uint32_t deciderRank,
                                const std::string &host) = 0;
    virtual void fetchOwnFacts(RankQuery query, OwnEngine::FactsDone done) = 0;
    virtual void sendToOwnEngine(const MapOrder &order, OwnEngine::OrderDone done) = 0;
    // Sends an order to the own engine and to the agents of other ranks; `done` gets all answers.
    virtual void relay(const MapOrder &order, const std::vector<RelayTarget> &targets,
                       const OrderRelay::Done &done) = 0;
    virtual kj::Promise<void> answerGroupQuery(GroupReporter::Context context) = 0;
};

// Returns the server for a connection from `peerHost`. The service must outlive it.
kj::Own<wire::RankAgent::Server> makeRankServer(RankService &service, std::string peerHost);

} // namespace seamarch
