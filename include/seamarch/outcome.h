// The outcomes and failure codes of failed responses.
//
// Every failed response carries the header `Seamarch-Outcome`, which tells the caller whether the
// request ran, and a JSON body with a `code`. The values of both are stable; docs/reference.md
// lists them.
#pragma once

#include <string_view>

namespace seamarch {

// Whether a failed request ran.
enum class Outcome {
    NotRun,  // No upstream has started it; this is certain.
    Unknown, // It may or may not have run.
};

// Why a request failed.
enum class FailureCode {
    BadRequest,
    Unauthorized,
    NotFound,
    MethodNotAllowed,
    PayloadTooLarge,
    RateLimited,
    AccountQueueFull,
    DeadlineUnreachable,
    NoUpstream,
    UpstreamLeaving,
    UpstreamUnreachable,
    UpstreamFailed,
    UpstreamTimedOut,
    TicketSpent,
    KeyHomeUnsure,
    KeySeenBefore,
    EntryStopping,
    EntryNotReady,
    KnowledgeStale,
    Cancelled,
    RequestEndsUpstreams,
    UpstreamEnded,
    NoUpstreamInRegions,
    MemoryFull,
};

// Returns the value of the header `Seamarch-Outcome`.
std::string_view toString(Outcome outcome);

// Returns the stable `code` of a JSON error body.
std::string_view toString(FailureCode code);

// Returns the HTTP status of responses with `code`.
int httpStatus(FailureCode code);

// Returns a message for the caller that states what happened and what to do next.
std::string_view advice(FailureCode code);

} // namespace seamarch
