// The part of GatewayService that calls upstreams: it starts and cancels attempts and forwards
// their answers to callers.
#include "base/log.h"
#include "gateway/attemptlognames.h"
#include "gateway/gatewayservice.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace seamarch {
namespace {

// The size limit of answers that are not streamed. They are buffered until complete and only then
// sent, so that the caller never receives a truncated one. Longer ones would use too much memory
// and count as invalid.
constexpr std::size_t kMaxBufferedAnswerBytes = std::size_t{1024} * 1024;
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);

bool isEventStream(const HttpHead &head)
{
    return findHeader(head.headers, "content-type").starts_with("text/event-stream");
}

HttpResponseHead toResponse(const HttpHead &head)
{
    HttpResponseHead response;
    response.status = head.status;
    response.contentType.clear();
    response.headers = endToEndHeaders(head.headers);
    return response;
}

} // namespace

// Passes an upstream's answer to the service with the numbers of the request and the attempt.
class GatewayService::Receiver final : public HttpCallReceiver
{
public:
    Receiver(GatewayService &service, RequestNumber number, std::uint32_t attempt)
        : service_(service)
        , number_(number)
        , attempt_(attempt)
    {}

    void onHead(HttpHead head) override
    {
        service_.onAnswerHead(number_, attempt_, std::move(head));
    }
    void onPiece(std::string_view piece) override
    {
        service_.onAnswerPiece(number_, attempt_, piece);
    }
    void onEnd(HttpCallEnd end) override { service_.onAnswerEnd(number_, attempt_, end); }

private:
    GatewayService &service_;
    RequestNumber number_;
    std::uint32_t attempt_;
};

GatewayService::ActiveRequest *GatewayService::findActiveRequest(RequestNumber number,
                                                                 std::uint32_t attempt)
{
    const auto found = activeRequests_.find(number);
    if (found == activeRequests_.end() || found->second.attempt != attempt
        || found->second.call == 0) {
        return nullptr;
    }
    return &found->second;
}

void GatewayService::carryOut(const StartAttempt &action)
{
    const auto found = activeRequests_.find(action.request);
    if (found == activeRequests_.end()) {
        return;
    }
    ActiveRequest &active = found->second;
    AttemptMetadata metadata;
    metadata.instance = action.upstream.id;
    metadata.account = active.admitted.account;
    metadata.priority = active.admitted.urgency.account;
    metadata.timeLeft = action.timeLeft;
    metadata.resumeAfter =
        active.events.lastId().empty() ? active.metadata.resumeAfter : active.events.lastId();
    HttpCallRequest call;
    call.address = {action.upstream.host, action.upstream.port};
    call.method = active.request.method;
    call.path = active.request.target;
    call.headers = protocol_.upstreamHeaders(active.request, metadata);
    call.body = active.requestBody;
    call.reuse = action.mayReuseConnection ? ConnectionReuse::Any : ConnectionReuse::RecentlyUsed;
    call.connectTimeout = kConnectTimeout;
    active.attempt = action.attempt;
    active.upstream = action.upstream.id;
    active.address = call.address;
    active.group = action.group;
    active.body.clear();
    active.streams = false;
    active.attemptHasEvents = false;
    active.eventsBefore = active.events.eventCount();
    active.resuming = active.headSent;
    active.readingPaused = false;
    active.wasReadingPaused = false;
    const TargetName &service = action.upstream.service;
    const GroupTracker *tracker = core_.tracker(service, action.group);
    logLine(LogLevel::Info, "attempt.started",
            {{"id", active.metadata.requestId},
             {"attempt", action.attempt},
             {"waitedMs", toMillis(loop_.now() - active.startedAt)},
             {"group", action.group.value()},
             {"streams", tracker == nullptr ? 0 : tracker->inFlight()},
             {"streamLimit", tracker == nullptr ? 0.0 : tracker->limiter().limit()},
             {"waiting", core_.queuedStreams(service)},
             {"retryPermits", core_.retryPermits(service)},
             {"upstream", action.upstream.id.value()},
             {"hall", action.upstream.hall.value()},
             {"inFlightThere", core_.inFlightAt(action.upstream.id)},
             {"timeLeftMs", toMillis(action.timeLeft)},
             {"configVersion", active.admitted.table->version().value()},
             {"knowledgeAgeMs", toMillis(storeView_.age())}});
    active.call = client_->call(std::move(call),
                                std::make_unique<Receiver>(*this, action.request, action.attempt));
}

void GatewayService::carryOut(const CancelAttempt &action)
{
    const auto found = activeRequests_.find(action.request);
    if (found == activeRequests_.end() || found->second.call == 0) {
        return;
    }
    ActiveRequest &active = found->second;
    abandonCall(active, action);
    if (action.reason == CancelReason::Silent) {
        active.events.discardPartial();
        logLine(LogLevel::Info, "attempt.silent",
                {{"id", active.metadata.requestId},
                 {"attempt", active.attempt},
                 {"upstream", active.upstream.value()},
                 {"group", active.group.value()},
                 {"events", active.events.eventCount()},
                 {"ms", toMillis(loop_.now() - active.startedAt)}});
    }
}

