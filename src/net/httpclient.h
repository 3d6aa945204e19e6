// The HTTP client: calls to upstreams, to the platform and to engines.
//
// A call is one request with its answer, addressed by its id. Answers arrive in pieces; a piece
// that the receiver cannot take is held back by pausing the call.
//
// Connections are kept after an answer when both sides agree, and used again by calls that allow
// it. A connection is never kept when anything about its last answer was in doubt: bytes after the
// end, an answer that came before the request was written, an end that the connection had to mark.
#pragma once

#include "net/eventloop.h"
#include "net/httpreader.h"
#include "net/httptypes.h"
#include "net/neterror.h"
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

// Which kept connections a call may use. A kept connection may be closing unseen at the other end,
// so that it is not known whether a request on it was read.
enum class ConnectionReuse {
    Never,        // A new connection, which closes after the call.
    RecentlyUsed, // One that was in use a moment ago.
    Any,          // Any that the peer has not said to be over.
};

struct HttpCallRequest
{
    SocketAddress address;
    std::string method = "GET";
    std::string path = "/"; // The whole target, with the query.
    std::string contentType = {};
    HttpHeaders headers = {}; // A host header is added when there is none.
    std::string body = {};
    ConnectionReuse reuse = ConnectionReuse::Never;
    Duration connectTimeout = std::chrono::seconds(5);
};

// How a call ended.
enum class HttpCallEnd {
    Complete,             // The whole answer arrived.
    NotSent,              // The connection was never made: nothing was written.
    ReusedConnectionLost, // A kept connection broke before any byte of the answer.
    Interrupted,          // The connection broke after the request may have been written.
    MalformedResponse,    // What came is no HTTP answer.
};

// Receives the answer of one call. All calls come on the loop's thread.
class HttpCallReceiver
{
public:
    virtual ~HttpCallReceiver() = default;

    virtual void onHead(HttpHead head) = 0;
    virtual void onPiece(std::string_view piece) = 0;
    // The last call; the receiver is released after it.
    virtual void onEnd(HttpCallEnd end) = 0;
};

// Makes calls. The loop outlives it.
class HttpClient final : private SocketListener
{
public:
    static tl::expected<std::unique_ptr<HttpClient>, NetError> create(EventLoop &loop);
    ~HttpClient() override;
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Starts a call. Its end is always reported, never from inside this call, unless it is
    // cancelled.
    HttpCallId call(HttpCallRequest request, std::unique_ptr<HttpCallReceiver> receiver);
    // Breaks the call off and closes its connection. The receiver is released and hears no more.
    void cancel(HttpCallId call);
    // Stops or restarts the reading of the answer.
    void pause(HttpCallId call, bool paused);
    // Tells whether any byte of the request was handed to the kernel.
    bool wroteAny(HttpCallId call) const;
    // Closes the kept connections to an address that is no longer the same peer.
    void closeIdleConnections(const SocketAddress &address);

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
    void sweep();

    EventLoop &loop_;
    std::unique_ptr<TcpSockets> sockets_;
    std::unordered_map<SocketId, std::unique_ptr<Connection>> connections_;
    std::unordered_map<HttpCallId, SocketId> calls_;
    std::map<SocketAddress, std::vector<SocketId>> idleConnections_; // The last was used last.
    std::unique_ptr<PeriodicTimer> sweepTimer_;
    HttpCallId nextCall_ = 1;
    std::uint64_t connectionsMade_ = 0;
};

} // namespace seamarch
