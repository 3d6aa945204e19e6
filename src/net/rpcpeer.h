// One end of a Cap'n Proto RPC connection over a raw stream.
#pragma once

#include "net/rawtransport.h"

#include <capnp/rpc-twoparty.h>
#include <functional>
#include <kj/async.h>
#include <memory>

namespace seamarch {

// Owns the stream and the RPC system on it. It must not be destroyed inside one of its own
// callbacks; owners post the destruction to the loop.
class RpcPeer
{
public:
    // Makes the calling end.
    static std::unique_ptr<RpcPeer> client(kj::Own<RawStream> stream);
    // Makes the serving end, which offers `bootstrap`.
    static std::unique_ptr<RpcPeer> server(kj::Own<RawStream> stream,
                                           capnp::Capability::Client bootstrap);

    RpcPeer(const RpcPeer &) = delete;
    RpcPeer &operator=(const RpcPeer &) = delete;

    // Returns the capability that the other end offers.
    capnp::Capability::Client bootstrap();
    // Calls `action` once when the connection is closed.
    void onClosed(std::function<void()> action);
    // Tells whether any byte was handed to the socket; may be asked after the connection is gone.
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
