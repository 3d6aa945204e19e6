// The HTTP server that callers and operators talk to.
//
// One HttpServer listens at one address. It reads whole requests, bounded in size and time, hands
// them to an HttpHandler and sends what the handler answers, whole or in pieces. An exchange is one
// request with its answer and is addressed by its id; every call with the id of an exchange that is
// over has no effect, so a late answer can never reach another caller's connection.
#pragma once

#include "net/eventloop.h"
#include "net/httptypes.h"
#include "net/neterror.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace seamarch {

using ExchangeId = std::uint64_t;

// A whole request.
struct HttpRequest
{
    std::string method;
    std::string path;
    std::string query;               // Without the question mark.
    std::vector<HttpHeader> headers; // Those that HttpServerOptions names.
    std::string body;

    // Returns the value of the header `name`, or an empty string.
    const std::string &header(std::string_view name) const;
};

// The first part of an answer.
struct HttpResponseHead
{
    int status = 200;
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers;
};

struct HttpServerOptions
{
    SocketAddress address;
    std::size_t maxBodyBytes = 8U * 1024U * 1024U;
    int idleSeconds = 60;
    std::vector<std::string> headers; // Names of the request headers to read, in lower case.
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
class HttpServer
{
public:
    static tl::expected<std::unique_ptr<HttpServer>, NetError>
    create(EventLoop &loop, HttpHandler &handler, HttpServerOptions options);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Answers with a whole body.
    void respond(ExchangeId exchange, HttpResponseHead head, std::string body);
    // Starts an answer whose length is not known yet.
    void begin(ExchangeId exchange, HttpResponseHead head);
    // Adds to a started answer.
    void write(ExchangeId exchange, std::string_view piece);
    // Ends a started answer.
    void finish(ExchangeId exchange);
    // Breaks the connection, so that the caller sees that its answer is not whole.
    void abort(ExchangeId exchange);

    // Returns how many bytes of the answer wait for the caller to take them.
    std::size_t buffered(ExchangeId exchange) const;
    // Returns the number of open exchanges.
    std::size_t open() const { return exchanges_.size(); }
    // Asks that connections close once their current exchange is over.
    void closeIdle() { closing_ = true; }

private:
    struct Exchange;
    struct Session;

    HttpServer(HttpHandler &handler, HttpServerOptions options);
    static int callback(lws *wsi, lws_callback_reasons reason, void *user, void *in, size_t size);
    int onHttp(lws *wsi, Session &session);
    int onBody(Session &session, const char *data, size_t size);
    int onBodyComplete(Session &session);
    int onWriteable(lws *wsi, Session &session);
    void onClosed(Session &session);
    void deliver(Exchange &exchange);
    int reject(lws *wsi, Session &session, int status, std::string_view code);
    void readHeaders(lws *wsi, HttpRequest &request) const;
    int sendHead(lws *wsi, Exchange &exchange);
    int sendPiece(lws *wsi, Exchange &exchange);
    Exchange *find(ExchangeId exchange);

    HttpHandler &handler_;
    HttpServerOptions options_;
    lws_vhost *host_ = nullptr;
    std::map<ExchangeId, std::unique_ptr<Exchange>> exchanges_;
    ExchangeId nextExchange_ = 1;
    bool closing_ = false;
};

} // namespace seamarch
