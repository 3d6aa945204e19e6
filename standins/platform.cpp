#include "standin.h"

#include <charconv>
#include <map>

namespace seamarch::standin {
namespace {

using nlohmann::json;

// How long a watch waits for a newer version before it is answered with 304.
constexpr Duration kWatchTimeout = std::chrono::seconds(5);

// Returns the query parameter `after`, or 0 if there is none.
std::uint64_t afterParameter(const std::string &query)
{
    const std::size_t at = query.find("after=");
    std::uint64_t value = 0;
    if (at != std::string::npos) {
        std::from_chars(query.data() + at + 6, query.data() + query.size(), value);
    }
    return value;
}

// The platform's service: serves the configuration and the instance list, each with long-poll
// watches.
//
// Control settings:
//   {"config": {...}}      replaces the configuration
//   {"instances": {...}}   replaces the instance list
//   {"down": true}         aborts all requests
//   {"serveOld": true}     serves the first version of each document again
class Platform final : public StandIn
{
public:
    using StandIn::StandIn;

private:
    struct Document
    {
        json current;
        json first;
    };

    void serve(ExchangeId exchange, const HttpRequest &request) override
    {
        ++calls_;
        if (down_) {
            server().abort(exchange);
            return;
        }
        const auto found = documents_.find(request.path);
        if (found == documents_.end()) {
            respondJson(exchange, 404, {{"error", "no document"}});
            return;
        }
        answerOrWait(exchange, request.path, afterParameter(request.query));
    }

    // Responds with the document if its version is higher than `after`; otherwise holds the request
    // as a pending watch.
    void answerOrWait(ExchangeId exchange, const std::string &path, std::uint64_t after)
    {
        const Document &document = documents_.at(path);
        const json &served = serveOld_ ? document.first : document.current;
        if (serveOld_ || served.value("version", 0ULL) > after) {
            respondJson(exchange, 200, served);
            return;
        }
        pendingWatches_[exchange] = {path, after};
        loop().schedule(kWatchTimeout, [this, exchange] {
            if (pendingWatches_.erase(exchange) != 0) {
                HttpResponseHead head;
                head.status = 304;
                server().respond(exchange, head, {});
            }
        });
    }

    void onCallerGone(ExchangeId exchange) override { pendingWatches_.erase(exchange); }

    json control(const json &change) override
    {
        for (const char *name : {"config", "instances"}) {
            const auto found = change.find(name);
            if (found != change.end()) {
                Document &document = documents_["/" + std::string(name)];
                document.first = document.first.is_null() ? *found : document.first;
                document.current = *found;
            }
        }
        down_ = change.value("down", down_);
        serveOld_ = change.value("serveOld", serveOld_);
        answerPendingWatches();
        return {{"calls", calls_}, {"waiting", pendingWatches_.size()}};
    }

    // Checks all pending watches again after a change.
    void answerPendingWatches()
    {
        const auto watches = std::move(pendingWatches_);
        pendingWatches_.clear();
        for (const auto &[exchange, watch] : watches) {
            if (down_) {
                server().abort(exchange);
            } else {
                answerOrWait(exchange, watch.first, watch.second);
            }
        }
    }

    std::map<std::string, Document> documents_;
    // Path and `after` of each.
    std::map<ExchangeId, std::pair<std::string, std::uint64_t>> pendingWatches_;
    std::uint64_t calls_ = 0;
    bool down_ = false;
    bool serveOld_ = false;
};

} // namespace

std::unique_ptr<StandIn> makePlatform(EventLoop &loop)
{
    return std::make_unique<Platform>(loop);
}

} // namespace seamarch::standin
