#include "net/httpserver.h"

#include "seamarch/outcome.h"

#include <algorithm>
#include <cstring>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace seamarch {
namespace {

constexpr size_t kHeadBytes = 4096;
constexpr size_t kPieceBytes = 32 * 1024;
constexpr size_t kSmallBody = 16 * 1024;

struct MethodUri
{
    lws_token_indexes token;
    const char *name;
};

constexpr MethodUri kMethods[] = {
    {WSI_TOKEN_GET_URI, "GET"},         {WSI_TOKEN_POST_URI, "POST"},
    {WSI_TOKEN_PUT_URI, "PUT"},         {WSI_TOKEN_DELETE_URI, "DELETE"},
    {WSI_TOKEN_PATCH_URI, "PATCH"},     {WSI_TOKEN_HEAD_URI, "HEAD"},
    {WSI_TOKEN_OPTIONS_URI, "OPTIONS"},
};

std::string copyToken(lws *wsi, lws_token_indexes token)
{
    const int length = lws_hdr_total_length(wsi, token);
    if (length <= 0) {
        return {};
    }
    std::string text(static_cast<size_t>(length) + 1, '\0');
    const int copied = lws_hdr_copy(wsi, text.data(), length + 1, token);
    text.resize(copied > 0 ? static_cast<size_t>(copied) : 0);
    return text;
}

std::string copyCustom(lws *wsi, const std::string &name)
{
    const std::string key = name + ":";
    const int nameLength = static_cast<int>(key.size());
    const int length = lws_hdr_custom_length(wsi, key.c_str(), nameLength);
    if (length <= 0) {
        return {};
    }
    std::string text(static_cast<size_t>(length) + 1, '\0');
    lws_hdr_custom_copy(wsi, text.data(), length + 1, key.c_str(), nameLength);
    text.resize(static_cast<size_t>(length));
    return text;
}

// Headers that the library parses into tokens of their own; all others are custom to it.
std::optional<lws_token_indexes> knownToken(std::string_view name)
{
    if (name == "authorization") {
        return WSI_TOKEN_HTTP_AUTHORIZATION;
    }
    if (name == "content-type") {
        return WSI_TOKEN_HTTP_CONTENT_TYPE;
    }
    if (name == "accept") {
        return WSI_TOKEN_HTTP_ACCEPT;
    }
    return std::nullopt;
}

bool mayHaveBody(const std::string &method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace

struct HttpServer::Exchange
{
    ExchangeId id = 0;
    lws *wsi = nullptr;
    HttpRequest request;
    HttpResponseHead head;
    std::string pending; // Bytes that wait to be sent.
    bool whole = false;  // The length is known when the head is sent.
    bool headReady = false;
    bool headSent = false;
    bool finished = false;
    bool broken = false;
    bool delivered = false;
    bool keepAlive = true;
};

// What the library keeps for each connection; zeroed by the library.
struct HttpServer::Session
{
    ExchangeId exchange;
    size_t discard; // Body bytes of a rejected request that may still arrive.
};

const std::string &HttpRequest::header(std::string_view name) const
{
    static const std::string kNone;
    const auto found = std::find_if(headers.begin(), headers.end(),
                                    [name](const HttpHeader &entry) { return entry.name == name; });
    return found == headers.end() ? kNone : found->value;
}

HttpServer::HttpServer(HttpHandler &handler, HttpServerOptions options)
    : handler_(handler)
    , options_(std::move(options))
{}

HttpServer::~HttpServer() = default;

tl::expected<std::unique_ptr<HttpServer>, NetError>
HttpServer::create(EventLoop &loop, HttpHandler &handler, HttpServerOptions options)
{
    static const lws_protocols kProtocols[] = {
        {"http", callback, sizeof(Session), 0, 0, nullptr, 0},
        {nullptr, nullptr, 0, 0, 0, nullptr, 0}};
    std::unique_ptr<HttpServer> server(new HttpServer(handler, std::move(options)));
    lws_context_creation_info info{};
    info.port = server->options_.address.port;
    info.iface = server->options_.address.host.c_str();
    info.protocols = kProtocols;
    info.user = server.get();
    info.vhost_name = "http-server";
    info.keepalive_timeout = server->options_.idleSeconds;
    info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
    server->host_ = lws_create_vhost(loop.context(), &info);
    if (server->host_ == nullptr) {
        const SocketAddress &address = server->options_.address;
        return tl::unexpected(
            NetError{NetError::Kind::ListenFailed,
                     fmt::format("cannot listen for HTTP at {}:{}", address.host, address.port)});
    }
    return server;
}

HttpServer::Exchange *HttpServer::find(ExchangeId exchange)
{
    const auto found = exchanges_.find(exchange);
    return found == exchanges_.end() ? nullptr : found->second.get();
}

void HttpServer::respond(ExchangeId exchange, HttpResponseHead head, std::string body)
{
    Exchange *found = find(exchange);
    if (found == nullptr || found->headReady) {
        return;
    }
    found->head = std::move(head);
    found->pending = std::move(body);
    found->whole = true;
    found->headReady = true;
    found->finished = true;
    lws_callback_on_writable(found->wsi);
}

void HttpServer::begin(ExchangeId exchange, HttpResponseHead head)
{
    Exchange *found = find(exchange);
    if (found == nullptr || found->headReady) {
        return;
    }
    found->head = std::move(head);
    found->headReady = true;
    lws_callback_on_writable(found->wsi);
}

void HttpServer::write(ExchangeId exchange, std::string_view piece)
{
    Exchange *found = find(exchange);
    if (found == nullptr || piece.empty()) {
        return;
    }
    found->pending += fmt::format("{:x}\r\n", piece.size());
    found->pending += piece;
    found->pending += "\r\n";
    lws_callback_on_writable(found->wsi);
}

void HttpServer::finish(ExchangeId exchange)
{
    Exchange *found = find(exchange);
    if (found == nullptr || found->finished) {
        return;
    }
    found->pending += "0\r\n\r\n";
    found->finished = true;
    lws_callback_on_writable(found->wsi);
}

void HttpServer::abort(ExchangeId exchange)
{
    Exchange *found = find(exchange);
    if (found == nullptr) {
        return;
    }
    found->broken = true;
    lws_callback_on_writable(found->wsi);
}

std::size_t HttpServer::buffered(ExchangeId exchange) const
{
    const auto found = exchanges_.find(exchange);
    return found == exchanges_.end() ? 0 : found->second->pending.size();
}

void HttpServer::readHeaders(lws *wsi, HttpRequest &request) const
{
    for (const std::string &name : options_.headers) {
        const auto token = knownToken(name);
        std::string value = token ? copyToken(wsi, *token) : copyCustom(wsi, name);
        if (!value.empty()) {
            request.headers.push_back({name, std::move(value)});
        }
    }
}

int HttpServer::reject(lws *wsi, Session &session, int status, std::string_view code)
{
    auto exchange = std::make_unique<Exchange>();
    exchange->id = nextExchange_++;
    exchange->wsi = wsi;
    exchange->keepAlive = false;
    exchange->delivered = false;
    session.exchange = exchange->id;
    const ExchangeId id = exchange->id;
    exchanges_.emplace(id, std::move(exchange));
    HttpResponseHead head;
    head.status = status;
    head.headers.push_back({"seamarch-outcome", "not-run"});
    const nlohmann::json body = {
        {"error", {{"code", code}, {"message", "The request was refused before it was read."}}}};
    respond(id, std::move(head), body.dump());
    return 0;
}

int HttpServer::onHttp(lws *wsi, Session &session)
{
    HttpRequest request;
    for (const MethodUri &method : kMethods) {
        std::string target = copyToken(wsi, method.token);
        if (!target.empty()) {
            request.method = method.name;
            request.path = std::move(target);
            break;
        }
    }
    request.query = copyToken(wsi, WSI_TOKEN_HTTP_URI_ARGS);
    if (request.method.empty()) {
        return reject(wsi, session, httpStatus(FailureCode::MethodNotAllowed),
                      toString(FailureCode::MethodNotAllowed));
    }
    const std::string length = copyToken(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    const bool chunked = lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0;
    if (chunked || (length.empty() && mayHaveBody(request.method))) {
        return reject(wsi, session, httpStatus(FailureCode::LengthRequired),
                      toString(FailureCode::LengthRequired));
    }
    const unsigned long long expected = length.empty() ? 0 : strtoull(length.c_str(), nullptr, 10);
    if (expected > options_.maxBodyBytes) {
        return reject(wsi, session, httpStatus(FailureCode::PayloadTooLarge),
                      toString(FailureCode::PayloadTooLarge));
    }
    readHeaders(wsi, request);
    auto exchange = std::make_unique<Exchange>();
    exchange->id = nextExchange_++;
    exchange->wsi = wsi;
    exchange->request = std::move(request);
    exchange->request.body.reserve(static_cast<size_t>(expected));
    session.exchange = exchange->id;
    Exchange &added = *exchanges_.emplace(exchange->id, std::move(exchange)).first->second;
    if (expected == 0) {
        lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
        deliver(added);
    }
    return 0;
}

void HttpServer::deliver(Exchange &exchange)
{
    if (exchange.delivered || exchange.headReady) {
        return;
    }
    exchange.delivered = true;
    handler_.onRequest(exchange.id, std::move(exchange.request));
}

int HttpServer::onBody(Session &session, const char *data, size_t size)
{
    Exchange *exchange = find(session.exchange);
    if (exchange == nullptr || exchange->headReady) {
        return 0;
    }
    if (exchange->request.body.size() + size > options_.maxBodyBytes) {
        return -1;
    }
    exchange->request.body.append(data, size);
    return 0;
}

int HttpServer::onBodyComplete(Session &session)
{
    Exchange *exchange = find(session.exchange);
    if (exchange != nullptr) {
        deliver(*exchange);
    }
    return 0;
}

int HttpServer::sendHead(lws *wsi, Exchange &exchange)
{
    std::vector<unsigned char> buffer(LWS_PRE + kHeadBytes + kSmallBody);
    unsigned char *start = buffer.data() + LWS_PRE;
    unsigned char *cursor = start;
    unsigned char *end = start + kHeadBytes;
    const auto status = static_cast<unsigned int>(exchange.head.status);
    int failed = lws_add_http_header_status(wsi, status, &cursor, end);
    const auto add = [&](const std::string &name, const std::string &value) {
        const std::string key = name + ":";
        failed |=
            lws_add_http_header_by_name(wsi, reinterpret_cast<const unsigned char *>(key.c_str()),
                                        reinterpret_cast<const unsigned char *>(value.c_str()),
                                        static_cast<int>(value.size()), &cursor, end);
    };
    add("content-type", exchange.head.contentType);
    if (exchange.whole) {
        add("content-length", std::to_string(exchange.pending.size()));
    } else {
        add("transfer-encoding", "chunked");
    }
    if (!exchange.keepAlive || closing_) {
        exchange.keepAlive = false;
        add("connection", "close");
    }
    for (const HttpHeader &header : exchange.head.headers) {
        add(header.name, header.value);
    }
    failed |= lws_finalize_http_header(wsi, &cursor, end);
    if (failed != 0) {
        return -1;
    }
    // A small body goes out with the head, so that a short answer costs one system call.
    const size_t small = std::min(exchange.pending.size(), kSmallBody);
    std::memcpy(cursor, exchange.pending.data(), small);
    exchange.pending.erase(0, small);
    exchange.headSent = true;
    const size_t size = static_cast<size_t>(cursor - start) + small;
    return lws_write(wsi, start, size, LWS_WRITE_HTTP_HEADERS) < 0 ? -1 : 0;
}

int HttpServer::sendPiece(lws *wsi, Exchange &exchange)
{
    const size_t size = std::min(exchange.pending.size(), kPieceBytes);
    std::vector<unsigned char> buffer(LWS_PRE + size);
    std::memcpy(buffer.data() + LWS_PRE, exchange.pending.data(), size);
    exchange.pending.erase(0, size);
    return lws_write(wsi, buffer.data() + LWS_PRE, size, LWS_WRITE_HTTP) < 0 ? -1 : 0;
}

int HttpServer::onWriteable(lws *wsi, Session &session)
{
    Exchange *exchange = find(session.exchange);
    if (exchange == nullptr) {
        return 0;
    }
    if (exchange->broken) {
        return -1;
    }
    if (!exchange->headReady) {
        return 0;
    }
    const int result = !exchange->headSent ? sendHead(wsi, *exchange) : sendPiece(wsi, *exchange);
    if (result != 0) {
        return -1;
    }
    if (!exchange->pending.empty()) {
        lws_callback_on_writable(wsi);
        return 0;
    }
    if (!exchange->finished) {
        handler_.onDrained(exchange->id);
        return 0;
    }
    const bool keepAlive = exchange->keepAlive;
    exchanges_.erase(exchange->id);
    session.exchange = 0;
    if (!keepAlive) {
        return -1;
    }
    return lws_http_transaction_completed(wsi) != 0 ? -1 : 0;
}

void HttpServer::onClosed(Session &session)
{
    const auto found = exchanges_.find(session.exchange);
    if (found == exchanges_.end()) {
        return;
    }
    const bool delivered = found->second->delivered;
    const ExchangeId id = found->first;
    exchanges_.erase(found);
    session.exchange = 0;
    if (delivered) {
        handler_.onCallerGone(id);
    }
}

int HttpServer::callback(lws *wsi, lws_callback_reasons reason, void *user, void *in, size_t size)
{
    lws_vhost *host = wsi == nullptr ? nullptr : lws_get_vhost(wsi);
    auto *server = host == nullptr ? nullptr : static_cast<HttpServer *>(lws_vhost_user(host));
    auto *session = static_cast<Session *>(user);
    if (server == nullptr || session == nullptr) {
        return 0;
    }
    switch (reason) {
    case LWS_CALLBACK_HTTP:
        return server->onHttp(wsi, *session);
    case LWS_CALLBACK_HTTP_BODY:
        return server->onBody(*session, static_cast<const char *>(in), size);
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        return server->onBodyComplete(*session);
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return server->onWriteable(wsi, *session);
    case LWS_CALLBACK_CLOSED_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
        server->onClosed(*session);
        return 0;
    default:
        return 0;
    }
}

} // namespace seamarch
