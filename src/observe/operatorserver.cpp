#include "observe/operatorserver.h"

#include <utility>

namespace seamarch {

tl::expected<std::unique_ptr<OperatorServer>, NetError>
OperatorServer::create(EventLoop &loop, const SocketAddress &address, const StatusSource &source,
                       const Metrics &metrics, AddressNeed need)
{
    std::unique_ptr<OperatorServer> server(new OperatorServer(source, metrics));
    HttpServerOptions options;
    options.address = address;
    options.addressNeed = need;
    auto http = HttpServer::create(loop, *server, std::move(options));
    if (!http) {
        return tl::unexpected(http.error());
    }
    server->server_ = std::move(*http);
    return server;
}

void OperatorServer::onRequest(ExchangeId exchange, HttpRequest request)
{
    constexpr int kNotFound = 404;
    constexpr int kUnavailable = 503;
    HttpResponseHead head;
    head.contentType = "text/plain; charset=utf-8";
    std::string body;
    std::string reason;
    if (request.path == "/healthz") {
        body = "ok\n";
    } else if (request.path == "/readyz") {
        const bool ready = source_.ready(reason);
        head.status = ready ? head.status : kUnavailable;
        body = ready ? "ready\n" : reason + "\n";
    } else if (request.path == "/metrics") {
        head.contentType = "text/plain; version=0.0.4";
        body = metrics_.text();
    } else if (request.path == "/status") {
        head.contentType = "application/json";
        // Names from other processes may not be UTF-8.
        body = source_.status().dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        body += "\n";
    } else {
        head.status = kNotFound;
        body = "expected /healthz, /readyz, /metrics or /status\n";
    }
    server_->respond(exchange, head, body);
}

void OperatorServer::onCallerGone(ExchangeId /*exchange*/) {}

void OperatorServer::onDrained(ExchangeId /*exchange*/) {}

} // namespace seamarch
