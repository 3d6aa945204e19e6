// Determines whether the process of an upstream has ended after a connection to it broke.
//
// A connection breaks for several reasons: the upstream's process ended, its group stalled and
// aborted its requests, it refuses further connections, or the network failed. Its host refuses
// a new connection at once only if its process has ended. A running upstream accepts it, and a host
// that lost power or is disconnected does not respond. The probe therefore makes one connection to
// an upstream that lost requests, however many it lost at that time.
//
// A process that ends closes its connections and its listening socket one after the other, so a
// connection may still be accepted in between; it is reset when the listening socket closes. The
// probe therefore keeps the connection for 20 ms, and makes a second one if it breaks.
//
// Single-threaded. The loop must outlive the object.
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

// What a probe found out about an upstream.
enum class UpstreamProbeResult {
    Alive,   // It accepts connections.
    Ended,   // Its host refuses connections to its address.
    Unknown, // Its host did not respond in time, or connecting failed otherwise.
};

// Returns the name of a result as it is logged.
std::string_view toString(UpstreamProbeResult result);

// Probes upstreams by connecting to them.
class UpstreamProbe final : private SocketListener
{
public:
    using Callback = std::function<void(UpstreamProbeResult)>;

    static tl::expected<std::unique_ptr<UpstreamProbe>, NetError> create(EventLoop &loop);
    ~UpstreamProbe() override;
    UpstreamProbe(const UpstreamProbe &) = delete;
    UpstreamProbe &operator=(const UpstreamProbe &) = delete;

    // Probes `address` and passes the result to `callback` within 340 ms, after this function has
    // returned. Concurrent calls for the same address share one probe.
    void probe(const SocketAddress &address, Callback callback);

private:
    struct PendingProbe
    {
        SocketAddress address;
        std::vector<Callback> callbacks;
        TimerId timer = 0;
        bool accepted = false; // The present connection.
        bool repeated = false; // It is the second one.
    };

    explicit UpstreamProbe(EventLoop &loop);
    void connect(PendingProbe pending);
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
