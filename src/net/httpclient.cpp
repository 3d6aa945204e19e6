#include "net/httpclient.h"

#include "base/log.h"
#include "net/httpsyntax.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <iterator>
#include <limits>
#include <utility>

namespace seamarch {
namespace {

constexpr Duration kSweepInterval = std::chrono::milliseconds(250);
// The idle time up to which a connection counts as recently used: servers close idle connections
// only after seconds.
constexpr Duration kRecentUseLimit = std::chrono::milliseconds(900);
// The keep-alive time of a connection whose peer does not announce one.
constexpr Duration kDefaultKeepAlive = std::chrono::seconds(4);
// Subtracted from the keep-alive time that the peer announces: its close may be in transit, and it
// counts in whole seconds.
constexpr Duration kKeepAliveMargin = std::chrono::milliseconds(700);
// Idle connections that are kept for one address; further ones are closed.
constexpr std::size_t kMaxIdlePerAddress = 16;
constexpr std::size_t kMaxResponseHeadBytes = std::size_t{64} * 1024;
// Bodies up to this size are sent in one piece with their head.
constexpr std::size_t kMaxCopiedBodyBytes = std::size_t{16} * 1024;
constexpr int kFirstFinalStatus = 200;
// Informational responses that may precede the final one.
constexpr int kMaxInformationalResponses = 16;

// Returns how long a connection may stay idle after a response with these headers.
Duration keepAliveTime(const HttpHeaders &headers)
{
    constexpr std::string_view kTimeout = "timeout=";
    const std::string &value = findHeader(headers, "keep-alive");
    const std::size_t at = value.find(kTimeout);
    if (at == std::string::npos) {
        return kDefaultKeepAlive;
    }
    int seconds = 0;
    const char *start = value.data() + at + kTimeout.size();
    std::from_chars(start, value.data() + value.size(), seconds);
    return std::chrono::seconds(seconds) - kKeepAliveMargin;
}

std::optional<std::string> findUnwritable(const HttpCallRequest &request)
{
    if (request.method.empty()
        || !std::all_of(request.method.begin(), request.method.end(), isTokenChar)) {
        return "method";
    }
    if (!std::all_of(request.contentType.begin(), request.contentType.end(), isFieldChar)) {
        return "Content-Type";
    }
    return findUnwritable(request.path, request.headers);
}

// Returns whether the request can be written, and logs what of it cannot. Values are not logged, as
// they may be secret.
bool isWritable(const HttpCallRequest &request)
{
    const auto field = findUnwritable(request);
    if (field) {
        logLine(
            LogLevel::Warning, "call.unwritable",
            {{"field", *field}, {"host", request.address.host}, {"port", request.address.port}});
    }
    return !field;
}

} // namespace

struct HttpClient::Connection final : public HttpSink
{
    Connection(SocketId id, SocketAddress peer)
        : socket(id)
        , address(std::move(peer))
        , reader(HttpReader::Kind::Response,
                 {kMaxResponseHeadBytes, std::numeric_limits<std::size_t>::max()}, *this)
    {}

    void onHead(HttpHead head) override
    {
        status = head.status;
        if (status < kFirstFinalStatus) {
            return;
        }
        persistent = head.persistent && head.framed;
        keepAlive = keepAliveTime(head.headers);
        receiver->onHead(std::move(head));
    }

    void onBody(std::string_view piece) override
    {
        if (receiver != nullptr) {
            receiver->onPiece(piece);
        }
    }

