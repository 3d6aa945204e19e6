// Calls whose whole answer is wanted as one text.
#pragma once

#include "net/eventloop.h"
#include "net/httpclient.h"

#include <functional>
#include <string>

namespace seamarch {

struct HttpTextResponse
{
    bool complete = false; // The whole answer arrived in time; else the fields below mean nothing.
    int status = 0;
    HttpHeaders headers;
    std::string body;
};

// Makes a call and hands its whole answer to `done`, never from inside this function. A call that
// takes longer than `patience`, or whose answer is longer than a few megabytes, is broken off.
// Returns the call, which can be cancelled until then; `done` then hears nothing.
HttpCallId fetchText(EventLoop &loop, HttpClient &client, HttpCallRequest request, Duration timeout,
                     std::function<void(HttpTextResponse)> done);

} // namespace seamarch
