#include "freeport.h"
#include "net/upstreamprobe.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <stdexcept>
#include <string_view>
#include <thread>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

constexpr Duration kTestTimeout = std::chrono::seconds(10);
constexpr Duration kServeDelay = std::chrono::milliseconds(10);

const UpstreamQuestion kQuestion{"/report", {}};

// A listening socket whose connections are never accepted.
class Listener
{
public:
    explicit Listener(int port, int backlog)
        : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address = at(port);
        if (bind(descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
            || listen(descriptor_, backlog) != 0) {
            throw std::runtime_error("cannot listen on loopback");
        }
    }
    ~Listener()
    {
        for (const int client : clients_) {
            close(client);
        }
        stop();
    }
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    // Closes the socket, which resets the connections that it has received.
    void stop()
    {
        if (descriptor_ >= 0) {
            close(std::exchange(descriptor_, -1));
        }
    }
    // Accepts a connection, sends `answer` on it and closes it.
    void serve(std::string_view answer)
    {
        const int connection = accept(descriptor_, nullptr, nullptr);
        std::array<char, 1024> request{};
        CHECK_TRUE(connection >= 0);
        CHECK_TRUE(recv(connection, request.data(), request.size(), 0) > 0);
        CHECK_TRUE(send(connection, answer.data(), answer.size(), MSG_NOSIGNAL)
                   == static_cast<ssize_t>(answer.size()));
        close(connection);
    }
    // Closes a connection that it has received, if there is one.
    void closeConnection()
    {
        const int connection = accept(descriptor_, nullptr, nullptr);
        if (connection >= 0) {
            close(connection);
        }
    }

    // Fills the backlog, so that the kernel ignores further connections like a host without power.
    void fill(int port)
    {
        constexpr int kMoreThanBacklog = 8;
        for (int count = 0; count < kMoreThanBacklog; ++count) {
            const int client = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            sockaddr_in address = at(port);
            clients_.push_back(client);
            if (connect(client, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
                && errno != EINPROGRESS) {
                throw std::runtime_error("cannot connect on loopback");
            }
        }
    }

private:
    static sockaddr_in at(int port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        return address;
    }

    int descriptor_;
    std::vector<int> clients_;
};

} // namespace

TEST_GROUP(UpstreamProbeTest)
{
    std::unique_ptr<EventLoop> loop;
    std::unique_ptr<UpstreamProbe> probe;
    std::vector<UpstreamProbeResult> results;

    void setup() override
    {
        loop = std::move(*EventLoop::create());
        probe = std::move(*UpstreamProbe::create(*loop));
    }

    void teardown() override
    {
        loop->shutDown();
        probe.reset();
        loop.reset();
    }

    // Starts `times` probes of `port` at once and waits for all results.
    void runProbes(int port, std::size_t times = 1)
    {
        for (std::size_t count = 0; count < times; ++count) {
            probe->probe({"127.0.0.1", port}, kQuestion, [this, times](UpstreamProbeResult result) {
                results.push_back(result);
                if (results.size() == times) {
                    loop->stop();
                }
            });
        }
        loop->schedule(kTestTimeout, [this] { loop->stop(); });
        loop->run();
        LONGS_EQUAL(times, results.size());
    }
};

TEST(UpstreamProbeTest, ReportsAliveWhenUpstreamAnswers)
{
    const int port = freePort();
    Listener listener(port, 4);
    loop->schedule(kServeDelay,
                   [&listener] { listener.serve("HTTP/1.1 400 Bad Request\r\n\r\n"); });
    runProbes(port);
    CHECK_TRUE(results.front() == UpstreamProbeResult::Alive);
}

// Guards against an id that adds a header to the question, or makes an upstream seem dead.
TEST(UpstreamProbeTest, SendsNoQuestionThatWouldBeReadAsAnother)
{
    const int port = freePort();
    Listener listener(port, 4);
    for (const char *const value : {"a\r\nB: c", "a\n", "\x7f"}) {
        bool isUnknown = false;
        probe->probe({"127.0.0.1", port}, {"/report", {{"A", value}}},
                     [&](UpstreamProbeResult result) {
                         isUnknown = result == UpstreamProbeResult::Unknown;
                         loop->stop();
                     });
        loop->run();
        CHECK_TEXT(isUnknown, value);
    }
}

