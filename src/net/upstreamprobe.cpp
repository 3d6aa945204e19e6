#include "net/upstreamprobe.h"

#include <utility>

namespace seamarch {
namespace {

// How long a host may take to respond: many round trips between the halls of a region, but less
// than a caller notices, because the requests of the broken connection wait for the result.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(150);
// How long an accepted connection must stay open. A process that ends closes its sockets within
// some milliseconds of each other, or some scheduling periods of a busy host.
constexpr Duration kSettleTime = std::chrono::milliseconds(20);

} // namespace

std::string_view toString(UpstreamProbeResult result)
{
    switch (result) {
    case UpstreamProbeResult::Alive:
        return "lives";
    case UpstreamProbeResult::Ended:
        return "ended";
    case UpstreamProbeResult::Unknown:
        return "unknown";
    }
    return "unknown";
}

UpstreamProbe::UpstreamProbe(EventLoop &loop)
    : loop_(loop)
{}

UpstreamProbe::~UpstreamProbe()
{
    for (const auto &[socket, pending] : pending_) {
        loop_.cancel(pending.timer);
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

void UpstreamProbe::probe(const SocketAddress &address, Callback callback)
{
    const auto existing = socketByAddress_.find(address);
    if (existing != socketByAddress_.end()) {
        pending_.at(existing->second).callbacks.push_back(std::move(callback));
        return;
    }
    PendingProbe pending;
    pending.address = address;
    pending.callbacks.push_back(std::move(callback));
    connect(std::move(pending));
}

void UpstreamProbe::connect(PendingProbe pending)
{
    const SocketId socket = sockets_->connect(pending.address, *this);
    pending.accepted = false;
    pending.timer = loop_.schedule(
        kProbeTimeout, [this, socket] { finish(socket, UpstreamProbeResult::Unknown); });
    socketByAddress_[pending.address] = socket;
    pending_.emplace(socket, std::move(pending));
}

void UpstreamProbe::onConnected(SocketId socket)
{
    PendingProbe &pending = pending_.at(socket);
    loop_.cancel(pending.timer);
    pending.accepted = true;
    pending.timer =
        loop_.schedule(kSettleTime, [this, socket] { finish(socket, UpstreamProbeResult::Alive); });
}

void UpstreamProbe::onEnd(SocketId socket, SocketEnd end)
{
    const auto found = pending_.find(socket);
    if (found->second.accepted && !found->second.repeated) {
        PendingProbe pending = std::move(found->second);
        pending_.erase(found);
        loop_.cancel(pending.timer);
        pending.repeated = true;
        connect(std::move(pending));
        return;
    }
    if (found->second.accepted) {
        finish(socket, UpstreamProbeResult::Alive); // It accepted a second connection.
        return;
    }
    finish(socket,
           end == SocketEnd::Refused ? UpstreamProbeResult::Ended : UpstreamProbeResult::Unknown);
}

void UpstreamProbe::finish(SocketId socket, UpstreamProbeResult result)
{
    const auto found = pending_.find(socket);
    if (found == pending_.end()) {
        return;
    }
    const PendingProbe pending = std::move(found->second);
    pending_.erase(found);
    socketByAddress_.erase(pending.address);
    loop_.cancel(pending.timer);
    sockets_->close(socket);
    for (const Callback &callback : pending.callbacks) {
        callback(result);
    }
}

} // namespace seamarch
