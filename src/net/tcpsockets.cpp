#include "net/tcpsockets.h"

#include "base/log.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <fmt/format.h>
#include <limits>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace seamarch {
namespace {

constexpr const char *kProtocolName = "tcp";
constexpr std::size_t kReadBufferBytes = 64 * 1024;
// Connections that may wait to be accepted. A full queue delays callers by seconds.
constexpr int kBacklog = 1024;
// How long data sent on an outgoing connection may stay unacknowledged. A machine that lost power
// does not respond, and the kernel's default limit is many minutes. Connections of callers have no
// such limit, because it also ends connections whose peer is alive but does not read.
constexpr unsigned int kUserTimeoutMillis = 3000;
// The part of the process's descriptors that accepted connections may use. The others are for the
// connections on which requests are passed on, to other processes and to upstreams.
constexpr double kMaxAcceptedShare = 0.75;
// How long no connections are accepted for lack of descriptors, until the next try.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);
// How often listenWhenFree() tries an address that is in use.
constexpr Duration kListenRetryDelay = std::chrono::seconds(1);
// TCP keep-alive detects callers that are gone: three probes 2 s apart after 5 s without traffic.
constexpr int kKeepAliveIdleSeconds = 5;
constexpr int kKeepAliveIntervalSeconds = 2;
constexpr int kKeepAliveProbes = 3;

SocketId idOf(lws *wsi)
{
    return reinterpret_cast<SocketId>(lws_get_opaque_user_data(wsi));
}

void *toOpaque(SocketId id)
{
    return reinterpret_cast<void *>(id); // NOLINT(performance-no-int-to-ptr): an opaque id
}

bool toSockaddr(const SocketAddress &address, sockaddr_in &out)
{
    constexpr int kMaxPort = 65535;
    out = {};
    out.sin_family = AF_INET;
    if (address.port <= 0 || address.port > kMaxPort) {
        return false;
    }
    out.sin_port = htons(static_cast<std::uint16_t>(address.port));
    return inet_pton(AF_INET, address.host.c_str(), &out.sin_addr) == 1;
}

void setOption(int descriptor, int level, int option, int value)
{
    setsockopt(descriptor, level, option, &value, sizeof(value));
}

void setCommonOptions(int descriptor)
{
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

void setOutgoingOptions(int descriptor)
{
    const unsigned int timeout = kUserTimeoutMillis;
    setCommonOptions(descriptor);
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

SocketEnd endForConnectError(int connectError)
{
    return connectError == ECONNREFUSED ? SocketEnd::Refused : SocketEnd::Unreachable;
}

NetError listenError(const SocketAddress &address)
{
    return {NetError::Kind::ListenFailed, fmt::format("cannot listen at {}:{}: {}", address.host,
                                                      address.port, std::strerror(errno))};
}

} // namespace

tl::expected<std::unique_ptr<TcpSockets>, NetError> TcpSockets::create(EventLoop &loop)
{
    static const lws_protocols kProtocols[] = {{kProtocolName, callback, 0, 0, 0, nullptr, 0},
                                               {nullptr, nullptr, 0, 0, 0, nullptr, 0}};
    std::unique_ptr<TcpSockets> sockets(new TcpSockets(loop));
    sockets->buffer_.resize(kReadBufferBytes);
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = kProtocols;
    info.user = sockets.get();
    info.vhost_name = "tcp";
    sockets->vhost_ = lws_create_vhost(loop.context(), &info);
    if (sockets->vhost_ == nullptr) {
        return tl::unexpected(NetError{NetError::Kind::ContextFailed,
                                       "cannot create the libwebsockets vhost for TCP sockets"});
    }
    return sockets;
}

TcpSockets::~TcpSockets()
{
    for (const auto &[id, listening] : listening_) {
        loop_.cancel(listening.resumption);
    }
    for (const TimerId retry : listenRetries_) {
        loop_.cancel(retry);
    }
}

lws *TcpSockets::adopt(int descriptor, SocketId id)
{
    lws_sock_file_fd_type file{};
    file.filefd = descriptor;
    lws *wsi =
        lws_adopt_descriptor_vhost(vhost_, LWS_ADOPT_RAW_FILE_DESC, file, kProtocolName, nullptr);
    if (wsi != nullptr) {
        lws_set_opaque_user_data(wsi, toOpaque(id));
    }
    return wsi;
}

tl::expected<void, NetError> TcpSockets::listen(const SocketAddress &address, AcceptHandler handler)
{
    sockaddr_in target{};
    if (!toSockaddr(address, target)) {
        errno = EINVAL;
        return tl::unexpected(listenError(address));
    }
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (descriptor >= 0) {
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    }
    if (descriptor < 0
        || bind(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0
        || ::listen(descriptor, kBacklog) != 0) {
        const NetError error = listenError(address);
        if (descriptor >= 0) {
            ::close(descriptor);
        }
        return tl::unexpected(error);
    }
    const SocketId id = nextId_++;
    Listening &added = listening_[id];
    added.descriptor = descriptor;
    added.handler = std::move(handler);
    added.wsi = adopt(descriptor, id);
    if (added.wsi == nullptr) {
        listening_.erase(id);
        return tl::unexpected(listenError(address));
    }
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    maxAccepted_ =
        static_cast<std::size_t>(static_cast<double>(limit.rlim_cur) * kMaxAcceptedShare);
    return {};
}

void TcpSockets::listenWhenFree(const SocketAddress &address, AcceptHandler handler)
{
    const auto listening = listen(address, handler);
    if (!listening) {
        logLine(LogLevel::Warning, "listen.postponed", {{"message", listening.error().message}});
        retryListening(address, std::move(handler));
    }
}

void TcpSockets::retryListening(const SocketAddress &address, AcceptHandler handler)
{
    auto retry = std::make_shared<TimerId>(0);
    *retry = loop_.schedule(kListenRetryDelay,
                            [this, address, handler = std::move(handler), retry]() mutable {
                                listenRetries_.erase(*retry);
                                if (listen(address, handler)) {
                                    logLine(LogLevel::Info, "listen.opened",
                                            {{"host", address.host}, {"port", address.port}});
                                    return;
                                }
                                retryListening(address, std::move(handler));
                            });
    listenRetries_.insert(*retry);
}

bool TcpSockets::mayAccept() const
{
    return entries_.size() < maxAccepted_;
}

// Connections that are not accepted stay readable, so that polling them would never wait.
void TcpSockets::pauseAccepting(Listening &listening)
{
    if (listening.resumption != 0) {
        return;
    }
    logLine(LogLevel::Warning, "accept.paused",
            {{"sockets", entries_.size()}, {"limit", maxAccepted_}});
    lws_rx_flow_control(listening.wsi, 0);
    scheduleResumption(listening);
}

void TcpSockets::scheduleResumption(Listening &listening)
{
    listening.resumption = loop_.schedule(kAcceptRetryDelay, [this, &listening] {
        if (!mayAccept()) {
            scheduleResumption(listening);
            return;
        }
        listening.resumption = 0;
        lws_rx_flow_control(listening.wsi, 1);
    });
}

void TcpSockets::acceptAll(Listening &listening)
{
    for (;;) {
        if (!mayAccept()) {
            pauseAccepting(listening);
            return;
        }
        const int descriptor =
            accept4(listening.descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            if (errno == EMFILE || errno == ENFILE) {
                pauseAccepting(listening);
            }
            return;
        }
        setCommonOptions(descriptor);
        const SocketId id = nextId_++;
        auto entry = std::make_unique<Entry>();
        entry->descriptor = descriptor;
        Entry &added = *entries_.emplace(id, std::move(entry)).first->second;
        added.wsi = adopt(descriptor, id);
        if (added.wsi == nullptr) {
            entries_.erase(id);
            continue;
        }
        added.listener = &listening.handler(id);
    }
}

SocketId TcpSockets::connect(const SocketAddress &address, SocketListener &listener)
{
    const SocketId id = nextId_++;
    auto entry = std::make_unique<Entry>();
    entry->listener = &listener;
    entry->connecting = true;
    Entry &added = *entries_.emplace(id, std::move(entry)).first->second;
    sockaddr_in target{};
    const int descriptor = toSockaddr(address, target)
                               ? socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)
                               : -1;
    if (descriptor < 0) {
        loop_.post([this, id] { end(id, SocketEnd::Unreachable); });
        return id;
    }
    setOutgoingOptions(descriptor);
    const int result =
        ::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target));
    if (result != 0 && errno != EINPROGRESS) {
        const SocketEnd cause = endForConnectError(errno);
        ::close(descriptor);
        loop_.post([this, id, cause] { end(id, cause); });
        return id;
    }
    added.descriptor = descriptor;
    added.wsi = adopt(descriptor, id);
    if (added.wsi == nullptr) {
        loop_.post([this, id] { end(id, SocketEnd::Unreachable); });
        return id;
    }
    lws_callback_on_writable(added.wsi);
    return id;
}

