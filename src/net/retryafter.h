// Parses the Retry-After header: the delay that a server asks for when it rejects a request.
#pragma once

#include "net/httptypes.h"
#include "seamarch/units.h"

#include <optional>

namespace seamarch {

// The Retry-After header of a response. The date form is invalid here, because it would require
// synchronized clocks.
struct RetryAfter
{
    std::optional<Duration> delay;
    bool invalid = false; // The header is present but not a number of seconds.
};

// Returns the Retry-After header of a response with `status`. Both fields keep their defaults if
// the header is absent or `status` is not 429 or 503. Accepts fractions of seconds. Limits the
// delay to one day, so that it can be added to a time without overflow.
RetryAfter readRetryAfter(int status, const HttpHeaders &headers);

} // namespace seamarch