void GatewayService::onAnswerHead(RequestNumber number, std::uint32_t attempt, HttpHead head)
{
    ActiveRequest *active = findActiveRequest(number, attempt);
    if (active == nullptr) {
        return;
    }
    const AnswerKind kind = protocol_.classifyAnswer(head, active->metadata);
    active->head = std::move(head);
    if (const auto record = core_.attemptOf(number)) {
        handleNotice({*record, active->metadata.requestId, attempt, active->head, kind});
    }
    const bool events = kind == AnswerKind::Success && active->admitted.route->streamed
                        && isEventStream(active->head);
    if (active->resuming && kind == AnswerKind::Success && !events) {
        GatewayActions actions;
        core_.onHead(number, AnswerKind::Invalid, loop_.now(), actions);
        carryOut(actions);
        return;
    }
    if (events) {
        startStream(number, *active);
        return;
    }
    if (kind == AnswerKind::Success || kind == AnswerKind::Failure) {
        return; // Decided when the body is complete.
    }
    logLine(LogLevel::Info, "attempt.refused",
            {{"id", active->metadata.requestId},
             {"attempt", attempt},
             {"upstream", active->upstream.value()},
             {"status", active->head.status},
             {"kind", logName(kind)},
             {"ms", toMillis(loop_.now() - active->startedAt)}});
    GatewayActions actions;
    core_.onHead(number, kind, loop_.now(), actions);
    carryOut(actions);
}

void GatewayService::startStream(RequestNumber number, ActiveRequest &active)
{
    GatewayActions actions;
    if (!core_.onHead(number, AnswerKind::Success, loop_.now(), actions)) {
        carryOut(actions);
        return;
    }
    active.streams = true;
    if (!active.headSent) {
        active.headSent = true;
        server_->begin(active.exchange, toResponse(active.head));
    }
}

void GatewayService::onAnswerPiece(RequestNumber number, std::uint32_t attempt,
                                   std::string_view piece)
{
    ActiveRequest *active = findActiveRequest(number, attempt);
    if (active == nullptr) {
        return;
    }
    if (active->streams) {
        relayEvents(number, *active, piece);
        if (active->events.partialBytes() > memoryBudget_.maxPartialEvent(activeRequests_.size())) {
            client_->cancel(std::exchange(active->call, 0));
            loseAttempt(number, *active, HttpCallEnd::MalformedResponse);
            return;
        }
        if (server_->buffered(active->exchange) > memoryBudget_.maxUnsent(activeRequests_.size())) {
            pauseReading(number, *active, true);
        }
        return;
    }
    active->body.append(piece);
    if (active->body.size() > kMaxBufferedAnswerBytes) {
        logLine(LogLevel::Info, "attempt.too_large",
                {{"id", active->metadata.requestId},
                 {"attempt", attempt},
                 {"upstream", active->upstream.value()},
                 {"bytes", active->body.size()},
                 {"ms", toMillis(loop_.now() - active->startedAt)}});
        GatewayActions actions;
        core_.onHead(number, AnswerKind::Invalid, loop_.now(), actions);
        carryOut(actions);
    }
}

// Stops or resumes reading the answer of the current attempt while its caller takes it slowly.
void GatewayService::pauseReading(RequestNumber number, ActiveRequest &active, bool paused)
{
    active.readingPaused = paused;
    active.wasReadingPaused = true;
    client_->pause(active.call, paused);
    core_.onReadingPaused(number, paused, loop_.now());
}

void GatewayService::relayEvents(RequestNumber number, ActiveRequest &active,
                                 std::string_view piece)
{
    const std::string completeEvents = active.events.feed(piece);
    if (completeEvents.empty()) {
        return;
    }
    const TimePoint now = loop_.now();
    // A gap in which the answer was not read is no pause of the upstream.
    if (!std::exchange(active.wasReadingPaused, active.readingPaused)) {
        recordEventTime(number, active, now);
    }
    active.lastEventAt = now;
    server_->write(active.exchange, completeEvents);
}

void GatewayService::recordEventTime(RequestNumber number, ActiveRequest &active, TimePoint now)
{
    const bool first = active.lastEventAt == TimePoint{};
    metrics_.observe(first ? RequestStage::FirstToken : RequestStage::BetweenTokens,
                     active.admitted.account, active.admitted.route->name,
                     now - (first ? active.startedAt : active.lastEventAt));
    if (first) {
        active.firstEventAt = now;
    } else {
        active.longestPause = std::max(active.longestPause, now - active.lastEventAt);
    }
    // The gap before the first event of a further attempt spans a change of upstreams, so it does
    // not count as a pause of either upstream.
    if (!std::exchange(active.attemptHasEvents, true)) {
        core_.onFirstEvent(number, now);
    } else {
        core_.onPause(number, now - active.lastEventAt, now);
    }
}

