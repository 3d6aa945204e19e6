// A connection to a process that is made when it is first used and anew after every break.
#pragma once

#include "net/eventloop.h"
#include "net/rawtransport.h"
#include "net/rpcpeer.h"

#include <capnp/capability.h>
#include <cstdint>
#include <functional>
#include <memory>

namespace seamarch {

// Owns the connection. Calls `onClosed` from the loop, never inside an RPC callback, so the owner
// may destroy the link there. Single-threaded.
class RpcLink
{
public:
    RpcLink(EventLoop &loop, RawTransport &transport, SocketAddress address);
    ~RpcLink();
    RpcLink(const RpcLink &) = delete;
    RpcLink &operator=(const RpcLink &) = delete;

    // Calls `onOpened` for each new connection and `onClosed` after each break.
    void setHandlers(std::function<void()> onOpened, std::function<void()> onClosed);

    // Returns what the other end offers; connects if there is no connection.
    capnp::Capability::Client capability();
    // Tells whether any byte of the current connection was handed to the socket.
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
    // Posted work asks whether the link still exists and which connection it speaks of.
    std::shared_ptr<std::uint64_t> generation_ = std::make_shared<std::uint64_t>(0);
};

} // namespace seamarch
