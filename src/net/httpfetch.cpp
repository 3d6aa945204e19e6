#include "net/httpfetch.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace seamarch {
namespace {

// Collects one response. Its destructor cancels the timeout, however the call ends.
class TextReceiver final : public HttpCallReceiver
{
public:
    TextReceiver(EventLoop &loop, HttpClient &client, std::size_t maxBytes,
                 std::function<void(HttpTextResponse)> done)
        : loop_(loop)
        , client_(client)
        , maxBytes_(maxBytes)
        , done_(std::move(done))
    {}
    ~TextReceiver() override { loop_.cancel(timer_); }
    TextReceiver(const TextReceiver &) = delete;
    TextReceiver &operator=(const TextReceiver &) = delete;

    // Cancels the call after `timeout`. If the process stood still, the timer may fire after the
    // call was cancelled and before this receiver is destroyed; whoever called may be gone by then.
    void start(HttpCallId call, Duration timeout)
    {
        call_ = call;
        timer_ = loop_.schedule(timeout, [this, &client = client_, call, done = done_] {
            const HttpTextResponse response = incomplete();
            if (client.cancel(call)) {
                done(response);
            }
        });
    }

    void onHead(HttpHead head) override
    {
        response_.status = head.status;
        response_.headers = std::move(head.headers);
    }
    void onPiece(std::string_view piece) override
    {
        if (response_.body.size() + piece.size() <= maxBytes_) {
            response_.body.append(piece);
            return;
        }
        const HttpTextResponse response = incomplete();
        const auto done = done_;
        if (client_.cancel(call_)) {
            done(response);
        }
    }
    void onEnd(HttpCallEnd end) override
    {
        response_.complete = isComplete(end);
        const auto done = std::move(done_);
        done(std::move(response_));
    }

private:
    HttpTextResponse incomplete() const
    {
        HttpTextResponse response;
        response.status = response_.status;
        return response;
    }

    EventLoop &loop_;
    HttpClient &client_;
    std::size_t maxBytes_;
    std::function<void(HttpTextResponse)> done_;
    HttpTextResponse response_;
    HttpCallId call_ = 0;
    TimerId timer_ = 0;
};

} // namespace

HttpCallId fetchText(EventLoop &loop, HttpClient &client, HttpCallRequest request, Duration timeout,
                     std::function<void(HttpTextResponse)> done, std::size_t maxBytes)
{
    request.connectTimeout = std::min(request.connectTimeout, timeout);
    auto receiver = std::make_unique<TextReceiver>(loop, client, maxBytes, std::move(done));
    TextReceiver &textReceiver = *receiver;
    const HttpCallId call = client.call(std::move(request), std::move(receiver));
    textReceiver.start(call, timeout);
    return call;
}

} // namespace seamarch
