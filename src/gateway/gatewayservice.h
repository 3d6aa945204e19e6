// A gateway: takes callers' requests and sends them straight to upstreams, as the platform's store
// lists them.
//
// The service is the shell around GatewayCore. It owns the callers' exchanges, the calls to
// upstreams and the watch on the store, and decides nothing about requests itself: GatewayKnowledge
// says whether a request is admitted, GatewayCore what becomes of it.
#pragma once

#include "decision/gateway/eventstream.h"
#include "decision/gateway/gatewaycore.h"
#include "gateway/callerprotocol.h"
#include "gateway/earlyrequests.h"
#include "gateway/gatewaybounds.h"
#include "gateway/gatewayknowledge.h"
#include "gateway/knowledgesources.h"
#include "gateway/metadatastore.h"
#include "net/eventloop.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/upstreamprobe.h"
#include "observe/metrics.h"
#include "observe/operatorserver.h"

#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>

namespace seamarch {

struct GatewaySettings
{
    InstanceId instance;
    HallId hall;
    HallRegions regions;
    SocketAddress listen;         // For callers.
    SocketAddress operatorListen; // For the platform's balancer and operators.
    std::optional<SocketAddress> metricsListen;
    SocketAddress store;
    std::optional<SocketAddress> peerListen; // For other gateways; nothing: each asks the store.
    std::vector<SocketAddress> seeds;        // Some of the other gateways.
    std::optional<int> agentPort; // Of the agents beside engines, at the engines' addresses.
    std::size_t maxAccountSeries = 300;
    // How long it is remembered that an upstream ended under a request; zero: not at all.
    Duration crashMemory = CrashRecord::Settings().retention;
    // What the platform asks of every gateway, as its settings tell.
    GatewayBounds bounds;
    GatewayTimes times = timesWithin(GatewayBounds());
};

class GatewayService final : private HttpHandler, private StatusSource
{
public:
    // Opens all addresses. Fails when one of them cannot be opened. The protocol and the store's
    // reader outlive the service.
    static tl::expected<std::unique_ptr<GatewayService>, NetError>
    create(EventLoop &loop, const GatewaySettings &settings, const CallerProtocol &protocol,
           const MetadataStore &store);
    ~GatewayService() override;
    GatewayService(const GatewayService &) = delete;
    GatewayService &operator=(const GatewayService &) = delete;

    // Takes settings that were read anew. Addresses, the instance and the hall stay as they are
    // until the process starts anew; a change of those is logged.
    void applySettings(const GatewaySettings &settings);

    // Starts a planned stop: readiness goes down, requests go on, and the loop stops when the last
    // answer is out or at the deadline.
    void stop();

private:
    class Receiver;

    // A caller's request on its way.
    struct Flight
    {
        ExchangeId exchange = 0;
        HttpRequest request;
        CallerFacts facts;
        GatewayRequest admitted;
        HttpCallId call = 0;
        std::uint32_t attempt = 0; // Of the call under way.
        InstanceId upstream;
        SocketAddress address; // Of that upstream.
        GroupId group;
        HttpHead head;
        std::string body;     // Of an answer that goes out whole.
        bool streams = false; // The answer under way is a stream of events.
        bool headSent = false;
        bool attemptSpeaks = false; // The attempt under way has sent an event.
        bool resuming = false;      // Events follow those of an earlier attempt.
        EventStream events;
        TimePoint startedAt{};
        TimePoint firstEventAt{};
        TimePoint lastEventAt{};
        Duration longestPause{}; // Between two events, as the caller saw them.
    };

    // A request whose connection to its upstream broke.
    struct Lost
    {
        std::string requestId;
        RequestDigest digest;
        AccountId account;
        InstanceId upstream;
        TimePoint at{};
    };

    GatewayService(EventLoop &loop, const GatewaySettings &settings, const CallerProtocol &protocol,
                   const MetadataStore &store);
    tl::expected<void, NetError> open();

    void onRequest(ExchangeId exchange, HttpRequest request) override;
    void onCallerGone(ExchangeId exchange) override;
    void onDrained(ExchangeId exchange) override;

    bool ready(std::string &reason) const override;
    nlohmann::json status() const override;
    nlohmann::json suspects() const;
    nlohmann::json resting() const;
    nlohmann::json limited() const;

    void applyConfiguration(const RouteTable &table);
    void take(ExchangeId exchange, HttpRequest request, TimePoint arrivedAt);
    void takeEarly();
    void refuse(ExchangeId exchange, const CallerFacts &facts, FailureCode code, Outcome outcome,
                Duration retryAfter);

    void carryOut(const GatewayActions &actions);
    void carryOut(const StartAttempt &action);
    void carryOut(const CancelAttempt &action);
    void carryOut(const RejectRequest &action);
    void carryOut(const BreakAnswer &action);

    void onAnswerHead(RequestNumber number, std::uint32_t attempt, HttpHead head);
    void noteNotice(RequestNumber number, const Flight &flight, AnswerKind kind);
    void noteLimit(RequestNumber number, const Flight &flight, const UpstreamNotice &notice,
                   AnswerKind kind);
    void askForPermits();
    void onAnswerPiece(RequestNumber number, std::uint32_t attempt, std::string_view piece);
    void onAnswerEnd(RequestNumber number, std::uint32_t attempt, HttpCallEnd end);
    void onAttemptLost(RequestNumber number, std::uint32_t attempt, AttemptEnd end);
    void askAfterUpstream(RequestNumber number, const Flight &flight);
    void startStream(RequestNumber number, Flight &flight);
    void finishWhole(RequestNumber number, Flight &flight);
    void relayEvents(RequestNumber number, Flight &flight, std::string_view piece);
    void endFlight(RequestNumber number, std::string_view result);
    Flight *find(RequestNumber number, std::uint32_t attempt);
    void tick();
    void stopIfDrained();

    EventLoop &loop_;
    GatewaySettings settings_;
    const CallerProtocol &protocol_;
    const MetadataStore &store_;
    Metrics metrics_;
    GatewayCore core_;
    GatewayKnowledge knowledge_;
    std::unique_ptr<HttpClient> client_;
    std::unique_ptr<UpstreamProbe> probe_;
    std::unique_ptr<HttpServer> server_;
    std::unique_ptr<OperatorServer> operators_;
    std::unique_ptr<OperatorServer> metricsServer_;
    std::unique_ptr<KnowledgeSources> sources_;
    EarlyRequests early_;
    std::unordered_map<RequestNumber, Flight> flights_;
    std::unordered_map<ExchangeId, RequestNumber> byExchange_;
    std::unique_ptr<PeriodicTimer> tickTimer_;
    bool stopping_ = false;
    TimePoint stopStartedAt_{};
};

} // namespace seamarch
