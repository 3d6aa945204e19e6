// An HTTP/1.1 server for callers and operators.
//
// One HttpServer listens at one address. It reads complete requests, limits their size and
// duration, passes them to an HttpHandler and sends the handler's responses, whole or streamed. An
// exchange is one request with its response, identified by an id. Calls with the id of a finished
// exchange have no effect, so a late response never reaches the connection of another caller.
//
// A request that is malformed, too large or too slow is rejected with status 400, 408, 413 or 431
// and its connection is closed; the handler does not receive it. Pipelined requests wait in a
// bounded buffer until the caller has taken the responses before them.
#pragma once

#include "net/eventloop.h"
#include "net/httpreader.h"
#include "net/httptypes.h"
#include "net/neterror.h"
#include "net/tcpsockets.h"

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

namespace seamarch {

using ExchangeId = std::uint64_t;

// A complete request.
struct HttpRequest
{
    std::string method;
    std::string target; // As sent.
    std::string path;   // The target up to the question mark.
    std::string query;  // Without the question mark.
    HttpHeaders headers;
    std::string body;
    TimePoint startedAt{}; // When its first byte was read.

    // Returns the value of the header `name`, or an empty string.
    const std::string &header(std::string_view name) const { return findHeader(headers, name); }
};

// The status and headers of a response.
struct HttpResponseHead
{
    int status = 200;
    // If empty, no Content-Type is added to `headers`.
    std::string contentType = "application/json";
    HttpHeaders headers;
    // The length of a streamed body, if known.
    std::optional<std::uint64_t> contentLength = std::nullopt;
};

// What a server does if its address is in use.
enum class AddressNeed {
    Required, // It is not created.
    Optional, // It opens the address once that is free.
};

struct HttpServerOptions
{
    SocketAddress address;
    AddressNeed addressNeed = AddressNeed::Required;
    std::size_t maxHeaderBytes = 16U * 1024U;
    std::size_t maxBodyBytes = 8U * 1024U * 1024U;
    // From the first byte of a request to the end of its head.
    Duration headerTimeout = std::chrono::seconds(10);
    // Between requests, and between parts of a body.
    Duration idleTimeout = std::chrono::seconds(60);
    // Answer callers that have closed their sending direction. If false, they count as gone.
    bool answersFinishedCallers = true;
};

// Handles requests, on the loop's thread. May call the server from within its functions.
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;

    // Handles a complete request. The exchange stays open until HttpServer::respond(), finish() or
    // abort() is called.
    virtual void onRequest(ExchangeId exchange, HttpRequest request) = 0;
    // Called when the caller has closed its sending direction before the response is complete. It
    // may have closed the connection altogether, in which case onCallerGone() follows soon.
    virtual void onCallerFinished(ExchangeId /*exchange*/) {}
    // Called if the connection ends before the response is complete. The exchange has ended.
    virtual void onCallerGone(ExchangeId exchange) = 0;
    // Called when the buffered part of a streamed response has been sent; more may be written.
    virtual void onDrained(ExchangeId exchange) = 0;
};

// How much memory incomplete request bodies may use.
struct UploadLimits
{
    // Beyond this number of bytes, only the oldest of the bodies that have reached a size of some
    // KB is received, until less than half of it is held.
    std::size_t maxBytes = std::numeric_limits<std::size_t>::max();
    // The oldest one waits, too, while all of it would not fit into this number of bytes.
    std::size_t maxBytesWithOldest = std::numeric_limits<std::size_t>::max();
};

// Serves HTTP at one address. The handler and the loop must outlive the server.
class HttpServer final : private SocketListener
{
public:
    static tl::expected<std::unique_ptr<HttpServer>, NetError>
    create(EventLoop &loop, HttpHandler &handler, HttpServerOptions options);
    ~HttpServer() override;
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Replaces the limits. The timeouts apply at once, the size limits to connections accepted from
    // now on. Ignores the address.
    void setBounds(const HttpServerOptions &bounds);

