// An entry: takes callers' requests, has EntryCore decide, and relays the answers.
//
// The service is the shell around EntryCore. It owns the connections to the agents, the callers'
// exchanges and the peers, and decides nothing about requests itself.
#pragma once

#include "decision/dispatch/entrycore.h"
#include "entry/agentlink.h"
#include "entry/callerfilters.h"
#include "knowledge/knowledge.h"
#include "knowledge/peernetwork.h"
#include "knowledge/watcher.h"
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

struct EntrySettings
{
    InstanceId instance;
    HallId hall;
    SocketAddress listen;         // For callers.
    SocketAddress peerListen;     // For other entries.
    SocketAddress operatorListen; // For operators.
    SocketAddress platform;
    std::size_t maxBodyBytes = 8U * 1024U * 1024U;
    std::size_t maxAccountSeries = 300;
    Duration heartbeat = std::chrono::milliseconds(500);
    Duration lease = std::chrono::seconds(5);
    Duration stopDelay = std::chrono::seconds(2);
    Duration stopDeadline = std::chrono::seconds(120);
};

class EntryService final : private HttpHandler,
                           private AgentLinkListener,
                           private KnowledgeListener,
                           private StatusSource
{
public:
    // Opens all addresses. Fails when one of them cannot be opened.
    static tl::expected<std::unique_ptr<EntryService>, NetError> create(EventLoop &loop,
                                                                        EntrySettings settings);
    ~EntryService() override;
    EntryService(const EntryService &) = delete;
    EntryService &operator=(const EntryService &) = delete;

    // Starts a planned stop: readiness goes down, requests go on, and the loop stops when the last
    // answer is out or at the deadline.
    void stop();

private:
    // A caller's request on its way.
    struct ActiveRequest
    {
        ExchangeId exchange = 0;
        EntryRequest request;
        CallPayload payload;
        InstanceId agent;
        std::string requestClass;
        bool streamed = false;
        bool headSent = false;
        TimePoint startedAt{};
        TimePoint lastChunkAt{};
        kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>>
            drainFulfiller; // Held while the caller lags.
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
    void onCallFailed(RequestId id, bool written) override;
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
    void addLink(const InstanceId &agent);
    void respondFailure(ExchangeId exchange, FailureCode code, Outcome outcome, Duration retryAfter,
                        const std::string &detail);
    void abortStream(const ActiveRequest &active, FailureCode code, Outcome outcome);
    kj::Promise<void> relay(RequestId id, ActiveRequest &active, wire::Part::Reader part);
    void recordChunkLatency(ActiveRequest &active);
    void endRequest(RequestId id);
    AgentLink *link(const InstanceId &agent);
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
    Knowledge knowledge_;
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
    std::uint64_t announcedCrashCursor_ =
        0; // A cursor of the record of requests that end upstreams.
};

} // namespace seamarch
