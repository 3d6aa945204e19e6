#include "net/rawtransport.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <fmt/format.h>
#include <kj/debug.h>
#include <utility>
#include <vector>

namespace seamarch {
namespace {

// Receiving pauses when this many bytes are unread, and resumes below half of it.
constexpr size_t kReceiveHighWaterBytes = 1024 * 1024;
// Write promises stay unresolved while this many bytes or more are queued.
constexpr size_t kWriteHighWaterBytes = 256 * 1024;
// The maximum size of one write to the socket.
constexpr size_t kMaxWriteBytes = 64 * 1024;
constexpr const char *kProtocolName = "seamarch-rpc";

ConnectionId connectionIdOf(lws *wsi)
{
    return reinterpret_cast<ConnectionId>(lws_get_opaque_user_data(wsi));
}

void *toOpaqueData(ConnectionId id)
{
    return reinterpret_cast<void *>(id); // NOLINT(performance-no-int-to-ptr): never dereferenced
}

kj::Exception disconnectedException()
{
    return KJ_EXCEPTION(DISCONNECTED, "connection closed");
}

} // namespace

RawStream::RawStream(RawTransport &transport, ConnectionId id)
    : transport_(transport)
    , id_(id)
    , closedPromise_(nullptr)
{
    auto paf = kj::newPromiseAndFulfiller<void>();
    closedFulfiller_ = kj::mv(paf.fulfiller);
    closedPromise_ = paf.promise.fork();
}

RawStream::~RawStream() noexcept(false)
{
    transport_.removeStream(id_);
    if (wsi_ != nullptr) {
        lws_set_opaque_user_data(wsi_, nullptr);
        lws_set_timeout(wsi_, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

size_t RawStream::consumeReceived(kj::byte *buffer, size_t maxBytes)
{
    const size_t size = std::min(maxBytes, receivedSize());
    std::memcpy(buffer, received_.data() + receivedOffset_, size);
    receivedOffset_ += size;
    if (receivedOffset_ == received_.size()) {
        received_.clear();
        receivedOffset_ = 0;
    }
    if (receivePaused_ && wsi_ != nullptr && receivedSize() < kReceiveHighWaterBytes / 2) {
        receivePaused_ = false;
        lws_rx_flow_control(wsi_, 1);
    }
    return size;
}

kj::Promise<size_t> RawStream::tryRead(void *buffer, size_t minBytes, size_t maxBytes)
{
    auto *bytes = static_cast<kj::byte *>(buffer);
    if (receivedSize() >= minBytes || closed_) {
        return consumeReceived(bytes, maxBytes);
    }
    auto paf = kj::newPromiseAndFulfiller<size_t>();
    pendingRead_ = PendingRead{bytes, minBytes, maxBytes, kj::mv(paf.fulfiller)};
    return kj::mv(paf.promise);
}

void RawStream::completePendingRead()
{
    KJ_IF_MAYBE (read, pendingRead_) {
        if (receivedSize() < read->minBytes && !closed_) {
            return;
        }
        const size_t size = consumeReceived(read->buffer, read->maxBytes);
        auto fulfiller = kj::mv(read->fulfiller);
        pendingRead_ = nullptr;
        fulfiller->fulfill(kj::cp(size));
    }
}

kj::Promise<void> RawStream::scheduleWrite()
{
    if (wsi_ != nullptr) {
        lws_callback_on_writable(wsi_);
    }
    if (queued_.size() < kWriteHighWaterBytes) {
        return kj::READY_NOW;
    }
    auto paf = kj::newPromiseAndFulfiller<void>();
    pendingWrites_.push_back(kj::mv(paf.fulfiller));
    return kj::mv(paf.promise);
}

kj::Promise<void> RawStream::write(const void *buffer, size_t size)
{
    if (closed_) {
        return disconnectedException();
    }
    queued_.append(static_cast<const char *>(buffer), size);
    return scheduleWrite();
}

kj::Promise<void> RawStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    if (closed_) {
        return disconnectedException();
    }
    for (const auto &piece : pieces) {
        queued_.append(reinterpret_cast<const char *>(piece.begin()), piece.size());
    }
    return scheduleWrite();
}

kj::Promise<void> RawStream::whenWriteDisconnected()
{
    return closedPromise_.addBranch();
}

kj::Promise<void> RawStream::onClosed()
{
    return closedPromise_.addBranch();
}

void RawStream::shutdownWrite()
{
    if (wsi_ != nullptr) {
        lws_set_timeout(wsi_, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

void RawStream::onReceive(const void *data, size_t size)
{
    received_.append(static_cast<const char *>(data), size);
    transport_.bytesIn_ += size;
    completePendingRead();
    if (receivedSize() >= kReceiveHighWaterBytes && !receivePaused_) {
        receivePaused_ = true;
        lws_rx_flow_control(wsi_, 0);
    }
}

void RawStream::onWriteable(lws *wsi)
{
    if (queued_.empty()) {
        return;
    }
    const size_t size = std::min(queued_.size(), kMaxWriteBytes);
    std::vector<unsigned char> buffer(LWS_PRE + size);
    std::memcpy(buffer.data() + LWS_PRE, queued_.data(), size);
    *wroteAny_ = true;
    if (lws_write(wsi, buffer.data() + LWS_PRE, size, LWS_WRITE_RAW) < 0) {
        return;
    }
    queued_.erase(0, size);
    transport_.bytesOut_ += size;
    if (queued_.size() < kWriteHighWaterBytes) {
        for (auto &fulfiller : pendingWrites_) {
            fulfiller->fulfill();
        }
        pendingWrites_.clear();
    }
    if (!queued_.empty()) {
        lws_callback_on_writable(wsi);
    }
}

void RawStream::onConnected(lws *wsi)
{
    wsi_ = wsi;
    if (!queued_.empty()) {
        lws_callback_on_writable(wsi);
    }
}

std::string RawStream::peerHost() const
{
    constexpr std::size_t kMaxAddressLength = 64; // Of an IP address as text.
    std::array<char, kMaxAddressLength> host{};
    const bool known = wsi_ != nullptr && !closed_;
    const char *found = known ? lws_get_peer_simple(wsi_, host.data(), host.size()) : nullptr;
    return found == nullptr ? std::string() : std::string(found);
}

void RawStream::onClose()
{
    wsi_ = nullptr;
    closed_ = true;
    completePendingRead();
    for (auto &fulfiller : pendingWrites_) {
        fulfiller->reject(disconnectedException());
    }
    pendingWrites_.clear();
    closedFulfiller_->fulfill();
}

tl::expected<std::unique_ptr<RawTransport>, NetError> RawTransport::create(EventLoop &loop)
{
    static const lws_protocols kProtocols[] = {{kProtocolName, callback, 0, 0, 0, nullptr, 0},
                                               {nullptr, nullptr, 0, 0, 0, nullptr, 0}};
    std::unique_ptr<RawTransport> transport(new RawTransport(loop));
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = kProtocols;
    info.user = transport.get();
    info.vhost_name = "rpc-client";
    transport->clientVhost_ = lws_create_vhost(loop.context(), &info);
    if (transport->clientVhost_ == nullptr) {
        return tl::unexpected(
            NetError{NetError::Kind::ContextFailed, "cannot create the vhost for RPC clients"});
    }
    return transport;
}

tl::expected<void, NetError> RawTransport::listen(const SocketAddress &address,
                                                  AcceptHandler handler)
{
    static const lws_protocols kProtocols[] = {{kProtocolName, callback, 0, 0, 0, nullptr, 0},
                                               {nullptr, nullptr, 0, 0, 0, nullptr, 0}};
    lws_context_creation_info info{};
    info.port = address.port;
    info.iface = address.host.c_str();
    info.protocols = kProtocols;
    info.options = LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG
                   | LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
    info.listen_accept_role = "raw-skt";
    info.listen_accept_protocol = kProtocolName;
    info.user = this;
    info.vhost_name = "rpc-server";
    lws_vhost *host = lws_create_vhost(loop_.context(), &info);
    if (host == nullptr) {
        return tl::unexpected(
            NetError{NetError::Kind::ListenFailed,
                     fmt::format("cannot listen for RPC at {}:{}", address.host, address.port)});
    }
    acceptHandlers_.emplace(host, std::move(handler));
    return {};
}

kj::Own<RawStream> RawTransport::connect(const SocketAddress &address)
{
    const ConnectionId id = nextId_++;
    auto stream = kj::heap<RawStream>(*this, id);
    streams_.emplace(id, stream.get());
    lws_client_connect_info info{};
    info.context = loop_.context();
    info.vhost = clientVhost_;
    info.address = address.host.c_str();
    info.port = address.port;
    info.host = info.address;
    info.method = "RAW";
    info.local_protocol_name = kProtocolName;
    info.opaque_user_data = toOpaqueData(id);
    if (lws_client_connect_via_info(&info) == nullptr) {
        const auto found = streams_.find(id);
        if (found != streams_.end() && !found->second->closed_) {
            found->second->onClose();
        }
    }
    return stream;
}

RawStream *RawTransport::find(lws *wsi)
{
    const auto found = streams_.find(connectionIdOf(wsi));
    return found == streams_.end() ? nullptr : found->second;
}

void RawTransport::acceptConnection(lws *wsi)
{
    const auto handler = acceptHandlers_.find(lws_get_vhost(wsi));
    if (handler == acceptHandlers_.end()) {
        return;
    }
    const ConnectionId id = nextId_++;
    auto stream = kj::heap<RawStream>(*this, id);
    streams_.emplace(id, stream.get());
    lws_set_opaque_user_data(wsi, toOpaqueData(id));
    stream->onConnected(wsi);
    handler->second(kj::mv(stream));
}

int RawTransport::callback(lws *wsi, lws_callback_reasons reason, void * /*user*/, void *in,
                           size_t size)
{
    lws_vhost *host = wsi == nullptr ? nullptr : lws_get_vhost(wsi);
    auto *transport = host == nullptr ? nullptr : static_cast<RawTransport *>(lws_vhost_user(host));
    if (transport == nullptr) {
        return 0;
    }
    if (reason == LWS_CALLBACK_RAW_ADOPT) {
        if (transport->find(wsi) == nullptr) {
            transport->acceptConnection(wsi);
        }
        return 0;
    }
    RawStream *stream = transport->find(wsi);
    switch (reason) {
    case LWS_CALLBACK_RAW_CONNECTED:
        if (stream == nullptr) {
            return -1;
        }
        stream->onConnected(wsi);
        return 0;
    case LWS_CALLBACK_RAW_RX:
        if (stream == nullptr) {
            return -1;
        }
        stream->onReceive(in, size);
        return 0;
    case LWS_CALLBACK_RAW_WRITEABLE:
        if (stream == nullptr) {
            return -1;
        }
        stream->onWriteable(wsi);
        return 0;
    case LWS_CALLBACK_RAW_CLOSE:
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
        if (stream != nullptr && !stream->closed_) {
            stream->onClose();
        }
        return 0;
    default:
        return 0;
    }
}

} // namespace seamarch
