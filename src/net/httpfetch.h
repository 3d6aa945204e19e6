// HTTP calls that collect the complete response body in a string.
#pragma once

#include "net/eventloop.h"
#include "net/httpclient.h"

#include <cstddef>
#include <functional>
#include <string>

namespace seamarch {

// A response with its body, or a notice that no complete response arrived in time.
struct HttpTextResponse
{
    bool complete = false; // If false, the headers and the body are undefined.
    int status = 0;        // Zero if no head arrived.
    HttpHeaders headers;
    std::string body;
};

// The default limit of a body: that of a long list of the platform's store.
inline constexpr std::size_t kMaxFetchedBytes = std::size_t{16} * 1024 * 1024;

// Makes a call and passes its response to `done`, after this function has returned. The response is
// incomplete if the call fails, takes longer than `timeout` or has a body of more than `maxBytes`;
// in the last two cases its connection is closed. Returns the id of the call; if it is cancelled,
// `done` is not called.
HttpCallId fetchText(EventLoop &loop, HttpClient &client, HttpCallRequest request, Duration timeout,
                     std::function<void(HttpTextResponse)> done,
                     std::size_t maxBytes = kMaxFetchedBytes);

} // namespace seamarch
