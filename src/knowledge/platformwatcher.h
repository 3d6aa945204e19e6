// Long polls of the platform's service for the configuration and the instance list.
//
// The service is never written to. Each answer is followed immediately by the next request. A
// failure is followed by a request after an exponential backoff with jitter and an upper limit, so
// that the watchers do not all call at once when the service recovers.
#pragma once

#include "knowledge/clusterstate.h"
#include "net/eventloop.h"
#include "net/httpclient.h"

#include <cstdint>
#include <random>
#include <string>

namespace seamarch {

namespace detail {

// Polls one path of the service and passes each new document to a handler.
class DocumentPoller
{
public:
    // Receives a document, or an empty text if the held version is still current, and the time at
    // which the request was sent. Returns the version that is held afterwards.
    using DocumentHandler = std::function<std::uint64_t(const std::string &, TimePoint)>;

    DocumentPoller(EventLoop &loop, HttpClient &client, SocketAddress platform, std::string path,
                   std::uint64_t seed, DocumentHandler documentHandler);
    ~DocumentPoller();
    DocumentPoller(const DocumentPoller &) = delete;
    DocumentPoller &operator=(const DocumentPoller &) = delete;

    // Starts to request versions after `version`. Does nothing if it is running.
    void start(std::uint64_t version);
    // Cancels the current request and the pending retry.
    void stop();
    bool running() const { return running_; }
    // Returns the number of requests sent.
    std::uint64_t calls() const { return calls_; }
    // Returns whether the last finished request succeeded.
    bool reachable() const { return reachable_; }
    // Returns whether any request has succeeded or failed.
    bool hasFinishedRequest() const { return hasFinishedRequest_; }

private:
    class Receiver;

    void sendRequest();
    void onAnswer(int status, const std::string &body);
    void onFailure();

    EventLoop &loop_;
    HttpClient &client_;
    SocketAddress platform_;
    std::string path_;
    std::mt19937_64 random_;
    DocumentHandler documentHandler_;
    std::uint64_t version_ = 0;
    std::uint64_t calls_ = 0;
    TimePoint askedAt_{};
    HttpCallId call_ = 0;
    TimerId timer_ = 0;
    int failures_ = 0;
    bool running_ = false;
    bool reachable_ = false;
    bool hasFinishedRequest_ = false;
};

} // namespace detail

// Keeps a ClusterState up to date with the platform's service while active.
class PlatformWatcher
{
public:
    PlatformWatcher(EventLoop &loop, HttpClient &client, ClusterState &clusterState,
                    const SocketAddress &platform, std::uint64_t seed);

    // Starts or stops both polls.
    void setActive(bool active);
    bool active() const { return config_.running(); }
    // Returns whether the last finished request for the configuration succeeded.
    bool reachable() const { return config_.reachable(); }
    // Returns whether at least one request of each poll has succeeded or failed.
    bool hasFinishedRequest() const
    {
        return config_.hasFinishedRequest() && list_.hasFinishedRequest();
    }
    std::uint64_t calls() const { return config_.calls() + list_.calls(); }

private:
    std::uint64_t handleConfig(const std::string &text);
    std::uint64_t handleList(const std::string &text, TimePoint askedAt);

    ClusterState &clusterState_;
    detail::DocumentPoller config_;
    detail::DocumentPoller list_;
};

} // namespace seamarch
