#include "net/rpcpeer.h"

#include "base/log.h"

#include <capnp/message.h>
#include <utility>

namespace seamarch {
namespace {

using capnp::rpc::twoparty::Side;
using capnp::rpc::twoparty::VatId;

capnp::RpcSystem<VatId> makeSystem(capnp::TwoPartyVatNetwork &network,
                                   kj::Maybe<capnp::Capability::Client> bootstrap)
{
    KJ_IF_MAYBE (capability, bootstrap) {
        return capnp::makeRpcServer(network, kj::mv(*capability));
    }
    return capnp::makeRpcClient(network);
}

} // namespace

RpcPeer::RpcPeer(kj::Own<RawStream> stream, Side side,
                 kj::Maybe<capnp::Capability::Client> bootstrap)
    : stream_(kj::mv(stream))
    , network_(*stream_, side)
    , system_(makeSystem(network_, kj::mv(bootstrap)))
{}

std::unique_ptr<RpcPeer> RpcPeer::client(kj::Own<RawStream> stream)
{
    return std::unique_ptr<RpcPeer>(new RpcPeer(kj::mv(stream), Side::CLIENT, nullptr));
}

std::unique_ptr<RpcPeer> RpcPeer::server(kj::Own<RawStream> stream,
                                         capnp::Capability::Client bootstrap)
{
    return std::unique_ptr<RpcPeer>(new RpcPeer(kj::mv(stream), Side::SERVER, kj::mv(bootstrap)));
}

capnp::Capability::Client RpcPeer::bootstrap()
{
    capnp::MallocMessageBuilder message;
    auto vat = message.initRoot<VatId>();
    vat.setSide(network_.getSide() == Side::CLIENT ? Side::SERVER : Side::CLIENT);
    return system_.bootstrap(vat);
}

void RpcPeer::onClosed(std::function<void()> action)
{
    closed_ = stream_->onClosed()
                  .then([action = std::move(action)] { action(); })
                  .eagerlyEvaluate([](kj::Exception &&error) {
                      logLine(LogLevel::Warning, "rpc.closed",
                              {{"message", error.getDescription().cStr()}});
                  });
}

} // namespace seamarch
