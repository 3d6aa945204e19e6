// Tests the HTTP server and client with each other and with raw sockets, over loopback.
#include "freeport.h"
#include "net/httpclient.h"
#include "net/httpfetch.h"
#include "net/httpserver.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

constexpr Duration kTestTimeout = std::chrono::seconds(10);

// Responds to each request with its body. Some paths select a different behavior.
class EchoHandler final : public HttpHandler
{
public:
    void onRequest(ExchangeId exchange, HttpRequest request) override
    {
        ++requests;
        last = std::move(request);
        lastExchange = exchange;
        HttpResponseHead head;
        if (last.path == "/hold") {
            return;
        }
        if (last.path == "/pieces") {
            server->begin(exchange, head);
            server->write(exchange, "one ");
            server->write(exchange, "two");
            server->finish(exchange);
            return;
        }
        if (last.path == "/broken") {
            server->begin(exchange, head);
            server->write(exchange, "half");
            server->abort(exchange);
            return;
        }
        if (last.path == "/short") {
            head.contentLength = 10;
            server->begin(exchange, head);
            server->write(exchange, "half");
            server->finish(exchange);
            return;
        }
        server->respond(exchange, head, last.body);
    }
    void onCallerGone(ExchangeId /*exchange*/) override { ++callersGone; }
    void onDrained(ExchangeId /*exchange*/) override {}

    HttpServer *server = nullptr;
    HttpRequest last;
    ExchangeId lastExchange = 0;
    int requests = 0;
    int callersGone = 0;
};

struct Result
{
    int status = 0;
    std::string body;
    std::optional<HttpCallEnd> end;
};

class Receiver final : public HttpCallReceiver
{
public:
    Receiver(EventLoop &loop, Result &result)
        : loop_(loop)
        , result_(result)
    {}
    void onHead(HttpHead head) override { result_.status = head.status; }
    void onPiece(std::string_view piece) override { result_.body += piece; }
    void onEnd(HttpCallEnd end) override
    {
        result_.end = end;
        loop_.stop();
    }

private:
    EventLoop &loop_;
    Result &result_;
};

} // namespace

TEST_GROUP(HttpStackTest)
{
    std::unique_ptr<EventLoop> loop;
    EchoHandler echo;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<HttpClient> client;
    SocketAddress address;

    void setup() override
    {
        loop = std::move(*EventLoop::create());
        address = {"127.0.0.1", freePort()};
        HttpServerOptions options;
        options.address = address;
        options.maxBodyBytes = 1000;
        server = std::move(*HttpServer::create(*loop, echo, options));
        echo.server = server.get();
        client = std::move(*HttpClient::create(*loop));
    }

    void teardown() override
    {
        loop->shutDown();
        client.reset();
        server.reset();
        loop.reset();
    }

    // Runs the loop until `done` returns true. Fails after kTestTimeout.
    void runUntil(const std::function<bool()> &done)
    {
        const TimePoint end = loop->now() + kTestTimeout;
        while (!done() && loop->now() < end) {
            loop->schedule(std::chrono::milliseconds(5), [this] { loop->stop(); });
            loop->run();
        }
        CHECK_TEXT(done(), "condition not met within 10 s; a message may be lost");
    }

    Result call(HttpCallRequest request)
    {
        Result result;
        request.address = address;
        client->call(std::move(request), std::make_unique<Receiver>(*loop, result));
        runUntil([&result] { return result.end.has_value(); });
        return result;
    }

    // Sends `text` on a new connection and returns all data received until the server closes it.
    std::string sendRaw(const std::string &text)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(static_cast<std::uint16_t>(address.port));
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        LONGS_EQUAL(0, connect(descriptor, reinterpret_cast<sockaddr *>(&target), sizeof(target)));
        LONGS_EQUAL(text.size(), send(descriptor, text.data(), text.size(), MSG_NOSIGNAL));
        std::string received;
        bool closed = false;
        runUntil([&] {
            char buffer[4096];
            const ssize_t size = recv(descriptor, buffer, sizeof(buffer), MSG_DONTWAIT);
            if (size > 0) {
                received.append(buffer, static_cast<std::size_t>(size));
            }
            closed = closed || size == 0;
            return closed;
        });
        close(descriptor);
        return received;
    }
};

TEST(HttpStackTest, TransfersRequestAndResponse)
{
    HttpCallRequest request;
    request.method = "POST";
    request.path = "/echo?x=1";
    request.headers = {{"X-Any-Name", "value"}};
    request.body = "hello";
    const Result result = call(request);
    CHECK_TRUE(result.end == HttpCallEnd::Complete);
    LONGS_EQUAL(200, result.status);
    STRCMP_EQUAL("hello", result.body.c_str());
    STRCMP_EQUAL("x=1", echo.last.query.c_str());
    STRCMP_EQUAL("value", echo.last.header("x-any-name").c_str());
}