    SocketId socket;
    SocketAddress address;
    HttpReader reader;
    HttpCallId call = 0; // 0 if the connection is idle.
    HttpCallRequest request;
    std::unique_ptr<HttpCallReceiver> receiver;
    TimePoint idleSince{};
    TimePoint connectDeadline{};
    Duration keepAlive{};
    int status = 0;
    int informationalResponses = 0;
    bool writable = true; // Otherwise the call ends instead of being sent.
    bool connected = false;
    bool persistent = false;
    bool reusedConnection = false;
    bool receivedBytes = false; // Whether any byte of the response has arrived.
    bool abandoned = false;
};

HttpClient::HttpClient(EventLoop &loop)
    : loop_(loop)
{}

HttpClient::~HttpClient() = default;

tl::expected<std::unique_ptr<HttpClient>, NetError> HttpClient::create(EventLoop &loop)
{
    std::unique_ptr<HttpClient> client(new HttpClient(loop));
    auto sockets = TcpSockets::create(loop);
    if (!sockets) {
        return tl::unexpected(sockets.error());
    }
    client->sockets_ = std::move(*sockets);
    HttpClient *self = client.get();
    self->sweepTimer_ =
        std::make_unique<PeriodicTimer>(loop, kSweepInterval, [self] { self->sweep(); });
    return client;
}

HttpCallId HttpClient::call(HttpCallRequest request, std::unique_ptr<HttpCallReceiver> receiver)
{
    const HttpCallId id = nextCall_++;
    const bool writable = isWritable(request);
    SocketId socket = writable ? takeIdleConnection(request) : 0;
    const bool reused = socket != 0;
    if (!reused) {
        socket = sockets_->connect(request.address, *this);
        connections_.emplace(socket, std::make_unique<Connection>(socket, request.address));
        ++connectionsMade_;
    }
    Connection &connection = *connections_.at(socket);
    connection.call = id;
    connection.writable = writable;
    connection.reusedConnection = reused;
    connection.receivedBytes = false;
    connection.informationalResponses = 0;
    connection.connectDeadline = loop_.now() + request.connectTimeout;
    connection.request = std::move(request);
    connection.receiver = std::move(receiver);
    connection.reader.reset();
    calls_.emplace(id, socket);
    if (reused) {
        sendRequest(connection);
    }
    return id;
}

SocketId HttpClient::takeIdleConnection(const HttpCallRequest &request)
{
    const auto found = idleConnections_.find(request.address);
    if (found == idleConnections_.end() || request.reuse == ConnectionReuse::Never
        || found->second.empty()) {
        return 0;
    }
    const SocketId socket = found->second.back();
    const Connection &connection = *connections_.at(socket);
    const Duration idle = loop_.now() - connection.idleSince;
    const Duration limit = request.reuse == ConnectionReuse::RecentlyUsed
                               ? std::min(kRecentUseLimit, connection.keepAlive)
                               : connection.keepAlive;
    if (idle >= limit) {
        return 0;
    }
    found->second.pop_back();
    return socket;
}

void HttpClient::sendRequest(Connection &connection)
{
    const HttpCallRequest &request = connection.request;
    std::string text = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.path);
    const auto out = std::back_inserter(text);
    if (findHeader(request.headers, "host").empty()) {
        fmt::format_to(out, "Host: {}:{}\r\n", request.address.host, request.address.port);
    }
    if (!request.contentType.empty()) {
        fmt::format_to(out, "Content-Type: {}\r\n", request.contentType);
    }
    for (const HttpHeader &header : request.headers) {
        fmt::format_to(out, "{}: {}\r\n", header.name, header.value);
    }
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT"
        || request.method == "PATCH") {
        fmt::format_to(out, "Content-Length: {}\r\n", request.body.size());
    }
    if (request.reuse == ConnectionReuse::Never) {
        text += "Connection: close\r\n";
    }
    text += "\r\n";
    if (request.method == "HEAD") {
        connection.reader.expectNoBody();
    }
    // The connection does not keep the body once it is sent; it may stay open for long.
    const SharedText body = std::exchange(connection.request.body, {});
    if (body.size() <= kMaxCopiedBodyBytes) {
        text += body.view();
        sockets_->send(connection.socket, text);
    } else {
        sockets_->send(connection.socket, text, body);
    }
}

void HttpClient::onConnected(SocketId socket)
{
    const auto found = connections_.find(socket);
    if (found == connections_.end()) {
        return;
    }
    Connection &connection = *found->second;
    if (!connection.writable || loop_.now() >= connection.connectDeadline) {
        endCall(connection.call, HttpCallEnd::NotSent);
        return;
    }
    connection.connected = true;
    sendRequest(connection);
}

void HttpClient::onBytes(SocketId socket, std::string_view bytes)
{
    const auto found = connections_.find(socket);
    if (found == connections_.end()) {
        return;
    }
    if (found->second->call == 0) {
        closeConnection(socket); // Bytes without a request.
        return;
    }
    found->second->receivedBytes = true;
    read(socket, bytes);
}

void HttpClient::read(SocketId socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        Connection &connection = *connections_.at(socket);
        const HttpCallId call = connection.call;
        // Feeding calls the receiver, which may cancel the call and so remove the connection.
        bytes.remove_prefix(connection.reader.feed(bytes));
        if (calls_.find(call) == calls_.end()) {
            return;
        }
        if (connection.reader.fault()
            || connection.informationalResponses > kMaxInformationalResponses) {
            endCall(call, HttpCallEnd::MalformedResponse);
            return;
        }
        if (!connection.reader.done()) {
            return;
        }
        if (connection.status < kFirstFinalStatus) {
            ++connection.informationalResponses;
            connection.reader.reset();
            continue;
        }
        onResponseComplete(connection, !bytes.empty());
        return;
    }
}

void HttpClient::onResponseComplete(Connection &connection, bool hasExtraBytes)
{
    const HttpCallId call = connection.call;
    const SocketId socket = connection.socket;
    std::vector<SocketId> &idleSockets = idleConnections_[connection.address];
    const bool keep = connection.persistent && !connection.abandoned && !hasExtraBytes
                      && sockets_->queued(socket) == 0
                      && connection.request.reuse != ConnectionReuse::Never
                      && idleSockets.size() < kMaxIdlePerAddress;
    const std::unique_ptr<HttpCallReceiver> receiver = std::move(connection.receiver);
    calls_.erase(call);
    connection.call = 0;
    if (keep) {
        sockets_->pause(socket, false); // The call may have been paused at its last piece.
        connection.idleSince = loop_.now();
        idleSockets.push_back(socket);
    } else {
        closeConnection(socket);
    }
    receiver->onEnd(HttpCallEnd::Complete);
}

