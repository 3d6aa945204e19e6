// The gateway process: accepts callers' requests over HTTP and forwards them directly to the
// upstreams that the platform's store lists.
//
// The service does the I/O around GatewayCore. It owns the callers' exchanges, the calls to
// upstreams and the sources of the store's data, and makes no decisions about requests itself:
// GatewayStoreView admits or refuses a request, and GatewayCore decides how an admitted one is
// handled.
//
// Single-threaded; runs on the event loop that it is created with.
#pragma once

#include "decision/admission/memorybudget.h"
#include "decision/gateway/eventsplitter.h"
#include "decision/gateway/gatewaycore.h"
#include "gateway/callerprotocol.h"
#include "gateway/demandsharing.h"
#include "gateway/gatewaybounds.h"
#include "gateway/gatewaystoreview.h"
#include "gateway/readinesslog.h"
#include "gateway/startuprequestqueue.h"
#include "gateway/statesynchronizer.h"
#include "gateway/storeprotocol.h"
#include "net/eventloop.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/upstreamprobe.h"
#include "observe/metrics.h"
#include "observe/operatorserver.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>

namespace seamarch {

// The settings of a gateway process.
struct GatewaySettings
{
    InstanceId instance;
    HallId hall;
    HallRegions regions;
    SocketAddress listen;         // For callers.
    SocketAddress operatorListen; // For the platform's balancer and operators.
    std::optional<SocketAddress> metricsListen;
    SocketAddress store;
    std::optional<SocketAddress> peerListen; // For other gateways; if empty, each polls the store.
    std::vector<SocketAddress> seeds;        // Some of the other gateways, for discovery.
    std::optional<int> agentPort; // The port of the agents, which run at the engines' addresses.
    bool demandExchange = false;  // Gateways tell each other the demand for groups of engines.
    bool adaptiveRoom = false;    // Stream limits follow surges of pauses and degraded groups.
    std::size_t maxAccountSeries = 300; // The number of accounts with metric series of their own.
    // How long the record is kept that an upstream ended under a request; zero disables it.
    Duration crashRetention = CrashRecord::Settings().retention;
    // Bytes that may be held for callers and upstreams that are slow; zero: no bound.
    std::size_t maxHeldBytes = 0;
    // Limits from the platform's settings, and the timings derived from them.
    GatewayBounds bounds;
    GatewayTimings timings = deriveTimings(GatewayBounds());
};

// Runs one gateway on an event loop.
class GatewayService final : private HttpHandler, private StatusSource
{
public:
    // Opens all addresses and starts serving. If one of them cannot be opened, fails and shuts the
    // loop down; the address for metrics is opened once it is free. The loop, the
    // protocol and the store must outlive the service.
    static tl::expected<std::unique_ptr<GatewayService>, NetError>
    create(EventLoop &loop, const GatewaySettings &settings, const CallerProtocol &protocol,
           const StoreProtocol &store);
    ~GatewayService() override;
    GatewayService(const GatewayService &) = delete;
    GatewayService &operator=(const GatewayService &) = delete;

    // Applies reloaded settings. Changes to addresses, the instance, the hall and its regions take
    // effect only at the next start of the process; they are logged.
    void applySettings(const GatewaySettings &settings);

    // Starts a planned stop: the gateway reports that it is not ready, continues to serve requests,
    // and stops the loop when the last answer has been sent or at the deadline.
    void stop();

private:
    class Receiver;
    class AbandonedReceiver;

