// An entry's connection to one agent, for heartbeats, requests, cancels and withdrawals.
//
// The link connects on first use and reconnects on the next use after a break. It makes no
// decisions; it passes everything that it receives to its listener.
#pragma once

#include "decision/dispatch/admissionresult.h"
#include "decision/dispatch/entrycore.h"
#include "knowledge/clusterstate.h"
#include "net/eventloop.h"
#include "net/rawtransport.h"
#include "net/rpclink.h"
#include "wire/seamarch.capnp.h"

#include <functional>
#include <kj/async.h>
#include <memory>
#include <string>

namespace seamarch {

// The HTTP contents of a request, passed on to the upstream. Decisions use EntryRequest instead.
struct CallPayload
{
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
};

// Receives the events of a link. All functions are called on the event loop's thread.
class AgentLinkListener
{
public:
    virtual ~AgentLinkListener() = default;
    // Called with the agent's report in answer to the heartbeat sent at `requestedAt`.
    virtual void onHeartbeat(const InstanceId &agent, const AgentReport &report,
                             TimePoint requestedAt) = 0;
    // Called with the agent's decision on a request.
    virtual void onAdmissionResult(RequestId id, const AdmissionResult &result) = 0;
    // Called when a request failed without a decision. `maybeSent` is true if it may have reached
    // the agent.
    virtual void onCallFailed(RequestId id, bool maybeSent) = 0;
    // Called at the end of a cancel. `notRun` is true if the agent reported that the request has
    // not run and will not run; false also if the cancel failed.
    virtual void onCancelResult(RequestId id, bool notRun) = 0;
    // Called at the end of a withdrawal; `notRun` is as for onCancelResult().
    virtual void onWithdrawResult(RequestId id, const InstanceId &agent, bool notRun) = 0;
    // Called when the agent announces that it has a free slot and an empty queue.
    virtual void onFreeSlot(const InstanceId &agent, const AgentReport &report) = 0;
    // Called when the connection broke. Requests accepted over it receive no further parts.
    virtual void onLinkClosed(const InstanceId &agent) = 0;
    // Called with a part of an answer. The returned promise resolves when the request can take the
    // next part; the agent sends none before.
    virtual kj::Promise<void> onPart(const InstanceId &agent, RequestId id,
                                     wire::Part::Reader part) = 0;
};

// Owns the connection to one agent and the calls in flight on it. Single-threaded.
class AgentLink final : private kj::TaskSet::ErrorHandler
{
public:
    // The objects and identity that all links of an entry share. The referenced objects must
    // outlive the links.
    struct Context
    {
        EventLoop &loop;
        RawTransport &transport;
        ClusterState &knowledge;
        AgentLinkListener &listener;
        InstanceId self;
        Incarnation incarnation;
    };

    AgentLink(const Context &context, InstanceId agent, SocketAddress address);
    ~AgentLink();
    AgentLink(const AgentLink &) = delete;
    AgentLink &operator=(const AgentLink &) = delete;

    // Exchanges versions with the agent and requests its report, unless a heartbeat is in flight.
    void heartbeat();
    // Sends a request to the agent. The listener gets the decision or the failure.
    void start(const SendCall &call, const EntryRequest &request, const CallPayload &payload);
    void cancel(const SendCancel &cancel);
    void withdraw(const SendWithdraw &withdrawal);
    // Requests a ticket. Calls `callback` with an empty string if the agent cannot be reached.
    void issueTicket(std::function<void(std::string)> callback);

    const SocketAddress &address() const { return link_.address(); }

private:
    class Sink;

    wire::Agent::Client agent() { return link_.capability().castAs<wire::Agent>(); }
    void onOpened();
    void onClosed();
    void onExchange(wire::Status::Reader status, wire::Update::Reader config,
                    wire::Update::Reader list, TimePoint requestedAt);
    // Sends the agent the documents in which it is behind this process.
    void offer(const DocumentVersions &peer);
    void taskFailed(kj::Exception &&exception) override;

    Context context_;
    InstanceId id_;
    RpcLink link_;
    bool heartbeatInFlight_ = false;
    // The agent's clock as last received. Each heartbeat echoes it, which tells the agent the
    // earliest time, on its own clock, at which the heartbeat was sent.
    std::int64_t agentClockMicros_ = 0;
    kj::TaskSet tasks_;
};

} // namespace seamarch
