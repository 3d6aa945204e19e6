#include "gateway/gatewayservice.h"

#include "base/digest.h"
#include "base/log.h"
#include "gateway/requestdigest.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace seamarch {
namespace {

using nlohmann::json;

// How often requests are checked for the end of their time.
constexpr Duration kTick = std::chrono::milliseconds(25);
// When a caller may come back to a gateway that does not know enough.
constexpr Duration kNotReadyPause = std::chrono::milliseconds(500);

GatewayCore::Settings coreSettings(const GatewaySettings &settings)
{
    GatewayCore::Settings core;
    core.hall = settings.hall;
    core.regions = settings.regions;
    core.seed = randomIdentity();
    core.retries = retryLimits(settings.bounds);
    core.crashes.retention = settings.crashMemory;
    core.crashes.seed = randomIdentity();
    core.limits.firstMark = randomIdentity() | 1U;
    return core;
}

} // namespace

GatewayService::GatewayService(EventLoop &loop, const GatewaySettings &settings,
                               const CallerProtocol &protocol, const MetadataStore &store)
    : loop_(loop)
    , settings_(settings)
    , protocol_(protocol)
    , store_(store)
    , metrics_(settings.maxAccountSeries)
    , core_(coreSettings(settings))
    , knowledge_(loop, core_.upstreams(), metrics_, settings.times.freshness,
                 [this](const RouteTable &table) { applyConfiguration(table); })
{
    core_.warmUps().setBounds(settings.bounds.warmUp);
    core_.upstreams().setLapseGrace(settings.times.lapseGrace);
}

GatewayService::~GatewayService() = default;

tl::expected<std::unique_ptr<GatewayService>, NetError>
GatewayService::create(EventLoop &loop, const GatewaySettings &settings,
                       const CallerProtocol &protocol, const MetadataStore &store)
{
    std::unique_ptr<GatewayService> service(new GatewayService(loop, settings, protocol, store));
    if (auto opened = service->open(); !opened) {
        return tl::unexpected(opened.error());
    }
    return service;
}

tl::expected<void, NetError> GatewayService::open()
{
    auto client = HttpClient::create(loop_);
    if (!client) {
        return tl::unexpected(client.error());
    }
    client_ = std::move(*client);
    auto probe = UpstreamProbe::create(loop_);
    if (!probe) {
        return tl::unexpected(probe.error());
    }
    probe_ = std::move(*probe);
    HttpServerOptions options;
    options.address = settings_.listen;
    auto server = HttpServer::create(loop_, *this, options);
    if (!server) {
        return tl::unexpected(server.error());
    }
    server_ = std::move(*server);
    auto operators = OperatorServer::create(loop_, settings_.operatorListen, *this, metrics_);
    if (!operators) {
        return tl::unexpected(operators.error());
    }
    operators_ = std::move(*operators);
    if (settings_.metricsListen) {
        auto metrics = OperatorServer::create(loop_, *settings_.metricsListen, *this, metrics_);
        if (!metrics) {
            return tl::unexpected(metrics.error());
        }
        metricsServer_ = std::move(*metrics);
    }
    auto sources = KnowledgeSources::create(
        loop_, *client_, store_, knowledge_,
        {core_.groups(), core_.crashes(), core_.limits(), core_.permitIssuer(), core_.warmUps()},
        {settings_.instance, settings_.hall, settings_.peerListen, settings_.seeds,
         settings_.agentPort, settings_.times.storeRest});
    if (!sources) {
        return tl::unexpected(sources.error());
    }
    sources_ = std::move(*sources);
    sources_->tick();
    tickTimer_ = std::make_unique<PeriodicTimer>(loop_, kTick, [this] { tick(); });
    return {};
}

void GatewayService::applyConfiguration(const RouteTable &table)
{
    core_.warmUps().setServices(table.services());
    const CallerBounds &bounds = table.bounds();
    HttpServerOptions options;
    options.maxHeaderBytes = bounds.headerBytes;
    options.maxBodyBytes = bounds.bodyBytes;
    options.headerTimeout = bounds.headerTimeout;
    options.idleTimeout = bounds.idleTimeout;
    server_->setBounds(options);
}