TcpSockets::Entry *TcpSockets::find(SocketId socket)
{
    const auto found = entries_.find(socket);
    return found == entries_.end() ? nullptr : found->second.get();
}

void TcpSockets::send(SocketId socket, std::string_view bytes)
{
    send(socket, bytes, {});
}

void TcpSockets::send(SocketId socket, std::string_view bytes, SharedText text)
{
    Entry *entry = find(socket);
    if (entry == nullptr) {
        return;
    }
    const bool idle = entry->queue.empty() && !entry->connecting;
    entry->queue.append(bytes);
    entry->queue.append(std::move(text));
    if (idle) {
        flush(socket, *entry);
    }
}

void TcpSockets::flush(SocketId id, Entry &entry)
{
    while (!entry.queue.empty()) {
        const std::string_view next = entry.queue.front();
        const int more =
            entry.queue.hasMore() ? MSG_MORE : 0; // A head shares packets with its body.
        const ssize_t size =
            ::send(entry.descriptor, next.data(), next.size(), MSG_NOSIGNAL | more);
        if (size > 0) {
            entry.queue.removeFront(static_cast<std::size_t>(size));
            entry.wroteAny = true;
            continue;
        }
        if (errno == EINTR) {
            continue;
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK) {
            entry.queue.clear();
            endAfterReading(id);
            return;
        }
        break;
    }
    if (!entry.queue.empty()) {
        requestWriteable(id);
    } else if (entry.shutdownPending) {
        ::shutdown(entry.descriptor, SHUT_WR);
    }
}

