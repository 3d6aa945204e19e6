#include "names.h"
#include "standin.h"

#include <charconv>
#include <map>
#include <openssl/evp.h>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

namespace seamarch::standin {
namespace {

using nlohmann::json;
namespace names = seamarch::platform;

// Decodes a percent-encoded component of a query, in which a plus stands for a space. A percent
// sign that no two hexadecimal digits follow stands for itself.
std::string decodeComponent(std::string_view encoded)
{
    constexpr std::size_t kDigits = 2;
    constexpr int kHexadecimal = 16;
    std::string text;
    for (std::size_t at = 0; at < encoded.size(); ++at) {
        unsigned char byte = 0;
        const std::string_view digits = encoded.substr(at + 1, kDigits);
        const char *end = digits.data() + digits.size();
        const bool escaped = encoded[at] == '%' && digits.size() == kDigits
                             && std::from_chars(digits.data(), end, byte, kHexadecimal).ptr == end;
        if (escaped) {
            text += static_cast<char>(byte);
            at += kDigits;
        } else {
            text += encoded[at] == '+' ? ' ' : encoded[at];
        }
    }
    return text;
}

// Returns a decoded parameter of a query string, or an empty string if there is none.
std::string queryParameter(const std::string &query, const std::string &name)
{
    const std::size_t at = ("&" + query).find("&" + name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const std::string rest = query.substr(at + name.size() + 1);
    return decodeComponent(std::string_view(rest).substr(0, rest.find('&')));
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

// What happens to the calls that fail.
enum class Failure { Refused, Unanswered, CutOff, Unreadable };

NLOHMANN_JSON_SERIALIZE_ENUM(Failure, {{Failure::Refused, "refused"},
                                       {Failure::Unanswered, "unanswered"},
                                       {Failure::CutOff, "cut off"},
                                       {Failure::Unreadable, "unreadable"}})

// The platform's store: a revisioned key-value store with long-poll watches. A list is answered in
// pages of at most 500 items or about 1 MB; the next page begins after the last key of a page.
//
// Control settings:
//   {"put": {KEY: VALUE}}   adds or replaces items
//   {"putText": {KEY: TEXT}}       does the same with values that need not be JSON
//   {"remove": [KEY]}       removes items
//   {"busy": true}          refuses requests with 503
//   {"silent": true}        does not answer requests
//   {"pageItems": N}        makes the pages of lists that short
//   {"listDelayMs": N}      answers lists that much later
//   {"failEvery": N, "failure": KIND}       fails each Nth list call; KIND: refused, unanswered,
//                           cut off, unreadable
//   {"failWatches": true}   fails each watch that has changes to tell in the same way
//   {"repeatPage": true}    answers the first page of a list whatever page is asked for
//   {"noHistory": true}     answers each watch that the history is gone
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
            serveList(exchange, request.query);
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

    void serveList(ExchangeId exchange, const std::string &query)
    {
        ++listCalls_;
        if (failEvery_ == 0 || listCalls_ % failEvery_ != 0) {
            pendingLists_.insert(exchange);
            loop().schedule(std::chrono::milliseconds(listDelayMillis_),
                            [this, exchange, query] { answerList(exchange, query); });
            return;
        }
        fail(exchange);
    }

    void fail(ExchangeId exchange)
    {
        switch (failure_) {
        case Failure::Refused:
            reply(exchange, 503, {{"error", "busy"}});
            return;
        case Failure::Unanswered:
            return;
        case Failure::CutOff:
            server().abort(exchange);
            return;
        case Failure::Unreadable:
            reply(exchange, 200, {{"error", "no items"}});
            return;
        }
    }

    void answerList(ExchangeId exchange, const std::string &query)
    {
        if (pendingLists_.erase(exchange) != 0) {
            reply(exchange, 200,
                  list(queryParameter(query, "path-prefix"), queryParameter(query, "since-rev")));
        }
    }

    // Returns the page that begins after the key `after`.
    json list(const std::string &prefix, const std::string &after) const
    {
        constexpr std::size_t kMaxPageBytes = 1'000'000;
        json items = json::array();
        std::size_t bytes = 0;
        bool more = false;
        for (auto next = items_.upper_bound(repeatsPage_ ? "" : after);
             next != items_.end() && !more; ++next) {
            const auto &[key, item] = *next;
            if (item.contains("removed") || !key.starts_with(prefix)) {
                continue;
            }
            bytes += item.at("value").get_ref<const std::string &>().size();
            more = items.size() >= pageItems_ || (!items.empty() && bytes > kMaxPageBytes);
            if (!more) {
                items.push_back(item);
            }
        }
        return {{"items", items}, {"more-pages", more}, {"current-rev", revision_}};
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
        if (lacksHistory_ || after < compactedRevision_ || after > revision_) {
            reply(exchange, 410, {{"error", "history gone"}});
            return;
        }
        if (after < revision_) {
            tellChanges(exchange, after);
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
            tellChanges(exchange, after);
        }
    }

    void tellChanges(ExchangeId exchange, std::uint64_t after)
    {
        if (failsWatches_ && after < revision_) {
            fail(exchange);
        } else {
            reply(exchange, 200, changesAfter(after));
        }
    }

    void onCallerGone(ExchangeId exchange) override
    {
        pendingWatches_.erase(exchange);
        pendingLists_.erase(exchange);
    }

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
        pageItems_ = change.value("pageItems", pageItems_);
        repeatsPage_ = change.value("repeatPage", repeatsPage_);
        failsWatches_ = change.value("failWatches", failsWatches_);
        lacksHistory_ = change.value("noHistory", lacksHistory_);
        listDelayMillis_ = change.value("listDelayMs", listDelayMillis_);
        failEvery_ = change.value("failEvery", failEvery_);
        failure_ = change.value("failure", failure_);
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
        return {{"calls", calls_}, {"listCalls", listCalls_}, {"revision", revision_}};
    }

    std::map<std::string, json> items_; // By key; removed items stay, marked as removed.
    std::pair<std::map<std::string, json>, std::uint64_t> backup_;
    std::map<ExchangeId, Watch> pendingWatches_;
    std::set<ExchangeId> pendingLists_;
    std::uint64_t revision_ = 1;
    std::uint64_t compactedRevision_ = 0; // The history before this revision is gone.
    std::uint64_t calls_ = 0;
    std::uint64_t listCalls_ = 0;
    std::size_t pageItems_ = 500;
    int listDelayMillis_ = 0;
    std::uint64_t failEvery_ = 0; // Zero: no call fails.
    Failure failure_ = Failure::Refused;
    std::uint64_t era_ = 1;
    bool repeatsPage_ = false;
    bool failsWatches_ = false;
    bool lacksHistory_ = false;
    bool busy_ = false;
    bool unresponsive_ = false;
};

} // namespace

std::unique_ptr<StandIn> makeStore(EventLoop &loop)
{
    return std::make_unique<Store>(loop);
}

} // namespace seamarch::standin
