// Byte streams for Cap'n Proto RPC over raw libwebsockets connections.
//
// A RawStream implements `kj::AsyncIoStream`, so the RPC system runs on it unchanged. Reads are
// served from a buffer that the libwebsockets receive callback fills. Writes are queued, merged and
// sent when the socket is writable. Both directions apply backpressure: receiving pauses while the
// receive buffer is full, and a write promise stays unresolved while the write queue is full.
#pragma once

#include "net/eventloop.h"
#include "net/neterror.h"

#include <cstdint>
#include <functional>
#include <kj/async-io.h>
#include <kj/async.h>
#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace seamarch {

using ConnectionId = std::uint64_t;

class RawTransport;

// A byte stream over one connection. The destructor closes the connection. It must not outlive the
// transport. Single-threaded.
class RawStream final : public kj::AsyncIoStream
{
public:
    RawStream(RawTransport &transport, ConnectionId id);
    ~RawStream() noexcept(false);
    KJ_DISALLOW_COPY(RawStream);

    kj::Promise<size_t> tryRead(void *buffer, size_t minBytes, size_t maxBytes) override;
    kj::Promise<void> write(const void *buffer, size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;

    // Resolves when either side has closed the connection, or it could not be established.
    kj::Promise<void> onClosed();

    ConnectionId id() const { return id_; }
    // Returns the IP address of the peer, or an empty string before the connection is established
    // and after it is closed.
    std::string peerHost() const;
    // Returns a flag that is true once any byte was passed to the socket. The flag stays valid
    // after the stream is destroyed.
    std::shared_ptr<const bool> wroteAny() const { return wroteAny_; }

private:
    friend class RawTransport;

    struct PendingRead
    {
        kj::byte *buffer = nullptr;
        size_t minBytes = 0;
        size_t maxBytes = 0;
        kj::Own<kj::PromiseFulfiller<size_t>> fulfiller;
    };

    size_t consumeReceived(kj::byte *buffer, size_t maxBytes);
    size_t receivedSize() const { return received_.size() - receivedOffset_; }
    void completePendingRead();
    kj::Promise<void> scheduleWrite();
    void onReceive(const void *data, size_t size);
    void onWriteable(lws *wsi);
    void onConnected(lws *wsi);
    void onClose();

    RawTransport &transport_;
    ConnectionId id_;
    lws *wsi_ = nullptr;
    bool closed_ = false;
    std::shared_ptr<bool> wroteAny_ = std::make_shared<bool>(false);
    bool receivePaused_ = false;
    std::string received_;
    size_t receivedOffset_ = 0;
    std::string queued_;
    kj::Maybe<PendingRead> pendingRead_;
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> pendingWrites_;
    kj::Own<kj::PromiseFulfiller<void>> closedFulfiller_;
    kj::ForkedPromise<void> closedPromise_;
};

// Creates outgoing raw connections and accepts incoming ones. There is one per process.
class RawTransport
{
public:
    using AcceptHandler = std::function<void(kj::Own<RawStream>)>;

    static tl::expected<std::unique_ptr<RawTransport>, NetError> create(EventLoop &loop);
    ~RawTransport() = default;
    RawTransport(const RawTransport &) = delete;
    RawTransport &operator=(const RawTransport &) = delete;

    // Listens at `address` and passes each accepted connection to `handler`.
    tl::expected<void, NetError> listen(const SocketAddress &address, AcceptHandler handler);

    // Return the bytes received and sent on all connections since the transport was created.
    std::uint64_t bytesIn() const { return bytesIn_; }
    std::uint64_t bytesOut() const { return bytesOut_; }

    // Starts to connect to `address`. The stream can be used immediately: writes are queued until
    // the connection is established. It is closed if the connection fails.
    kj::Own<RawStream> connect(const SocketAddress &address);

private:
    friend class RawStream;

    explicit RawTransport(EventLoop &loop)
        : loop_(loop)
    {}
    static int callback(lws *wsi, lws_callback_reasons reason, void *user, void *in, size_t size);
    RawStream *find(lws *wsi);
    void acceptConnection(lws *wsi);
    void removeStream(ConnectionId id) { streams_.erase(id); }

    EventLoop &loop_;
    lws_vhost *clientVhost_ = nullptr;
    std::map<lws_vhost *, AcceptHandler> acceptHandlers_;
    std::map<ConnectionId, RawStream *> streams_;
    ConnectionId nextId_ = 1;
    std::uint64_t bytesIn_ = 0;
    std::uint64_t bytesOut_ = 0;
};

} // namespace seamarch
