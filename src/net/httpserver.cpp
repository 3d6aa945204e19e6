#include "net/httpserver.h"

#include "base/log.h"
#include "net/httpstatus.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <utility>

namespace seamarch {
namespace {

// Bytes that a caller may send during an exchange before the server stops reading the connection.
constexpr std::size_t kMaxReadAheadBytes = 64 * 1024;
// The interval at which timeouts, which are in seconds, are checked.
constexpr Duration kSweepInterval = std::chrono::milliseconds(250);
// How long the server keeps reading a connection that it closes. Closing it with unread data would
// reset it, and the caller could lose the response.
constexpr Duration kLingerTime = std::chrono::seconds(1);

// How long a planned stop leaves a new connection open for its first request.
constexpr Duration kFirstRequestTime = std::chrono::milliseconds(100);

// Uploads that have reached this size are paused while memory is short.
constexpr std::size_t kLargeUploadBytes = std::size_t{16} * 1024;
// A paused upload's caller waits some seconds for its answer, so the one that goes on must end
// soon.
constexpr Duration kMaxUploadTurn = std::chrono::seconds(3);
// What every response begins with.
constexpr std::string_view kProtocolVersion = "HTTP/1.1 ";
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kServiceUnavailable = 503;
constexpr std::string_view kRejectionMessage =
    "The request was refused before it was read whole. Correct it before trying again.";
constexpr std::string_view kMemoryFullMessage =
    "The request was refused before it was read whole, for lack of memory. Try again later.";

enum class Framing { Length, Chunked, UntilClose };

} // namespace

// A response to a request that has not been read whole.
struct HttpServer::Rejection
{
    int status = 0;
    std::string_view code;
    std::string_view message = kRejectionMessage;
    HttpHeaders headers = {};
};

struct HttpServer::Connection final : public HttpSink
{
    Connection(SocketId id, const HttpReader::Limits &limits, TimePoint now, std::size_t &total)
        : socket(id)
        , reader(HttpReader::Kind::Request, limits, *this)
        , lastActive(now)
        , maxBodyBytes(limits.bodyBytes)
        , uploadedTotal(total)
    {}
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection() override { uploadedTotal -= uploaded; }

    // Counts the received bytes of incomplete requests. Must be called when they have changed.
    void countUpload()
    {
        const std::size_t held =
            (request.body.empty() ? 0 : request.body.capacity()) + readAhead.size();
        uploadedTotal += held - uploaded;
        uploaded = held;
    }

    void onHead(HttpHead head) override
    {
        const std::size_t queryStart = head.target.find('?');
        request.method = std::move(head.method);
        request.path = head.target.substr(0, queryStart);
        request.query =
            queryStart == std::string::npos ? std::string() : head.target.substr(queryStart + 1);
        request.target = std::move(head.target);
        request.headers = std::move(head.headers);
        persistent = head.persistent;
        isHttp10 = head.isHttp10;
        wantsContinue = equalsIgnoreCase(request.header("expect"), "100-continue");
        bodyBound = static_cast<std::size_t>(head.contentLength.value_or(maxBodyBytes));
    }

    void onBody(std::string_view piece) override
    {
        std::string &body = request.body;
        const std::size_t needed = body.size() + piece.size();
        if (needed > body.capacity()) {
            // A string that grows by itself ends with up to twice the capacity that it needs.
            std::string larger;
            larger.reserve(std::max(needed, std::min(2 * body.capacity(), bodyBound)));
            larger.append(body);
            body = std::move(larger);
        }
        body.append(piece);
    }

    // Returns how many bytes the upload will hold beside those counted.
    std::size_t uploadRest() const { return bodyBound - std::min(bodyBound, uploaded); }