void TcpSockets::finishWriting(SocketId socket)
{
    Entry *entry = find(socket);
    if (entry == nullptr || entry->shutdownPending) {
        return;
    }
    entry->shutdownPending = true;
    if (entry->queue.empty() && !entry->connecting) {
        ::shutdown(entry->descriptor, SHUT_WR);
    }
}

void TcpSockets::endAfterReading(SocketId id)
{
    // Data that the peer sent before the connection failed may still be readable; report the end
    // after it.
    Entry *entry = find(id);
    if (entry == nullptr || entry->failurePending) {
        return;
    }
    entry->failurePending = true;
    loop_.post([this, id] {
        onReadable(id, std::numeric_limits<int>::max()); // No more data arrives.
        end(id, SocketEnd::Reset);
    });
}

void TcpSockets::requestWriteable(SocketId id)
{
    // libwebsockets clears the request for writability after the callback in which this function
    // may run, so the request is made in the next iteration of the loop.
    loop_.post([this, id] {
        Entry *entry = find(id);
        if (entry != nullptr && entry->wsi != nullptr) {
            lws_callback_on_writable(entry->wsi);
        }
    });
}

std::size_t TcpSockets::queued(SocketId socket) const
{
    const auto found = entries_.find(socket);
    return found == entries_.end() ? 0 : found->second->queue.size();
}

std::size_t TcpSockets::queuedTotal() const
{
    std::size_t total = 0;
    for (const auto &[socket, entry] : entries_) {
        total += entry->queue.copiedSize();
    }
    return total;
}

bool TcpSockets::wroteAny(SocketId socket) const
{
    const auto found = entries_.find(socket);
    return found != entries_.end() && found->second->wroteAny;
}

void TcpSockets::pause(SocketId socket, bool paused)
{
    Entry *entry = find(socket);
    if (entry != nullptr && entry->wsi != nullptr && !entry->peerFinished) {
        entry->paused = paused;
        lws_rx_flow_control(entry->wsi, paused ? 0 : 1);
    }
}

