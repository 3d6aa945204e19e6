#include "base/untrustedjson.h"
#include "standin.h"

#include <fmt/format.h>
#include <map>

namespace seamarch::standin {
namespace {

using nlohmann::json;

// A batching model engine with the common completion API in JSON. Each token of an answer is the
// token's number followed by the prompt (in a chat, its last message), so that a caller can verify
// that the answer is its own.
//
// Control settings:
//   {"stepMs": N}             time between tokens; 0: only streamed answers take time
//   {"dieAfter": N}           aborts each answer in place of its Nth token; 0: never
//   {"stalled": true}         produces no tokens in any stream
//   {"loadMs": N}             time that loading a version takes
//   {"ignoresFences": true}   accepts orders with an outdated fence, and counts them ("lowFences")
class Engine final : public StandIn
{
public:
    using StandIn::StandIn;

private:
    // An answer in progress.
    struct Stream
    {
        std::string text;      // The prompt, repeated in each token.
        bool streamed = false; // The answer is sent as an event stream, not in one response.
        bool chat = false;
        std::uint64_t maxTokens = 0;
        std::uint64_t produced = 0;
        std::string model;
    };

    // Accepts an order to load a version, unless its fence is lower than the highest one so far,
    // and reports the state of the load.
    void serveOrder(ExchangeId exchange, const HttpRequest &request, const json &body)
    {
        if (request.method == "POST") {
            const auto fence = body.value("fence", 0ULL);
            if (fence < fence_ && !ignoreFences_) {
                respondJson(exchange, 409, orderState());
                return;
            }
            staleFenceOrders_ += fence < fence_ ? 1 : 0;
            fence_ = fence;
            loading_ = true;
            loop().schedule(std::chrono::milliseconds(loadTimeMs_),
                            [this, version = body.value("version", "")] {
                                version_ = version;
                                loading_ = false;
                            });
        }
        respondJson(exchange, 200, orderState());
    }

    json orderState() const
    {
        return {{"version", version_}, {"fence", fence_}, {"loading", loading_}};
    }

    static std::string promptText(const json &body, bool chat)
    {
        if (!chat) {
            return body.contains("prompt") && body["prompt"].is_string()
                       ? body["prompt"].get<std::string>()
                       : "";
        }
        const json &content = body["messages"].back()["content"];
        return content.is_string() ? content.get<std::string>() : content.dump();
    }

    void serve(ExchangeId exchange, const HttpRequest &request) override
    {
        const json body = parseUntrustedJson(request.body).value_or(nullptr);
        if (request.path == "/v1/orders") {
            serveOrder(exchange, request, body);
            return;
        }
        if (request.method != "POST" || !body.is_object()) {
            respondJson(exchange, 400, {{"error", {{"message", "bad request"}}}});
            return;
        }
        Stream stream;
        stream.chat = request.path == "/v1/chat/completions";
        stream.text = promptText(body, stream.chat);
        stream.streamed = body.value("stream", false);
        stream.model = body.value("model", "");
        stream.maxTokens = body.value("max_tokens", 16ULL);
        ++requests_;
        if (tokenIntervalMs_ == 0 && !stream.streamed) {
            stream.produced = stream.maxTokens;
            respondCompletion(exchange, stream);
            return;
        }
        if (stream.streamed) {
            HttpResponseHead head;
            head.contentType = "text/event-stream";
            server().begin(exchange, head);
        }
        streams_.emplace(exchange, std::move(stream));
        scheduleStep(exchange);
    }

    void scheduleStep(ExchangeId exchange)
    {
        loop().schedule(std::chrono::milliseconds(std::max(1, tokenIntervalMs_)),
                        [this, exchange] { produceToken(exchange); });
    }

