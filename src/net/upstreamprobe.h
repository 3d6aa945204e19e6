// Determines whether the process of an upstream has ended after a connection to it broke.
//
// A connection breaks for several reasons: the upstream's process ended, its group stalled and
// aborted its requests, it refuses further connections, or the network failed. The probe connects
// to the upstream and sends it a question:
//   - A host that refuses the connection has no process that listens there.
//   - Only a running process answers. An accepted connection alone proves nothing: the kernel
//     accepts connections while a process ends, while a parent process holds the port for the next
//     worker, and a proxy accepts them while nothing runs behind it.
//   - A host that lost power or is disconnected does not even accept the connection.
// A connection that breaks before the answer is followed by another one, until the probe's time is
// over: the listening socket may have closed after the connection, or the upstream may have too
// many connections at present.
//
// The probe sends one question at a time to an upstream, however many requests that lost.
//
// Single-threaded. The loop must outlive the object.
#pragma once

#include "net/eventloop.h"
#include "net/httptypes.h"
#include "net/tcpsockets.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace seamarch {

// What a probe found out about an upstream.
enum class UpstreamProbeResult {
    Alive,        // It answered.
    Ended,        // Its host refuses connections, or another instance answered at its address.
    Unresponsive, // Its address accepts connections, but no process answers.
    Unknown,      // Its host did not respond in time, connecting failed otherwise, or the question
                  // cannot be written.
};

// A probe has a result after this time, if the loop is not held up.
constexpr Duration kMaxProbeTime = std::chrono::milliseconds(600);

// Returns the name of a result as it is logged.
std::string_view toString(UpstreamProbeResult result);

// Returns whether a result means that the process of the upstream has ended.
bool isEnd(UpstreamProbeResult result);

// A GET request to which any running upstream responds promptly and without running anything.
struct UpstreamQuestion
{
    std::string path;
    HttpHeaders headers;
};

// Probes upstreams.
class UpstreamProbe final : private SocketListener
{
public:
    using Callback = std::function<void(UpstreamProbeResult)>;

    static tl::expected<std::unique_ptr<UpstreamProbe>, NetError> create(EventLoop &loop);
    ~UpstreamProbe() override;
    UpstreamProbe(const UpstreamProbe &) = delete;
    UpstreamProbe &operator=(const UpstreamProbe &) = delete;

    // Probes `address` and passes the result to `callback`, after this function has returned and
    // within `kMaxProbeTime`. Concurrent calls for the same address share one probe.
    void probe(const SocketAddress &address, const UpstreamQuestion &question, Callback callback);

private:
    struct PendingProbe
    {
        SocketAddress address;
        std::string request; // The question as sent.
        std::vector<Callback> callbacks;
        TimerId deadline = 0;
        TimerId nextConnection = 0;
        SocketId socket = 0;       // 0 between two connections.
        bool everAccepted = false; // One of its connections.
        std::string answer;        // What has been received on the present connection.
    };

    explicit UpstreamProbe(EventLoop &loop);
    PendingProbe *findBySocket(SocketId socket);
    void connect(const SocketAddress &address);
    void setDeadline(PendingProbe &pending, Duration delay);
    void onDeadline(const SocketAddress &address);
    void onConnected(SocketId socket) override;
    void onBytes(SocketId socket, std::string_view bytes) override;
    void onEnd(SocketId socket, SocketEnd end) override;
    void finish(const SocketAddress &address, UpstreamProbeResult result);

    EventLoop &loop_;
    std::unique_ptr<TcpSockets> sockets_;
    std::map<SocketAddress, PendingProbe> pending_;
    std::map<SocketId, SocketAddress> addressBySocket_;
};

} // namespace seamarch
