// The entry process: accepts callers' HTTP requests, sends them to agents and relays the answers.
//
// EntryService performs the I/O for EntryCore, which makes all decisions about requests. It owns
// the connections to agents, callers and peer entries.
#pragma once

#include "decision/dispatch/entrycore.h"
#include "entry/agentlink.h"
#include "entry/callerfilters.h"
#include "knowledge/clusterstate.h"
#include "knowledge/peernetwork.h"
#include "knowledge/platformwatcher.h"
#include "net/eventloop.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "observe/metrics.h"
#include "observe/operatorserver.h"

#include <kj/async.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

namespace seamarch {

// The settings of an entry process.
struct EntrySettings
{
    InstanceId instance;
    HallId hall;
    SocketAddress listen;         // For callers.
    SocketAddress peerListen;     // For other entries.
    SocketAddress operatorListen; // For operators.
    SocketAddress platform;
    std::size_t maxBodyBytes = 8U * 1024U * 1024U;
    std::size_t maxAccountSeries = 300; // Accounts with metric series of their own.
    // The minimum interval between heartbeats to one agent, and the interval between exchanges with
    // peer entries.
    Duration heartbeat = std::chrono::milliseconds(500);
    // How long an agent or a peer entry that has stopped answering counts as reachable.
    Duration lease = std::chrono::seconds(5);
    Duration stopDelay = std::chrono::seconds(2);      // The minimum time from stop to end.
    Duration stopDeadline = std::chrono::seconds(120); // The maximum time from stop to end.
};

// Runs an entry on an event loop. Single-threaded; the loop must outlive the service.
class EntryService final : private HttpHandler,
                           private AgentLinkListener,
                           private ClusterStateListener,
                           private StatusSource
{
public:
    // Opens all addresses and starts serving. If one of them cannot be opened, fails and shuts the
    // loop down.
    static tl::expected<std::unique_ptr<EntryService>, NetError> create(EventLoop &loop,
                                                                        EntrySettings settings);
    ~EntryService() override;
    EntryService(const EntryService &) = delete;
    EntryService &operator=(const EntryService &) = delete;

    // Starts a planned stop: the entry reports that it is not ready, continues to serve requests,
    // and stops the loop when the last answer has been sent or at the deadline.
    void stop();

private:
    // A caller's request that has not ended.
    struct ActiveRequest
    {
        ExchangeId exchange = 0;
        EntryRequest request;
        CallPayload payload;
        InstanceId agent; // The agent to which it was last sent.
        std::string requestClass;
        bool streamed = false;
        bool headSent = false;
        TimePoint startedAt{};
        TimePoint lastChunkAt{};
        // Set while a slow caller's buffer is full. Fulfilled when the buffer has drained, which
        // lets the agent send the next part.
        kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> drainFulfiller;
    };

    class PeerRpcServer;

    EntryService(EventLoop &loop, EntrySettings settings);
    tl::expected<void, NetError> open();

    void onRequest(ExchangeId exchange, HttpRequest request) override;
    void onCallerGone(ExchangeId exchange) override;
    void onDrained(ExchangeId exchange) override;

    void onHeartbeat(const InstanceId &agent, const AgentReport &report,
                     TimePoint requestedAt) override;
    void onAdmissionResult(RequestId id, const AdmissionResult &result) override;
    void onCallFailed(RequestId id, bool maybeSent) override;
    void onCancelResult(RequestId id, bool notRun) override;
    void onWithdrawResult(RequestId id, const InstanceId &agent, bool notRun) override;
    void onFreeSlot(const InstanceId &agent, const AgentReport &report) override;
    void onLinkClosed(const InstanceId &agent) override;
    kj::Promise<void> onPart(const InstanceId &agent, RequestId id,
                             wire::Part::Reader part) override;

    void onConfig(const ConfigDocument &document) override;
    void onInstances(const InstanceList &list) override;

    bool ready(std::string &reason) const override;
    nlohmann::json status() const override;

    void beginRequest(ExchangeId exchange, CallerContext &context);
    void serveModels(ExchangeId exchange);
    void serveTicket(ExchangeId exchange, const EntryRequest &request);
    void carryOut(const EntryActions &actions);
    void carryOut(const SendCall &action);
    void carryOut(const SendCancel &action);
    void carryOut(const SendWithdraw &action);
    void carryOut(const FailRequest &action);
    void carryOut(const ConnectAgent &action);
    // Adds a link to a listed agent; replaces the link if the agent's address has changed.
    void addLink(const InstanceId &agent);
    void respondFailure(ExchangeId exchange, FailureCode code, Outcome outcome, Duration retryAfter,
                        const std::string &detail);
    // Aborts an answer whose head has been sent. An event stream first gets an error event.
    void abortStream(const ActiveRequest &active, FailureCode code, Outcome outcome);
    // Sends a part to the caller. The promise resolves when the caller can take more.
    kj::Promise<void> relay(RequestId id, ActiveRequest &active, wire::Part::Reader part);
    // Records the time to the first chunk of an answer, or the time since the previous one.
    void recordChunkLatency(ActiveRequest &active);
    void endRequest(RequestId id);
    // Returns the link to the agent, or null if there is none.
    AgentLink *link(const InstanceId &agent);
    // Adds links to the agents chosen by chooseLinks() and removes idle links to others.
    void updateLinks();
    void tick();
    void heartbeatAll();
    void scheduleHeartbeat();
    void announceCrashes();
    void stopIfDrained();

    EventLoop &loop_;
    EntrySettings settings_;
    Incarnation incarnation_;
    Metrics metrics_;
    ClusterState knowledge_;
    ChangeSignal changes_;
    ConfigIndex configIndex_;
    std::vector<std::unique_ptr<RequestFilter>> filters_;
    EntryCore core_;
    std::unique_ptr<RawTransport> transport_;
    std::unique_ptr<HttpClient> client_;
    std::unique_ptr<HttpServer> server_;
    std::unique_ptr<OperatorServer> operatorServer_;
    std::unique_ptr<PlatformWatcher> watcher_;
    std::unique_ptr<PeerNetwork> peers_;
    std::map<std::uint64_t, std::unique_ptr<RpcPeer>> peerConnections_;
    std::map<InstanceId, std::unique_ptr<AgentLink>> links_;
    std::unordered_map<RequestId, ActiveRequest> activeRequests_;
    std::unordered_map<ExchangeId, RequestId> requestByExchange_;
    std::unique_ptr<PeriodicTimer> tickTimer_;
    std::unique_ptr<PeriodicTimer> peerTimer_;
    TimerId heartbeatTimer_ = 0;
    std::uint64_t nextPeerConnection_ = 1;
    bool stopping_ = false;
    TimePoint stopStartedAt_{};
    std::uint64_t answered_ = 0;
    std::uint64_t announcedCrashCursor_ = 0; // The crash record's cursor at the last announcement.
};

} // namespace seamarch
