// The agent process: the proxy in front of one upstream and the only path by which requests reach
// it.
//
// AgentService performs the I/O for AgentCore, which makes all decisions about requests. Entries
// call it over Cap'n Proto RPC; it calls the upstream over HTTP and returns the answers in parts.
// Each request has at most one part in flight, so that data that arrives meanwhile is combined into
// the next part and a slow caller delays only its own request.
#pragma once

#include "agent/enginereloader.h"
#include "agent/grantnetwork.h"
#include "decision/dispatch/agentcore.h"
#include "knowledge/clusterstate.h"
#include "knowledge/peernetwork.h"
#include "net/eventloop.h"
#include "net/httpclient.h"
#include "net/rawtransport.h"
#include "net/rpcpeer.h"
#include "net/upstreamprobe.h"
#include "observe/metrics.h"
#include "observe/operatorserver.h"
#include "wire/seamarch.capnp.h"

#include <functional>
#include <kj/async.h>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>

namespace seamarch {

// The settings of an agent process.
struct AgentSettings
{
    InstanceId instance;
    HallId hall;
    SocketAddress listen;         // For entries and other agents.
    SocketAddress operatorListen; // For operators.
    SocketAddress upstream;
    std::uint32_t slots = 8; // Concurrent requests; used until a configuration sets the number.
    std::size_t maxAccountSeries = 300; // Accounts with metric series of their own.
    // The lifetime of a key-home grant, and the minimum time from stop to end.
    Duration lease = std::chrono::seconds(3);
    Duration stopDeadline = std::chrono::seconds(120); // The maximum time from stop to end.
};

// Runs an agent on an event loop. Single-threaded; the loop must outlive the service.
class AgentService final : private ClusterStateListener,
                           private StatusSource,
                           private EngineReloaderHost,
                           private kj::TaskSet::ErrorHandler
{
public:
    // Opens all addresses and starts serving. If one of them cannot be opened, fails and shuts the
    // loop down.
    static tl::expected<std::unique_ptr<AgentService>, NetError> create(EventLoop &loop,
                                                                        AgentSettings settings);
    ~AgentService() noexcept override;
    AgentService(const AgentService &) = delete;
    AgentService &operator=(const AgentService &) = delete;

    // Starts a planned stop: the agent refuses new requests, lets running ones end, and stops the
    // loop when the last one has ended or at the deadline.
    void stop();

private:
    using ConnectionId = std::uint64_t;

    // An accepted request whose answer has not been sent completely.
    struct ActiveRequest
    {
        ConnectionId connection = 0;
        HttpCallRequest call;
        HttpCallId httpCall = 0; // Zero until the request starts at the upstream.
        AccountId account;
        TimePoint arrivedAt{};
        bool headReceived = false;
        bool headSent = false;
        int status = 0;
        std::string contentType;
        std::string pending; // Answer bytes that are not in a part yet.
        bool ended = false;  // The upstream's answer is complete.
        bool failed = false;
        bool partInFlight = false;
        bool paused = false;   // Reading from the upstream is paused.
        bool streamed = false; // The answer is an event stream.
        bool aborted = false;
    };

    // A connection from an entry or from another agent.
    struct Connection
    {
        std::unique_ptr<RpcPeer> peer;
        kj::Maybe<wire::AnswerSink::Client> sink;
        Incarnation entry; // Set by an entry when it opens the connection.
    };

    class AgentRpcServer;
    class UpstreamReceiver;
    class AbandonedReceiver;

    AgentService(EventLoop &loop, AgentSettings settings);
    tl::expected<void, NetError> open();
    void accept(kj::Own<RawStream> stream);
    void onConnectionClosed(ConnectionId connection);

    AdmissionResult onStart(ConnectionId connection, wire::Call::Reader call);
    // Return whether the request provably has not run and will not run.
    bool onCancel(RequestId id, Incarnation targetIncarnation);
    bool onWithdraw(RequestId id, Incarnation targetIncarnation);

    void onUpstreamHead(RequestId id, const HttpHead &head);
    void applyRetryAfter(const HttpHead &head);
    void onUpstreamPiece(RequestId id, std::string_view piece);
    void onUpstreamEnd(RequestId id, HttpCallEnd end);
    void finishAnswer(RequestId id);
    void confirmAnswer(RequestId id);
    void probeUpstream(RequestId id);
    void probeAfterAbandonedCall(RequestId id, ConnectionId connection);
    // Passes whether the process of the upstream has ended to `onResult`.
    void probeUpstream(RequestId id, std::function<void(bool)> onResult);

    void carryOut(const AgentActions &actions);
    void carryOut(const StartUpstream &action);
    void carryOut(const AbortUpstream &action);
    void carryOut(const ReportNotRun &action);
    void carryOut(const AnnounceFreeSlot &action);
    void sendFailure(RequestId id, FailureCode failure, Outcome outcome, Duration retryAfter);
    void sendFailure(ConnectionId entry, RequestId id, FailureCode failure, Outcome outcome,
                     Duration retryAfter);
    void scheduleFlush(RequestId id);
    void flush(RequestId id);
    void onPartAcknowledged(RequestId id);
    // Counts the tokens that an answer other than an event stream reports in its `usage` object.
    void countUsageTokens(RequestId id, const ActiveRequest &active);

    void onConfig(const ConfigDocument &document) override;
    void onInstances(const InstanceList &list) override;
    bool ready(std::string &reason) const override;
    nlohmann::json status() const override;
    void setServing(bool serving) override;
    bool upstreamIdle() const override { return core_.idle(); }
    void releasePermit(const InstanceId &member) override;
    // Passes the configured model version and minimum of serving upstreams to the reloads.
    void updateTarget();
    void taskFailed(kj::Exception &&exception) override;
    void tick();
    void stopIfDrained();

    EventLoop &loop_;
    AgentSettings settings_;
    Incarnation incarnation_;
    Metrics metrics_;
    ClusterState knowledge_;
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
    std::unique_ptr<PeriodicTimer> grantTimer_; // Drives grants, reload permits and reloads.
    ConnectionId nextConnection_ = 1;
    std::mt19937_64 random_;
    bool stopping_ = false;
    TimePoint stopStartedAt_{};
    std::uint64_t finished_ = 0;
    kj::TaskSet tasks_;
};

} // namespace seamarch