TEST(HttpStackTest, ReceivesStreamedBody)
{
    HttpCallRequest request;
    request.path = "/pieces";
    STRCMP_EQUAL("one two", call(request).body.c_str());
}

TEST(HttpStackTest, ReusesConnection)
{
    HttpCallRequest request;
    request.reuse = ConnectionReuse::Any;
    call(request);
    call(request);
    LONGS_EQUAL(1, client->connectionsMade());
    request.reuse = ConnectionReuse::Never;
    call(request);
    LONGS_EQUAL(2, client->connectionsMade());
}

TEST(HttpStackTest, ReportsTruncatedResponseAsInterrupted)
{
    for (const char *const path : {"/broken", "/short"}) {
        HttpCallRequest request;
        request.path = path;
        const Result result = call(request);
        CHECK_TEXT(result.end == HttpCallEnd::Interrupted, path);
        STRCMP_EQUAL("half", result.body.c_str());
    }
}

TEST(HttpStackTest, ReportsRefusedConnectionAsNotSent)
{
    HttpCallRequest request;
    Result result;
    request.address = {"127.0.0.1", freePort()};
    client->call(request, std::make_unique<Receiver>(*loop, result));
    runUntil([&result] { return result.end.has_value(); });
    CHECK_TRUE(result.end == HttpCallEnd::NotSent);
}

TEST(HttpStackTest, CancelClosesTheConnection)
{
    HttpCallRequest request;
    Result result;
    request.address = address;
    request.path = "/hold";
    const HttpCallId id = client->call(request, std::make_unique<Receiver>(*loop, result));
    runUntil([this] { return echo.requests == 1; });
    client->cancel(id);
    runUntil([this] { return echo.callersGone == 1; });
    CHECK_FALSE(result.end.has_value());
}

// The process stands still until the timeout of a call is due together with what cancels the call.
TEST(HttpStackTest, CancelledFetchIsNotReportedAsTimedOut)
{
    HttpCallRequest request;
    request.address = address;
    request.path = "/hold";
    bool reported = false;
    const HttpCallId call = fetchText(*loop, *client, request, std::chrono::milliseconds(10),
                                      [&](const HttpTextResponse &) { reported = true; });
    loop->schedule(std::chrono::milliseconds(1), [&] { client->cancel(call); });
    loop->schedule(std::chrono::milliseconds(100), [&] { loop->stop(); });
    loop->post([] { std::this_thread::sleep_for(std::chrono::milliseconds(50)); });
    loop->run();
    CHECK_FALSE(reported);
}

TEST(HttpStackTest, ReportsLossOfReusedConnection)
{
    HttpCallRequest request;
    request.reuse = ConnectionReuse::Any;
    call(request);
    request.path = "/hold";
    Result result;
    request.address = address;
    client->call(request, std::make_unique<Receiver>(*loop, result));
    runUntil([this] { return echo.requests == 2; });
    server->abort(echo.lastExchange);
    runUntil([&result] { return result.end.has_value(); });
    CHECK_TRUE(result.end == HttpCallEnd::ReusedConnectionLost);
}

TEST(HttpStackTest, AnswersPipelinedRequestsInOrder)
{
    const std::string received = sendRaw("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n1"
                                         "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
                                         "Connection: close\r\n\r\n2");
    LONGS_EQUAL(2, echo.requests);
    CHECK_TRUE(received.find("\r\n\r\n1HTTP/1.1 200") != std::string::npos);
    STRCMP_EQUAL("2", received.substr(received.size() - 1).c_str());
}

TEST(HttpStackTest, RejectsInvalidRequestsWithoutCallingHandler)
{
    STRNCMP_EQUAL("HTTP/1.1 400", sendRaw("GET / HTTP/1.1\r\nHost : x\r\n\r\n").c_str(), 12);
    STRNCMP_EQUAL("HTTP/1.1 413",
                  sendRaw("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n").c_str(),
                  12);
    STRNCMP_EQUAL("HTTP/1.1 431",
                  sendRaw("GET / HTTP/1.1\r\nA: " + std::string(20000, 'a')).c_str(), 12);
    LONGS_EQUAL(0, echo.requests);
}

TEST(HttpStackTest, SendsConnectionCloseBeforeClosing)
{
    server->announceClose();
    const std::string received = sendRaw("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK_TRUE(received.find("Connection: close") != std::string::npos);
}

TEST_GROUP(EventLoopTest){};

TEST(EventLoopTest, ScheduleAfterShutDownReturnsZero)
{
    auto loop = std::move(*EventLoop::create());
    loop->shutDown();
    const TimerId timer = loop->schedule(std::chrono::milliseconds(1), [] {});
    LONGS_EQUAL(0, timer);
    loop->cancel(timer);
}