void GatewayService::onRequest(ExchangeId exchange, HttpRequest request)
{
    CallerFacts facts = protocol_.readRequest(request);
    if (stopping_ && loop_.now() - stopStartedAt_ >= settings_.times.stopDelay) {
        // By now the balancer knows; what still comes would not be finished in time.
        refuse(exchange, facts, FailureCode::EntryStopping, Outcome::NotRun, kNotReadyPause);
        return;
    }
    const bool early = (!knowledge_.hasConfiguration() || early_.size() > 0) && !stopping_;
    if (early && early_.hold(exchange, request, facts.deadline.value_or(Duration{}), loop_.now())) {
        logLine(LogLevel::Info, "request.held",
                {{"id", facts.requestId}, {"reason", "no configuration"}, {"held", early_.size()}});
        return;
    }
    take(exchange, std::move(request), loop_.now());
}

// Hands over requests that came before there was a configuration, once there is one; refuses those
// that have waited long enough.
void GatewayService::takeEarly()
{
    constexpr std::size_t kAtATime = 1;
    if (knowledge_.hasConfiguration()) {
        for (EarlyRequests::Held &held : early_.takeFirst(kAtATime)) {
            take(held.exchange, std::move(held.request), held.arrivedAt);
        }
        return;
    }
    for (EarlyRequests::Held &held : early_.takeOverdue(loop_.now())) {
        take(held.exchange, std::move(held.request), held.arrivedAt);
    }
}

// Admits a request, or refuses it.
void GatewayService::take(ExchangeId exchange, HttpRequest request, TimePoint arrivedAt)
{
    CallerFacts facts = protocol_.readRequest(request);
    auto admitted = knowledge_.admit(request, facts);
    if (!admitted) {
        const FailureCode code = admitted.error();
        const bool temporary =
            code == FailureCode::EntryNotReady || code == FailureCode::KnowledgeStale;
        refuse(exchange, facts, code, Outcome::NotRun, temporary ? kNotReadyPause : Duration{});
        return;
    }
    Flight flight;
    flight.exchange = exchange;
    flight.request = std::move(request);
    flight.facts = std::move(facts);
    admitted->held = loop_.now() - arrivedAt;
    admitted->digest = digestOf(flight.request, admitted->account);
    flight.admitted = *admitted;
    flight.startedAt = arrivedAt;
    GatewayActions actions;
    const RequestNumber number = core_.begin(std::move(*admitted), loop_.now(), actions);
    byExchange_[exchange] = number;
    flights_.emplace(number, std::move(flight));
    metrics_.count("seamarch_requests_total", "received");
    carryOut(actions);
}

void GatewayService::refuse(ExchangeId exchange, const CallerFacts &facts, FailureCode code,
                            Outcome outcome, Duration retryAfter)
{
    HttpResponseHead head;
    head.status = httpStatus(code);
    head.headers = protocol_.refusalHeaders(facts.requestId, outcome, retryAfter);
    const json body = {
        {"error",
         {{"code", toString(code)}, {"message", advice(code)}, {"outcome", toString(outcome)}}}};
    metrics_.count("seamarch_failures_total", toString(code));
    logLine(LogLevel::Info, "request.refused",
            {{"id", facts.requestId},
             {"code", toString(code)},
             {"outcome", toString(outcome)},
             {"retryAfterMs", toMillis(retryAfter)},
             {"configVersion", knowledge_.version().value()},
             {"knowledgeAgeMs", knowledge_.confirmed() ? toMillis(knowledge_.age()) : -1}});
    server_->respond(exchange, head, body.dump());
}

void GatewayService::onCallerGone(ExchangeId exchange)
{
    if (early_.drop(exchange)) {
        return;
    }
    const auto found = byExchange_.find(exchange);
    if (found == byExchange_.end()) {
        return;
    }
    const RequestNumber number = found->second;
    GatewayActions actions;
    core_.onCallerGone(number, actions);
    carryOut(actions);
    endFlight(number, "caller gone");
}

