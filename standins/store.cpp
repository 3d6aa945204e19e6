#include "names.h"
#include "standin.h"

#include <charconv>
#include <map>
#include <openssl/evp.h>
#include <tuple>
#include <utility>

namespace seamarch::standin {
namespace {

using nlohmann::json;
namespace names = seamarch::platform;

// Returns a parameter of a query string, or an empty string if there is none.
std::string queryParameter(const std::string &query, const std::string &name)
{
    const std::size_t at = ("&" + query).find("&" + name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const std::string rest = query.substr(at + name.size() + 1);
    return rest.substr(0, rest.find('&'));
}

// Returns the number that `text` begins with, or 0.
std::uint64_t parseNumber(const std::string &text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string encodeBase64(const std::string &text)
{
    constexpr std::size_t kInputBytes = 3;
    constexpr std::size_t kOutputChars = 4;
    std::string encoded((text.size() + kInputBytes - 1) / kInputBytes * kOutputChars + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(encoded.data()),
                                     reinterpret_cast<const unsigned char *>(text.data()),
                                     static_cast<int>(text.size()));
    encoded.resize(static_cast<std::size_t>(size));
    return encoded;
}

// The platform's store: a revisioned key-value store with long-poll watches.
//
// Control settings:
//   {"put": {KEY: VALUE}}   adds or replaces items
//   {"putText": {KEY: TEXT}}       does the same with values that need not be JSON
//   {"remove": [KEY]}       removes items
//   {"busy": true}          refuses requests with 503
//   {"silent": true}        does not answer requests
//   {"forget": true}        drops the history; watches from an earlier revision get 410
//   {"copy": true}          makes a backup of all items
//   {"restoreBackup": true}        restores the backup: the revision continues from the backup's,
//   and
//                           the era that all answers carry rises by one
class Store final : public StandIn
{
public:
    using StandIn::StandIn;

private:
    // A watch that waits for changes after a revision.
    struct Watch
    {
        std::uint64_t after = 0;
    };

    void serve(ExchangeId exchange, const HttpRequest &request) override
    {
        ++calls_;
        if (unresponsive_) {
            return;
        }
        if (busy_) {
            reply(exchange, 503, {{"error", "busy"}});
        } else if (request.path == names::kListPath) {
            reply(exchange, 200, list());
        } else if (request.path == names::kWatchPath) {
            watch(exchange, request.query);
        } else {
            reply(exchange, 404, {{"error", "no such call"}});
        }
    }

    void reply(ExchangeId exchange, int status, const json &body)
    {
        HttpResponseHead head;
        head.status = status;
        head.headers.push_back({std::string(names::kStoreEra), std::to_string(era_)});
        server().respond(exchange, head, body.dump());
    }

    json list() const
    {
        json items = json::array();
        for (const auto &[key, item] : items_) {
            if (!item.contains("removed")) {
                items.push_back(item);
            }
        }
        return {{"items", items}, {"more-pages", false}, {"current-rev", revision_}};
    }

    // Returns the items that were put or removed after `revision`.
    json changesAfter(std::uint64_t revision) const
    {
        json events = json::array();
        for (const auto &[key, item] : items_) {
            if (item.at("revision").get<std::uint64_t>() > revision) {
                events.push_back(item);
            }
        }
        return {{"events", events}, {"current-rev", revision_}};
    }

    void watch(ExchangeId exchange, const std::string &query)
    {
        const std::uint64_t after = parseNumber(queryParameter(query, "since-rev"));
        if (after < compactedRevision_ || after > revision_) {
            reply(exchange, 410, {{"error", "history gone"}});
            return;
        }
        if (after < revision_) {
            reply(exchange, 200, changesAfter(after));
            return;
        }
        pendingWatches_[exchange] = {after};
        const std::uint64_t wait = parseNumber(queryParameter(query, "wait-ms"));
        loop().schedule(std::chrono::milliseconds(wait),
                        [this, exchange] { answerWatch(exchange); });
    }

    // Ends a pending watch with the changes up to now, which may be none.
    void answerWatch(ExchangeId exchange)
    {
        const auto found = pendingWatches_.find(exchange);
        if (found == pendingWatches_.end()) {
            return;
        }
        const std::uint64_t after = found->second.after;
        pendingWatches_.erase(found);
        if (!unresponsive_) {
            reply(exchange, 200, changesAfter(after));
        }
    }

    void onCallerGone(ExchangeId exchange) override { pendingWatches_.erase(exchange); }

    void restoreBackup()
    {
        std::tie(items_, revision_) = backup_;
        compactedRevision_ = 0;
        ++era_;
        for (const auto &[exchange, watch] : std::exchange(pendingWatches_, {})) {
            server().abort(exchange);
        }
    }

    void put(const std::string &key, const std::string &value)
    {
        const auto existing = items_.find(key);
        const bool isNew = existing == items_.end() || existing->second.contains("removed");
        const json created = isNew ? json(revision_ + 1) : existing->second.at("created");
        items_[key] = {{"key-file", key},
                       {"value", encodeBase64(value)},
                       {"created", created},
                       {"revision", ++revision_}};
    }

    json control(const json &change) override
    {
        if (change.value("copy", false)) {
            backup_ = {items_, revision_};
        }
        if (change.value("goBack", false)) {
            restoreBackup();
        }
        const json puts = change.value("put", json::object());
        for (const auto &[key, value] : puts.items()) {
            put(key, value.dump());
        }
        const json texts = change.value("putText", json::object());
        for (const auto &[key, text] : texts.items()) {
            put(key, text.get<std::string>());
        }
        for (const json &key : change.value("remove", json::array())) {
            const std::string name = key.get<std::string>();
            items_[name] = {{"key-file", name}, {"revision", ++revision_}, {"removed", true}};
        }
        busy_ = change.value("busy", busy_);
        unresponsive_ = change.value("silent", unresponsive_);
        if (change.value("forget", false)) {
            compactedRevision_ = ++revision_;
        }
        const bool changed =
            change.contains("put") || change.contains("putText") || change.contains("remove");
        while (!pendingWatches_.empty() && changed) {
            answerWatch(pendingWatches_.begin()->first);
        }
        return {{"calls", calls_}, {"revision", revision_}};
    }

    std::map<std::string, json> items_; // By key; removed items stay, marked as removed.
    std::pair<std::map<std::string, json>, std::uint64_t> backup_;
    std::map<ExchangeId, Watch> pendingWatches_;
    std::uint64_t revision_ = 1;
    std::uint64_t compactedRevision_ = 0; // The history before this revision is gone.
    std::uint64_t calls_ = 0;
    std::uint64_t era_ = 1;
    bool busy_ = false;
    bool unresponsive_ = false;
};

} // namespace

std::unique_ptr<StandIn> makeStore(EventLoop &loop)
{
    return std::make_unique<Store>(loop);
}

} // namespace seamarch::standin
