#include "net/upstreamprobe.h"

#include "base/log.h"

#include <fmt/format.h>
#include <iterator>
#include <utility>

namespace seamarch {
namespace {

// How long a host may take to accept a connection: many round trips between the halls of a region,
// but less than a caller notices, because the requests of the broken connection wait for the
// result.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(150);
// How long an upstream that accepts connections may take to answer, all connections together.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(400);
// The pause after a connection that broke. A process that ends closes its sockets within some
// milliseconds of each other, or some scheduling periods of a busy host.
constexpr Duration kReconnectDelay = std::chrono::milliseconds(20);
// The status line of an instance at the address that is not the expected one.
constexpr std::string_view kOtherInstance = "HTTP/1.1 421";

std::string toRequest(const SocketAddress &address, const UpstreamQuestion &question)
{
    std::string text = fmt::format("GET {} HTTP/1.1\r\nHost: {}:{}\r\nConnection: close\r\n",
                                   question.path, address.host, address.port);
    for (const HttpHeader &header : question.headers) {
        fmt::format_to(std::back_inserter(text), "{}: {}\r\n", header.name, header.value);
    }
    return text + "\r\n";
}

} // namespace

std::string_view toString(UpstreamProbeResult result)
{
    switch (result) {
    case UpstreamProbeResult::Alive:
        return "lives";
    case UpstreamProbeResult::Ended:
        return "ended";
    case UpstreamProbeResult::Unresponsive:
        return "unresponsive";
    case UpstreamProbeResult::Unknown:
        return "unknown";
    }
    return "unknown";
}

bool isEnd(UpstreamProbeResult result)
{
    return result == UpstreamProbeResult::Ended || result == UpstreamProbeResult::Unresponsive;
}

UpstreamProbe::UpstreamProbe(EventLoop &loop)
    : loop_(loop)
{}

UpstreamProbe::~UpstreamProbe()
{
    for (const auto &[address, pending] : pending_) {
        loop_.cancel(pending.deadline);
        loop_.cancel(pending.nextConnection);
    }
}

tl::expected<std::unique_ptr<UpstreamProbe>, NetError> UpstreamProbe::create(EventLoop &loop)
{
    std::unique_ptr<UpstreamProbe> probe(new UpstreamProbe(loop));
    auto sockets = TcpSockets::create(loop);
    if (!sockets) {
        return tl::unexpected(sockets.error());
    }
    probe->sockets_ = std::move(*sockets);
    return probe;
}

void UpstreamProbe::probe(const SocketAddress &address, const UpstreamQuestion &question,
                          Callback callback)
{
    const auto [found, isNew] = pending_.try_emplace(address);
    PendingProbe &pending = found->second;
    pending.callbacks.push_back(std::move(callback));
    if (!isNew) {
        return;
    }
    pending.address = address;
    if (const auto field = findUnwritable(question.path, question.headers)) {
        logLine(LogLevel::Warning, "call.unwritable",
                {{"field", *field}, {"host", address.host}, {"port", address.port}});
        pending.deadline = loop_.schedule(
            Duration{}, [this, address] { finish(address, UpstreamProbeResult::Unknown); });
        return;
    }
    pending.request = toRequest(address, question);
    setDeadline(pending, kConnectTimeout);
    connect(address);
}

UpstreamProbe::PendingProbe *UpstreamProbe::findBySocket(SocketId socket)
{
    const auto found = addressBySocket_.find(socket);
    return found == addressBySocket_.end() ? nullptr : &pending_.at(found->second);
}

void UpstreamProbe::connect(const SocketAddress &address)
{
    PendingProbe &pending = pending_.at(address);
    pending.nextConnection = 0;
    pending.answer.clear();
    pending.socket = sockets_->connect(address, *this);
    addressBySocket_[pending.socket] = address;
}

void UpstreamProbe::setDeadline(PendingProbe &pending, Duration delay)
{
    loop_.cancel(pending.deadline);
    pending.deadline = loop_.schedule(delay, [this, address = pending.address] {
        PendingProbe &due = pending_.at(address);
        due.deadline = loop_.schedule(kReadTime, [this, address] { onDeadline(address); });
    });
}

void UpstreamProbe::onDeadline(const SocketAddress &address)
{
    finish(address, pending_.at(address).everAccepted ? UpstreamProbeResult::Unresponsive
                                                      : UpstreamProbeResult::Unknown);
}

void UpstreamProbe::onConnected(SocketId socket)
{
    PendingProbe *pending = findBySocket(socket);
    if (pending == nullptr) {
        return;
    }
    if (!std::exchange(pending->everAccepted, true)) {
        setDeadline(*pending, kAnswerTimeout);
    }
    sockets_->send(socket, pending->request);
}

void UpstreamProbe::onBytes(SocketId socket, std::string_view bytes)
{
    PendingProbe *pending = findBySocket(socket);
    if (pending == nullptr) {
        return;
    }
    pending->answer += bytes.substr(0, kOtherInstance.size());
    if (pending->answer.size() >= kOtherInstance.size()) {
        finish(SocketAddress(pending->address), pending->answer.starts_with(kOtherInstance)
                                                    ? UpstreamProbeResult::Ended
                                                    : UpstreamProbeResult::Alive);
    }
}

void UpstreamProbe::onEnd(SocketId socket, SocketEnd end)
{
    PendingProbe *pending = findBySocket(socket);
    if (pending == nullptr) {
        return;
    }
    addressBySocket_.erase(socket);
    pending->socket = 0;
    const SocketAddress address = pending->address;
    if (end == SocketEnd::Refused) {
        finish(address, UpstreamProbeResult::Ended);
    } else if (end == SocketEnd::Unreachable && !pending->everAccepted) {
        finish(address, UpstreamProbeResult::Unknown);
    } else {
        pending->nextConnection =
            loop_.schedule(kReconnectDelay, [this, address] { connect(address); });
    }
}

void UpstreamProbe::finish(const SocketAddress &address, UpstreamProbeResult result)
{
    const auto found = pending_.find(address);
    const PendingProbe pending = std::move(found->second);
    pending_.erase(found);
    loop_.cancel(pending.deadline);
    loop_.cancel(pending.nextConnection);
    if (pending.socket != 0) {
        addressBySocket_.erase(pending.socket);
        sockets_->close(pending.socket);
    }
    for (const Callback &callback : pending.callbacks) {
        callback(result);
    }
}

} // namespace seamarch