void GatewayService::onDrained(ExchangeId exchange)
{
    const auto found = byExchange_.find(exchange);
    if (found != byExchange_.end()) {
        const auto flight = flights_.find(found->second);
        if (flight != flights_.end()) {
            client_->pause(flight->second.call, false);
        }
    }
}

void GatewayService::carryOut(const GatewayActions &actions)
{
    for (const GatewayAction &action : actions) {
        std::visit([this](const auto &each) { carryOut(each); }, action);
    }
    askForPermits();
}

void GatewayService::carryOut(const RejectRequest &action)
{
    const auto found = flights_.find(action.request);
    if (found == flights_.end()) {
        return;
    }
    const Flight &flight = found->second;
    if (action.failure == FailureCode::RequestEndsUpstreams) {
        const RequestDigest &digest = flight.admitted.digest;
        logLine(LogLevel::Warning, "request.stopped",
                {{"id", flight.facts.requestId},
                 {"digest", toText(digest)},
                 {"account", flight.admitted.account.value()},
                 {"ends", core_.crashes().crashCount(digest)}});
    }
    refuse(flight.exchange, flight.facts, action.failure, action.outcome, action.retryAfter);
    endFlight(action.request, toString(action.failure));
}

void GatewayService::carryOut(const BreakAnswer &action)
{
    const auto found = flights_.find(action.request);
    if (found == flights_.end()) {
        return;
    }
    metrics_.count("seamarch_broken_answers_total", toString(action.failure));
    server_->abort(found->second.exchange);
    endFlight(action.request, "broken off");
}

void GatewayService::endFlight(RequestNumber number, std::string_view result)
{
    const auto found = flights_.find(number);
    if (found == flights_.end()) {
        return;
    }
    const Flight &flight = found->second;
    const TimePoint now = loop_.now();
    metrics_.count("seamarch_requests_total", result);
    metrics_.observe(Stage::Total, flight.admitted.account, flight.admitted.route->name,
                     now - flight.startedAt);
    logLine(LogLevel::Info, "request.ended",
            {{"id", flight.facts.requestId},
             {"result", result},
             {"route", flight.admitted.route->name},
             {"account", flight.admitted.account.value()},
             {"upstream", flight.upstream.value()},
             {"group", flight.group.value()},
             {"attempts", flight.attempt},
             {"events", flight.events.events()},
             {"firstEventMs", flight.firstEventAt == TimePoint{}
                                  ? json()
                                  : json(toMillis(flight.firstEventAt - flight.startedAt))},
             {"longestPauseMs", toMillis(flight.longestPause)},
             {"ms", toMillis(now - flight.startedAt)}});
    byExchange_.erase(flight.exchange);
    flights_.erase(found);
}

void GatewayService::tick()
{
    takeEarly();
    GatewayActions actions;
    core_.setGateways(sources_->gateways() + 1);
    core_.setPlace(sources_->place());
    core_.onTick(loop_.now(), actions);
    carryOut(actions);
    sources_->tick();
    if (stopping_) {
        stopIfDrained();
    }
}

bool GatewayService::ready(std::string &reason) const
{
    if (stopping_) {
        reason = "stopping";
        return false;
    }
    if (!knowledge_.hasConfiguration()) {
        reason = "no configuration";
        return false;
    }
    if (!knowledge_.fresh()) {
        reason = "the store has not confirmed the configuration for too long";
        return false;
    }
    return true;
}

// The requests that upstreams have ended under, those with the most ends first.
json GatewayService::suspects() const
{
    constexpr std::size_t kMostShown = 20;
    std::vector<CrashSuspect> all = core_.crashes().allSuspects();
    std::erase_if(all, [](const CrashSuspect &suspect) { return suspect.crashes.empty(); });
    std::stable_sort(all.begin(), all.end(), [](const auto &left, const auto &right) {
        return left.crashes.size() > right.crashes.size();
    });
    all.resize(std::min(all.size(), kMostShown));
    const TimePoint now = loop_.now();
    json shown = json::array();
    for (const CrashSuspect &suspect : all) {
        shown.push_back({{"digest", toText(suspect.digest)},
                         {"ends", suspect.crashes.size()},
                         {"lastMsAgo", toMillis(now - suspect.crashes.back().at)},
                         {"stopped", !core_.crashes().mayBeSent(suspect.digest, now)}});
    }
    return shown;
}

