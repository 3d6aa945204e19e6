// An entry's connection to one agent: heartbeats, calls and cancels.
//
// The link connects when it is first used and anew after every break. It reports what it hears to
// its listener and decides nothing.
#pragma once

#include "decision/dispatch/admissionresult.h"
#include "decision/dispatch/entrycore.h"
#include "knowledge/knowledge.h"
#include "net/eventloop.h"
#include "net/rawtransport.h"
#include "net/rpclink.h"
#include "wire/seamarch.capnp.h"

#include <functional>
#include <kj/async.h>
#include <memory>
#include <string>

namespace seamarch {

// What a request carries besides what the decisions look at.
struct CallPayload
{
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
};

// Hears what happens on a link. All calls come on the loop's thread.
class AgentLinkListener
{
public:
    virtual ~AgentLinkListener() = default;
    virtual void onHeartbeat(const InstanceId &agent, const AgentReport &report,
                             TimePoint requestedAt) = 0;
    virtual void onAdmissionResult(RequestId id, const AdmissionResult &result) = 0;
    // A call ended without a verdict. `written` tells whether it may have reached the agent.
    virtual void onCallFailed(RequestId id, bool written) = 0;
    virtual void onCancelResult(RequestId id, bool notRun) = 0;
    virtual void onWithdrawResult(RequestId id, const InstanceId &agent, bool notRun) = 0;
    // The agent has a free slot and nothing that waits for it.
    virtual void onFreeSlot(const InstanceId &agent, const AgentReport &report) = 0;
    // The connection broke; calls that were accepted over it get no more parts.
    virtual void onLinkClosed(const InstanceId &agent) = 0;
    // A part of an answer. The promise resolves when the request can take more.
    virtual kj::Promise<void> onPart(const InstanceId &agent, RequestId id,
                                     wire::Part::Reader part) = 0;
};

class AgentLink final : private kj::TaskSet::ErrorHandler
{
public:
    // What every link of an entry shares. All of it outlives the links.
    struct Context
    {
        EventLoop &loop;
        RawTransport &transport;
        Knowledge &knowledge;
        AgentLinkListener &listener;
        InstanceId self;
        Incarnation incarnation;
    };

    AgentLink(const Context &context, InstanceId agent, SocketAddress address);
    ~AgentLink();
    AgentLink(const AgentLink &) = delete;
    AgentLink &operator=(const AgentLink &) = delete;

    void heartbeat();
    void start(const SendCall &call, const EntryRequest &request, const CallPayload &payload);
    void cancel(const SendCancel &cancel);
    void withdraw(const SendWithdraw &withdrawal);
    // Asks for a ticket; `done` gets an empty text when the agent cannot be reached.
    void issueTicket(std::function<void(std::string)> callback);

    const SocketAddress &address() const { return link_.address(); }

private:
    class Sink;

    wire::Agent::Client agent() { return link_.capability().castAs<wire::Agent>(); }
    void onOpened();
    void onClosed();
    void onExchange(wire::Status::Reader status, wire::Update::Reader config,
                    wire::Update::Reader list, TimePoint requestedAt);
    void offer(const KnownVersions &peer);
    void taskFailed(kj::Exception &&exception) override;

    Context context_;
    InstanceId id_;
    RpcLink link_;
    bool heartbeatInFlight_ = false;
    std::int64_t agentClockMicros_ =
        0; // As last heard; echoed, so that the agent can date what it hears.
    kj::TaskSet tasks_;
};

} // namespace seamarch
