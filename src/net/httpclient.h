// An HTTP/1.1 client for calls to upstreams, to the platform and to engines.
//
// A call is one request with its response, identified by an id. The body of a response is passed on
// as it arrives; a receiver that cannot keep up pauses the call.
//
// The client keeps a connection open after a response if both sides allow it, and reuses it for
// calls that allow reuse. It closes the connection if the framing of the last response is in doubt:
// bytes followed its end, it was complete before the request was fully written, or only the end of
// the connection delimited it.
#pragma once

#include "net/eventloop.h"
#include "net/httpreader.h"
#include "net/httptypes.h"
#include "net/neterror.h"
#include "net/sharedtext.h"
#include "net/tcpsockets.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

namespace seamarch {

using HttpCallId = std::uint64_t;

// When the connection of an abandoned call is closed, counted from when the call is abandoned.
struct AbandonTimes
{
    Duration sending; // Until the sending direction is closed.
    Duration reading; // Until the connection is closed completely.
};

// Relays and some servers close a connection completely when the sending direction is closed, so an
// answer that is under way is awaited first. Upstreams must stop work half a second after a caller
// has left; one that notices only when it writes does so once the connection is closed completely.
constexpr AbandonTimes kAbandonTimes{std::chrono::milliseconds(100),
                                     std::chrono::milliseconds(400)};
// For a request that the upstream must not start any more.
constexpr AbandonTimes kStopAtOnceTimes{Duration{}, kAbandonTimes.reading};
// An upstream may drop the connection of an abandoned call before it crashes on the request, so it
// is probed this long after the end of the connection.
constexpr Duration kAbandonedProbeDelay = std::chrono::milliseconds(100);

// The idle connections that a call may reuse. The peer may be closing an idle connection at the
// same time, in which case it is not known whether the peer read the request.
enum class ConnectionReuse {
    Never,        // A new connection, which is closed after the call.
    RecentlyUsed, // A connection that was in use less than 900 ms ago.
    Any,          // Any connection whose keep-alive time has not expired.
};

struct HttpCallRequest
{
    SocketAddress address;
    std::string method = "GET";
    std::string path = "/"; // The request target, including the query.
    std::string contentType = {};
    HttpHeaders headers = {}; // A Host header is added if there is none.
    SharedText body = {};
    ConnectionReuse reuse = ConnectionReuse::Never;
    Duration connectTimeout = std::chrono::seconds(5); // Nothing is sent after it.
};

// How a call ended.
enum class HttpCallEnd {
    Complete,             // The complete response arrived.
    ClosedByPeer,         // The peer closed the connection, which ends a response without a length.
    NotSent,              // No connection was established, or the request cannot be written.
    ReusedConnectionLost, // A reused connection broke before any byte of the response.
    Interrupted,          // The connection broke; the request may have been written.
    MalformedResponse,    // The peer sent something other than an HTTP response.
};

// Returns whether the response is complete. The kernel also closes the connections of a process
// that crashes, so only a stated length or chunks prove that a response is.
constexpr bool isComplete(HttpCallEnd end)
{
    return end == HttpCallEnd::Complete || end == HttpCallEnd::ClosedByPeer;
}

// Receives the response to one call, on the loop's thread.
class HttpCallReceiver
{
public:
    virtual ~HttpCallReceiver() = default;

    virtual void onHead(HttpHead head) = 0;
    // Takes the next part of the body.
    virtual void onPiece(std::string_view piece) = 0;
    // Called last, once; the client destroys the receiver afterwards.
    virtual void onEnd(HttpCallEnd end) = 0;
};

// Makes HTTP calls and keeps idle connections for reuse. The loop must outlive the client.
class HttpClient final : private SocketListener
{
public:
    static tl::expected<std::unique_ptr<HttpClient>, NetError> create(EventLoop &loop);
    ~HttpClient() override;
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Starts a call. `receiver` is told the end of the call, after this function has returned,
    // unless the call is cancelled.
    HttpCallId call(HttpCallRequest request, std::unique_ptr<HttpCallReceiver> receiver);
    // Cancels the call, closes its connection and destroys the receiver without calling it again,
    // at the latest in the next iteration of the loop. Returns false if the call is over already.
    bool cancel(HttpCallId call);
    // Ends a call whose request has been sent in two steps: closes the sending direction, as a
    // close would, and then cancels the call. Until then what the peer sends goes to `receiver`,
    // which replaces the call's own. If the request has not been sent completely or the response
    // has begun, the call is cancelled at once; returns false.
    bool abandon(HttpCallId call, const AbandonTimes &times,
                 std::unique_ptr<HttpCallReceiver> receiver);
    // Stops (`paused` is true) or resumes reading the response.
    void pause(HttpCallId call, bool paused);
    // Returns whether any byte of the request may have been passed to the kernel.
    bool wroteAny(HttpCallId call) const;
    // Closes the idle connections to `address`, for an address that another peer has taken over.
    void closeIdleConnections(const SocketAddress &address);

    // Returns how many bytes of requests the client has copied and not passed to the kernel yet.
    // Large bodies are not copied.
    std::size_t unsentBytes() const { return sockets_->queuedTotal(); }
    std::uint64_t connectionsMade() const { return connectionsMade_; }

private:
    struct Connection;

    explicit HttpClient(EventLoop &loop);
    void onConnected(SocketId socket) override;
    void onBytes(SocketId socket, std::string_view bytes) override;
    void onEnd(SocketId socket, SocketEnd end) override;

    SocketId takeIdleConnection(const HttpCallRequest &request);
    void sendRequest(Connection &connection);
    void read(SocketId socket, std::string_view bytes);
    void onResponseComplete(Connection &connection, bool hasExtraBytes);
    void endCall(HttpCallId id, HttpCallEnd callEnd);
    void closeConnection(SocketId socket);
    void finishSending(HttpCallId call);
    void scheduleForCall(Duration delay, HttpCallId call, void (HttpClient::*action)(HttpCallId));
    void expireAbandoned(HttpCallId call) { cancel(call); }
    void sweep();

    EventLoop &loop_;
    std::unique_ptr<TcpSockets> sockets_;
    std::unordered_map<SocketId, std::unique_ptr<Connection>> connections_;
    std::unordered_map<HttpCallId, SocketId> calls_;
    std::map<SocketAddress, std::vector<SocketId>> idleConnections_; // Most recently used last.
    std::unique_ptr<PeriodicTimer> sweepTimer_;
    HttpCallId nextCall_ = 1;
    std::uint64_t connectionsMade_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); // Checked by timers.
};

} // namespace seamarch