// The upstreams that want nothing from this gateway now, and for how long still.
json GatewayService::resting() const
{
    const TimePoint now = loop_.now();
    json shown = json::object();
    for (const auto &[upstream, until] : core_.resting(now)) {
        shown[upstream.value()] = {{"msLeft", toMillis(until - now)}};
    }
    return shown;
}

// The upstreams that name a limit for all gateways together, and how long ago they last did.
json GatewayService::limited() const
{
    const TimePoint now = loop_.now();
    json shown = json::object();
    for (const LimitWord &word : core_.limits().all()) {
        if (word.rate) {
            shown[word.upstream.value()] = {{"perSecond", word.rate->perSecond()},
                                            {"msAgo", toMillis(now - word.saidAt)}};
        }
    }
    return shown;
}

json GatewayService::status() const
{
    std::string reason;
    const bool isReady = ready(reason);
    return {{"role", "gateway"},
            {"instance", settings_.instance.value()},
            {"hall", settings_.hall.value()},
            {"ready", isReady},
            {"reason", reason},
            {"configVersion", knowledge_.version().value()},
            {"knowledgeAgeMs", knowledge_.confirmed() ? toMillis(knowledge_.age()) : -1},
            {"storeReachable", knowledge_.storeReachable()},
            {"storeCalls", sources_->storeCalls()},
            {"followsStore", sources_->followsStore()},
            {"gateways", sources_->gateways()},
            {"inFlight", flights_.size()},
            {"secondAttempts", core_.secondAttempts()},
            {"connectionsMade", client_->connectionsMade()},
            {"upstreams", core_.upstreams().all().size()},
            {"groups", core_.groups().known().size()},
            {"restingUpstreams", resting()},
            {"limitedUpstreams", limited()},
            {"requestsThatEndUpstreams", suspects()}};
}

void GatewayService::applySettings(const GatewaySettings &settings)
{
    const bool fixedChanged =
        settings.instance != settings_.instance || settings.hall != settings_.hall
        || settings.regions != settings_.regions || settings.listen != settings_.listen
        || settings.operatorListen != settings_.operatorListen
        || settings.metricsListen != settings_.metricsListen || settings.store != settings_.store
        || settings.peerListen != settings_.peerListen || settings.agentPort != settings_.agentPort;
    if (fixedChanged) {
        logLine(LogLevel::Warning, "settings.need_restart",
                {{"message", "names and addresses change at the next start"}});
    }
    knowledge_.setFreshness(settings.times.freshness);
    settings_.times = settings.times;
    settings_.bounds = settings.bounds;
    core_.setRetryLimits(retryLimits(settings_.bounds));
    core_.warmUps().setBounds(settings_.bounds.warmUp);
    settings_.crashMemory = settings.crashMemory;
    core_.crashes().setRetention(settings_.crashMemory);
    core_.upstreams().setLapseGrace(settings_.times.lapseGrace);
}

void GatewayService::stop()
{
    if (stopping_) {
        return;
    }
    stopping_ = true;
    stopStartedAt_ = loop_.now();
    server_->announceClose();
    logLine(LogLevel::Info, "gateway.stopping", {{"inFlight", flights_.size()}});
}

void GatewayService::stopIfDrained()
{
    const Duration since = loop_.now() - stopStartedAt_;
    // The balancer lags behind the readiness, so new requests are served for a while.
    if (since < settings_.times.stopDelay) {
        return;
    }
    server_->closeIdle();
    const bool drained = flights_.empty() && server_->open() == 0;
    if (!drained && since < settings_.times.stopDeadline) {
        return;
    }
    logLine(LogLevel::Info, "gateway.stopped", {{"cutOff", flights_.size()}});
    sources_->stop();
    loop_.stop();
}

} // namespace seamarch
