#include "seamarch/outcome.h"

#include <array>
#include <cstddef>

namespace seamarch {
namespace {

// The HTTP status, the stable code and the advice of a failure.
struct FailureText
{
    FailureCode code;
    int status;
    std::string_view name;
    std::string_view advice;
};

constexpr std::array kFailureTexts = {
    FailureText{FailureCode::BadRequest, 400, "bad_request",
                "The request could not be read; correct it before sending it again."},
    FailureText{FailureCode::Unauthorized, 401, "unauthorized",
                "Expected 'Authorization: Bearer KEY' with a key of a client account."},
    FailureText{FailureCode::NotFound, 404, "not_found",
                "No such path, model or service is configured; see GET /v1/models."},
    FailureText{FailureCode::MethodNotAllowed, 405, "method_not_allowed",
                "This path does not take this method."},
    FailureText{FailureCode::PayloadTooLarge, 413, "payload_too_large",
                "The body is larger than this entry takes; send a smaller one."},
    FailureText{FailureCode::RateLimited, 429, "rate_limited",
                "The client account is over its rate; come back after Retry-After seconds."},
    FailureText{FailureCode::AccountQueueFull, 429, "account_queue_full",
                "The client account has too many requests waiting; come back after Retry-After "
                "seconds."},
    FailureText{FailureCode::DeadlineUnreachable, 503, "deadline_unreachable",
                "The predicted wait passes the deadline; come back after Retry-After seconds."},
    FailureText{FailureCode::NoUpstream, 503, "no_upstream",
                "No upstream can take this request now; come back after Retry-After seconds."},
    FailureText{FailureCode::UpstreamLeaving, 503, "upstream_leaving",
                "The upstream is leaving; send the request again."},
    FailureText{FailureCode::UpstreamUnreachable, 502, "upstream_unreachable",
                "The upstream could not be reached or was lost; see Seamarch-Outcome."},
    FailureText{FailureCode::UpstreamFailed, 502, "upstream_failed",
                "The upstream broke off its answer; it may have run."},
    FailureText{FailureCode::UpstreamTimedOut, 504, "upstream_timed_out",
                "The time for the request is over and the upstream has not answered; it may have "
                "run."},
    FailureText{FailureCode::TicketSpent, 409, "ticket_spent",
                "The ticket was used before or its agent is gone."},
    FailureText{FailureCode::KeyHomeUnsure, 503, "key_home_unsure",
                "The home of this Idempotency-Key cannot be proved now; come back after "
                "Retry-After seconds."},
    FailureText{FailureCode::KeySeenBefore, 409, "key_seen_before",
                "A request with this Idempotency-Key was accepted before; it will not run again."},
    FailureText{FailureCode::EntryStopping, 503, "entry_stopping",
                "This entry is stopping; send the request again."},
    FailureText{FailureCode::EntryNotReady, 503, "entry_not_ready",
                "This entry has no configuration yet; come back after Retry-After seconds."},
    FailureText{FailureCode::KnowledgeStale, 503, "knowledge_stale",
                "This entry has not heard from the platform for too long to judge the key or the "
                "path; come back after Retry-After seconds."},
    FailureText{FailureCode::Cancelled, 499, "cancelled", "The caller cancelled the request."},
    FailureText{
        FailureCode::RequestEndsUpstreams, 503, "request_ends_upstreams",
        "Upstreams have ended, one after the other, while they ran this very request or began to "
        "answer requests with the same part of a prompt, so it was not sent to another. Do not "
        "repeat it; tell the operators."},
    FailureText{FailureCode::UpstreamEnded, 502, "upstream_ended",
                "The upstream's process ended while it had the request; it may have run."},
    FailureText{FailureCode::NoUpstreamInRegions, 503, "no_upstream_in_regions",
                "The regions in which this request may be served have no upstream now; come back "
                "after Retry-After seconds."},
    FailureText{FailureCode::MemoryFull, 503, "memory_full",
                "This instance holds too many bytes for others to take a request of this size now; "
                "come back after Retry-After seconds."},
};

const FailureText &textOf(FailureCode code)
{
    return kFailureTexts.at(static_cast<std::size_t>(code));
}

// Returns whether kFailureTexts can be indexed by the value of a FailureCode.
constexpr bool textsMatchEnumeration()
{
    for (std::size_t index = 0; index < kFailureTexts.size(); ++index) {
        if (static_cast<std::size_t>(kFailureTexts[index].code) != index) {
            return false;
        }
    }
    return kFailureTexts.size() == static_cast<std::size_t>(FailureCode::MemoryFull) + 1;
}

static_assert(textsMatchEnumeration(), "kFailureTexts lists each FailureCode once, in order");

} // namespace

std::string_view toString(Outcome outcome)
{
    return outcome == Outcome::NotRun ? "not-run" : "unknown";
}

std::string_view toString(FailureCode code)
{
    return textOf(code).name;
}

int httpStatus(FailureCode code)
{
    return textOf(code).status;
}

std::string_view advice(FailureCode code)
{
    return textOf(code).advice;
}

} // namespace seamarch