    SocketId socket;
    HttpReader reader;
    HttpRequest request;
    std::string readAhead; // Received but not parsed yet.
    ExchangeId exchange = 0;
    TimePoint lastActive;
    TimePoint readingSince{}; // When the first byte of the current message arrived.
    Framing framing = Framing::Chunked;
    std::uint64_t bytesLeft = 0;
    std::size_t maxBodyBytes;
    std::size_t bodyBound = 0;  // The size of the request's body, or the most that it may have.
    std::size_t &uploadedTotal; // Of all connections.
    std::size_t uploaded = 0;   // The part of this one.
    bool hadRequest = false;
    bool persistent = true;
    bool isHttp10 = false;
    bool wantsContinue = false;
    bool headRequest = false;
    bool headSent = false;
    bool lingering = false; // No further response follows; received data is discarded.
    bool uploadPaused = false;
    bool awaitsDrain = false; // The next request is not read before the response has been taken.
    bool inputEnded = false;  // The caller has closed its sending direction.
    bool versionSent = false; // The head of the response has been begun.
    bool chunkBegun = false;  // The size of the next chunk has been begun.
    std::size_t unsent = 0;   // Response bytes not passed to the kernel, as of the last sweep.
};

HttpServer::HttpServer(EventLoop &loop, HttpHandler &handler, HttpServerOptions options)
    : loop_(loop)
    , handler_(handler)
    , options_(std::move(options))
{}

HttpServer::~HttpServer() = default;

tl::expected<std::unique_ptr<HttpServer>, NetError>
HttpServer::create(EventLoop &loop, HttpHandler &handler, HttpServerOptions options)
{
    std::unique_ptr<HttpServer> server(new HttpServer(loop, handler, std::move(options)));
    auto sockets = TcpSockets::create(loop);
    if (!sockets) {
        return tl::unexpected(sockets.error());
    }
    server->sockets_ = std::move(*sockets);
    HttpServer *self = server.get();
    const auto accept = [self](SocketId socket) -> SocketListener & {
        return self->onAccepted(socket);
    };
    if (self->options_.addressNeed == AddressNeed::Optional) {
        self->sockets_->listenWhenFree(self->options_.address, accept);
    } else if (auto listening = self->sockets_->listen(self->options_.address, accept);
               !listening) {
        return tl::unexpected(listening.error());
    }
    self->sweepTimer_ =
        std::make_unique<PeriodicTimer>(loop, kSweepInterval, [self] { self->sweep(); });
    return server;
}

void HttpServer::setBounds(const HttpServerOptions &bounds)
{
    const SocketAddress address = options_.address;
    options_ = bounds;
    options_.address = address;
}

SocketListener &HttpServer::onAccepted(SocketId socket)
{
    const HttpReader::Limits limits{options_.maxHeaderBytes, options_.maxBodyBytes};
    connections_.emplace(socket,
                         std::make_unique<Connection>(socket, limits, loop_.now(), uploadedBytes_));
    return *this;
}

HttpServer::Connection *HttpServer::find(SocketId socket)
{
    const auto found = connections_.find(socket);
    return found == connections_.end() ? nullptr : found->second.get();
}

HttpServer::Connection *HttpServer::connectionOf(ExchangeId exchange)
{
    const auto found = exchanges_.find(exchange);
    return found == exchanges_.end() ? nullptr : find(found->second);
}

void HttpServer::onBytes(SocketId socket, std::string_view bytes)
{
    Connection *connection = find(socket);
    if (connection == nullptr || connection->lingering) {
        return;
    }
    connection->lastActive = loop_.now();
    connection->readAhead.append(bytes);
    connection->countUpload();
    if (connection->exchange != 0 || connection->awaitsDrain) {
        if (connection->readAhead.size() > kMaxReadAheadBytes) {
            sockets_->pause(socket, true);
        }
        return;
    }
    read(socket);
}

// Parses one request from the received data and delivers it if it is complete.
void HttpServer::read(SocketId socket)
{
    Connection *connection = find(socket);
    if (connection == nullptr || connection->readAhead.empty()) {
        return;
    }
    HttpReader &reader = connection->reader;
    if (!reader.started()) {
        connection->readingSince = loop_.now();
    }
    const std::size_t used = reader.feed(connection->readAhead);
    connection->readAhead.erase(0, used);
    connection->countUpload();
    if (reader.fault()) {
        reject(*connection, *reader.fault());
        return;
    }
    if (reader.headDone() && connection->wantsContinue && !reader.done()) {
        connection->wantsContinue = false;
        sockets_->send(socket, "HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (reader.done()) {
        deliver(*connection);
    } else if (connection->inputEnded) { // The rest of this request will never arrive.
        closeAfterResponse(*connection);
    } else if (isLargeUpload(*connection) && socket != oldestUpload_) {
        restrictUploads();
    }
}

void HttpServer::deliver(Connection &connection)
{
    connection.exchange = nextExchange_++;
    connection.hadRequest = true;
    connection.headSent = false;
    connection.headRequest = connection.request.method == "HEAD";
    exchanges_.emplace(connection.exchange, connection.socket);
    HttpRequest request = std::move(connection.request);
    connection.request = {};
    connection.countUpload();
    request.body.shrink_to_fit();
    request.startedAt = connection.readingSince;
    handler_.onRequest(connection.exchange, std::move(request));
}

void HttpServer::reject(Connection &connection, HttpFault fault)
{
    switch (fault) {
    case HttpFault::Malformed:
        rejectWith(connection, {kBadRequest, "bad_request"});
        return;
    case HttpFault::HeadTooLarge:
        rejectWith(connection, {kHeadTooLarge, "head_too_large"});
        return;
    case HttpFault::BodyTooLarge:
        rejectWith(connection, {kPayloadTooLarge, "payload_too_large"});
        return;
    }
}

void HttpServer::rejectWith(Connection &connection, const Rejection &rejection)
{
    connection.exchange = nextExchange_++;
    connection.persistent = false;
    exchanges_.emplace(connection.exchange, connection.socket);
    HttpResponseHead head;
    head.status = rejection.status;
    head.headers = rejection.headers;
    head.headers.push_back({"Seamarch-Outcome", "not-run"});
    respond(connection.exchange, head,
            fmt::format(R"({{"error":{{"code":"{}","message":"{}"}}}})", rejection.code,
                        rejection.message));
}

void HttpServer::sendHead(Connection &connection, const HttpResponseHead &head,
                          std::string_view body, bool hasFullBody)
{
    // Requests that were received behind this one are answered first.
    if ((closing_ || connection.inputEnded) && connection.readAhead.empty()) {
        connection.persistent = false;
    }
    const bool withoutBody = statusHasNoBody(head.status);
    connection.headSent = true;
    connection.framing = hasFullBody || head.contentLength ? Framing::Length : Framing::Chunked;
    if (connection.framing == Framing::Chunked && connection.isHttp10) {
        connection.framing = Framing::UntilClose;
        connection.persistent = false;
    }
    connection.bytesLeft = hasFullBody ? body.size() : head.contentLength.value_or(0);
    std::string text = fmt::format("{}{} {}\r\n", connection.versionSent ? "" : kProtocolVersion,
                                   head.status, reasonPhrase(head.status));
    connection.versionSent = false;
    connection.chunkBegun = false;
    const auto out = std::back_inserter(text);
    if (!head.contentType.empty()) {
        fmt::format_to(out, "Content-Type: {}\r\n", head.contentType);
    }
    for (const HttpHeader &header : head.headers) {
        fmt::format_to(out, "{}: {}\r\n", header.name, header.value);
    }
    if (!withoutBody && connection.framing == Framing::Length) {
        fmt::format_to(out, "Content-Length: {}\r\n", connection.bytesLeft);
    } else if (!withoutBody && connection.framing == Framing::Chunked) {
        text += "Transfer-Encoding: chunked\r\n";
    }
    if (!connection.persistent) {
        text += "Connection: close\r\n";
    }
    text += "\r\n";
    if (withoutBody || connection.headRequest) {
        connection.framing = Framing::Length;
        connection.bytesLeft = 0;
    } else if (hasFullBody) {
        text += body;
        connection.bytesLeft = 0;
    }
    sockets_->send(connection.socket, text);
}

void HttpServer::respond(ExchangeId exchange, const HttpResponseHead &head, std::string_view body)
{
    Connection *connection = connectionOf(exchange);
    if (connection == nullptr || connection->headSent) {
        return;
    }
    sendHead(*connection, head, body, true);
    endExchange(*connection);
}

void HttpServer::begin(ExchangeId exchange, const HttpResponseHead &head)
{
    Connection *connection = connectionOf(exchange);
    if (connection == nullptr || connection->headSent) {
        return;
    }
    sendHead(*connection, head, {}, false);
}

void HttpServer::write(ExchangeId exchange, std::string_view piece)
{
    Connection *connection = connectionOf(exchange);
    if (connection == nullptr || !connection->headSent || piece.empty()) {
        return;
    }
    connection->lastActive = loop_.now();
    switch (connection->framing) {
    case Framing::Length:
        piece = piece.substr(0, connection->bytesLeft);
        connection->bytesLeft -= piece.size();
        sockets_->send(connection->socket, piece);
        return;
    case Framing::Chunked:
        connection->chunkBegun = false;
        sockets_->send(connection->socket, fmt::format("{:x}\r\n{}\r\n", piece.size(), piece));
        return;
    case Framing::UntilClose:
        sockets_->send(connection->socket, piece);
        return;
    }
}

void HttpServer::finish(ExchangeId exchange)
{
    Connection *connection = connectionOf(exchange);
    if (connection == nullptr || !connection->headSent) {
        return;
    }
    if (connection->framing == Framing::Length && connection->bytesLeft > 0) {
        abort(exchange);
        return;
    }
    if (connection->framing == Framing::Chunked) {
        sockets_->send(connection->socket, "0\r\n\r\n");
    }
    endExchange(*connection);
}

// Ends an exchange whose response is complete. Reads the next request or closes the connection.
void HttpServer::endExchange(Connection &connection)
{
    exchanges_.erase(connection.exchange);
    connection.exchange = 0;
    connection.lastActive = loop_.now();
    if (!connection.persistent) {
        closeAfterResponse(connection);
        return;
    }
    connection.reader.reset();
    readNext(connection);
}

// Closes a connection on which no further response follows.
void HttpServer::closeAfterResponse(Connection &connection)
{
    if (!connection.readAhead.empty()) {
        logLine(LogLevel::Info, "connection.input_dropped",
                {{"bytes", connection.readAhead.size()},
                 {"stopping", closing_},
                 {"callerFinished", connection.inputEnded}});
    }
    connection.lingering = true;
    connection.request = {};
    connection.readAhead.clear();
    connection.countUpload();
    sockets_->pause(connection.socket, false);
    sockets_->finishWriting(connection.socket);
}

// Reads the next request, or waits until the caller has taken the response before it: the responses
// to a caller that sends requests without reading would fill the memory.
void HttpServer::readNext(Connection &connection)
{
    if (connection.inputEnded && connection.readAhead.empty()) {
        closeAfterResponse(connection);
        return;
    }
    connection.awaitsDrain = sockets_->queued(connection.socket) > 0;
    if (connection.awaitsDrain || connection.readAhead.empty()) {
        return;
    }
    const SocketId socket = connection.socket;
    sockets_->pause(socket, false);
    loop_.post([this, socket] {
        Connection *next = find(socket);
        if (next != nullptr && next->exchange == 0 && !next->lingering) {
            read(socket);
        }
    });
}

void HttpServer::abort(ExchangeId exchange)
{
    Connection *connection = connectionOf(exchange);
    if (connection == nullptr) {
        return;
    }
    // Some callers take the beginning of a chunk size for the size of the last chunk.
    const bool truncationDetectable = connection->headSent && !connection->chunkBegun
                                      && connection->framing != Framing::UntilClose;
    const SocketId socket = connection->socket;
    exchanges_.erase(exchange);
    connection->exchange = 0;
    if (truncationDetectable) {
        // The data written so far is still sent; the missing end shows the response as incomplete.
        connection->lingering = true;
        connection->lastActive = loop_.now();
        sockets_->finishWriting(socket);
        return;
    }
    connections_.erase(socket);
    sockets_->reset(socket);
}

std::size_t HttpServer::buffered(ExchangeId exchange) const
{
    const auto found = exchanges_.find(exchange);
    return found == exchanges_.end() ? 0 : sockets_->queued(found->second);
}

bool HttpServer::isLargeUpload(const Connection &connection)
{
    return connection.exchange == 0 && !connection.lingering
           && connection.request.body.size() >= kLargeUploadBytes;
}

void HttpServer::pauseUpload(Connection &connection, bool paused)
{
    if (paused || connection.uploadPaused) {
        connection.lastActive = loop_.now(); // A paused upload is not idle.
    }
    if (connection.uploadPaused != paused) {
        connection.uploadPaused = paused;
        sockets_->pause(connection.socket, paused);
    }
}

void HttpServer::limitUploads(const UploadLimits &limits)
{
    uploadLimits_ = limits;
    restrictUploads();
}

// Pauses or resumes uploads by the number of bytes that are held.
void HttpServer::restrictUploads()
{
    const bool wereRestricted = uploadsRestricted_;
    const std::size_t maxBytes = uploadLimits_.maxBytes;
    uploadsRestricted_ = uploadedBytes_ > (wereRestricted ? maxBytes / 2 : maxBytes);
    const SocketId previous = std::exchange(oldestUpload_, 0);
    if (!uploadsRestricted_ && !wereRestricted) {
        return; // Called for each part of a large upload; none is paused.
    }
    Connection *oldest = nullptr;
    for (const auto &[socket, connection] : connections_) {
        if (isLargeUpload(*connection)
            && (oldest == nullptr || connection->readingSince < oldest->readingSince)) {
            oldest = connection.get();
        }
    }
    oldestUpload_ = uploadsRestricted_ && oldest != nullptr ? oldest->socket : 0;
    if (oldestUpload_ != previous) {
        uploadTurnStartedAt_ = loop_.now();
    }
    oldestUploadWaits_ =
        oldestUpload_ != 0
        && uploadedBytes_ + oldest->uploadRest() > uploadLimits_.maxBytesWithOldest;
    pausedUploads_ = 0;
    for (const auto &[socket, connection] : connections_) {
        const bool pause = uploadsRestricted_ && isLargeUpload(*connection)
                           && (socket != oldestUpload_ || oldestUploadWaits_);
        pausedUploads_ += pause ? 1 : 0;
        pauseUpload(*connection, pause);
    }
}

// Rejects the oldest upload after some seconds if it still does not fit, or if paused ones wait for
// it.
void HttpServer::endOldestUpload()
{
    Connection *oldest = find(oldestUpload_);
    if (oldest == nullptr || !isLargeUpload(*oldest) || pausedUploads_ == 0
        || loop_.now() - uploadTurnStartedAt_ <= kMaxUploadTurn) {
        return;
    }
    ++uploadsEnded_;
    if (oldestUploadWaits_) {
        rejectWith(
            *oldest,
            {kServiceUnavailable, "memory_full", kMemoryFullMessage, {{"Retry-After", "1"}}});
    } else {
        rejectWith(*oldest, {kRequestTimeout, "upload_too_slow"});
    }
    restrictUploads();
}

void HttpServer::onWritten(SocketId socket)
{
    Connection *connection = find(socket);
    if (connection == nullptr) {
        return;
    }
    if (connection->awaitsDrain) {
        readNext(*connection);
    } else if (connection->exchange != 0 && connection->headSent) {
        handler_.onDrained(connection->exchange);
    }
}

bool HttpServer::onPeerFinished(SocketId socket)
{
    Connection *connection = find(socket);
    if (connection == nullptr || !options_.answersFinishedCallers) {
        return false;
    }
    const bool hasExchange = connection->exchange != 0;
    if (!hasExchange && connection->readAhead.empty() && sockets_->queued(socket) == 0) {
        return false;
    }
    connection->inputEnded = true;
    if (hasExchange) {
        probeCaller(*connection);
        handler_.onCallerFinished(connection->exchange);
    } else if (connection->readAhead.empty()) {
        closeAfterResponse(*connection);
    }
    return true;
}

// A caller that has closed the connection altogether looks like one that has only finished sending,
// until a byte that it is sent resets the connection. So begins what it is sent next in any case.
void HttpServer::probeCaller(Connection &connection)
{
    if (!connection.headSent) {
        connection.versionSent = true;
        sockets_->send(connection.socket, kProtocolVersion);
    } else if (connection.framing == Framing::Chunked) {
        connection.chunkBegun = true;
        sockets_->send(connection.socket, "0"); // A leading zero of the next chunk's size.
    }
}

void HttpServer::onEnd(SocketId socket, SocketEnd /*end*/)
{
    const auto found = connections_.find(socket);
    if (found == connections_.end()) {
        return;
    }
    const ExchangeId exchange = found->second->exchange;
    connections_.erase(found);
    if (exchange != 0) {
        exchanges_.erase(exchange);
        handler_.onCallerGone(exchange);
    }
}

// Returns whether no request of the connection waits for its answer or for being parsed.
bool HttpServer::awaitsRequest(const Connection &connection)
{
    return connection.exchange == 0 && !connection.lingering && connection.readAhead.empty();
}

bool HttpServer::isDrained() const
{
    return exchanges_.empty() && bufferedTotal() == 0
           && std::all_of(connections_.begin(), connections_.end(), [](const auto &entry) {
                  return entry.second->lingering || awaitsRequest(*entry.second);
              });
}

void HttpServer::closeIdleConnections()
{
    closing_ = true;
    const TimePoint newSince = loop_.now() - kFirstRequestTime;
    std::vector<SocketId> idle;
    for (const auto &[socket, connection] : connections_) {
        const bool isNew = !connection->hadRequest && connection->lastActive > newSince;
        if (awaitsRequest(*connection) && !connection->reader.started() && !isNew) {
            idle.push_back(socket);
        }
    }
    for (const SocketId socket : idle) {
        if (sockets_->queued(socket) > 0) {
            connections_.at(socket)->lingering = true;
            sockets_->finishWriting(socket);
        } else {
            connections_.erase(socket);
            sockets_->close(socket);
        }
    }
}

void HttpServer::sweep()
{
    const TimePoint now = loop_.now();
    std::vector<SocketId> expired;
    std::vector<SocketId> timedOut;
    for (const auto &[socket, connection] : connections_) {
        const std::size_t unsent = sockets_->queued(socket);
        if (unsent != std::exchange(connection->unsent, unsent)) {
            connection->lastActive = now; // The caller has taken a part of the response.
        }
        if (connection->exchange != 0) {
            continue;
        }
        const Duration idle = now - connection->lastActive;
        const bool reading = connection->reader.started() && !connection->lingering;
        const bool headTimedOut = reading && !connection->reader.headDone()
                                  && now - connection->readingSince > options_.headerTimeout;
        if (headTimedOut || (reading && idle > options_.idleTimeout)) {
            timedOut.push_back(socket);
        } else if (idle
                   > (connection->lingering && unsent == 0 ? kLingerTime : options_.idleTimeout)) {
            expired.push_back(socket);
        }
    }
    for (const SocketId socket : timedOut) {
        rejectWith(*connections_.at(socket), {kRequestTimeout, "request_timeout"});
    }
    for (const SocketId socket : expired) {
        connections_.erase(socket);
        sockets_->close(socket);
    }
    endOldestUpload();
}

} // namespace seamarch