    // Sends a response with a complete body and ends the exchange.
    void respond(ExchangeId exchange, const HttpResponseHead &head, std::string_view body);
    // Starts a streamed response. Calls of write() and one of finish() follow.
    void begin(ExchangeId exchange, const HttpResponseHead &head);
    // Sends a part of the body of a streamed response.
    void write(ExchangeId exchange, std::string_view piece);
    // Ends a streamed response. Aborts it if it is shorter than its content length.
    void finish(ExchangeId exchange);
    // Ends the connection in such a way that the caller can tell that the response is incomplete.
    void abort(ExchangeId exchange);

    // Returns the number of response bytes that have not been passed to the kernel yet.
    std::size_t buffered(ExchangeId exchange) const;
    // Returns the same for all exchanges.
    std::size_t bufferedTotal() const { return sockets_->queuedTotal(); }
    // Returns how many bytes are held of request bodies of which a part has been received.
    std::size_t uploadedBytes() const { return uploadedBytes_; }
    // Sets how much memory uploads may use. The oldest of them is rejected if it makes others wait
    // or waits itself for some seconds. Must be called whenever the limits change: uploads that are
    // paused wait for it.
    void limitUploads(const UploadLimits &limits);
    // Returns whether uploads are paused.
    bool uploadsRestricted() const { return uploadsRestricted_; }
    // Returns how many uploads were rejected because they or others waited for too long.
    std::uint64_t uploadsEnded() const { return uploadsEnded_; }
    // Returns whether all requests that have been received completely are answered and the
    // responses have been passed to the kernel.
    bool isDrained() const;
    // Makes the last response of each connection carry `Connection: close` and then closes the
    // connection. Requests that were received behind the one that is answered are answered too.
    void announceClose() { closing_ = true; }
    // Does the same and closes connections without a request in progress: at once, or when the
    // caller has taken the last response. Leaves new connections open for their first request; call
    // it periodically.
    void closeIdleConnections();

private:
    struct Connection;
    struct Rejection;

    HttpServer(EventLoop &loop, HttpHandler &handler, HttpServerOptions options);
    SocketListener &onAccepted(SocketId socket);
    void onBytes(SocketId socket, std::string_view bytes) override;
    void onWritten(SocketId socket) override;
    bool onPeerFinished(SocketId socket) override;
    void onEnd(SocketId socket, SocketEnd end) override;

    void read(SocketId socket);
    void reject(Connection &connection, HttpFault fault);
    void rejectWith(Connection &connection, const Rejection &rejection);
    void deliver(Connection &connection);
    void probeCaller(Connection &connection);
    void endExchange(Connection &connection);
    void closeAfterResponse(Connection &connection);
    void readNext(Connection &connection);
    void sendHead(Connection &connection, const HttpResponseHead &head, std::string_view body,
                  bool hasFullBody);
    Connection *connectionOf(ExchangeId exchange);
    static bool awaitsRequest(const Connection &connection);
    static bool isLargeUpload(const Connection &connection);
    void pauseUpload(Connection &connection, bool paused);
    void restrictUploads();
    void endOldestUpload();
    Connection *find(SocketId socket);
    void sweep();

    EventLoop &loop_;
    HttpHandler &handler_;
    HttpServerOptions options_;
    UploadLimits uploadLimits_;
    std::size_t uploadedBytes_ = 0;
    bool uploadsRestricted_ = false;
    SocketId oldestUpload_ = 0;       // The one that goes first while uploads are restricted.
    TimePoint uploadTurnStartedAt_{}; // When it became that one.
    bool oldestUploadWaits_ = false;  // It does not fit either.
    std::size_t pausedUploads_ = 0;   // Those that wait meanwhile.
    std::uint64_t uploadsEnded_ = 0;
    std::unique_ptr<TcpSockets> sockets_;
    std::unordered_map<SocketId, std::unique_ptr<Connection>> connections_;
    std::unordered_map<ExchangeId, SocketId> exchanges_;
    std::unique_ptr<PeriodicTimer> sweepTimer_;
    ExchangeId nextExchange_ = 1;
    bool closing_ = false;
};

} // namespace seamarch
