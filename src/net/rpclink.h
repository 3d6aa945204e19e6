// An RPC connection that is established on first use, and again on the next use after it is lost.
#pragma once

#include "net/eventloop.h"
#include "net/rawtransport.h"
#include "net/rpcpeer.h"

#include <capnp/capability.h>
#include <cstdint>
#include <functional>
#include <memory>

namespace seamarch {

// An RPC client that owns its connection and reconnects on demand. Calls `onClosed` from the event
// loop, never inside an RPC callback, so the owner may destroy the link in it. Single-threaded.
class RpcLink
{
public:
    RpcLink(EventLoop &loop, RawTransport &transport, SocketAddress address);
    ~RpcLink();
    RpcLink(const RpcLink &) = delete;
    RpcLink &operator=(const RpcLink &) = delete;

    // Sets the handlers. `onOpened` is called each time a connection attempt starts, `onClosed`
    // each time a connection is closed or an attempt fails.
    void setHandlers(std::function<void()> onOpened, std::function<void()> onClosed);

    // Returns the bootstrap capability of the peer. Connects first if there is no connection.
    capnp::Capability::Client capability();
    // Returns a flag that is true once any byte of the current connection was passed to the socket.
    // Must only be called while there is a connection.
    std::shared_ptr<const bool> wroteAny() const { return peer_->wroteAny(); }
    const SocketAddress &address() const { return address_; }

private:
    void connect();

    EventLoop &loop_;
    RawTransport &transport_;
    SocketAddress address_;
    std::function<void()> onOpened_;
    std::function<void()> onClosed_;
    std::unique_ptr<RpcPeer> peer_;
    capnp::Capability::Client capability_{nullptr};
    // The number of the current connection. Posted tasks hold a weak pointer to it and do nothing
    // if the link is destroyed or has reconnected.
    std::shared_ptr<std::uint64_t> generation_ = std::make_shared<std::uint64_t>(0);
};

} // namespace seamarch
