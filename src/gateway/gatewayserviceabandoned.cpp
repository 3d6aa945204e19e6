// The part of GatewayService that learns from attempts which have no answer: those that it
// abandoned, and those whose connection broke. An upstream may ask for rest or crash although
// nobody waits for the answer any more.
#include "base/log.h"
#include "gateway/attemptlognames.h"
#include "gateway/gatewayservice.h"
#include "gateway/requestdigest.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace seamarch {
namespace {

constexpr std::size_t kMaxUnansweredAttempts = 1024;

// Returns the part ids as they appear in a log line, bounded in number and length.
nlohmann::json loggedParts(const std::vector<std::string> &parts)
{
    constexpr std::size_t kMaxLoggedParts = 16;
    constexpr std::size_t kMaxLoggedIdBytes = 32;
    nlohmann::json logged = nlohmann::json::array();
    for (std::size_t index = 0; index < std::min(parts.size(), kMaxLoggedParts); ++index) {
        logged.push_back(parts[index].substr(0, kMaxLoggedIdBytes));
    }
    return logged;
}

} // namespace

// Receives the head of the answer to an abandoned attempt, or the end of its connection.
class GatewayService::AbandonedReceiver final : public HttpCallReceiver
{
public:
    AbandonedReceiver(GatewayService &service, HttpCallId call, AbandonedCall abandoned)
        : service_(service)
        , call_(call)
        , abandoned_(std::move(abandoned))
    {}

    void onHead(HttpHead head) override { service_.onAbandonedHead(call_, abandoned_, head); }
    void onPiece(std::string_view /*piece*/) override {}
    void onEnd(HttpCallEnd end) override { service_.onAbandonedEnd(abandoned_, end); }

private:
    GatewayService &service_;
    HttpCallId call_;
    AbandonedCall abandoned_;
};

GatewayService::LostAttempt GatewayService::toLostAttempt(const ActiveRequest &active,
                                                          std::vector<SuspectKey> suspects) const
{
    return {active.metadata.requestId,
            active.address,
            active.admitted.digest,
            std::move(suspects),
            active.admitted.account,
            active.upstream,
            loop_.now(),
            active.metadata.sharedPromptParts,
            active.streams,
            active.events.eventCount() - active.eventsBefore};
}

void GatewayService::abandonCall(ActiveRequest &active, const CancelAttempt &action)
{
    const AttemptRecord &record = action.attempt;
    const HttpCallId call = std::exchange(active.call, 0);
    LostAttempt lost = toLostAttempt(active, record.suspects);
    const bool mayHaveRun = client_->wroteAny(call);
    const bool isRead = client_->abandon(
        call, action.reason == CancelReason::MayCrashUpstream ? kStopAtOnceTimes : kAbandonTimes,
        std::make_unique<AbandonedReceiver>(
            *this, call, AbandonedCall{record, active.metadata, active.attempt, lost}));
    const bool mayStillCrash = action.reason != CancelReason::Answered && !record.provedHarmless;
    if (!isRead && mayHaveRun && mayStillCrash) {
        awaitOtherAnswers(std::move(lost)); // Nothing of the answer is read any more.
    }
}

void GatewayService::onAbandonedHead(HttpCallId call, const AbandonedCall &abandoned,
                                     const HttpHead &head)
{
    const AnswerKind kind = protocol_.classifyAnswer(head, abandoned.metadata);
    logLine(LogLevel::Info, "attempt.abandoned",
            {{"id", abandoned.metadata.requestId},
             {"attempt", abandoned.attempt},
             {"upstream", abandoned.record.upstream.id.value()},
             {"outcome", "answered"},
             {"status", head.status},
             {"kind", logName(kind)},
             {"ms", toMillis(loop_.now() - abandoned.record.startedAt)}});
    handleNotice({abandoned.record, abandoned.metadata.requestId, abandoned.attempt, head, kind});
    core_.onAbandonedHead(abandoned.record, kind, loop_.now());
    if (kind == AnswerKind::Success) {
        awaitOtherAnswers(abandoned.lost);
    }
    client_->cancel(call);
}

void GatewayService::onAbandonedEnd(const AbandonedCall &abandoned, HttpCallEnd end)
{
    logLine(LogLevel::Info, "attempt.abandoned",
            {{"id", abandoned.metadata.requestId},
             {"attempt", abandoned.attempt},
             {"upstream", abandoned.record.upstream.id.value()},
             {"outcome", logName(end)},
             {"ms", toMillis(loop_.now() - abandoned.record.startedAt)}});
    awaitOtherAnswers(abandoned.lost);
}

void GatewayService::awaitOtherAnswers(LostAttempt lost)
{
    if (unansweredAttempts_.size() >= kMaxUnansweredAttempts) {
        metrics_.count("seamarch_upstreams_that_lost_requests_total", "not probed");
        return;
    }
    lost.at = loop_.now();
    unansweredAttempts_.push_back(std::move(lost));
}

void GatewayService::probeUnansweredUpstreams()
{
    while (!unansweredAttempts_.empty()
           && loop_.now() - unansweredAttempts_.front().at >= kAbandonedProbeDelay) {
        const LostAttempt lost = std::move(unansweredAttempts_.front());
        unansweredAttempts_.pop_front();
        // An upstream that has answered another request since then has not crashed.
        if (!core_.answeredSince(lost.upstream, lost.at)) {
            probeUpstream(lost, [](bool /*ended*/) {});
        }
    }
}

// An upstream that resets new connections because it has too many does not answer the probe, but
// goes on answering other requests.
void GatewayService::probeUpstream(const LostAttempt &lost, std::function<void(bool)> onResult)
{
    probe_->probe(lost.address, protocol_.livenessQuestion(lost.upstream),
                  [this, lost, onResult = std::move(onResult)](UpstreamProbeResult state) {
                      metrics_.count("seamarch_upstreams_that_lost_requests_total",
                                     toString(state));
                      logLine(LogLevel::Info, "upstream.probed",
                              {{"id", lost.requestId},
                               {"upstream", lost.upstream.value()},
                               {"state", toString(state)},
                               {"answeredOthers", core_.answeredSince(lost.upstream, lost.at)},
                               {"digest", toText(lost.digest)},
                               {"sharedParts", loggedParts(lost.sharedPromptParts)},
                               {"streaming", lost.streaming},
                               {"events", lost.events},
                               {"ms", toMillis(loop_.now() - lost.at)}});
                      const bool answered = state == UpstreamProbeResult::Unresponsive
                                            && core_.answeredSince(lost.upstream, lost.at);
                      const bool ended = isEnd(state) && !answered;
                      if (ended) {
                          GatewayActions actions;
                          core_.onUpstreamEnded(lost.suspects, lost.account, lost.upstream, lost.at,
                                                loop_.now(), actions);
                          carryOut(actions);
                      }
                      onResult(ended);
                  });
}

} // namespace seamarch
