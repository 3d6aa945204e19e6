// The part of GatewayService that takes what upstreams say of themselves, and asks for permits to
// send to those that name a limit.
#include "base/log.h"
#include "gateway/gatewayservice.h"

#include <nlohmann/json.hpp>

namespace seamarch {
namespace {

std::string_view wordFor(UpstreamLimits::Change change)
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

} // namespace

// Takes what the head of an answer says about the upstream that gave it.
void GatewayService::noteNotice(RequestNumber number, const Flight &flight, AnswerKind kind)
{
    const UpstreamNotice notice = protocol_.readNotice(flight.head);
    noteLimit(number, flight, notice, kind);
    if (notice.empty()) {
        return;
    }
    logLine(LogLevel::Info, "upstream.notice",
            {{"id", flight.facts.requestId},
             {"attempt", flight.attempt},
             {"upstream", flight.upstream.value()},
             {"status", flight.head.status},
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
    core_.onNotice(number, notice, loop_.now());
}

// Takes the limit that an answer names, or that it names none. An answer that cannot be trusted, or
// that another instance may have given, ends no limit.
void GatewayService::noteLimit(RequestNumber number, const Flight &flight,
                               const UpstreamNotice &notice, AnswerKind kind)
{
    const bool trusted =
        kind == AnswerKind::Success || kind == AnswerKind::Failure || kind == AnswerKind::Full;
    if (!notice.limit && (notice.limitUnreadable || !trusted)) {
        return;
    }
    const auto change = core_.onLimit(number, notice.limit, loop_.now());
    if (change == UpstreamLimits::Change::None) {
        return;
    }
    logLine(
        LogLevel::Info, "limit.changed",
        {{"id", flight.facts.requestId},
         {"attempt", flight.attempt},
         {"upstream", flight.upstream.value()},
         {"change", wordFor(change)},
         {"perSecond", notice.limit ? nlohmann::json(notice.limit->perSecond()) : nlohmann::json()},
         {"gateways", sources_->gateways()}});
    metrics_.count("seamarch_limit_changes_total", wordFor(change));
}

// Asks for the permits that requests have wanted.
void GatewayService::askForPermits()
{
    const TimePoint now = loop_.now();
    for (const SendPermits::Ask &ask : core_.takePermitAsks(now)) {
        sources_->requestPermits(ask, [this, ask, now](const PermitAnswer &answer) {
            logLine(LogLevel::Debug, "permits.answered",
                    {{"upstream", ask.upstream.value()},
                     {"wanted", ask.wanted},
                     {"granted", answer.granted},
                     {"askAgainMs", toMillis(answer.askAgain)},
                     {"ms", toMillis(loop_.now() - now)}});
            metrics_.count("seamarch_send_permits_total", answer.granted > 0 ? "granted" : "none");
            GatewayActions actions;
            core_.onPermits(ask.upstream, answer, now, loop_.now(), actions);
            carryOut(actions);
        });
    }
}

} // namespace seamarch
