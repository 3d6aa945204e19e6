#include "entry/callerfilters.h"

#include "base/digest.h"
#include "base/untrustedjson.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>
#include <xxhash.h>

namespace seamarch {
namespace {

using nlohmann::json;

constexpr std::string_view kServicePrefix = "/services/";
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr Tokens kServiceCost = 100;         // The cost of a service request in fair queueing.
constexpr Tokens kDefaultAnswerTokens = 256; // For requests that set no limit.
constexpr Tokens kMaxAnswerTokens = 1'000'000;
constexpr std::size_t kBytesPerToken = 4;    // Typical of text; corrected as tokens arrive.
constexpr std::size_t kPrefixBytes = 1024;   // The part of a prompt that is hashed.
constexpr std::size_t kMinPrefixBytes = 256; // Shorter prompts are not hashed.
constexpr std::size_t kMaxIdempotencyKeyLength = 128;
constexpr std::uint64_t kMaxDeadlineMs = 24ULL * 3600 * 1000;

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t value = 0;
    const auto [parsedEnd, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || parsedEnd != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

// Determines the route from the path and checks the method.
class RouteFilter final : public RequestFilter
{
public:
    std::optional<FilterFailure> apply(CallerContext &context) const override
    {
        const std::string &path = context.http.path;
        if (path == "/v1/chat/completions" || path == "/v1/completions") {
            context.route = CallerRoute::Completion;
            return expectMethod(context, "POST");
        }
        if (path == "/v1/models") {
            context.route = CallerRoute::Models;
            return expectMethod(context, "GET");
        }
        if (path == "/v1/tickets") {
            context.route = CallerRoute::Ticket;
            return expectMethod(context, "POST");
        }
        if (path.starts_with(kServicePrefix)) {
            context.route = CallerRoute::Service;
            return std::nullopt;
        }
        return FilterFailure{FailureCode::NotFound, fmt::format("no interface at '{}'", path)};
    }

private:
    static std::optional<FilterFailure> expectMethod(const CallerContext &context,
                                                     std::string_view method)
    {
        if (context.http.method == method) {
            return std::nullopt;
        }
        return FilterFailure{FailureCode::MethodNotAllowed,
                             fmt::format("expected {}, found {}", method, context.http.method)};
    }
};

// Looks up the client account of the bearer key.
class AuthenticateFilter final : public RequestFilter
{
public:
    explicit AuthenticateFilter(const ConfigIndex &configIndex)
        : configIndex_(configIndex)
    {}

    std::optional<FilterFailure> apply(CallerContext &context) const override
    {
        const std::string &header = context.http.header("authorization");
        if (!header.starts_with(kBearerPrefix)) {
            return FilterFailure{FailureCode::Unauthorized, "found no bearer key"};
        }
        context.account = configIndex_.accountForKey(header.substr(kBearerPrefix.size()));
        if (context.account == nullptr) {
            return FilterFailure{FailureCode::Unauthorized, "the key belongs to no client account"};
        }
        context.request.account = context.account->id;
        return std::nullopt;
    }

private:
    const ConfigIndex &configIndex_;
};

// Parses the body: the target, the prompt and answer lengths, and the prompt's prefix.
class BodyFilter final : public RequestFilter
{
public:
    explicit BodyFilter(const ConfigIndex &configIndex)
        : configIndex_(configIndex)
    {}

    std::optional<FilterFailure> apply(CallerContext &context) const override
    {
        switch (context.route) {
        case CallerRoute::Completion:
            return readCompletion(context);
        case CallerRoute::Service:
            return readService(context);
        case CallerRoute::Ticket:
            return readTicketRequest(context);
        case CallerRoute::Models:
            return std::nullopt;
        }
        return std::nullopt;
    }

private:
    static std::optional<FilterFailure> badRequest(std::string detail)
    {
        return FilterFailure{FailureCode::BadRequest, std::move(detail)};
    }

    std::optional<FilterFailure> readCompletion(CallerContext &context) const
    {
        const auto parsed = parseUntrustedJson(context.http.body);
        if (!parsed) {
            return badRequest(fmt::format("the body: {}", parsed.error()));
        }
        const json &body = *parsed;
        if (!body.is_object()) {
            return badRequest("expected a JSON object as the body");
        }
        const auto model = body.find("model");
        if (model == body.end() || !model->is_string()) {
            return badRequest("expected the field 'model' to be a string");
        }
        const ModelConfig *config = configIndex_.model(TargetName(model->get<std::string>()));
        if (config == nullptr) {
            return FilterFailure{FailureCode::NotFound,
                                 fmt::format("no model '{}'", model->get<std::string>())};
        }
        context.request.target = config->name;
        context.request.deadline = config->deadline;
        context.request.repeatable = true;
        if (auto failure = readStream(body, context)) {
            return failure;
        }
        if (auto failure = readAnswerTokens(body, context)) {
            return failure;
        }
        return readPrompt(body, context);
    }

    static std::optional<FilterFailure> readStream(const json &body, CallerContext &context)
    {
        const auto stream = body.find("stream");
        if (stream == body.end() || stream->is_null()) {
            return std::nullopt;
        }
        if (!stream->is_boolean()) {
            return badRequest("expected the field 'stream' to be true or false");
        }
        context.streamed = stream->get<bool>();
        return std::nullopt;
    }

    static std::optional<FilterFailure> readAnswerTokens(const json &body, CallerContext &context)
    {
        context.request.answerTokens = kDefaultAnswerTokens;
        for (const char *name : {"max_completion_tokens", "max_tokens"}) {
            const auto field = body.find(name);
            if (field == body.end() || field->is_null()) {
                continue;
            }
            const bool valid = field->is_number_unsigned() && field->get<std::uint64_t>() >= 1
                               && field->get<std::uint64_t>() <= kMaxAnswerTokens;
            if (!valid) {
                return badRequest(fmt::format("expected '{}' to be a whole number from 1 to {}",
                                              name, kMaxAnswerTokens));
            }
            context.request.answerTokens = field->get<std::uint64_t>();
            return std::nullopt;
        }
        return std::nullopt;
    }

    static std::optional<FilterFailure> readPrompt(const json &body, CallerContext &context)
    {
        const bool chat = context.http.path == "/v1/chat/completions";
        const char *name = chat ? "messages" : "prompt";
        const auto prompt = body.find(name);
        const bool valid = prompt != body.end()
                           && (chat ? prompt->is_array() && !prompt->empty()
                                    : prompt->is_string() || prompt->is_array());
        if (!valid) {
            return badRequest(fmt::format("expected the field '{}' to be {}", name,
                                          chat ? "a non-empty array" : "a string or an array"));
        }
        const std::string text = prompt->dump(-1, ' ', false, json::error_handler_t::replace);
        context.request.promptTokens = text.size() / kBytesPerToken + 1;
        if (text.size() >= kMinPrefixBytes) {
            const std::size_t size = std::min(text.size(), kPrefixBytes);
            // The hash is seeded with the account so that accounts never share a prefix; a cache
            // hit would reveal to one account what another asked.
            const std::string &account = context.request.account.value();
            const std::uint64_t seed = XXH3_64bits(account.data(), account.size());
            context.request.prefixHash = XXH3_64bits_withSeed(text.data(), size, seed);
        }
        return std::nullopt;
    }

    std::optional<FilterFailure> readService(CallerContext &context) const
    {
        const std::string servicePath = context.http.path.substr(kServicePrefix.size());
        const std::string name = servicePath.substr(0, servicePath.find('/'));
        const ServiceConfig *service = configIndex_.service(TargetName(name));
        if (service == nullptr) {
            return FilterFailure{FailureCode::NotFound, fmt::format("no service '{}'", name)};
        }
        const std::string subpath = servicePath.substr(name.size());
        const auto route = std::find_if(
            service->routes.begin(), service->routes.end(), [&](const RouteConfig &each) {
                return each.method == context.http.method && subpath.starts_with(each.path);
            });
        if (route == service->routes.end()) {
            return FilterFailure{
                FailureCode::NotFound,
                fmt::format("service '{}' has no route {} {}", name, context.http.method, subpath)};
        }
        context.request.target = service->name;
        context.request.deadline = service->deadline;
        context.request.repeatable = route->repeatable;
        context.request.promptTokens = kServiceCost;
        return std::nullopt;
    }

    std::optional<FilterFailure> readTicketRequest(CallerContext &context) const
    {
        const auto parsed = parseUntrustedJson(context.http.body);
        if (!parsed) {
            return badRequest(fmt::format("the body: {}", parsed.error()));
        }
        const json &body = *parsed;
        const auto target = body.is_object() ? body.find("target") : body.end();
        if (!body.is_object() || target == body.end() || !target->is_string()) {
            return badRequest("expected a JSON object with the string 'target'");
        }
        const TargetName name(target->get<std::string>());
        if (configIndex_.model(name) == nullptr && configIndex_.service(name) == nullptr) {
            return FilterFailure{FailureCode::NotFound,
                                 fmt::format("no model or service '{}'", name.value())};
        }
        context.request.target = name;
        return std::nullopt;
    }

    const ConfigIndex &configIndex_;
};

// Reads the headers for priority, deadline and idempotency, and copies the request's contents.
class ClassifyFilter final : public RequestFilter
{
public:
    std::optional<FilterFailure> apply(CallerContext &context) const override
    {
        if (auto failure = readPriority(context)) {
            return failure;
        }
        if (auto failure = readDeadline(context)) {
            return failure;
        }
        if (auto failure = readIdempotencyHeaders(context)) {
            return failure;
        }
        const std::string &query = context.http.query;
        context.payload.method = context.http.method;
        context.payload.path = context.http.path + (query.empty() ? "" : "?" + query);
        context.payload.contentType = context.http.header("content-type");
        context.payload.body = context.http.body;
        return std::nullopt;
    }

private:
    static std::optional<FilterFailure> badRequest(std::string detail)
    {
        return FilterFailure{FailureCode::BadRequest, std::move(detail)};
    }

    static std::optional<FilterFailure> readPriority(CallerContext &context)
    {
        context.request.priority = context.account->priority;
        const std::string &text = context.http.header("seamarch-priority");
        if (!text.empty()) {
            const auto value = parseNumber(text);
            if (!value || *value > context.account->priority) {
                return badRequest(fmt::format("expected Seamarch-Priority from 0 to {}, found '{}'",
                                              context.account->priority, text));
            }
            context.request.priority = static_cast<std::uint8_t>(*value);
        }
        context.requestClass = fmt::format("p{}", context.request.priority);
        return std::nullopt;
    }

    static std::optional<FilterFailure> readDeadline(CallerContext &context)
    {
        const std::string &text = context.http.header("seamarch-deadline-ms");
        if (text.empty()) {
            return std::nullopt;
        }
        const auto value = parseNumber(text);
        if (!value || *value == 0 || *value > kMaxDeadlineMs) {
            return badRequest(fmt::format("expected Seamarch-Deadline-Ms from 1 to {}, found '{}'",
                                          kMaxDeadlineMs, text));
        }
        context.request.deadline = std::chrono::milliseconds(*value);
        return std::nullopt;
    }

    static std::optional<FilterFailure> readIdempotencyHeaders(CallerContext &context)
    {
        const std::string &ticket = context.http.header("seamarch-ticket");
        const std::string &key = context.http.header("idempotency-key");
        if (!ticket.empty() && !key.empty()) {
            return badRequest("expected Seamarch-Ticket or Idempotency-Key, found both");
        }
        if (!ticket.empty()) {
            context.request.ticket = parseTicket(ticket);
            if (!context.request.ticket) {
                return badRequest("Seamarch-Ticket is not a ticket; get one from POST /v1/tickets");
            }
        }
        if (!key.empty()) {
            if (key.size() > kMaxIdempotencyKeyLength || !uuidV7Time(key)) {
                return badRequest("expected Idempotency-Key to be a version 7 UUID (RFC 9562)");
            }
            // Keys are scoped to the account, since two accounts may use the same key. The agent
            // that checks a key is in the account's home hall.
            if (context.account->homeHall.value().empty()) {
                return badRequest("the client account has no homeHall, so keys cannot be honoured");
            }
            context.request.callerKey = key;
        }
        return std::nullopt;
    }
};

} // namespace

void ConfigIndex::applyConfig(const ConfigDocument &document)
{
    document_ = document;
    accountByDigest_.clear();
    modelByName_.clear();
    serviceByName_.clear();
    for (std::size_t index = 0; index < document_.accounts.size(); ++index) {
        for (const std::string &digest : document_.accounts[index].keyDigests) {
            accountByDigest_[digest] = index;
        }
    }
    for (std::size_t index = 0; index < document_.models.size(); ++index) {
        modelByName_[document_.models[index].name] = index;
    }
    for (std::size_t index = 0; index < document_.services.size(); ++index) {
        serviceByName_[document_.services[index].name] = index;
    }
}

const AccountConfig *ConfigIndex::accountForKey(const std::string &bearerKey) const
{
    const auto found = accountByDigest_.find(sha256Hex(bearerKey));
    return found == accountByDigest_.end() ? nullptr : &document_.accounts[found->second];
}

const ModelConfig *ConfigIndex::model(const TargetName &name) const
{
    const auto found = modelByName_.find(name);
    return found == modelByName_.end() ? nullptr : &document_.models[found->second];
}

const ServiceConfig *ConfigIndex::service(const TargetName &name) const
{
    const auto found = serviceByName_.find(name);
    return found == serviceByName_.end() ? nullptr : &document_.services[found->second];
}

std::vector<std::unique_ptr<RequestFilter>> makeCallerFilters(const ConfigIndex &configIndex)
{
    std::vector<std::unique_ptr<RequestFilter>> filters;
    filters.push_back(std::make_unique<RouteFilter>());
    filters.push_back(std::make_unique<AuthenticateFilter>(configIndex));
    filters.push_back(std::make_unique<BodyFilter>(configIndex));
    filters.push_back(std::make_unique<ClassifyFilter>());
    return filters;
}

} // namespace seamarch
