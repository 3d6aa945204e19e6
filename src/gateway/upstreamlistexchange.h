// Exchanges the store's list of upstreams with other gateways: as the changes to the list that the
// reader has, if that is known, else as the full list.
//
// Single-threaded. The constructor's arguments must outlive the object.
#pragma once

#include "decision/gateway/upstreamhistory.h"
#include "gateway/gatewaystoreview.h"
#include "net/eventloop.h"
#include "wire/seamarch.capnp.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace seamarch {

class UpstreamListExchange
{
public:
    UpstreamListExchange(const EventLoop &loop, const GatewayStoreView &storeView)
        : loop_(loop)
        , storeView_(storeView)
    {}

    // Records the present list, to send later changes to it. Must be called whenever it changes.
    void recordState();
    // Writes the list. `baseDigest` is that of the list whose changes suffice; zero: none.
    void write(wire::GatewayNews::Builder news, std::uint64_t baseDigest);
    // Returns the full list, or nothing if the update has changes to a list that is no longer held.
    std::optional<std::vector<UpstreamRecord>> read(wire::GatewayNews::Reader news) const;

private:
    const EventLoop &loop_;
    const GatewayStoreView &storeView_;
    UpstreamHistory history_; // Recent changes of the list, to send them instead of all.
};

} // namespace seamarch
