// What an upstream says about itself in the head of an answer, whatever it says of the request.
#pragma once

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

    bool empty() const { return !rest && !restUnreadable && !leaving; }
};

} // namespace seamarch
