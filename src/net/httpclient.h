// The HTTP client that agents use towards their upstream and readers towards the platform.
//
// A call is one request with its answer, addressed by its id. Answers arrive in pieces; a piece
// that the receiver cannot take is held back by pausing the call.
#pragma once

#include "net/eventloop.h"
#include "net/httptypes.h"
#include "net/neterror.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace seamarch {

using HttpCallId = std::uint64_t;

struct HttpCallRequest
{
    SocketAddress address;
    std::string method = "GET";
    std::string path = "/";
    std::string contentType;
    std::vector<HttpHeader> headers;
    std::string body;
};

// How a call ended.
enum class HttpCallEnd {
    Complete,    // The whole answer arrived.
    NotSent,     // The connection was never made: nothing was written.
    Interrupted, // The connection broke after the request may have been written.
};

// Receives the answer of one call. All calls come on the loop's thread.
class HttpCallReceiver
{
public:
    virtual ~HttpCallReceiver() = default;

    virtual void onHead(int status, const std::string &contentType) = 0;
    virtual void onPiece(std::string_view piece) = 0;
    // The last call; the receiver is released after it.
    virtual void onEnd(HttpCallEnd end) = 0;
};

// Makes calls. One per process; the loop outlives it.
class HttpClient
{
public:
    static tl::expected<std::unique_ptr<HttpClient>, NetError> create(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Starts a call. Its end is always reported, unless it is cancelled.
    HttpCallId call(HttpCallRequest request, std::unique_ptr<HttpCallReceiver> receiver);
    // Breaks the call off. The receiver is released and hears no more.
    void cancel(HttpCallId call);
    // Stops or restarts the reading of the answer.
    void pause(HttpCallId call, bool paused);

private:
    struct Call;

    explicit HttpClient(EventLoop &loop);
    static int callback(lws *wsi, lws_callback_reasons reason, void *user, void *in, size_t size);
    int dispatch(Call &call, lws *wsi, lws_callback_reasons reason, void *in, size_t size);
    static int appendHeaders(const Call &call, lws *wsi, void *in, size_t size);
    static int sendBody(Call &call, lws *wsi);
    static int readAnswer(lws *wsi);
    void end(HttpCallId id, HttpCallEnd how);
    void endLater(HttpCallId id, HttpCallEnd how);

    EventLoop &loop_;
    lws_vhost *host_ = nullptr;
    std::map<HttpCallId, std::unique_ptr<Call>> calls_;
    HttpCallId nextCall_ = 1;
};

} // namespace seamarch
