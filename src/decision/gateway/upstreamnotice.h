// The state that an upstream reports about itself in the head of an answer, independently of the
// result of the request.
#pragma once

#include "decision/gateway/requestrate.h"
#include "seamarch/units.h"

#include <optional>

namespace seamarch {

// The parsed notice of one answer.
struct UpstreamNotice
{
    // The upstream asks this gateway to send nothing for this long from now on. It does not apply
    // to other gateways: an upstream asks each sender separately.
    std::optional<Duration> rest;
    bool restUnreadable = false; // The duration of the requested rest could not be parsed.
    bool leaving = false;        // The upstream will stop and accepts no new requests.
    // The rate that the upstream accepts from all gateways together, until an answer comes without
    // it.
    std::optional<RequestRate> limit = std::nullopt;
    bool limitUnreadable = false; // The reported limit could not be parsed.

    // Returns whether the answer contained no notice.
    bool empty() const
    {
        return !rest && !restUnreadable && !leaving && !limit && !limitUnreadable;
    }
};

} // namespace seamarch
