#include "net/httpclient.h"

#include <algorithm>
#include <cstring>
#include <fmt/format.h>
#include <utility>
#include <vector>

namespace seamarch {
namespace {

constexpr const char *kProtocolName = "http-client";
constexpr size_t kBodyChunk = 32 * 1024;
constexpr size_t kReadBytes = 32 * 1024;

HttpCallId idOf(lws *wsi)
{
    return reinterpret_cast<HttpCallId>(lws_get_opaque_user_data(wsi));
}

bool addHeader(lws *wsi, lws_token_indexes token, const std::string &value, unsigned char **cursor,
               unsigned char *end)
{
    return lws_add_http_header_by_token(wsi, token,
                                        reinterpret_cast<const unsigned char *>(value.c_str()),
                                        static_cast<int>(value.size()), cursor, end)
           == 0;
}

} // namespace

struct HttpClient::Call
{
    HttpCallId id = 0;
    HttpCallRequest request;
    std::unique_ptr<HttpCallReceiver> receiver;
    lws *wsi = nullptr;
    size_t bodySent = 0;
    bool connected = false;
    bool ending = false;
};

HttpClient::HttpClient(EventLoop &loop)
    : loop_(loop)
{}

HttpClient::~HttpClient() = default;

tl::expected<std::unique_ptr<HttpClient>, NetError> HttpClient::create(EventLoop &loop)
{
    static const lws_protocols kProtocols[] = {{kProtocolName, callback, 0, 0, 0, nullptr, 0},
                                               {nullptr, nullptr, 0, 0, 0, nullptr, 0}};
    std::unique_ptr<HttpClient> client(new HttpClient(loop));
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = kProtocols;
    info.user = client.get();
    info.vhost_name = "http-client";
    client->host_ = lws_create_vhost(loop.context(), &info);
    if (client->host_ == nullptr) {
        return tl::unexpected(NetError{NetError::Kind::ContextFailed, "no HTTP client host"});
    }
    return client;
}

HttpCallId HttpClient::call(HttpCallRequest request, std::unique_ptr<HttpCallReceiver> receiver)
{
    auto call = std::make_unique<Call>();
    const HttpCallId id = nextCall_++;
    call->id = id;
    call->request = std::move(request);
    call->receiver = std::move(receiver);
    Call &added = *calls_.emplace(id, std::move(call)).first->second;
    const std::string host =
        fmt::format("{}:{}", added.request.address.host, added.request.address.port);
    lws_client_connect_info info{};
    info.context = loop_.context();
    info.vhost = host_;
    info.address = added.request.address.host.c_str();
    info.port = added.request.address.port;
    info.host = host.c_str();
    info.path = added.request.path.c_str();
    info.method = added.request.method.c_str();
    info.local_protocol_name = kProtocolName;
    info.opaque_user_data =
        reinterpret_cast<void *>(id); // NOLINT(performance-no-int-to-ptr): an id, never followed
    if (lws_client_connect_via_info(&info) == nullptr) {
        endLater(id, HttpCallEnd::NotSent);
    }
    return id;
}

void HttpClient::cancel(HttpCallId call)
{
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return;
    }
    lws *wsi = found->second->wsi;
    calls_.erase(found);
    if (wsi != nullptr) {
        lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

void HttpClient::pause(HttpCallId call, bool paused)
{
    const auto found = calls_.find(call);
    if (found != calls_.end() && found->second->wsi != nullptr) {
        lws_rx_flow_control(found->second->wsi, paused ? 0 : 1);
    }
}

void HttpClient::end(HttpCallId id, HttpCallEnd how)
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    const std::unique_ptr<Call> call = std::move(found->second);
    calls_.erase(found);
    call->receiver->onEnd(how);
}

void HttpClient::endLater(HttpCallId id, HttpCallEnd how)
{
    // The receiver hears of a failure on the next turn, never inside call().
    const auto found = calls_.find(id);
    if (found == calls_.end() || found->second->ending) {
        return;
    }
    found->second->ending = true;
    found->second->wsi = nullptr;
    loop_.post([this, id, how] { end(id, how); });
}

int HttpClient::appendHeaders(const Call &call, lws *wsi, void *in, size_t size)
{
    auto **cursor = static_cast<unsigned char **>(in);
    unsigned char *end = *cursor + size;
    if (!call.request.contentType.empty()
        && !addHeader(wsi, WSI_TOKEN_HTTP_CONTENT_TYPE, call.request.contentType, cursor, end)) {
        return -1;
    }
    for (const HttpHeader &header : call.request.headers) {
        const std::string name = header.name + ":";
        const auto *value = reinterpret_cast<const unsigned char *>(header.value.c_str());
        if (lws_add_http_header_by_name(wsi, reinterpret_cast<const unsigned char *>(name.c_str()),
                                        value, static_cast<int>(header.value.size()), cursor, end)
            != 0) {
            return -1;
        }
    }
    if (call.request.body.empty() && call.request.method == "GET") {
        return 0;
    }
    if (!addHeader(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH, std::to_string(call.request.body.size()),
                   cursor, end)) {
        return -1;
    }
    if (!call.request.body.empty()) {
        lws_client_http_body_pending(wsi, 1);
        lws_callback_on_writable(wsi);
    }
    return 0;
}

int HttpClient::sendBody(Call &call, lws *wsi)
{
    const std::string &body = call.request.body;
    if (call.bodySent == body.size()) {
        return 0;
    }
    const size_t size = std::min(body.size() - call.bodySent, kBodyChunk);
    std::vector<unsigned char> buffer(LWS_PRE + size);
    std::memcpy(buffer.data() + LWS_PRE, body.data() + call.bodySent, size);
    call.bodySent += size;
    const bool last = call.bodySent == body.size();
    if (last) {
        lws_client_http_body_pending(wsi, 0);
    }
    const auto kind = last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP;
    if (lws_write(wsi, buffer.data() + LWS_PRE, size, kind) < 0) {
        return -1;
    }
    if (!last) {
        lws_callback_on_writable(wsi);
    }
    return 0;
}

int HttpClient::readAnswer(lws *wsi)
{
    std::vector<char> buffer(LWS_PRE + kReadBytes);
    char *start = buffer.data() + LWS_PRE;
    int size = kReadBytes;
    return lws_http_client_read(wsi, &start, &size) < 0 ? -1 : 0;
}

int HttpClient::dispatch(Call &call, lws *wsi, lws_callback_reasons reason, void *in, size_t size)
{
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        call.wsi = wsi;
        call.connected = true;
        return appendHeaders(call, wsi, in, size);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return sendBody(call, wsi);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP: {
        std::string type(256, '\0');
        const int length = lws_hdr_copy(wsi, type.data(), static_cast<int>(type.size()),
                                        WSI_TOKEN_HTTP_CONTENT_TYPE);
        type.resize(length > 0 ? static_cast<size_t>(length) : 0);
        call.receiver->onHead(static_cast<int>(lws_http_client_http_response(wsi)), type);
        return 0;
    }
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return readAnswer(wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        call.receiver->onPiece({static_cast<const char *>(in), size});
        return 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        end(call.id, HttpCallEnd::Complete);
        return -1;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
        endLater(call.id, call.connected ? HttpCallEnd::Interrupted : HttpCallEnd::NotSent);
        return 0;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
        endLater(call.id, HttpCallEnd::Interrupted);
        return 0;
    default:
        return 0;
    }
}

int HttpClient::callback(lws *wsi, lws_callback_reasons reason, void * /*user*/, void *in,
                         size_t size)
{
    lws_vhost *host = wsi == nullptr ? nullptr : lws_get_vhost(wsi);
    auto *client = host == nullptr ? nullptr : static_cast<HttpClient *>(lws_vhost_user(host));
    if (client == nullptr) {
        return 0;
    }
    const auto found = client->calls_.find(idOf(wsi));
    if (found == client->calls_.end()) {
        return reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP ? -1 : 0;
    }
    return client->dispatch(*found->second, wsi, reason, in, size);
}

} // namespace seamarch
