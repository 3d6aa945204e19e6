// The part of GatewayService that talks to upstreams: it starts and cancels attempts, and hands
// their answers on.
#include "base/log.h"
#include "gateway/gatewayservice.h"
#include "gateway/requestdigest.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace seamarch {
namespace {

// Answers up to this size are read whole before their head goes out, so that one that breaks off
// is never half delivered; longer ones would hold too much memory.
constexpr std::size_t kMaxWholeBytes = std::size_t{1024} * 1024;
// How long a connection to an upstream may take to be made.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);

std::string_view wordFor(HttpCallEnd end)
{
    switch (end) {
    case HttpCallEnd::Complete:
        return "complete";
    case HttpCallEnd::NotSent:
        return "not sent";
    case HttpCallEnd::KeptLost:
        return "kept connection lost";
    case HttpCallEnd::Interrupted:
        return "interrupted";
    case HttpCallEnd::Unreadable:
        return "unreadable";
    }
    return "unknown";
}

std::string_view wordFor(AnswerKind kind)
{
    switch (kind) {
    case AnswerKind::Success:
        return "success";
    case AnswerKind::Failure:
        return "failure";
    case AnswerKind::Full:
        return "full";
    case AnswerKind::WrongInstance:
        return "wrong instance";
    case AnswerKind::Refused:
        return "refused";
    case AnswerKind::Invalid:
        return "invalid";
    }
    return "unknown";
}

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

// Hands an upstream's answer to the service under the request's number and attempt.
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

GatewayService::Flight *GatewayService::find(RequestNumber number, std::uint32_t attempt)
{
    const auto found = flights_.find(number);
    if (found == flights_.end() || found->second.attempt != attempt || found->second.call == 0) {
        return nullptr;
    }
    return &found->second;
}

void GatewayService::carryOut(const StartAttempt &action)
{
    const auto found = flights_.find(action.request);
    if (found == flights_.end()) {
        return;
    }
    Flight &flight = found->second;
    AttemptMetadata facts;
    facts.instance = action.upstream.id;
    facts.account = flight.admitted.account;
    facts.priority = flight.admitted.priority;
    facts.timeLeft = action.timeLeft;
    facts.resumeAfter =
        flight.events.lastId().empty() ? flight.facts.resumeAfter : flight.events.lastId();
    HttpCallRequest call;
    call.address = {action.upstream.host, action.upstream.port};
    call.method = flight.request.method;
    call.path = flight.request.target;
    call.headers = protocol_.upstreamHeaders(flight.request, facts);
    call.body = flight.request.body;
    call.reuse = action.mayUseOldConnection ? HttpReuse::Any : HttpReuse::Young;
    call.connectTimeout = kConnectTimeout;
    flight.attempt = action.attempt;
    flight.upstream = action.upstream.id;
    flight.address = call.address;
    flight.group = action.group;
    flight.body.clear();
    flight.streams = false;
    flight.attemptSpeaks = false;
    flight.resuming = flight.headSent;
    const TargetName &service = action.upstream.service;
    const StreamLane *lane = core_.lane(service, action.group);
    logLine(LogLevel::Info, "attempt.started",
            {{"id", flight.facts.requestId},
             {"attempt", action.attempt},
             {"waitedMs", toMillis(loop_.now() - flight.startedAt)},
             {"group", action.group.value()},
             {"streams", lane == nullptr ? 0 : lane->inFlight()},
             {"streamLimit", lane == nullptr ? 0.0 : lane->limiter().limit()},
             {"waiting", core_.waiting(service)},
             {"upstream", action.upstream.id.value()},
             {"hall", action.upstream.hall.value()},
             {"inFlightThere", core_.inFlightAt(action.upstream.id)},
             {"timeLeftMs", toMillis(action.timeLeft)},
             {"configVersion", flight.admitted.table->version().value()},
             {"knowledgeAgeMs", toMillis(knowledge_.age())}});
    flight.call = client_->call(std::move(call),
                                std::make_unique<Receiver>(*this, action.request, action.attempt));
}

void GatewayService::carryOut(const CancelAttempt &action)
{
    const auto found = flights_.find(action.request);
    if (found == flights_.end() || found->second.call == 0) {
        return;
    }
    Flight &flight = found->second;
    client_->cancel(std::exchange(flight.call, 0));
    if (action.silent) {
        flight.events.dropPartial();
        logLine(LogLevel::Info, "attempt.silent",
                {{"id", flight.facts.requestId},
                 {"attempt", flight.attempt},
                 {"upstream", flight.upstream.value()},
                 {"group", flight.group.value()},
                 {"events", flight.events.events()},
                 {"ms", toMillis(loop_.now() - flight.startedAt)}});
    }
}

void GatewayService::onAnswerHead(RequestNumber number, std::uint32_t attempt, HttpHead head)
{
    Flight *flight = find(number, attempt);
    if (flight == nullptr) {
        return;
    }
    const AnswerKind kind = protocol_.classifyAnswer(head, flight->facts);
    flight->head = std::move(head);
    noteNotice(number, *flight, kind);
    const bool events = kind == AnswerKind::Success && flight->admitted.route->streamed
                        && isEventStream(flight->head);
    if (flight->resuming && kind == AnswerKind::Success && !events) {
        GatewayActions actions;
        core_.onHead(number, AnswerKind::Invalid, loop_.now(), actions);
        carryOut(actions);
        return;
    }
    if (events) {
        startStream(number, *flight);
        return;
    }
    if (kind == AnswerKind::Success || kind == AnswerKind::Failure) {
        return; // Decided once the body is whole.
    }
    logLine(LogLevel::Info, "attempt.refused",
            {{"id", flight->facts.requestId},
             {"attempt", attempt},
             {"upstream", flight->upstream.value()},
             {"status", flight->head.status},
             {"kind", wordFor(kind)},
             {"ms", toMillis(loop_.now() - flight->startedAt)}});
    GatewayActions actions;
    core_.onHead(number, kind, loop_.now(), actions);
    carryOut(actions);
}

void GatewayService::startStream(RequestNumber number, Flight &flight)
{
    GatewayActions actions;
    if (!core_.onHead(number, AnswerKind::Success, loop_.now(), actions)) {
        carryOut(actions);
        return;
    }
    flight.streams = true;
    if (!flight.headSent) {
        flight.headSent = true;
        server_->begin(flight.exchange, toResponse(flight.head));
    }
}

void GatewayService::onAnswerPiece(RequestNumber number, std::uint32_t attempt,
                                   std::string_view piece)
{
    constexpr std::size_t kBufferedHighWater = std::size_t{256} * 1024;
    Flight *flight = find(number, attempt);
    if (flight == nullptr) {
        return;
    }
    if (flight->streams) {
        relayEvents(number, *flight, piece);
        if (server_->buffered(flight->exchange) > kBufferedHighWater) {
            client_->pause(flight->call, true);
        }
        return;
    }
    flight->body.append(piece);
    if (flight->body.size() > kMaxWholeBytes) {
        GatewayActions actions;
        core_.onHead(number, AnswerKind::Invalid, loop_.now(), actions);
        carryOut(actions);
    }
}

void GatewayService::relayEvents(RequestNumber number, Flight &flight, std::string_view piece)
{
    const std::string whole = flight.events.feed(piece);
    if (whole.empty()) {
        return;
    }
    const TimePoint now = loop_.now();
    const bool first = flight.lastEventAt == TimePoint{};
    metrics_.observe(first ? Stage::FirstToken : Stage::BetweenTokens, flight.admitted.account,
                     flight.admitted.route->name,
                     now - (first ? flight.startedAt : flight.lastEventAt));
    if (first) {
        flight.firstEventAt = now;
    } else {
        flight.longestPause = std::max(flight.longestPause, now - flight.lastEventAt);
    }
    // The caller's pause over a change of upstreams says nothing of either.
    if (!std::exchange(flight.attemptSpeaks, true)) {
        core_.onFirstEvent(number, now);
    } else {
        core_.onPause(number, now - flight.lastEventAt, now);
    }
    flight.lastEventAt = now;
    server_->write(flight.exchange, whole);
}

void GatewayService::onAnswerEnd(RequestNumber number, std::uint32_t attempt, HttpCallEnd end)
{
    Flight *flight = find(number, attempt);
    if (flight == nullptr) {
        return;
    }
    flight->call = 0;
    if (end == HttpCallEnd::Complete && !(flight->streams && flight->events.hasPartial())) {
        finishWhole(number, *flight);
        return;
    }
    logLine(LogLevel::Info, "attempt.lost",
            {{"id", flight->facts.requestId},
             {"attempt", attempt},
             {"upstream", flight->upstream.value()},
             {"end", wordFor(end)},
             {"headSent", flight->headSent},
             {"events", flight->events.events()},
             {"ms", toMillis(loop_.now() - flight->startedAt)}});
    flight->events.dropPartial();
    if (end == HttpCallEnd::Interrupted || end == HttpCallEnd::KeptLost) {
        askAfterUpstream(number, *flight);
        return;
    }
    onAttemptLost(number, attempt,
                  end == HttpCallEnd::NotSent ? AttemptEnd::NotSent : AttemptEnd::Lost);
}

void GatewayService::onAttemptLost(RequestNumber number, std::uint32_t attempt, AttemptEnd end)
{
    const auto found = flights_.find(number);
    if (found == flights_.end() || found->second.attempt != attempt || found->second.call != 0) {
        return; // Over, or at another upstream meanwhile.
    }
    GatewayActions actions;
    core_.onEnd(number, end, loop_.now(), actions);
    carryOut(actions);
}

// Finds out whether the upstream has ended that lost the request. What becomes of the request waits
// for that, some round trips at most: sent on at once, it might take another upstream down.
void GatewayService::askAfterUpstream(RequestNumber number, const Flight &flight)
{
    Lost lost{flight.facts.requestId, flight.admitted.digest, flight.admitted.account,
              flight.upstream, loop_.now()};
    const std::uint32_t attempt = flight.attempt;
    probe_->ask(flight.address, [this, number, attempt, lost](UpstreamState state) {
        metrics_.count("seamarch_upstreams_that_lost_requests_total", toString(state));
        logLine(LogLevel::Info, "upstream.probed",
                {{"id", lost.requestId},
                 {"upstream", lost.upstream.value()},
                 {"state", toString(state)},
                 {"digest", toText(lost.digest)},
                 {"ms", toMillis(loop_.now() - lost.at)}});
        if (state == UpstreamState::Ended) {
            GatewayActions actions;
            core_.onUpstreamEnded(lost.digest, lost.account, lost.upstream, lost.at, loop_.now(),
                                  actions);
            carryOut(actions);
        }
        onAttemptLost(number, attempt, AttemptEnd::Lost);
    });
}

void GatewayService::finishWhole(RequestNumber number, Flight &flight)
{
    GatewayActions actions;
    if (flight.streams) {
        core_.onEnd(number, AttemptEnd::Complete, loop_.now(), actions);
        carryOut(actions);
        server_->finish(flight.exchange);
        endFlight(number, "served");
        return;
    }
    const AnswerKind kind = protocol_.classifyAnswer(flight.head, flight.facts);
    if (!core_.onHead(number, kind, loop_.now(), actions)) {
        logLine(LogLevel::Info, "attempt.failed",
                {{"id", flight.facts.requestId},
                 {"attempt", flight.attempt},
                 {"upstream", flight.upstream.value()},
                 {"status", flight.head.status}});
        carryOut(actions);
        return;
    }
    core_.onEnd(number, AttemptEnd::Complete, loop_.now(), actions);
    carryOut(actions);
    server_->respond(flight.exchange, toResponse(flight.head), flight.body);
    endFlight(number, kind == AnswerKind::Success ? "served" : "upstream failure");
}

} // namespace seamarch
