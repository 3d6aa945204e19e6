// Non-blocking TCP sockets on the loop.
//
// libwebsockets polls the descriptors; reading, writing and connecting are done here, because HTTP
// needs to know what the library does not tell: whether a peer ended a connection in order or reset
// it, and whether any byte of a request has been handed to the kernel.
//
// A socket is addressed by its id. Calls with the id of a socket that is gone have no effect. All
// events come on the loop's thread; a listener may close the socket from inside an event.
#pragma once

#include "net/eventloop.h"
#include "net/neterror.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

namespace seamarch {

using SocketId = std::uint64_t;

// How a connection ended.
enum class SocketEnd {
    Unreachable, // It was never made.
    Refused,     // It was never made: the peer's host says that nobody listens there.
    Finished,    // The peer ended its direction in order.
    Reset,       // It broke: reset, timed out, or closed with an error.
};

// Receives the events of sockets. Outlives them.
class SocketListener
{
public:
    virtual ~SocketListener() = default;

    virtual void onConnected(SocketId /*socket*/) {}
    virtual void onBytes(SocketId socket, std::string_view bytes) = 0;
    // Everything that was queued has been handed to the kernel.
    virtual void onWritten(SocketId /*socket*/) {}
    // The last event of a socket, which is gone already.
    virtual void onEnd(SocketId socket, SocketEnd end) = 0;
};

// Owns all plain TCP sockets of a process. The loop outlives it.
class TcpSockets
{
public:
    // Returns the listener of a connection that was accepted.
    using AcceptHandler = std::function<SocketListener &(SocketId)>;

    static tl::expected<std::unique_ptr<TcpSockets>, NetError> create(EventLoop &loop);
    ~TcpSockets();
    TcpSockets(const TcpSockets &) = delete;
    TcpSockets &operator=(const TcpSockets &) = delete;

    tl::expected<void, NetError> listen(const SocketAddress &address, AcceptHandler handler);
    // Starts to connect. onConnected() or onEnd() follows, never from inside this call.
    SocketId connect(const SocketAddress &address, SocketListener &listener);

    // Sends now what the kernel takes and queues the rest.
    void send(SocketId socket, std::string_view bytes);
    std::size_t queued(SocketId socket) const;
    // Tells whether any byte was ever handed to the kernel.
    bool wroteAny(SocketId socket) const;
    // Stops or restarts reading.
    void pause(SocketId socket, bool paused);
    // Ends the sending direction in order once all that is queued has been sent.
    void finishWriting(SocketId socket);
    // Ends the connection in order; what is queued is dropped. No event follows.
    void close(SocketId socket);
    // Resets the connection, so that the peer sees that it broke. No event follows.
    void reset(SocketId socket);
    std::size_t open() const { return entries_.size(); }

private:
    struct Entry
    {
        int descriptor = -1;
        lws *wsi = nullptr;
        SocketListener *listener = nullptr;
        std::string queue;
        bool connecting = false;
        bool shutdownPending = false; // The sending direction ends when the queue is empty.
        bool wroteAny = false;
        bool failurePending = false; // A failed write is being followed up.
    };

    explicit TcpSockets(EventLoop &loop)
        : loop_(loop)
    {}
    static int callback(lws *wsi, lws_callback_reasons reason, void *user, void *in, size_t size);
    Entry *find(SocketId socket);
    lws *adopt(int descriptor, SocketId id);
    void acceptAll(int listening, const AcceptHandler &handler);
    int onReadable(SocketId id);
    int onWriteable(SocketId id);
    void flush(SocketId id, Entry &entry);
    void endAfterReading(SocketId id);
    void requestWriteable(SocketId id);
    bool finishConnect(SocketId id, Entry &entry);
    void end(SocketId id, SocketEnd cause);
    void release(SocketId id);

    EventLoop &loop_;
    lws_vhost *vhost_ = nullptr;
    std::unordered_map<SocketId, std::unique_ptr<Entry>> entries_;
    std::unordered_map<SocketId, std::pair<int, AcceptHandler>> listening_;
    std::vector<char> buffer_;
    SocketId nextId_ = 1;
};

} // namespace seamarch