void TcpSockets::release(SocketId id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    lws *wsi = found->second->wsi;
    entries_.erase(found);
    if (wsi != nullptr) {
        // libwebsockets closes the descriptor.
        lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

void TcpSockets::close(SocketId socket)
{
    const Entry *entry = find(socket);
    if (entry == nullptr) {
        return;
    }
    if (entry->descriptor >= 0) {
        ::shutdown(entry->descriptor, SHUT_RDWR);
    }
    release(socket);
}

void TcpSockets::reset(SocketId socket)
{
    const Entry *entry = find(socket);
    if (entry == nullptr) {
        return;
    }
    const linger immediately{1, 0};
    if (entry->descriptor >= 0) {
        setsockopt(entry->descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
    }
    release(socket);
}

void TcpSockets::end(SocketId id, SocketEnd cause)
{
    Entry *entry = find(id);
    if (entry == nullptr) {
        return;
    }
    SocketListener *listener = entry->listener;
    const bool neverConnected = entry->connecting && cause != SocketEnd::Refused;
    const SocketEnd reported = neverConnected ? SocketEnd::Unreachable : cause;
    release(id);
    if (listener != nullptr) {
        listener->onEnd(id, reported);
    }
}

int TcpSockets::onReadable(SocketId id, int maxReads)
{
    for (int reads = 0; reads < maxReads;) {
        Entry *entry = find(id);
        if (entry == nullptr || entry->descriptor < 0) {
            return entry == nullptr ? -1 : 0;
        }
        if (entry->connecting && !finishConnect(id, *entry)) {
            return find(id) == nullptr ? -1 : 0;
        }
        entry = find(id);
        if (entry == nullptr) {
            return -1;
        }
        const ssize_t size = ::recv(entry->descriptor, buffer_.data(), buffer_.size(), 0);
        if (size > 0) {
            ++reads;
            entry->listener->onBytes(id, {buffer_.data(), static_cast<std::size_t>(size)});
            entry = find(id);
            if (entry == nullptr) {
                return -1;
            }
            if (entry->paused || static_cast<std::size_t>(size) < buffer_.size()) {
                return 0;
            }
            continue;
        }
        if (size == 0) {
            return onPeerFinished(id, *entry);
        }
        if (errno == EINTR) {
            continue;
        }
        if (errno == EAGAIN || errno == EWOULDBLOCK) {
            return 0;
        }
        end(id, SocketEnd::Reset);
        return -1;
    }
    return 0; // Polling reports the socket again while it has data.
}

int TcpSockets::onPeerFinished(SocketId id, Entry &entry)
{
    if (entry.peerFinished) {
        return 0;
    }
    if (entry.failurePending) {
        // The failed write has taken the socket's error, so that a connection that was reset reads
        // like one that the peer has closed in order.
        end(id, SocketEnd::Reset);
        return -1;
    }
    // The end of the data would be reported again and again. The failure of a connection is
    // reported although reading is paused.
    pause(id, true);
    entry.peerFinished = true;
    if (!entry.listener->onPeerFinished(id)) {
        end(id, SocketEnd::Finished);
        return -1;
    }
    return find(id) == nullptr ? -1 : 0;
}

bool TcpSockets::finishConnect(SocketId id, Entry &entry)
{
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(entry.descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    sockaddr_in peer{};
    socklen_t peerSize = sizeof(peer);
    if (error == 0
        && getpeername(entry.descriptor, reinterpret_cast<sockaddr *>(&peer), &peerSize) != 0) {
        return false; // Not connected yet.
    }
    if (error != 0) {
        end(id, endForConnectError(error));
        return false;
    }
    entry.connecting = false;
    entry.listener->onConnected(id);
    Entry *current = find(id);
    if (current != nullptr && !current->queue.empty()) {
        flush(id, *current);
    }
    return true;
}

int TcpSockets::onWriteable(SocketId id)
{
    Entry *entry = find(id);
    if (entry == nullptr) {
        return -1;
    }
    if (entry->connecting) {
        if (!finishConnect(id, *entry)) {
            if (find(id) == nullptr) {
                return -1;
            }
            requestWriteable(id);
        }
        return 0;
    }
    flush(id, *entry);
    entry = find(id);
    if (entry != nullptr && entry->queue.empty()) {
        entry->listener->onWritten(id);
    }
    return 0;
}

int TcpSockets::callback(lws *wsi, lws_callback_reasons reason, void * /*user*/, void * /*in*/,
                         size_t /*size*/)
{
    lws_vhost *vhost = wsi == nullptr ? nullptr : lws_get_vhost(wsi);
    auto *sockets = vhost == nullptr ? nullptr : static_cast<TcpSockets *>(lws_vhost_user(vhost));
    if (sockets == nullptr) {
        return 0;
    }
    const SocketId id = idOf(wsi);
    switch (reason) {
    case LWS_CALLBACK_RAW_RX_FILE: {
        const auto listening = sockets->listening_.find(id);
        if (listening != sockets->listening_.end()) {
            sockets->acceptAll(listening->second);
            return 0;
        }
        return sockets->onReadable(id);
    }
    case LWS_CALLBACK_RAW_WRITEABLE_FILE:
        return sockets->onWriteable(id);
    case LWS_CALLBACK_RAW_CLOSE_FILE: {
        Entry *entry = sockets->find(id);
        if (entry != nullptr) {
            entry->wsi = nullptr;
            entry->descriptor = -1;
            sockets->end(id, SocketEnd::Reset);
        }
        return 0;
    }
    default:
        return 0;
    }
}

} // namespace seamarch
