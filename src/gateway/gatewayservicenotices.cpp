// The part of GatewayService that processes the notices in upstreams' answers (rests, leaving,
// rate limits), requests permits to send to upstreams, and logs changes of the stream limits and of
// upstreams' pace.
#include "base/log.h"
#include "gateway/gatewayservice.h"

#include <nlohmann/json.hpp>

namespace seamarch {
namespace {

std::string_view nameOf(UpstreamLimits::Change change)
{
    switch (change) {
    case UpstreamLimits::Change::None:
        return "none";
    case UpstreamLimits::Change::Begun:
        return "begun";
    case UpstreamLimits::Change::Changed:
        return "changed";
    case UpstreamLimits::Change::Ended:
        return "ended";
    }
    return "unknown";
}

std::string_view nameOf(LimitChange::Kind kind)
{
    switch (kind) {
    case LimitChange::Kind::BoundBegun:
        return "bound begun";
    case LimitChange::Kind::BoundEnded:
        return "bound ended";
    case LimitChange::Kind::DegradedBegun:
        return "degraded begun";
    case LimitChange::Kind::DegradedEnded:
        return "degraded ended";
    }
    return "unknown";
}

} // namespace

// Processes the notices in the head of an answer about the upstream that sent it.
void GatewayService::handleNotice(const AnsweredAttempt &answered)
{
    const UpstreamNotice notice = protocol_.readNotice(answered.head);
    handleLimit(answered, notice);
    if (notice.empty()) {
        return;
    }
    logLine(LogLevel::Info, "upstream.notice",
            {{"id", answered.requestId},
             {"attempt", answered.attempt},
             {"upstream", answered.record.upstream.id.value()},
             {"status", answered.head.status},
             {"restMs", notice.rest ? nlohmann::json(toMillis(*notice.rest)) : nlohmann::json()},
             {"restUnreadable", notice.restUnreadable},
             {"leaving", notice.leaving},
             {"limitPerSecond",
              notice.limit ? nlohmann::json(notice.limit->perSecond()) : nlohmann::json()},
             {"limitUnreadable", notice.limitUnreadable}});
    if (notice.rest || notice.restUnreadable) {
        metrics_.count("seamarch_upstream_notices_total", notice.rest ? "rest" : "unreadable");
    }
    if (notice.leaving) {
        metrics_.count("seamarch_upstream_notices_total", "leaving");
    }
    if (notice.limit || notice.limitUnreadable) {
        metrics_.count("seamarch_upstream_notices_total",
                       notice.limit ? "limit" : "limit unreadable");
    }
    core_.onNotice(answered.record, notice, loop_.now());
}

// Applies the limit that an answer names, or ends the upstream's limit if the answer names none. An
// answer that is refused or invalid, or that another instance may have sent, does not end a limit.
void GatewayService::handleLimit(const AnsweredAttempt &answered, const UpstreamNotice &notice)
{
    const bool isConclusive = answered.kind == AnswerKind::Success
                              || answered.kind == AnswerKind::Failure
                              || answered.kind == AnswerKind::Full;
    if (!notice.limit && (notice.limitUnreadable || !isConclusive)) {
        return;
    }
    const auto change = core_.onLimit(answered.record, notice.limit, loop_.now());
    if (change == UpstreamLimits::Change::None) {
        return;
    }
    logLine(
        LogLevel::Info, "limit.changed",
        {{"id", answered.requestId},
         {"attempt", answered.attempt},
         {"upstream", answered.record.upstream.id.value()},
         {"change", nameOf(change)},
         {"perSecond", notice.limit ? nlohmann::json(notice.limit->perSecond()) : nlohmann::json()},
         {"gateways", synchronizer_->gateways()}});
    metrics_.count("seamarch_limit_changes_total", nameOf(change));
}

// Logs and counts the changes of what governs the stream limits of groups.
void GatewayService::logStreamLimits()
{
    for (const auto &[group, change] : core_.takeLimitChanges()) {
        logLine(LogLevel::Info, "streamlimit.changed",
                {{"group", group.value()},
                 {"change", nameOf(change.kind)},
                 {"streams", change.inFlight},
                 {"streamLimit", change.limit},
                 {"pauseRatio", change.pauseRatio}});
        metrics_.count("seamarch_stream_limit_changes_total", nameOf(change.kind));
    }
}

// Logs and counts the upstreams that became slow or are taken for normal again.
void GatewayService::logPaceChanges()
{
    for (const auto &[service, change] : core_.takePaceChanges(loop_.now())) {
        const std::string_view outcome = change.slow ? "slow" : "normal";
        logLine(LogLevel::Info, "upstream.pace_changed",
                {{"upstream", change.upstream.value()},
                 {"service", service.value()},
                 {"change", outcome},
                 {"slowness", change.slowness},
                 {"route", change.route},
                 {"lastMs", toMillis(change.time)},
                 {"usualMs", toMillis(change.usualTime)},
                 {"ageMs", toMillis(change.age)}});
        metrics_.count("seamarch_upstream_pace_changes_total", outcome);
    }
}

// Requests the permits that waiting requests need.
void GatewayService::requestPermits()
{
    const TimePoint now = loop_.now();
    for (const SendPermits::Query &query : core_.takePermitQueries(now)) {
        synchronizer_->requestPermits(query, [this, query, now](const PermitGrant &answer) {
            logLine(LogLevel::Debug, "permits.answered",
                    {{"upstream", query.upstream.value()},
                     {"wanted", query.wanted},
                     {"granted", answer.granted},
                     {"askAgainMs", toMillis(answer.retryAfter)},
                     {"ms", toMillis(loop_.now() - now)}});
            metrics_.count("seamarch_send_permits_total", answer.granted > 0 ? "granted" : "none");
            GatewayActions actions;
            core_.onPermits(query.upstream, answer, now, loop_.now(), actions);
            carryOut(actions);
        });
    }
}

} // namespace seamarch
