// HTTP calls that collect the complete response body in a string.
#pragma once

#include "net/eventloop.h"
#include "net/httpclient.h"

#include <functional>
#include <string>

namespace seamarch {

// A response with its body, or a notice that no complete response arrived in time.
struct HttpTextResponse
{
    bool complete = false; // If false, the other fields are undefined.
    int status = 0;
    HttpHeaders headers;
    std::string body;
};

// Makes a call and passes its response to `done`, after this function has returned. The response is
// incomplete if the call fails, takes longer than `timeout` (it is then cancelled), or has a body
// of more than 16 MiB. Returns the id of the call; if it is cancelled, `done` is not called.
HttpCallId fetchText(EventLoop &loop, HttpClient &client, HttpCallRequest request, Duration timeout,
                     std::function<void(HttpTextResponse)> done);

} // namespace seamarch
