// Exchanges the list of the site's gateways with other gateways, in polls and their answers.
//
// Single-threaded. The constructor's arguments must outlive the object.
#pragma once

#include "decision/membership/gatewaydirectory.h"
#include "net/eventloop.h"
#include "wire/seamarch.capnp.h"

#include <cstdint>

namespace seamarch {

class GatewayListExchange
{
public:
    GatewayListExchange(const EventLoop &loop, GatewayDirectory &directory)
        : loop_(loop)
        , directory_(directory)
        , startedAt_(loop.now())
    {}

    // Returns whether to request the list with the next poll of any gateway.
    bool isDue() const;
    void onRequested() { requestedAt_ = loop_.now(); }
    // Makes the next poll request the list, because a gateway did not answer.
    void onFailed() { requestedAt_ = {}; }

    // Adds the gateways that another one has listed, itself first.
    void apply(wire::GatewayNews::Reader news);
    // Lists the known gateways. `knownDigest` names the set that the reader has already.
    void write(wire::GatewayNews::Builder news, std::uint64_t knownDigest) const;

private:
    const EventLoop &loop_;
    GatewayDirectory &directory_;
    TimePoint startedAt_;
    TimePoint requestedAt_{}; // The last time, from any gateway.
};

} // namespace seamarch