    void produceToken(ExchangeId exchange)
    {
        const auto found = streams_.find(exchange);
        if (found == streams_.end()) {
            return;
        }
        if (stalled_) {
            scheduleStep(exchange);
            return;
        }
        Stream &stream = found->second;
        ++stream.produced;
        ++producedTokens_;
        if (abortAfterTokens_ != 0 && stream.produced >= abortAfterTokens_) {
            streams_.erase(found);
            server().abort(exchange);
            return;
        }
        if (stream.streamed) {
            const std::string word = fmt::format("{}:{} ", stream.produced, stream.text);
            server().write(exchange, "data: " + chunk(stream, word).dump() + "\n\n");
        }
        if (stream.produced < stream.maxTokens) {
            scheduleStep(exchange);
            return;
        }
        finishStream(exchange, stream);
        streams_.erase(exchange);
    }

    // Returns the event of one token.
    static json chunk(const Stream &stream, const std::string &word)
    {
        json choice = {{"index", 0}, {"finish_reason", nullptr}};
        if (stream.chat) {
            choice["delta"] = {{"content", word}};
        } else {
            choice["text"] = word;
        }
        return {{"id", "standin"},
                {"object", stream.chat ? "chat.completion.chunk" : "text_completion"},
                {"created", 0},
                {"model", stream.model},
                {"choices", json::array({choice})}};
    }

    void finishStream(ExchangeId exchange, const Stream &stream)
    {
        if (!stream.streamed) {
            respondCompletion(exchange, stream);
            return;
        }
        server().write(exchange, "data: [DONE]\n\n");
        server().finish(exchange);
    }

    // Sends the complete answer in one response.
    void respondCompletion(ExchangeId exchange, const Stream &stream)
    {
        std::string text;
        for (std::uint64_t index = 1; index <= stream.maxTokens; ++index) {
            text += fmt::format("{}:{} ", index, stream.text);
        }
        json choice = {{"index", 0}, {"finish_reason", "stop"}};
        if (stream.chat) {
            choice["message"] = {{"role", "assistant"}, {"content", text}};
        } else {
            choice["text"] = text;
        }
        const std::uint64_t prompt = stream.text.size() / 4 + 1;
        respondJson(exchange, 200,
                    {{"id", "standin"},
                     {"object", stream.chat ? "chat.completion" : "text_completion"},
                     {"created", 0},
                     {"model", stream.model},
                     {"choices", json::array({choice})},
                     {"usage",
                      {{"prompt_tokens", prompt},
                       {"completion_tokens", stream.maxTokens},
                       {"total_tokens", prompt + stream.maxTokens}}}});
    }

    void onCallerGone(ExchangeId exchange) override { cancelled_ += streams_.erase(exchange); }

    json control(const json &change) override
    {
        tokenIntervalMs_ = change.value("stepMs", tokenIntervalMs_);
        abortAfterTokens_ = change.value("dieAfter", abortAfterTokens_);
        stalled_ = change.value("stalled", stalled_);
        loadTimeMs_ = change.value("loadMs", loadTimeMs_);
        ignoreFences_ = change.value("ignoresFences", ignoreFences_);
        return {{"runs", requests_},        {"running", streams_.size()},
                {"cancelled", cancelled_},  {"version", version_},
                {"loading", loading_},      {"lowFences", staleFenceOrders_},
                {"tokens", producedTokens_}};
    }

    std::map<ExchangeId, Stream> streams_;
    std::uint64_t requests_ = 0;
    std::uint64_t cancelled_ = 0;
    std::uint64_t abortAfterTokens_ = 0;
    int tokenIntervalMs_ = 2;
    bool stalled_ = false;
    std::string version_ = "v1";
    std::uint64_t fence_ = 0; // Of the last accepted order.
    std::uint64_t staleFenceOrders_ = 0;
    std::uint64_t producedTokens_ = 0; // Over all streams.
    int loadTimeMs_ = 200;
    bool loading_ = false;
    bool ignoreFences_ = false;
};

} // namespace

std::unique_ptr<StandIn> makeEngine(EventLoop &loop)
{
    return std::make_unique<Engine>(loop);
}

} // namespace seamarch::standin