TEST(UpstreamProbeTest, ReportsEndedWhenConnectionIsRefused)
{
    runProbes(freePort());
    CHECK_TRUE(results.front() == UpstreamProbeResult::Ended);
}

// Guards against an upstream that is taken for alive, so that its crash is not counted, because it
// closes the connection of the lost request before it stops listening.
TEST(UpstreamProbeTest, ReportsEndedWhenListenerClosesAfterTheLostConnection)
{
    const int port = freePort();
    Listener listener(port, 4);
    loop->schedule(std::chrono::milliseconds(60), [&listener] { listener.stop(); });
    runProbes(port);
    CHECK_TRUE(results.front() == UpstreamProbeResult::Ended);
}

// Guards against a crash that is not counted because a parent process holds the port.
TEST(UpstreamProbeTest, ReportsUnresponsiveWhenAcceptedConnectionGetsNoAnswer)
{
    const int port = freePort();
    const Listener listener(port, 4);
    runProbes(port);
    CHECK_TRUE(results.front() == UpstreamProbeResult::Unresponsive);
}

// Guards against a crash that is not counted because a proxy accepts connections and closes them.
TEST(UpstreamProbeTest, ReportsUnresponsiveWhenEachConnectionIsClosed)
{
    const int port = freePort();
    Listener listener(port, 4);
    const PeriodicTimer closer(*loop, std::chrono::milliseconds(5),
                               [&listener] { listener.closeConnection(); });
    runProbes(port);
    CHECK_TRUE(results.front() == UpstreamProbeResult::Unresponsive);
}

// Guards against a crash that is not counted because the next instance at the address answers.
TEST(UpstreamProbeTest, ReportsEndedWhenAnotherInstanceAnswers)
{
    const int port = freePort();
    Listener listener(port, 4);
    loop->schedule(kServeDelay,
                   [&listener] { listener.serve("HTTP/1.1 421 Misdirected Request\r\n\r\n"); });
    runProbes(port);
    CHECK_TRUE(results.front() == UpstreamProbeResult::Ended);
}

TEST(UpstreamProbeTest, ReportsAliveWhenConnectionIsClosedButAnotherOneAnswered)
{
    const int port = freePort();
    Listener listener(port, 4);
    loop->schedule(std::chrono::milliseconds(5), [&listener] { listener.closeConnection(); });
    loop->schedule(std::chrono::milliseconds(60),
                   [&listener] { listener.serve("HTTP/1.1 200 OK\r\n\r\n"); });
    runProbes(port);
    CHECK_TRUE(results.front() == UpstreamProbeResult::Alive);
}

TEST(UpstreamProbeTest, ReportsUnknownWhenHostDoesNotAnswer)
{
    const int port = freePort();
    Listener listener(port, 0);
    listener.fill(port);
    runProbes(port);
    CHECK_TRUE(results.front() == UpstreamProbeResult::Unknown);
}

// Guards against an upstream that is taken for ended although its answer has arrived: expired
// timers run before sockets are read, so the deadline of a process that was held up runs first.
TEST(UpstreamProbeTest, ReportsAliveWhenLoopStandsStillPastTheDeadline)
{
    const int port = freePort();
    Listener listener(port, 4);
    loop->schedule(kServeDelay, [&listener] {
        listener.serve("HTTP/1.1 200 OK\r\n\r\n");
        std::this_thread::sleep_for(std::chrono::seconds(1));
    });
    runProbes(port);
    CHECK_TRUE(results.front() == UpstreamProbeResult::Alive);
}

TEST(UpstreamProbeTest, SharesOneProbeAmongConcurrentCallers)
{
    const int port = freePort();
    Listener listener(port, 4);
    loop->schedule(kServeDelay, [&listener] { listener.serve("HTTP/1.1 200 OK\r\n\r\n"); });
    runProbes(port, 3);
    for (const UpstreamProbeResult result : results) {
        CHECK_TRUE(result == UpstreamProbeResult::Alive);
    }
}
