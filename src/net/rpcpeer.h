// One endpoint of a Cap'n Proto RPC connection over a raw stream.
#pragma once

#include "net/rawtransport.h"

#include <capnp/rpc-twoparty.h>
#include <functional>
#include <kj/async.h>
#include <memory>

namespace seamarch {

// An RPC endpoint that owns its stream and the RPC system on it. It must not be destroyed inside
// one of its own callbacks; owners post the destruction to the event loop.
class RpcPeer
{
public:
    // Creates the client endpoint.
    static std::unique_ptr<RpcPeer> client(kj::Own<RawStream> stream);
    // Creates the server endpoint, which exports `bootstrap` to the client.
    static std::unique_ptr<RpcPeer> server(kj::Own<RawStream> stream,
                                           capnp::Capability::Client bootstrap);

    RpcPeer(const RpcPeer &) = delete;
    RpcPeer &operator=(const RpcPeer &) = delete;

    // Returns the bootstrap capability that the peer exports.
    capnp::Capability::Client bootstrap();
    // Sets the action that is called once when the connection is closed. Replaces an earlier one.
    void onClosed(std::function<void()> action);
    // Returns a flag that is true once any byte was passed to the socket. The flag stays valid
    // after the endpoint is destroyed.
    std::shared_ptr<const bool> wroteAny() const { return stream_->wroteAny(); }

private:
    RpcPeer(kj::Own<RawStream> stream, capnp::rpc::twoparty::Side side,
            kj::Maybe<capnp::Capability::Client> bootstrap);

    kj::Own<RawStream> stream_;
    capnp::TwoPartyVatNetwork network_;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system_;
    kj::Promise<void> closed_ = nullptr;
};

} // namespace seamarch
