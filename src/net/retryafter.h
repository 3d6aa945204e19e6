// Reads for how long a server that turned a request away wants nothing more.
#pragma once

#include "net/httptypes.h"
#include "seamarch/units.h"

#include <optional>

namespace seamarch {

// The wish in the head of an answer. The form with a date is not read: it would compare clocks.
struct RetryAfter
{
    std::optional<Duration> delay;
    bool invalid = false; // There is a wish, but it is no number of seconds.
};

// Returns the wish in an answer with `status`; none where such an answer turns nothing away.
// Seconds may have fractions. More than a day is taken for a day, so that times can be reckoned
// with it.
RetryAfter readRetryAfter(int status, const HttpHeaders &headers);

} // namespace seamarch
