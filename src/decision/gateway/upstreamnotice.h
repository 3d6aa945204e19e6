// What an upstream says about itself in the head of an answer, whatever it says of the request.
#pragma once

#include "decision/gateway/requestrate.h"
#include "seamarch/units.h"

#include <optional>

namespace seamarch {

struct UpstreamNotice
{
    // It wants nothing from this gateway for so long from now on. Other gateways are not meant: an
    // upstream asks each of its senders by itself.
    std::optional<Duration> rest;
    bool restUnreadable = false; // It asks for rest, and for how long makes no sense.
    bool leaving = false;        // It will end, and wants nothing new from anybody.
    // What it takes from all gateways together, for as long as its answers say so.
    std::optional<RequestRate> limit = std::nullopt;
    bool limitUnreadable = false; // It names a limit, and how much makes no sense.

    bool empty() const
    {
        return !rest && !restUnreadable && !leaving && !limit && !limitUnreadable;
    }
};

} // namespace seamarch