    // An admitted request that has not ended, with the state of its current attempt.
    struct ActiveRequest
    {
        ExchangeId exchange = 0;
        HttpRequest request;    // Without its body.
        SharedText requestBody; // Kept for a second attempt, shared with the call that sends it.
        RequestMetadata metadata;
        GatewayRequest admitted;
        HttpCallId call = 0;
        std::uint32_t attempt = 0; // The number of the current attempt.
        InstanceId upstream;       // The upstream of the current attempt.
        SocketAddress address;
        GroupId group;
        HttpHead head;
        std::string body;     // Buffers an answer that is sent as a whole.
        bool streams = false; // The current answer is an event stream.
        bool headSent = false;
        bool attemptHasEvents = false;  // The current attempt has received an event.
        std::uint64_t eventsBefore = 0; // The number of events of earlier attempts.
        bool resuming = false;          // The current attempt continues an earlier one's stream.
        bool readingPaused = false;     // The caller takes the current attempt's answer slowly.
        bool wasReadingPaused = false;  // It was since the last event.
        EventSplitter events;
        TimePoint startedAt{};
        TimePoint firstEventAt{};
        TimePoint lastEventAt{};
        Duration longestPause{}; // The longest gap between two events sent to the caller.
    };

    // The head of an answer with the attempt that it answers.
    struct AnsweredAttempt
    {
        AttemptRecord record;
        std::string requestId;
        std::uint32_t attempt = 0;
        const HttpHead &head;
        AnswerKind kind = AnswerKind::Success;
    };

    // An attempt whose connection to the upstream broke.
    struct LostAttempt
    {
        std::string requestId;
        SocketAddress address;
        RequestDigest digest;
        std::vector<SuspectKey> suspects;
        AccountId account;
        InstanceId upstream;
        TimePoint at{};
        std::vector<std::string> sharedPromptParts;
        bool streaming = false;   // The head of a stream had been received.
        std::uint64_t events = 0; // The number of events received after it.
    };

    // A cancelled attempt whose upstream may still answer or crash.
    struct AbandonedCall
    {
        AttemptRecord record;
        RequestMetadata metadata;
        std::uint32_t attempt = 0;
        LostAttempt lost; // As if the connection broke.
    };

    GatewayService(EventLoop &loop, const GatewaySettings &settings, const CallerProtocol &protocol,
                   const StoreProtocol &store);
    tl::expected<void, NetError> open();

    void onRequest(ExchangeId exchange, HttpRequest request) override;
    void onCallerFinished(ExchangeId exchange) override;
    void onCallerGone(ExchangeId exchange) override;
    void onDrained(ExchangeId exchange) override;

    bool ready(std::string &reason) const override;
    void logReadiness();
    nlohmann::json status() const override;
    nlohmann::json suspectsStatus() const;
    nlohmann::json restingStatus() const;
    nlohmann::json limitedStatus() const;

    void applyConfiguration(const RouteTable &table);
    // Sets the bounds of callers. Bodies that can never be admitted are rejected by their head.
    void applyCallerBounds();
    // Starts the request if it is admitted, else refuses it. Its times count from `arrivedAt`.
    void admitRequest(ExchangeId exchange, HttpRequest request, TimePoint arrivedAt);
    void processStartupQueue();
    void admitQueued(std::vector<StartupRequestQueue::QueuedRequest> requests);
    // Updates the record of held memory and restricts uploads accordingly.
    void updateHeldMemory();
    // Restricts uploads by the record. Must be called when it has changed.
    void limitUploads();
    void refuse(ExchangeId exchange, const RequestMetadata &metadata, FailureCode code,
                Outcome outcome, Duration retryAfter);

    void carryOut(const GatewayActions &actions);
    void carryOut(const StartAttempt &action);
    void carryOut(const CancelAttempt &action);
    void carryOut(const RejectRequest &action);
    void logDisplaced(const ActiveRequest &active, const RejectRequest &action);
    void carryOut(const AbortAnswer &action);

