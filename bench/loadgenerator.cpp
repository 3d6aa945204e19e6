#include "loadgenerator.h"

#include "base/settings.h"
#include "net/eventloop.h"
#include "net/httpclient.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

namespace seamarch::bench {
namespace {

using nlohmann::json;

constexpr int kStatusOk = 200;
// If both call types are enabled, every fourth call is a service call.
constexpr int kServiceCallInterval = 4;

// Counts and latencies over all callers.
struct LoadStatistics
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t wrongAnswers = 0;
    std::uint64_t refusedNotRun = 0;
    std::uint64_t outcomeUnknown = 0;
    std::vector<double> latenciesMs;
};

// Returns the answer text that a stand-in upstream generates for `prompt`.
std::string expectedText(const std::string &prompt, int tokens)
{
    std::string text;
    for (int index = 1; index <= tokens; ++index) {
        text += fmt::format("{}:{} ", index, prompt);
    }
    return text;
}

// Returns the concatenated content of a streamed answer, or an empty string if the final `[DONE]`
// event is missing.
std::string streamedText(const std::string &body)
{
    std::string text;
    bool done = false;
    std::size_t position = 0;
    while ((position = body.find("data: ", position)) != std::string::npos) {
        const std::size_t end = std::min(body.find("\n\n", position), body.size());
        const std::string event = body.substr(position + 6, end - position - 6);
        position = end;
        if (event == "[DONE]") {
            done = true;
            continue;
        }
        const json value = json::parse(event, nullptr, false);
        if (value.is_object() && value.contains("choices")) {
            text += value["choices"][0]["delta"].value("content", "");
        }
    }
    return done ? text : std::string();
}

// Runs the callers on one event loop until the configured duration has passed.
class LoadGenerator
{
public:
    LoadGenerator(EventLoop &loop, HttpClient &client, const LoadOptions &options)
        : loop_(loop)
        , client_(client)
        , options_(options)
    {}

    void run()
    {
        endsAt_ = loop_.now() + fromSeconds(options_.seconds);
        for (int caller = 0; caller < options_.callers; ++caller) {
            ++activeCallers_;
            sendNext(caller);
        }
        loop_.run();
    }

    const LoadStatistics &statistics() const { return statistics_; }

private:
    class Receiver;

    struct SentRequest
    {
        int caller = 0;
        bool service = false;
        std::string prompt;
        TimePoint sentAt{};
    };

    void sendNext(int caller);
    void onAnswer(const SentRequest &sent, int status, const std::string &outcome,
                  const std::string &body, HttpCallEnd end);
    bool isCorrect(const SentRequest &sent, const std::string &body) const;

    EventLoop &loop_;
    HttpClient &client_;
    const LoadOptions &options_;
    LoadStatistics statistics_;
    TimePoint endsAt_{};
    int activeCallers_ = 0;
    std::uint64_t requestCounter_ = 0;
};

// Collects one answer and passes it to the generator.
class LoadGenerator::Receiver final : public HttpCallReceiver
{
public:
    Receiver(LoadGenerator &generator, SentRequest sent)
        : generator_(generator)
        , sent_(std::move(sent))
    {}

