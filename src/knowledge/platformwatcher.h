// Reads the platform's service: a waiting watch on the configuration and one on the instance list.
//
// The service is only ever read. Each answer leads to the next call at once; a failure leads to a
// call after a pause that doubles, with jitter, up to a limit, so that a service that comes back is
// not met by all watchers together.
#pragma once

#include "knowledge/clusterstate.h"
#include "net/eventloop.h"
#include "net/httpclient.h"

#include <cstdint>
#include <random>
#include <string>

namespace seamarch {

namespace detail {

// One watch on one path of the service.
class Watch
{
public:
    // Hands a document over, or an empty text when nothing has changed, with the time at which the
    // service was asked; returns the version that is then held.
    using DocumentHandler = std::function<std::uint64_t(const std::string &, TimePoint)>;

    Watch(EventLoop &loop, HttpClient &client, SocketAddress platform, std::string path,
          std::uint64_t seed, DocumentHandler documentHandler);
    ~Watch();
    Watch(const Watch &) = delete;
    Watch &operator=(const Watch &) = delete;

    void start(std::uint64_t version);
    void stop();
    bool running() const { return running_; }
    std::uint64_t calls() const { return calls_; }
    bool reachable() const { return reachable_; }
    // Tells whether the service has answered, or failed to, since the start.
    bool hasOutcome() const { return hasOutcome_; }

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
    bool hasOutcome_ = false;
};

} // namespace detail

class PlatformWatcher
{
public:
    PlatformWatcher(EventLoop &loop, HttpClient &client, ClusterState &clusterState,
                    const SocketAddress &platform, std::uint64_t seed);

    // Starts or stops watching.
    void setActive(bool active);
    bool active() const { return config_.running(); }
    bool reachable() const { return config_.reachable(); }
    // Tells whether both watches have had a first answer or failure.
    bool hasOutcome() const { return config_.hasOutcome() && list_.hasOutcome(); }
    std::uint64_t calls() const { return config_.calls() + list_.calls(); }

private:
    std::uint64_t handleConfig(const std::string &text);
    std::uint64_t handleList(const std::string &text, TimePoint askedAt);

    ClusterState &clusterState_;
    detail::Watch config_;
    detail::Watch list_;
};

} // namespace seamarch
