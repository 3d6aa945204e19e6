#include "tool/fetch.h"

#include "net/eventloop.h"
#include "net/httpclient.h"

#include <fmt/format.h>
#include <utility>

namespace seamarch {
namespace {

constexpr Duration kFetchTimeout = std::chrono::seconds(10);
constexpr int kStatusOk = 200;

struct Response
{
    int status = 0; // 0 until the head has arrived.
    std::string body;
    bool complete = false; // False if the call failed or timed out.
};

// Collects one response and stops the event loop at its end.
class ResponseReceiver final : public HttpCallReceiver
{
public:
    ResponseReceiver(EventLoop &loop, Response &response)
        : loop_(loop)
        , response_(response)
    {}

    void onHead(HttpHead head) override { response_.status = head.status; }
    void onPiece(std::string_view piece) override { response_.body += piece; }
    void onEnd(HttpCallEnd end) override
    {
        response_.complete = isComplete(end);
        loop_.stop();
    }

private:
    EventLoop &loop_;
    Response &response_;
};

} // namespace

tl::expected<std::string, NetError> fetch(const SocketAddress &address, const std::string &path)
{
    auto loop = EventLoop::create();
    if (!loop) {
        return tl::unexpected(loop.error());
    }
    auto client = HttpClient::create(**loop);
    if (!client) {
        return tl::unexpected(client.error());
    }
    Response response;
    HttpCallRequest request;
    request.address = address;
    request.path = path;
    (*client)->call(std::move(request), std::make_unique<ResponseReceiver>(**loop, response));
    (*loop)->schedule(kFetchTimeout, [&loop] { (*loop)->stop(); });
    (*loop)->run();
    (*loop)->shutDown();
    if (!response.complete || response.status != kStatusOk) {
        return tl::unexpected(NetError{
            NetError::Kind::ConnectFailed,
            fmt::format("expected a complete response from {}:{}{} with status 200, found {}",
                        address.host, address.port, path,
                        response.status == 0 ? "none" : std::to_string(response.status))});
    }
    return std::move(response.body);
}

} // namespace seamarch