    void onAnswerHead(RequestNumber number, std::uint32_t attempt, HttpHead head);
    void handleNotice(const AnsweredAttempt &answered);
    void handleLimit(const AnsweredAttempt &answered, const UpstreamNotice &notice);
    void requestPermits();
    void logStreamLimits();
    void logPaceChanges();
    void onAnswerPiece(RequestNumber number, std::uint32_t attempt, std::string_view piece);
    void onAnswerEnd(RequestNumber number, std::uint32_t attempt, HttpCallEnd end);
    void logClosedByPeer(const ActiveRequest &active);
    // Completes an answer that ended with its connection, unless its upstream has ended.
    void confirmAnswer(RequestNumber number, ActiveRequest &active);
    void finishConfirmedAnswer(RequestNumber number, std::uint32_t attempt);
    void loseAttempt(RequestNumber number, ActiveRequest &active, HttpCallEnd end);
    // Reports a lost attempt to the core, unless the request has ended or a further attempt
    // started.
    void onAttemptLost(RequestNumber number, std::uint32_t attempt, AttemptEnd end);
    // Cancels the call of the current attempt, and learns from what its upstream still sends.
    void abandonCall(ActiveRequest &active, const CancelAttempt &action);
    LostAttempt toLostAttempt(const ActiveRequest &active, std::vector<SuspectKey> suspects) const;
    // Calls `onResult` once the upstream has been probed, with whether its process has ended.
    void probeUpstream(const LostAttempt &lost, std::function<void(bool)> onResult);
    void onAbandonedHead(HttpCallId call, const AbandonedCall &abandoned, const HttpHead &head);
    void onAbandonedEnd(const AbandonedCall &abandoned, HttpCallEnd end);
    // Has the upstream probed soon unless it answers other requests.
    void awaitOtherAnswers(LostAttempt lost);
    // Probes the upstreams of abandoned attempts that have answered nothing since.
    void probeUnansweredUpstreams();
    void startStream(RequestNumber number, ActiveRequest &active);
    void finishAnswer(RequestNumber number, ActiveRequest &active, AttemptEnd end);
    void recordEventTime(RequestNumber number, ActiveRequest &active, TimePoint now);
    void pauseReading(RequestNumber number, ActiveRequest &active, bool paused);
    void relayEvents(RequestNumber number, ActiveRequest &active, std::string_view piece);
    void endRequest(RequestNumber number, std::string_view result);
    // Returns the request if `attempt` is its current attempt and has a call in flight, else null.
    ActiveRequest *findActiveRequest(RequestNumber number, std::uint32_t attempt);
    void tick();
    void endAllRequests();
    void stopIfDrained();

    EventLoop &loop_;
    GatewaySettings settings_;
    const CallerProtocol &protocol_;
    const StoreProtocol &store_;
    Metrics metrics_;
    GatewayCore core_;
    GatewayStoreView storeView_;
    ReadinessLog readinessLog_;
    std::unique_ptr<HttpClient> client_;
    std::unique_ptr<UpstreamProbe> probe_;
    std::unique_ptr<HttpServer> server_;
    std::unique_ptr<OperatorServer> operators_;
    std::unique_ptr<OperatorServer> metricsServer_;
    std::unique_ptr<DemandSharing> demand_; // Null if gateways do not tell each other demand.
    std::unique_ptr<StateSynchronizer> synchronizer_;
    StartupRequestQueue startupQueue_;
    std::unordered_map<RequestNumber, ActiveRequest> activeRequests_;
    std::unordered_map<ExchangeId, RequestNumber> byExchange_;
    std::deque<LostAttempt> unansweredAttempts_; // Abandoned ones, in the order of their ends.
    std::unique_ptr<PeriodicTimer> tickTimer_;
    MemoryBudget memoryBudget_;
    CallerBounds callerBounds_; // As configured.
    HeldMemory heldMemory_;     // As of the last tick, with the requests that came and ended since.
    bool uploadsRestricted_ = false;
    std::uint64_t uploadsEnded_ = 0; // Those that have been logged.
    bool stopping_ = false;
    TimePoint stopStartedAt_{};
    std::optional<std::size_t> requestsEnded_; // Requests that the deadline of the stop ended.
};

} // namespace seamarch
