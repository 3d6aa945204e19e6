// An agent's answer to the arrival of a request.
#pragma once

#include "seamarch/outcome.h"
#include "seamarch/units.h"

namespace seamarch {

// Whether an agent takes a request. A refusal says whether it proves that the request did not run.
struct AdmissionResult
{
    bool accepted = false;
    bool started = false; // Accepted, and it did not have to wait.
    FailureCode failure = FailureCode::NoUpstream;
    Outcome outcome = Outcome::NotRun;
    Duration retryAfter{};
};

} // namespace seamarch
