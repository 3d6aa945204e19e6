// Tests that responses without an end are given up and their connections closed, over loopback.
#include "freeport.h"
#include "net/httpclient.h"
#include "net/httpfetch.h"

#include <arpa/inet.h>
#include <atomic>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>

using namespace seamarch;

namespace {

constexpr std::size_t kMaxSentBytes = std::size_t{256} * 1024 * 1024;
constexpr Duration kTestTimeout = std::chrono::seconds(20);

// Accepts one connection and sends `start` and then `repeated` until the peer closes it.
class EndlessServer
{
public:
    EndlessServer(std::string start, std::string repeated)
        : start_(std::move(start))
        , repeated_(std::move(repeated))
    {
        while (repeated_.size() < 16384) {
            repeated_ += repeated_;
        }
        listening_ = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(static_cast<std::uint16_t>(port_));
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int on = 1;
        setsockopt(listening_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        LONGS_EQUAL(0, bind(listening_, reinterpret_cast<sockaddr *>(&target), sizeof(target)));
        LONGS_EQUAL(0, listen(listening_, 1));
        thread_ = std::thread([this] { serve(); });
    }
    ~EndlessServer()
    {
        thread_.join();
        ::close(listening_);
    }
    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;

    SocketAddress address() const { return {"127.0.0.1", port_}; }
    // Returns whether the peer closed the connection before kMaxSentBytes were sent.
    bool closedByPeer() const { return closed_; }

private:
    void serve()
    {
        const int connection = accept(listening_, nullptr, nullptr);
        std::string request(1024, '\0');
        std::size_t sent = 0;
        if (recv(connection, request.data(), request.size(), 0) > 0) {
            send(connection, start_.data(), start_.size(), MSG_NOSIGNAL);
            while (sent < kMaxSentBytes && !closed_) {
                const ssize_t bytes =
                    send(connection, repeated_.data(), repeated_.size(), MSG_NOSIGNAL);
                closed_ = bytes < 0;
                sent += bytes < 0 ? 0 : static_cast<std::size_t>(bytes);
            }
        }
        ::close(connection);
    }

    std::string start_;
    std::string repeated_;
    int port_ = freePort();
    int listening_ = -1;
    std::atomic<bool> closed_ = false;
    std::thread thread_;
};

class EndReceiver final : public HttpCallReceiver
{
public:
    EndReceiver(EventLoop &loop, std::optional<HttpCallEnd> &end)
        : loop_(loop)
        , end_(end)
    {}
    void onHead(HttpHead /*head*/) override {}
    void onPiece(std::string_view /*piece*/) override {}
    void onEnd(HttpCallEnd end) override
    {
        end_ = end;
        loop_.stop();
    }

private:
    EventLoop &loop_;
    std::optional<HttpCallEnd> &end_;
};

} // namespace

TEST_GROUP(EndlessResponseTest)
{
    std::unique_ptr<EventLoop> loop = std::move(*EventLoop::create());
    std::unique_ptr<HttpClient> client = std::move(*HttpClient::create(*loop));

    void teardown() override
    {
        loop->shutDown();
        client.reset();
        loop.reset();
    }

    // Calls a server that sends `start` and then `repeated` without an end, and checks that the
    // call ends as malformed and its connection is closed.
    void checkGivenUp(const std::string &start, const std::string &repeated)
    {
        std::optional<HttpCallEnd> end;
        EndlessServer server(start, repeated);
        HttpCallRequest request;
        request.address = server.address();
        const HttpCallId call =
            client->call(std::move(request), std::make_unique<EndReceiver>(*loop, end));
        loop->schedule(kTestTimeout, [this] { loop->stop(); });
        loop->run();
        client->cancel(call);
        CHECK_TEXT(end.has_value(), "expected the end of the call to be reported");
        CHECK(end.value_or(HttpCallEnd::Complete) == HttpCallEnd::MalformedResponse);
        checkClosed(server);
    }

    void checkClosed(const EndlessServer &server)
    {
        const TimePoint limit = loop->now() + kTestTimeout;
        while (!server.closedByPeer() && loop->now() < limit) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        CHECK_TEXT(server.closedByPeer(), "expected the client to close the connection");
    }
};

// Guards against calls whose end is never reported.
TEST(EndlessResponseTest, ReportsBytesThatAreNoResponse)
{
    checkGivenUp("this is no response\r\n\r\n", "x");
}

TEST(EndlessResponseTest, GivesUpHeadOfOneLine)
{
    checkGivenUp("HTTP/1.1 200 OK\r\nA: ", "x");
}

TEST(EndlessResponseTest, GivesUpHeadOfManyLines)
{
    checkGivenUp("HTTP/1.1 200 OK\r\n", "A: b\r\n");
}

TEST(EndlessResponseTest, GivesUpInformationalResponses)
{
    checkGivenUp("", "HTTP/1.1 100 Continue\r\n\r\n");
}

TEST(EndlessResponseTest, GivesUpChunkExtension)
{
    checkGivenUp("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x");
}

TEST(EndlessResponseTest, GivesUpTrailer)
{
    checkGivenUp("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n");
}

// Guards against reading on until the time-out.
TEST(EndlessResponseTest, FetchClosesConnectionOfTooLargeBody)
{
    std::optional<HttpTextResponse> response;
    EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", "x");
    HttpCallRequest request;
    request.address = server.address();
    fetchText(*loop, *client, std::move(request), std::chrono::minutes(10),
              [&](HttpTextResponse text) {
                  response = std::move(text);
                  loop->stop();
              });
    loop->schedule(kTestTimeout, [this] { loop->stop(); });
    loop->run();
    CHECK_TEXT(response.has_value(), "expected the fetch to end");
    CHECK_FALSE(response->complete);
    checkClosed(server);
}
