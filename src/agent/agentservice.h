// An agent: the only door to its upstream.
//
// The service is the shell around AgentCore. Entries call it over Cap'n Proto RPC; it calls the
// upstream over HTTP and sends the answers back in parts, one part in flight for each request, so
// that pieces that arrive meanwhile are joined and a slow caller holds up only its own request.
#pragma once

#include "agent/enginereloader.h"
#include "agent/grantnetwork.h"
#include "decision/dispatch/agentcore.h"
#include "knowledge/knowledge.h"
#include "knowledge/peernetwork.h"
#include "net/eventloop.h"
#include "net/httpclient.h"
#include "net/rawtransport.h"
#include "net/rpcpeer.h"
#include "net/upstreamprobe.h"
#include "observe/metrics.h"
#include "observe/operatorserver.h"
#include "wire/seamarch.capnp.h"

#include <kj/async.h>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>

namespace seamarch {

struct AgentSettings
{
    InstanceId instance;
    HallId hall;
    SocketAddress listen;         // For entries.
    SocketAddress operatorListen; // For operators.
    SocketAddress upstream;
    std::uint32_t slots = 8; // Until the configuration says otherwise.
    std::size_t maxAccountSeries = 300;
    Duration lease = std::chrono::seconds(3);
    Duration stopDeadline = std::chrono::seconds(120);
};

class AgentService final : private KnowledgeListener,
                           private StatusSource,
                           private EngineReloaderHost,
                           private kj::TaskSet::ErrorHandler
{
public:
    // Opens all addresses. Fails when one of them cannot be opened.
    static tl::expected<std::unique_ptr<AgentService>, NetError> create(EventLoop &loop,
                                                                        AgentSettings settings);
    ~AgentService() noexcept override;
    AgentService(const AgentService &) = delete;
    AgentService &operator=(const AgentService &) = delete;

    // Starts a planned stop: no new work, what runs goes on, and the loop stops when it is out.
    void stop();

private:
    using ConnectionId = std::uint64_t;

    // A request that was accepted.
    struct ActiveRequest
    {
        ConnectionId connection = 0;
        HttpCallRequest call;
        HttpCallId httpCall = 0;
        AccountId account;
        TimePoint arrivedAt{};
        bool headReady = false;
        bool headSent = false;
        int status = 0;
        std::string contentType;
        std::string pending; // Bytes of the answer that wait for the part in flight.
        bool ended = false;
        bool failed = false;
        bool partInFlight = false;
        bool paused = false;
        bool streamed = false;
        bool aborted = false;
    };

    struct Connection
    {
        std::unique_ptr<RpcPeer> peer;
        kj::Maybe<wire::AnswerSink::Client> sink;
        Incarnation entry;
    };

    class AgentRpcServer;
    class UpstreamReceiver;

    AgentService(EventLoop &loop, AgentSettings settings);
    tl::expected<void, NetError> open();
    void accept(kj::Own<RawStream> stream);
    void onConnectionClosed(ConnectionId connection);

    AdmissionResult onStart(ConnectionId connection, wire::Call::Reader call);
    bool onCancel(RequestId id, Incarnation expectedIncarnation);
    bool onWithdraw(RequestId id, Incarnation expectedIncarnation);

    void onUpstreamHead(RequestId id, const HttpHead &head);
    void applyRetryAfter(const HttpHead &head);
    void onUpstreamPiece(RequestId id, std::string_view piece);
    void onUpstreamEnd(RequestId id, HttpCallEnd end);
    void probeUpstream(RequestId id);

    void carryOut(const AgentActions &actions);
    void carryOut(const StartUpstream &action);
    void carryOut(const AbortUpstream &action);
    void carryOut(const ReportNotRun &action);
    void carryOut(const AnnounceFreeSlot &action);
    void sendFailure(RequestId id, FailureCode failure, Outcome outcome, Duration retryAfter);
    void scheduleFlush(RequestId id);
    void flush(RequestId id);
    void onPartAcknowledged(RequestId id);
    void countUsageTokens(RequestId id, const ActiveRequest &active);

    void onConfig(const ConfigDocument &document) override;
    void onInstances(const InstanceList &list) override;
    bool ready(std::string &reason) const override;
    nlohmann::json status() const override;
    void setServing(bool serving) override;
    bool upstreamIdle() const override { return core_.idle(); }
    void releasePermit(const InstanceId &member) override;
    void updateTarget();
    void taskFailed(kj::Exception &&exception) override;
    void tick();
    void stopIfDrained();

    EventLoop &loop_;
    AgentSettings settings_;
    Incarnation incarnation_;
    Metrics metrics_;
    Knowledge knowledge_;
    ChangeSignal changes_;
    AgentCore core_;
    std::unique_ptr<RawTransport> transport_;
    std::unique_ptr<HttpClient> client_;
    std::unique_ptr<UpstreamProbe> probe_;
    std::unique_ptr<OperatorServer> operatorServer_;
    std::map<ConnectionId, Connection> connections_;
    std::unordered_map<RequestId, ActiveRequest> activeRequests_;
    ReloadPermitIssuer permitIssuer_;
    std::unique_ptr<EngineReloader> engineReloader_;
    std::unique_ptr<GrantNetwork> grantNetwork_;
    std::unique_ptr<PeriodicTimer> tickTimer_;
    std::unique_ptr<PeriodicTimer> grantTimer_;
    ConnectionId nextConnection_ = 1;
    std::mt19937_64 random_;
    bool stopping_ = false;
    TimePoint stopStartedAt_{};
    std::uint64_t finished_ = 0;
    kj::TaskSet tasks_;
};

} // namespace seamarch
