#include "net/httpfetch.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace seamarch {
namespace {

constexpr std::size_t kMaxBodyBytes = std::size_t{16} * 1024 * 1024;

// Collects one response. Its destructor cancels the timeout, however the call ends.
class TextReceiver final : public HttpCallReceiver
{
public:
    TextReceiver(EventLoop &loop, std::function<void(HttpTextResponse)> done)
        : loop_(loop)
        , done_(std::move(done))
    {}
    ~TextReceiver() override { loop_.cancel(timer_); }
    TextReceiver(const TextReceiver &) = delete;
    TextReceiver &operator=(const TextReceiver &) = delete;

    // Cancels the call after `timeout`. If the process stood still, the timer may fire after the
    // call was cancelled and before this receiver is destroyed; whoever called may be gone by then.
    void startTimeout(HttpClient &client, HttpCallId call, Duration timeout)
    {
        timer_ = loop_.schedule(timeout, [&client, call, done = done_] {
            if (client.cancel(call)) {
                done(HttpTextResponse());
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
        tooLarge_ = tooLarge_ || response_.body.size() + piece.size() > kMaxBodyBytes;
        if (!tooLarge_) {
            response_.body.append(piece);
        }
    }
    void onEnd(HttpCallEnd end) override
    {
        response_.complete = end == HttpCallEnd::Complete && !tooLarge_;
        const auto done = std::move(done_);
        done(std::move(response_));
    }

private:
    EventLoop &loop_;
    std::function<void(HttpTextResponse)> done_;
    HttpTextResponse response_;
    TimerId timer_ = 0;
    bool tooLarge_ = false;
};

} // namespace

HttpCallId fetchText(EventLoop &loop, HttpClient &client, HttpCallRequest request, Duration timeout,
                     std::function<void(HttpTextResponse)> done)
{
    request.connectTimeout = std::min(request.connectTimeout, timeout);
    auto receiver = std::make_unique<TextReceiver>(loop, std::move(done));
    TextReceiver &textReceiver = *receiver;
    const HttpCallId call = client.call(std::move(request), std::move(receiver));
    textReceiver.startTimeout(client, call, timeout);
    return call;
}

} // namespace seamarch
