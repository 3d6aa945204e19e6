// AdmissionResult: an agent's decision on a request that an entry sends it.
#pragma once

#include "seamarch/outcome.h"
#include "seamarch/units.h"

namespace seamarch {

// An agent's decision on a request: accepted, or refused with a reason. The fields after `started`
// are meaningful only for a refusal.
struct AdmissionResult
{
    bool accepted = false;
    bool started = false; // The request started at once instead of being queued.
    FailureCode failure = FailureCode::NoUpstream;
    // NotRun if the refusal proves that the request did not run, else Unknown.
    Outcome outcome = Outcome::NotRun;
    Duration retryAfter{}; // Suggested delay before a retry; zero: none is suggested.
};

} // namespace seamarch