    void onHead(HttpHead head) override { status_ = head.status; }
    void onPiece(std::string_view piece) override { body_ += piece; }
    void onEnd(HttpCallEnd end) override
    {
        const json body = json::parse(body_, nullptr, false);
        std::string outcome;
        if (body.is_object() && body.contains("error") && body["error"].is_object()) {
            outcome = body["error"].value("outcome", "");
        }
        generator_.onAnswer(sent_, status_, outcome, body_, end);
    }

private:
    LoadGenerator &generator_;
    SentRequest sent_;
    int status_ = 0;
    std::string body_;
};

void LoadGenerator::sendNext(int caller)
{
    if (loop_.now() >= endsAt_) {
        if (--activeCallers_ == 0) {
            loop_.stop();
        }
        return;
    }
    const std::uint64_t number = ++requestCounter_;
    const std::string &target = options_.addresses[number % options_.addresses.size()];
    const HostPort address = parseHostPort(target).value_or(HostPort{});
    SentRequest sent;
    sent.caller = caller;
    sent.service =
        !options_.service.empty() && (options_.model.empty() || number % kServiceCallInterval == 0);
    sent.prompt = fmt::format("c{}-n{}", caller, number);
    sent.sentAt = loop_.now();
    HttpCallRequest request;
    request.address = {address.host, address.port};
    request.method = "POST";
    request.contentType = "application/json";
    if (!options_.keys.empty()) {
        request.headers.push_back(
            {"authorization", "Bearer " + options_.keys[number % options_.keys.size()]});
    }
    if (sent.service) {
        request.path = "/services/" + options_.service;
        request.body = SharedText(sent.prompt);
    } else {
        request.path = "/v1/chat/completions";
        const json body = {{"model", options_.model},
                           {"max_tokens", options_.answerTokens},
                           {"stream", options_.streamed},
                           {"messages", {{{"role", "user"}, {"content", sent.prompt}}}}};
        request.body = SharedText(body.dump());
    }
    ++statistics_.requests;
    client_.call(std::move(request), std::make_unique<Receiver>(*this, sent));
}

bool LoadGenerator::isCorrect(const SentRequest &sent, const std::string &body) const
{
    if (!sent.service && options_.streamed) {
        return streamedText(body) == expectedText(sent.prompt, options_.answerTokens);
    }
    const json answer = json::parse(body, nullptr, false);
    if (!answer.is_object()) {
        return false;
    }
    if (sent.service) {
        return answer.value("echo", "") == sent.prompt;
    }
    return answer.contains("choices")
           && answer["choices"][0]["message"].value("content", "")
                  == expectedText(sent.prompt, options_.answerTokens);
}

void LoadGenerator::onAnswer(const SentRequest &sent, int status, const std::string &outcome,
                             const std::string &body, HttpCallEnd end)
{
    if (status == kStatusOk && isComplete(end)) {
        ++statistics_.answered;
        statistics_.wrongAnswers += isCorrect(sent, body) ? 0 : 1;
        statistics_.latenciesMs.push_back(toSeconds(loop_.now() - sent.sentAt) * 1000.0);
    } else if (outcome == "not-run") {
        ++statistics_.refusedNotRun;
    } else {
        ++statistics_.outcomeUnknown;
    }
    const Duration delay = status == kStatusOk ? Duration(1) : std::chrono::milliseconds(50);
    loop_.schedule(delay, [this, caller = sent.caller] { sendNext(caller); });
}

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    return values[index];
}

} // namespace

int runLoad(const LoadOptions &options)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto loop = EventLoop::create();
    if (!loop) {
        fmt::print(stderr, "seamarch-bench: {}\n", loop.error().message);
        return 3;
    }
    auto client = HttpClient::create(**loop);
    if (!client) {
        fmt::print(stderr, "seamarch-bench: {}\n", client.error().message);
        return 3;
    }
    LoadGenerator generator(**loop, **client, options);
    generator.run();
    (*loop)->shutDown();
    const LoadStatistics &statistics = generator.statistics();
    const json result = {
        {"requests", statistics.requests},
        {"answered", statistics.answered},
        {"wrong_answers", statistics.wrongAnswers},
        {"refused_not_run", statistics.refusedNotRun},
        {"outcome_unknown", statistics.outcomeUnknown},
        {"p50_ms", percentile(statistics.latenciesMs, 0.5)},
        {"p95_ms", percentile(statistics.latenciesMs, 0.95)},
        {"per_second", static_cast<double>(statistics.answered) / options.seconds}};
    fmt::print("{}\n", result.dump());
    return statistics.wrongAnswers == 0 ? 0 : 1;
}

} // namespace seamarch::bench
