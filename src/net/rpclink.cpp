#include "net/rpclink.h"

#include <utility>

namespace seamarch {

RpcLink::RpcLink(EventLoop &loop, RawTransport &transport, SocketAddress address)
    : loop_(loop)
    , transport_(transport)
    , address_(std::move(address))
{}

RpcLink::~RpcLink() = default;

void RpcLink::setHandlers(std::function<void()> onOpened, std::function<void()> onClosed)
{
    onOpened_ = std::move(onOpened);
    onClosed_ = std::move(onClosed);
}

capnp::Capability::Client RpcLink::capability()
{
    if (peer_ == nullptr) {
        connect();
    }
    return capability_;
}

void RpcLink::connect()
{
    const std::uint64_t generation = ++*generation_;
    peer_ = RpcPeer::client(transport_.connect(address_));
    capability_ = peer_->bootstrap();
    const std::weak_ptr<std::uint64_t> weakGeneration = generation_;
    peer_->onClosed([this, weakGeneration, generation] {
        loop_.post([this, weakGeneration, generation] {
            const auto current = weakGeneration.lock();
            if (current == nullptr || *current != generation) {
                return;
            }
            capability_ = nullptr;
            peer_ = nullptr;
            if (onClosed_) {
                onClosed_();
            }
        });
    });
    if (onOpened_) {
        onOpened_();
    }
}

} // namespace seamarch