void HttpClient::onEnd(SocketId socket, SocketEnd end)
{
    const auto found = connections_.find(socket);
    if (found == connections_.end()) {
        return;
    }
    Connection &connection = *found->second;
    const HttpCallId call = connection.call;
    if (call == 0) {
        closeConnection(socket);
        return;
    }
    HttpCallEnd callEnd = HttpCallEnd::Interrupted;
    if (end == SocketEnd::Unreachable || end == SocketEnd::Refused) {
        callEnd = HttpCallEnd::NotSent;
    } else if (end == SocketEnd::Finished && connection.reader.finishOnConnectionEnd()) {
        callEnd = HttpCallEnd::ClosedByPeer;
    } else if (connection.reusedConnection && !connection.receivedBytes) {
        callEnd = HttpCallEnd::ReusedConnectionLost;
    }
    if (calls_.find(call) == calls_.end()) {
        return;
    }
    const std::unique_ptr<HttpCallReceiver> receiver = std::move(connection.receiver);
    calls_.erase(call);
    closeConnection(socket);
    receiver->onEnd(callEnd);
}

void HttpClient::endCall(HttpCallId id, HttpCallEnd callEnd)
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    const auto connection = connections_.find(found->second);
    calls_.erase(found);
    if (connection == connections_.end()) {
        return;
    }
    const std::unique_ptr<HttpCallReceiver> receiver = std::move(connection->second->receiver);
    closeConnection(connection->first);
    receiver->onEnd(callEnd);
}

// Closes a connection. The object is destroyed in the next iteration of the loop, because it may be
// calling its receiver.
void HttpClient::closeConnection(SocketId socket)
{
    const auto found = connections_.find(socket);
    if (found == connections_.end()) {
        return;
    }
    const auto idleSockets = idleConnections_.find(found->second->address);
    if (idleSockets != idleConnections_.end()) {
        std::erase(idleSockets->second, socket);
        if (idleSockets->second.empty()) {
            idleConnections_.erase(idleSockets);
        }
    }
    sockets_->close(socket);
    std::shared_ptr<Connection> retired = std::move(found->second);
    connections_.erase(found);
    loop_.post([retired] {});
}

bool HttpClient::cancel(HttpCallId call)
{
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return false;
    }
    const SocketId socket = found->second;
    calls_.erase(found);
    closeConnection(socket);
    return true;
}

bool HttpClient::abandon(HttpCallId call, const AbandonTimes &times,
                         std::unique_ptr<HttpCallReceiver> receiver)
{
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return false;
    }
    Connection &connection = *connections_.at(found->second);
    if (!connection.connected || connection.receivedBytes
        || sockets_->queued(connection.socket) > 0) {
        cancel(call);
        return false;
    }
    connection.abandoned = true;
    connection.receiver = std::move(receiver);
    sockets_->pause(connection.socket, false);
    if (times.sending > Duration{}) {
        scheduleForCall(times.sending, call, &HttpClient::finishSending);
    } else {
        finishSending(call);
    }
    scheduleForCall(times.reading, call, &HttpClient::expireAbandoned);
    return true;
}

// Runs `action` after `delay`, once what has arrived until then is read.
void HttpClient::scheduleForCall(Duration delay, HttpCallId call,
                                 void (HttpClient::*action)(HttpCallId))
{
    const auto run = [this, call, action, alive = std::weak_ptr(alive_)] {
        if (!alive.expired()) {
            (this->*action)(call);
        }
    };
    loop_.schedule(delay, [&loop = loop_, run] { loop.schedule(kReadTime, run); });
}

void HttpClient::finishSending(HttpCallId call)
{
    if (const auto found = calls_.find(call); found != calls_.end()) {
        sockets_->finishWriting(found->second);
    }
}

void HttpClient::pause(HttpCallId call, bool paused)
{
    const auto found = calls_.find(call);
    if (found != calls_.end()) {
        sockets_->pause(found->second, paused);
    }
}

bool HttpClient::wroteAny(HttpCallId call) const
{
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return false;
    }
    const auto connection = connections_.find(found->second);
    return connection != connections_.end()
           && (connection->second->reusedConnection || sockets_->wroteAny(found->second));
}

void HttpClient::closeIdleConnections(const SocketAddress &address)
{
    const auto found = idleConnections_.find(address);
    if (found == idleConnections_.end()) {
        return;
    }
    const std::vector<SocketId> sockets = found->second;
    for (const SocketId socket : sockets) {
        closeConnection(socket);
    }
}

void HttpClient::sweep()
{
    const TimePoint now = loop_.now();
    std::vector<SocketId> expired;
    std::vector<HttpCallId> timedOut;
    for (const auto &[socket, connection] : connections_) {
        if (connection->call == 0 && now - connection->idleSince >= connection->keepAlive) {
            expired.push_back(socket);
        } else if (connection->call != 0 && !connection->connected
                   && now >= connection->connectDeadline) {
            timedOut.push_back(connection->call);
        }
    }
    for (const SocketId socket : expired) {
        closeConnection(socket);
    }
    for (const HttpCallId call : timedOut) {
        endCall(call, HttpCallEnd::NotSent);
    }
}

} // namespace seamarch
