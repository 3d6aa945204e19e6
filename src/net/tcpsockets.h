// Non-blocking TCP sockets on the event loop.
//
// libwebsockets polls the descriptors. This class reads, writes and connects itself, because HTTP
// needs information that the library does not provide: whether a peer closed a connection in order
// or reset it, and whether any byte of a request has been passed to the kernel.
//
// A socket is identified by an id. Calls with the id of a closed socket have no effect. All events
// are reported on the loop's thread; a listener may close the socket while it handles an event.
#pragma once

#include "net/eventloop.h"
#include "net/neterror.h"
#include "net/sendqueue.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

namespace seamarch {

using SocketId = std::uint64_t;

// How a connection ended.
enum class SocketEnd {
    Unreachable, // It was not established.
    Refused,     // It was not established: the peer's host refused it, as nothing listens there.
    Finished,    // The peer closed its sending direction in order.
    Reset,       // It failed: reset, timed out, or closed with an error.
};

// Receives the events of sockets. Must outlive them.
class SocketListener
{
public:
    virtual ~SocketListener() = default;

    virtual void onConnected(SocketId /*socket*/) {}
    virtual void onBytes(SocketId socket, std::string_view bytes) = 0;
    // Called when all queued data has been passed to the kernel.
    virtual void onWritten(SocketId /*socket*/) {}
    // Called when the peer has closed its sending direction in order. Returns whether the socket
    // stays open for sending; otherwise onEnd() follows. If it stays open, nothing is read any
    // more, and onEnd() follows once the connection fails or is closed in both directions.
    virtual bool onPeerFinished(SocketId /*socket*/) { return false; }
    // The last event of a socket. Its id is no longer valid.
    virtual void onEnd(SocketId socket, SocketEnd end) = 0;
};

// Owns a set of TCP sockets, both listening and connected. The loop must outlive it.
class TcpSockets
{
public:
    // Returns the listener for an accepted connection.
    using AcceptHandler = std::function<SocketListener &(SocketId)>;

    static tl::expected<std::unique_ptr<TcpSockets>, NetError> create(EventLoop &loop);
    ~TcpSockets();
    TcpSockets(const TcpSockets &) = delete;
    TcpSockets &operator=(const TcpSockets &) = delete;

    // Listens at `address` and calls `handler` for each accepted connection.
    tl::expected<void, NetError> listen(const SocketAddress &address, AcceptHandler handler);
    // Does the same as soon as the address is free, and logs while it is not.
    void listenWhenFree(const SocketAddress &address, AcceptHandler handler);
    // Starts to connect. Calls onConnected() or onEnd() of `listener` after this function has
    // returned.
    SocketId connect(const SocketAddress &address, SocketListener &listener);

    // Sends as much as the kernel accepts and queues the remaining bytes.
    void send(SocketId socket, std::string_view bytes);
    // Sends `bytes` and then `text`, of which no copy is made.
    void send(SocketId socket, std::string_view bytes, SharedText text);
    // Returns the number of queued bytes.
    std::size_t queued(SocketId socket) const;
    // Returns how many bytes the queues of all sockets hold, without shared texts.
    std::size_t queuedTotal() const;
    // Returns whether any byte has been passed to the kernel.
    bool wroteAny(SocketId socket) const;
    // Stops (`paused` is true) or resumes reading.
    void pause(SocketId socket, bool paused);
    // Closes the sending direction in order once all queued data has been sent.
    void finishWriting(SocketId socket);
    // Closes the connection in order and discards queued data. No event follows.
    void close(SocketId socket);
    // Resets the connection, so that the peer sees a failure. No event follows.
    void reset(SocketId socket);
    std::size_t openSockets() const { return entries_.size(); }

private:
    struct Entry
    {
        int descriptor = -1;
        lws *wsi = nullptr;
        SocketListener *listener = nullptr;
        SendQueue queue;
        bool connecting = false;
        bool shutdownPending = false; // Close the sending direction when the queue is empty.
        bool wroteAny = false;
        bool paused = false;         // Reading is paused.
        bool failurePending = false; // A write failed; endAfterReading() is posted.
        bool peerFinished = false;   // The peer sends nothing more; the socket is open for sending.
    };

    struct Listening
    {
        int descriptor = -1;
        lws *wsi = nullptr;
        AcceptHandler handler;
        TimerId resumption = 0; // Set while no connections are accepted.
    };

    // A peer may send faster than its data is handled; the other sockets have their turn meanwhile.
    static constexpr int kMaxReadsPerTurn = 4;

    explicit TcpSockets(EventLoop &loop)
        : loop_(loop)
    {}
    static int callback(lws *wsi, lws_callback_reasons reason, void *user, void *in, size_t size);
    Entry *find(SocketId socket);
    lws *adopt(int descriptor, SocketId id);
    void retryListening(const SocketAddress &address, AcceptHandler handler);
    void acceptAll(Listening &listening);
    bool mayAccept() const;
    void pauseAccepting(Listening &listening);
    void scheduleResumption(Listening &listening);
    // Reads a socket until it has no more data, at most `maxReads` times.
    int onReadable(SocketId id, int maxReads = kMaxReadsPerTurn);
    int onPeerFinished(SocketId id, Entry &entry);
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
    std::unordered_map<SocketId, Listening> listening_;
    std::size_t maxAccepted_ = 0; // The number of sockets from which on none is accepted.
    std::vector<char> buffer_;
    std::set<TimerId> listenRetries_; // Of listenWhenFree().
    SocketId nextId_ = 1;
};

} // namespace seamarch
