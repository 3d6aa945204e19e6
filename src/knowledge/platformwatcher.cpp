#include "knowledge/platformwatcher.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <utility>

namespace seamarch {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotModified = 304;
constexpr double kInitialBackoffSeconds = 0.1;
constexpr double kMaxBackoffSeconds = 3.0;

} // namespace

namespace detail {

class DocumentPoller::Receiver final : public HttpCallReceiver
{
public:
    explicit Receiver(DocumentPoller &poller)
        : poller_(poller)
    {}

    void onHead(HttpHead head) override { status_ = head.status; }

    void onPiece(std::string_view piece) override
    {
        if (body_.size() + piece.size() <= kMaxDocumentBytes) {
            body_ += piece;
        } else if (poller_.client_.cancel(std::exchange(poller_.call_, 0))) {
            poller_.onFailure();
        }
    }

    void onEnd(HttpCallEnd end) override
    {
        poller_.call_ = 0;
        if (isComplete(end)) {
            poller_.onAnswer(status_, body_);
        } else {
            poller_.onFailure();
        }
    }

private:
    DocumentPoller &poller_;
    int status_ = 0;
    std::string body_;
};

DocumentPoller::DocumentPoller(EventLoop &loop, HttpClient &client, SocketAddress platform,
                               std::string path, std::uint64_t seed,
                               DocumentHandler documentHandler)
    : loop_(loop)
    , client_(client)
    , platform_(std::move(platform))
    , path_(std::move(path))
    , random_(seed)
    , documentHandler_(std::move(documentHandler))
{}

DocumentPoller::~DocumentPoller()
{
    stop();
}

void DocumentPoller::start(std::uint64_t version)
{
    if (running_) {
        return;
    }
    running_ = true;
    version_ = version;
    failures_ = 0;
    sendRequest();
}

void DocumentPoller::stop()
{
    running_ = false;
    loop_.cancel(timer_);
    if (call_ != 0) {
        client_.cancel(call_);
        call_ = 0;
    }
}

void DocumentPoller::sendRequest()
{
    ++calls_;
    askedAt_ = loop_.now();
    HttpCallRequest request;
    request.address = platform_;
    request.path = fmt::format("{}?after={}", path_, version_);
    call_ = client_.call(std::move(request), std::make_unique<Receiver>(*this));
}

void DocumentPoller::onAnswer(int status, const std::string &body)
{
    if (status != kStatusOk && status != kStatusNotModified) {
        onFailure();
        return;
    }
    hasFinishedRequest_ = true;
    reachable_ = true;
    const std::uint64_t versionBefore = version_;
    if (status == kStatusOk) {
        version_ = std::max(version_, documentHandler_(body, askedAt_));
    } else {
        documentHandler_({}, askedAt_);
    }
    if (status == kStatusOk && version_ == versionBefore) {
        // The document is old or invalid, so the same one would be returned again at once. Backs
        // off to avoid a tight loop.
        onFailure();
        return;
    }
    failures_ = 0;
    timer_ = loop_.schedule(std::chrono::milliseconds(1), [this] { sendRequest(); });
}

void DocumentPoller::onFailure()
{
    hasFinishedRequest_ = true;
    reachable_ = false;
    ++failures_;
    const double backoffSeconds =
        std::min(kMaxBackoffSeconds, kInitialBackoffSeconds * std::exp2(std::min(failures_, 10)));
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    timer_ =
        loop_.schedule(fromSeconds(backoffSeconds * jitter(random_)), [this] { sendRequest(); });
}

} // namespace detail

PlatformWatcher::PlatformWatcher(EventLoop &loop, HttpClient &client, ClusterState &clusterState,
                                 const SocketAddress &platform, std::uint64_t seed)
    : clusterState_(clusterState)
    , config_(loop, client, platform, "/config", seed,
              [this](const std::string &text, TimePoint /*askedAt*/) { return handleConfig(text); })
    , list_(
          loop, client, platform, "/instances", seed + 1,
          [this](const std::string &text, TimePoint askedAt) { return handleList(text, askedAt); })
{}

std::uint64_t PlatformWatcher::handleConfig(const std::string &text)
{
    if (!text.empty()) {
        clusterState_.acceptConfig(text);
    }
    return clusterState_.versions().config;
}

std::uint64_t PlatformWatcher::handleList(const std::string &text, TimePoint askedAt)
{
    const bool confirmed = text.empty() || clusterState_.acceptList(text) == UpdateResult::Applied;
    if (confirmed) {
        clusterState_.confirmList(askedAt);
    }
    return clusterState_.versions().list;
}

void PlatformWatcher::setActive(bool active)
{
    if (!active) {
        config_.stop();
        list_.stop();
        return;
    }
    config_.start(clusterState_.versions().config);
    list_.start(clusterState_.versions().list);
}

} // namespace seamarch
