// What a caller may conclude from a failed answer, and the stable codes that failed answers carry.
//
// Every failed answer carries the header `Seamarch-Outcome` with one of the words below and a JSON
// body with a `code`. The words and codes are stable: docs/reference.md lists them.
#pragma once

#include <string_view>

namespace seamarch {

// Whether a failed request ran.
enum class Outcome {
    NotRun,  // It is proved that no upstream started it.
    Unknown, // It may have run; nothing more can be said.
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
};

// Returns the word that the header `Seamarch-Outcome` carries.
std::string_view toString(Outcome outcome);

// Returns the stable code that a JSON error carries.
std::string_view toString(FailureCode code);

// Returns the HTTP status that goes with `code`.
int httpStatus(FailureCode code);

// Returns one sentence that says what happened and what the caller can do next.
std::string_view advice(FailureCode code);

} // namespace seamarch
