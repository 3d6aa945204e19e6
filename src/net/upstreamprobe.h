// Tells whether an upstream whose connection broke has ended.
//
// A connection breaks for many reasons: the upstream's process ended, its group stood still and cut
// what it ran, it refuses more connections, the way to it was cut. Only when its process has ended
// does its host refuse a new connection at once; an upstream that lives takes one, and a host that
// lost power or is cut off says nothing. So one connection is tried for each upstream that lost
// requests, however many it lost at the moment, and closed again.
//
// Single-threaded. The loop outlives the object.
#pragma once

#include "net/eventloop.h"
#include "net/tcpsockets.h"

#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace seamarch {

enum class UpstreamProbeResult {
    Alive,   // It takes connections.
    Ended,   // Nobody listens at its address.
    Unknown, // Its host says nothing.
};

std::string_view toString(UpstreamProbeResult result);

class UpstreamProbe final : private SocketListener
{
public:
    using Callback = std::function<void(UpstreamProbeResult)>;

    static tl::expected<std::unique_ptr<UpstreamProbe>, NetError> create(EventLoop &loop);
    ~UpstreamProbe() override;
    UpstreamProbe(const UpstreamProbe &) = delete;
    UpstreamProbe &operator=(const UpstreamProbe &) = delete;

    // Asks whether anybody listens at `address`. The answer follows soon, never from inside this
    // call; all that ask of one address meanwhile get the same.
    void probe(const SocketAddress &address, Callback callback);

private:
    struct PendingProbe
    {
        SocketAddress address;
        std::vector<Callback> callbacks;
        TimerId timer = 0;
    };

    explicit UpstreamProbe(EventLoop &loop);
    void onConnected(SocketId socket) override;
    void onBytes(SocketId /*socket*/, std::string_view /*bytes*/) override {}
    void onEnd(SocketId socket, SocketEnd end) override;
    void finish(SocketId socket, UpstreamProbeResult result);

    EventLoop &loop_;
    std::unique_ptr<TcpSockets> sockets_;
    std::map<SocketId, PendingProbe> pending_;
    std::map<SocketAddress, SocketId> socketByAddress_;
};

} // namespace seamarch
