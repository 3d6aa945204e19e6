// The HTTP server that callers and operators talk to.
//
// One HttpServer listens at one address. It reads whole requests, bounded in size and time, hands
// them to an HttpHandler and sends what the handler answers, whole or in pieces. An exchange is one
// request with its answer and is addressed by its id; every call with the id of an exchange that is
// over has no effect, so a late answer can never reach another caller's connection.
//
// A request that cannot be read without doubt is answered with 400, 408, 413 or 431 and its
// connection is closed; the handler never sees it. Requests that a caller sends before its last
// answer wait in a bounded buffer.
#pragma once

#include "net/eventloop.h"
#include "net/httpreader.h"
#include "net/httptypes.h"
#include "net/neterror.h"
#include "net/tcpsockets.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

namespace seamarch {

using ExchangeId = std::uint64_t;

// A whole request.
struct HttpRequest
{
    std::string method;
    std::string target; // As it was written.
    std::string path;   // The target up to the question mark.
    std::string query;  // Without the question mark.
    HttpHeaders headers;
    std::string body;

    // Returns the value of the header `name`, or an empty string.
    const std::string &header(std::string_view name) const { return findHeader(headers, name); }
};

// The first part of an answer.
struct HttpResponseHead
{
    int status = 200;
    std::string contentType = "application/json"; // Empty: `headers` tells, or there is none.
    HttpHeaders headers;
    // The length of the body that follows in pieces, where it is known.
    std::optional<std::uint64_t> contentLength = std::nullopt;
};

struct HttpServerOptions
{
    SocketAddress address;
    std::size_t maxHeaderBytes = 16U * 1024U;
    std::size_t maxBodyBytes = 8U * 1024U * 1024U;
    Duration headerTimeout = std::chrono::seconds(10); // From a request's first byte to its head.
    Duration idleTimeout = std::chrono::seconds(60);   // Between requests, and between body bytes.
};

// Receives requests. All calls come on the loop's thread; calls back into the server are allowed.
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;

    // A whole request has arrived. The exchange stays open until the server is told its end.
    virtual void onRequest(ExchangeId exchange, HttpRequest request) = 0;
    // The caller left before its answer was complete. The exchange is over.
    virtual void onCallerGone(ExchangeId exchange) = 0;
    // The buffered part of a streamed answer has been sent; more may be written.
    virtual void onDrained(ExchangeId exchange) = 0;
};

// Serves one address. The handler and the loop outlive the server.
class HttpServer final : private SocketListener
{
public:
    static tl::expected<std::unique_ptr<HttpServer>, NetError>
    create(EventLoop &loop, HttpHandler &handler, HttpServerOptions options);
    ~HttpServer() override;
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Takes new bounds for the requests that begin from now on; the address stays.
    void setBounds(const HttpServerOptions &bounds);

    // Answers with a whole body.
    void respond(ExchangeId exchange, const HttpResponseHead &head, std::string_view body);
    // Starts an answer that follows in pieces.
    void begin(ExchangeId exchange, const HttpResponseHead &head);
    // Adds to a started answer.
    void write(ExchangeId exchange, std::string_view piece);
    // Ends a started answer. One that is shorter than its head said is broken off instead.
    void finish(ExchangeId exchange);
    // Breaks the connection, so that the caller sees that its answer is not whole.
    void abort(ExchangeId exchange);

    // Returns how many bytes of the answer wait for the caller to take them.
    std::size_t buffered(ExchangeId exchange) const;
    // Returns the number of open exchanges.
    std::size_t open() const { return exchanges_.size(); }
    // From now on each answer says that its connection closes, and closes it.
    void announceClose() { closing_ = true; }
    // The same, and connections without a request under way close at once.
    void closeIdle();

private:
    struct Connection;

    HttpServer(EventLoop &loop, HttpHandler &handler, HttpServerOptions options);
    SocketListener &onAccepted(SocketId socket);
    void onBytes(SocketId socket, std::string_view bytes) override;
    void onWritten(SocketId socket) override;
    void onEnd(SocketId socket, SocketEnd end) override;

    void read(SocketId socket);
    void reject(Connection &connection, HttpFault fault);
    void rejectWith(Connection &connection, int status, std::string_view code);
    void deliver(Connection &connection);
    void endExchange(Connection &connection);
    void sendHead(Connection &connection, const HttpResponseHead &head, std::string_view body,
                  bool whole);
    Connection *connectionOf(ExchangeId exchange);
    Connection *find(SocketId socket);
    void sweep();

    EventLoop &loop_;
    HttpHandler &handler_;
    HttpServerOptions options_;
    std::unique_ptr<TcpSockets> sockets_;
    std::unordered_map<SocketId, std::unique_ptr<Connection>> connections_;
    std::unordered_map<ExchangeId, SocketId> exchanges_;
    std::unique_ptr<PeriodicTimer> sweepTimer_;
    ExchangeId nextExchange_ = 1;
    bool closing_ = false;
};

} // namespace seamarch