// Logs an answer that ended with its connection. Its upstream may have ended it or have crashed.
void GatewayService::logClosedByPeer(const ActiveRequest &active)
{
    metrics_.count("seamarch_answers_closed_by_peer_total", active.streams ? "stream" : "whole");
    logLine(LogLevel::Info, "attempt.closed_by_peer",
            {{"id", active.metadata.requestId},
             {"attempt", active.attempt},
             {"upstream", active.upstream.value()},
             {"status", active.head.status},
             {"bytes", active.body.size()},
             {"events", active.events.eventCount() - active.eventsBefore},
             {"partialEventBytes", active.events.partialBytes()},
             {"ms", toMillis(loop_.now() - active.startedAt)}});
}

void GatewayService::onAnswerEnd(RequestNumber number, std::uint32_t attempt, HttpCallEnd end)
{
    ActiveRequest *active = findActiveRequest(number, attempt);
    if (active == nullptr) {
        return;
    }
    active->call = 0;
    const bool closedByPeer = end == HttpCallEnd::ClosedByPeer;
    if (closedByPeer) {
        logClosedByPeer(*active);
    }
    if (!isComplete(end) || (active->streams && active->events.hasPartial())) {
        loseAttempt(number, *active, closedByPeer ? HttpCallEnd::Interrupted : end);
    } else if (closedByPeer) {
        confirmAnswer(number, *active);
    } else {
        finishAnswer(number, *active, AttemptEnd::Complete);
    }
}

// The kernel closes the connections of a process that ends in the same order as the upstream would,
// whether it crashed or left as planned, so the answer is complete only if the upstream still runs.
// If its deadline comes first, the request fails.
void GatewayService::confirmAnswer(RequestNumber number, ActiveRequest &active)
{
    core_.onAnswerReceived(number, loop_.now());
    const LostAttempt lost = toLostAttempt(active, core_.crashSuspects(number));
    probeUpstream(lost, [this, number, attempt = active.attempt](bool ended) {
        if (ended) {
            onAttemptLost(number, attempt, AttemptEnd::Lost);
        } else {
            finishConfirmedAnswer(number, attempt);
        }
    });
}

void GatewayService::finishConfirmedAnswer(RequestNumber number, std::uint32_t attempt)
{
    const auto found = activeRequests_.find(number);
    if (found != activeRequests_.end() && found->second.attempt == attempt
        && found->second.call == 0) {
        finishAnswer(number, found->second, AttemptEnd::Complete);
    }
}

// Handles the end of an attempt without a complete answer; its call is over.
void GatewayService::loseAttempt(RequestNumber number, ActiveRequest &active, HttpCallEnd end)
{
    logLine(LogLevel::Info, "attempt.lost",
            {{"id", active.metadata.requestId},
             {"attempt", active.attempt},
             {"upstream", active.upstream.value()},
             {"end", logName(end)},
             {"headSent", active.headSent},
             {"events", active.events.eventCount()},
             {"partialEventBytes", active.events.partialBytes()},
             {"ms", toMillis(loop_.now() - active.startedAt)}});
    active.events.discardPartial();
    if (end == HttpCallEnd::Interrupted || end == HttpCallEnd::ReusedConnectionLost) {
        // The request waits for the result, which takes some round trips unless the upstream does
        // not answer: retried at once, a request that crashes upstreams might take down another.
        probeUpstream(toLostAttempt(active, core_.crashSuspects(number)),
                      [this, number, attempt = active.attempt](bool /*ended*/) {
                          onAttemptLost(number, attempt, AttemptEnd::Lost);
                      });
        return;
    }
    onAttemptLost(number, active.attempt,
                  end == HttpCallEnd::NotSent ? AttemptEnd::NotSent : AttemptEnd::Lost);
}

void GatewayService::onAttemptLost(RequestNumber number, std::uint32_t attempt, AttemptEnd end)
{
    const auto found = activeRequests_.find(number);
    if (found == activeRequests_.end() || found->second.attempt != attempt
        || found->second.call != 0) {
        return; // The request has ended or has moved on to another upstream.
    }
    GatewayActions actions;
    core_.onEnd(number, end, loop_.now(), actions);
    carryOut(actions);
}

void GatewayService::finishAnswer(RequestNumber number, ActiveRequest &active, AttemptEnd end)
{
    GatewayActions actions;
    if (active.streams) {
        core_.onEnd(number, end, loop_.now(), actions);
        carryOut(actions);
        server_->finish(active.exchange);
        endRequest(number, "served");
        return;
    }
    const AnswerKind kind = protocol_.classifyAnswer(active.head, active.metadata);
    if (!core_.onHead(number, kind, loop_.now(), actions)) {
        logLine(LogLevel::Info, "attempt.failed",
                {{"id", active.metadata.requestId},
                 {"attempt", active.attempt},
                 {"upstream", active.upstream.value()},
                 {"status", active.head.status}});
        carryOut(actions);
        return;
    }
    core_.onEnd(number, end, loop_.now(), actions);
    carryOut(actions);
    server_->respond(active.exchange, toResponse(active.head), active.body);
    endRequest(number, kind == AnswerKind::Success ? "served" : "upstream failure");
}

} // namespace seamarch
