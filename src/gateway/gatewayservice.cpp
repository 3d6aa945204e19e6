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

// The interval at which request deadlines are checked and periodic work is done.
constexpr Duration kTickInterval = std::chrono::milliseconds(25);
// The Retry-After of requests refused because this gateway has no recent configuration or is
// stopping.
constexpr Duration kNotReadyRetryAfter = std::chrono::milliseconds(500);
// How long a stop takes beyond its deadline to refuse requests that wait behind the last answers.
constexpr Duration kLastAnswersTime = std::chrono::milliseconds(100);
// The Retry-After of requests refused for lack of memory: some answers are taken within this time.
constexpr Duration kMemoryRetryAfter = std::chrono::seconds(1);

GatewayCore::Settings coreSettings(const GatewaySettings &settings)
{
    GatewayCore::Settings core;
    core.hall = settings.hall;
    core.regions = settings.regions;
    core.seed = randomNonzeroId();
    core.retries = retryLimits(settings.bounds);
    core.crashes.retention = settings.crashRetention;
    core.crashes.seed = randomNonzeroId();
    core.limits.firstVersion = randomNonzeroId() | 1U;
    core.selector.tracker.streamLimiter.adaptsRoom = settings.adaptiveRoom;
    return core;
}

std::set<HallId> hallsOf(const HallRegions &regions)
{
    std::set<HallId> halls;
    for (const auto &[hall, region] : regions) {
        halls.insert(hall);
    }
    return halls;
}

} // namespace

GatewayService::GatewayService(EventLoop &loop, const GatewaySettings &settings,
                               const CallerProtocol &protocol, const StoreProtocol &store)
    : loop_(loop)
    , settings_(settings)
    , protocol_(protocol)
    , store_(store)
    , metrics_(settings.maxAccountSeries)
    , core_(coreSettings(settings))
    , storeView_(loop, core_.upstreams(), metrics_, settings.timings.freshness,
                 [this](const RouteTable &table) { applyConfiguration(table); })
    , readinessLog_(metrics_)
{
    core_.warmUps().setBounds(settings.bounds.warmUp);
    core_.upstreams().setLapseGrace(settings.timings.lapseGrace);
    memoryBudget_ = MemoryBudget(settings.maxHeldBytes);
}

GatewayService::~GatewayService() = default;

tl::expected<std::unique_ptr<GatewayService>, NetError>
GatewayService::create(EventLoop &loop, const GatewaySettings &settings,
                       const CallerProtocol &protocol, const StoreProtocol &store)
{
    std::unique_ptr<GatewayService> service(new GatewayService(loop, settings, protocol, store));
    if (auto opened = service->open(); !opened) {
        loop.shutDown(); // Its sockets refer to parts of the service.
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
    options.maxBodyBytes = std::min(options.maxBodyBytes, memoryBudget_.maxBody());
    auto server = HttpServer::create(loop_, *this, options);
    if (!server) {
        return tl::unexpected(server.error());
    }
    server_ = std::move(*server);
    updateHeldMemory(); // Uploads are bounded before the first tick.
    auto operators = OperatorServer::create(loop_, settings_.operatorListen, *this, metrics_);
    if (!operators) {
        return tl::unexpected(operators.error());
    }
    operators_ = std::move(*operators);
    if (settings_.metricsListen) {
        auto metrics = OperatorServer::create(loop_, *settings_.metricsListen, *this, metrics_,
                                              AddressNeed::Optional);
        if (!metrics) {
            return tl::unexpected(metrics.error());
        }
        metricsServer_ = std::move(*metrics);
    }
    if (settings_.demandExchange && settings_.peerListen && settings_.agentPort) {
        demand_ =
            std::make_unique<DemandSharing>(core_, metrics_, settings_.instance, settings_.hall);
    }
    auto synchronizer = StateSynchronizer::create(
        loop_, *client_, store_, storeView_,
        {core_.groups(), core_.crashes(), core_.limits(), core_.permitIssuer(), core_.warmUps(),
         demand_ ? &demand_->exchange() : nullptr},
        {settings_.instance, settings_.hall, settings_.peerListen, settings_.seeds,
         settings_.agentPort, settings_.timings.storeCoalesceDelay, hallsOf(settings_.regions)});
    if (!synchronizer) {
        return tl::unexpected(synchronizer.error());
    }
    synchronizer_ = std::move(*synchronizer);
    synchronizer_->tick();
    tickTimer_ = std::make_unique<PeriodicTimer>(loop_, kTickInterval, [this] { tick(); });
    return {};
}

void GatewayService::applyConfiguration(const RouteTable &table)
{
    core_.warmUps().setServices(table.services());
    callerBounds_ = table.bounds();
    applyCallerBounds();
}

void GatewayService::applyCallerBounds()
{
    HttpServerOptions options;
    options.maxHeaderBytes = callerBounds_.maxHeaderBytes;
    options.maxBodyBytes = std::min(callerBounds_.maxBodyBytes, memoryBudget_.maxBody());
    options.headerTimeout = callerBounds_.headerTimeout;
    options.idleTimeout = callerBounds_.idleTimeout;
    server_->setBounds(options);
    if (options.maxBodyBytes < callerBounds_.maxBodyBytes) {
        logLine(LogLevel::Warning, "memory.below_max_body",
                {{"limit", memoryBudget_.limit()},
                 {"maxBodyBytes", callerBounds_.maxBodyBytes},
                 {"acceptedBodyBytes", options.maxBodyBytes}});
    }
}

void GatewayService::onRequest(ExchangeId exchange, HttpRequest request)
{
    RequestMetadata metadata = protocol_.readRequest(request);
    if (stopping_ && loop_.now() - stopStartedAt_ >= settings_.timings.stopDelay) {
        // The balancer has noticed the stop by now, and a new request might not finish in time.
        refuse(exchange, metadata, FailureCode::EntryStopping, Outcome::NotRun,
               kNotReadyRetryAfter);
        return;
    }
    heldMemory_.uploads = server_->uploadedBytes(); // Without this body, which is complete.
    if (!memoryBudget_.admits(heldMemory_, request.body.size())) {
        logLine(LogLevel::Warning, "request.too_large_now",
                {{"id", metadata.requestId},
                 {"bodyBytes", request.body.size()},
                 {"heldBytes", heldMemory_.sum()},
                 {"limit", memoryBudget_.limit()}});
        refuse(exchange, metadata, FailureCode::MemoryFull, Outcome::NotRun, kMemoryRetryAfter);
        return;
    }
    heldMemory_.requests += request.body.size();
    limitUploads();
    if (!storeView_.hasConfiguration() && !stopping_
        && startupQueue_.push(exchange, request, metadata.deadline.value_or(Duration{}),
                              request.startedAt)) {
        logLine(LogLevel::Info, "request.held",
                {{"id", metadata.requestId},
                 {"reason", "no configuration"},
                 {"held", startupQueue_.size()}});
        return;
    }
    const TimePoint startedAt = request.startedAt;
    admitRequest(exchange, std::move(request), startedAt);
}

// Admits queued requests that have waited too long, which are refused if there is no configuration
// yet, and the next batch of the others once there is one.
void GatewayService::processStartupQueue()
{
    admitQueued(startupQueue_.popExpired(loop_.now()));
    if (storeView_.hasConfiguration()) {
        admitQueued(startupQueue_.popBatch());
    }
}

void GatewayService::admitQueued(std::vector<StartupRequestQueue::QueuedRequest> requests)
{
    for (StartupRequestQueue::QueuedRequest &queued : requests) {
        logLine(LogLevel::Info, "request.released",
                {{"id", protocol_.readRequest(queued.request).requestId},
                 {"waitedMs", toMillis(loop_.now() - queued.arrivedAt)},
                 {"configVersion", storeView_.version().value()},
                 {"held", startupQueue_.size()}});
        admitRequest(queued.exchange, std::move(queued.request), queued.arrivedAt);
    }
}

void GatewayService::admitRequest(ExchangeId exchange, HttpRequest request, TimePoint arrivedAt)
{
    RequestMetadata metadata = protocol_.readRequest(request);
    auto admitted = storeView_.admit(request, metadata);
    if (!admitted) {
        const FailureCode code = admitted.error();
        const bool temporary =
            code == FailureCode::EntryNotReady || code == FailureCode::KnowledgeStale;
        refuse(exchange, metadata, code, Outcome::NotRun,
               temporary ? kNotReadyRetryAfter : Duration{});
        return;
    }
    ActiveRequest active;
    active.exchange = exchange;
    active.request = std::move(request);
    active.metadata = std::move(metadata);
    admitted->age = loop_.now() - arrivedAt;
    admitted->digest = digestOf(active.request, admitted->account);
    admitted->sharedParts = promptPartIds(active.metadata.sharedPromptParts);
    active.requestBody = SharedText(std::exchange(active.request.body, {}));
    active.admitted = *admitted;
    active.startedAt = arrivedAt;
    GatewayActions actions;
    const RequestNumber number = core_.begin(std::move(*admitted), loop_.now(), actions);
    byExchange_[exchange] = number;
    activeRequests_.emplace(number, std::move(active));
    metrics_.count("seamarch_requests_total", "received");
    carryOut(actions);
}

void GatewayService::refuse(ExchangeId exchange, const RequestMetadata &metadata, FailureCode code,
                            Outcome outcome, Duration retryAfter)
{
    HttpResponseHead head;
    head.status = httpStatus(code);
    head.headers = protocol_.refusalHeaders(metadata.requestId, outcome, retryAfter);
    const json body = {
        {"error",
         {{"code", toString(code)}, {"message", advice(code)}, {"outcome", toString(outcome)}}}};
    metrics_.count("seamarch_failures_total", toString(code));
    logLine(LogLevel::Info, "request.refused",
            {{"id", metadata.requestId},
             {"code", toString(code)},
             {"outcome", toString(outcome)},
             {"retryAfterMs", toMillis(retryAfter)},
             {"configVersion", storeView_.version().value()},
             {"knowledgeAgeMs", storeView_.confirmed() ? toMillis(storeView_.age()) : -1}});
    server_->respond(exchange, head, body.dump());
}

void GatewayService::onCallerFinished(ExchangeId exchange)
{
    const auto found = byExchange_.find(exchange);
    if (found == byExchange_.end()) {
        return;
    }
    const ActiveRequest &active = activeRequests_.at(found->second);
    metrics_.count("seamarch_callers_finished_total", active.admitted.route->name);
    logLine(LogLevel::Info, "caller.finished_sending",
            {{"id", active.metadata.requestId},
             {"attempt", active.attempt},
             {"headSent", active.headSent},
             {"ms", toMillis(loop_.now() - active.startedAt)}});
}

void GatewayService::onCallerGone(ExchangeId exchange)
{
    if (startupQueue_.remove(exchange)) {
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
    endRequest(number, "caller gone");
}

void GatewayService::onDrained(ExchangeId exchange)
{
    const auto found = byExchange_.find(exchange);
    if (found != byExchange_.end()) {
        const auto active = activeRequests_.find(found->second);
        if (active != activeRequests_.end() && active->second.readingPaused) {
            pauseReading(found->second, active->second, false);
        }
    }
}

void GatewayService::carryOut(const GatewayActions &actions)
{
    for (const GatewayAction &action : actions) {
        std::visit([this](const auto &each) { carryOut(each); }, action);
    }
    requestPermits();
}

void GatewayService::carryOut(const RejectRequest &action)
{
    const auto found = activeRequests_.find(action.request);
    if (found == activeRequests_.end()) {
        return;
    }
    const ActiveRequest &active = found->second;
    if (action.failure == FailureCode::RequestEndsUpstreams) {
        const auto &parts = active.metadata.sharedPromptParts;
        logLine(LogLevel::Warning, "request.stopped",
                {{"id", active.metadata.requestId},
                 {"digest", toText(active.admitted.digest)},
                 {"part", action.crashingPart ? json(parts.at(*action.crashingPart)) : json()},
                 {"account", active.admitted.account.value()},
                 {"ends", action.crashes}});
    }
    if (action.displacedBy != 0) {
        logDisplaced(active, action);
    }
    refuse(active.exchange, active.metadata, action.failure, action.outcome, action.retryAfter);
    endRequest(action.request, toString(action.failure));
}

// Logs which more urgent request took the place of a queued one.
void GatewayService::logDisplaced(const ActiveRequest &active, const RejectRequest &action)
{
    const auto found = activeRequests_.find(action.displacedBy);
    const ActiveRequest *urgent = found == activeRequests_.end() ? nullptr : &found->second;
    const Urgency urgency = urgent == nullptr ? Urgency() : urgent->admitted.urgency;
    metrics_.count("seamarch_displaced_requests_total", active.admitted.route->name);
    logLine(LogLevel::Info, "request.displaced",
            {{"id", active.metadata.requestId},
             {"accountPriority", active.admitted.urgency.account},
             {"routePriority", active.admitted.urgency.route},
             {"waitedMs", toMillis(loop_.now() - active.startedAt)},
             {"retryAfterMs", toMillis(action.retryAfter)},
             {"by", urgent == nullptr ? std::string() : urgent->metadata.requestId},
             {"byAccountPriority", urgency.account},
             {"byRoutePriority", urgency.route}});
}

void GatewayService::carryOut(const AbortAnswer &action)
{
    const auto found = activeRequests_.find(action.request);
    if (found == activeRequests_.end()) {
        return;
    }
    metrics_.count("seamarch_broken_answers_total", toString(action.failure));
    server_->abort(found->second.exchange);
    endRequest(action.request, "broken off");
}

void GatewayService::endRequest(RequestNumber number, std::string_view result)
{
    const auto found = activeRequests_.find(number);
    if (found == activeRequests_.end()) {
        return;
    }
    const ActiveRequest &active = found->second;
    const TimePoint now = loop_.now();
    metrics_.count("seamarch_requests_total", result);
    metrics_.observe(RequestStage::Total, active.admitted.account, active.admitted.route->name,
                     now - active.startedAt);
    logLine(LogLevel::Info, "request.ended",
            {{"id", active.metadata.requestId},
             {"result", result},
             {"route", active.admitted.route->name},
             {"account", active.admitted.account.value()},
             {"upstream", active.upstream.value()},
             {"group", active.group.value()},
             {"attempts", active.attempt},
             {"accountPriority", active.admitted.urgency.account},
             {"routePriority", active.admitted.urgency.route},
             {"events", active.events.eventCount()},
             {"firstEventMs", active.firstEventAt == TimePoint{}
                                  ? json()
                                  : json(toMillis(active.firstEventAt - active.startedAt))},
             {"longestPauseMs", toMillis(active.longestPause)},
             {"ms", toMillis(now - active.startedAt)}});
    heldMemory_.requests -= std::min(heldMemory_.requests, active.requestBody.size());
    byExchange_.erase(active.exchange);
    activeRequests_.erase(found);
    limitUploads();
}

void GatewayService::updateHeldMemory()
{
    heldMemory_ = {0, startupQueue_.bytes(), server_->bufferedTotal() + client_->unsentBytes()};
    for (const auto &[number, active] : activeRequests_) {
        heldMemory_.requests += active.requestBody.size();
        heldMemory_.answers += active.body.size() + active.events.partialBytes();
    }
    limitUploads();
    if (const auto ended = server_->uploadsEnded(); ended != uploadsEnded_) {
        logLine(LogLevel::Warning, "memory.uploads_ended",
                {{"uploads", ended - std::exchange(uploadsEnded_, ended)},
                 {"uploadBytes", heldMemory_.uploads},
                 {"limit", memoryBudget_.limit()}});
    }
    const bool restricted = server_->uploadsRestricted();
    if (restricted != uploadsRestricted_) {
        uploadsRestricted_ = restricted;
        logLine(LogLevel::Warning, restricted ? "memory.restricted" : "memory.released",
                {{"uploadBytes", heldMemory_.uploads},
                 {"requestBytes", heldMemory_.requests},
                 {"answerBytes", heldMemory_.answers},
                 {"limit", memoryBudget_.limit()}});
    }
}

void GatewayService::limitUploads()
{
    heldMemory_.uploads = server_->uploadedBytes();
    const UploadBudget budget = memoryBudget_.uploads(heldMemory_);
    server_->limitUploads({budget.maxBytes, budget.maxBytesWithOldest});
}

void GatewayService::tick()
{
    updateHeldMemory();
    processStartupQueue();
    GatewayActions actions;
    core_.setGatewayCount(synchronizer_->gateways() + 1);
    core_.setRetryGateways(synchronizer_->census().count());
    core_.setHallPosition(synchronizer_->hallPosition());
    if (demand_) {
        demand_->tick(loop_.now());
    }
    core_.onTick(loop_.now(), actions);
    carryOut(actions);
    logStreamLimits();
    logPaceChanges();
    probeUnansweredUpstreams();
    synchronizer_->tick();
    logReadiness();
    metrics_.set("seamarch_closed_groups",
                 static_cast<double>(core_.groups().closedGroups(loop_.now()).size()));
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
    if (!storeView_.hasConfiguration()) {
        reason = "no configuration";
        return false;
    }
    if (!storeView_.fresh()) {
        reason = "the store has not confirmed the configuration for too long";
        return false;
    }
    return true;
}

void GatewayService::logReadiness()
{
    Readiness readiness;
    readiness.ready = ready(readiness.reason);
    readinessLog_.update(
        readiness,
        {{"configVersion", storeView_.version().value()},
         {"knowledgeAgeMs", storeView_.confirmed() ? toMillis(storeView_.age()) : -1},
         {"storeReachable", storeView_.storeReachable()},
         {"followsStore", synchronizer_->followsStore()},
         {"storeCalls", synchronizer_->storeCalls()},
         {"gateways", synchronizer_->gateways()}},
        loop_.now());
}

// Lists the requests and prompt parts under which upstreams have ended, those with the most ends
// first.
json GatewayService::suspectsStatus() const
{
    constexpr std::size_t kMaxSuspectsShown = 20;
    std::vector<CrashSuspect> all = core_.crashes().allSuspects();
    std::erase_if(all, [](const CrashSuspect &suspect) { return suspect.crashes.empty(); });
    std::stable_sort(all.begin(), all.end(), [](const auto &left, const auto &right) {
        return left.crashes.size() > right.crashes.size();
    });
    all.resize(std::min(all.size(), kMaxSuspectsShown));
    const TimePoint now = loop_.now();
    json shown = json::array();
    for (const CrashSuspect &suspect : all) {
        const bool isPart = suspect.key.kind == SuspectKind::PromptPart;
        shown.push_back({{"kind", isPart ? "prompt part" : "request"},
                         {"digest", toText(RequestDigest(suspect.key.value))},
                         {"ends", suspect.crashes.size()},
                         {"lastMsAgo", toMillis(now - suspect.crashes.back().at)},
                         {"stopped", !core_.crashes().mayBeSent(suspect.key, now)}});
    }
    return shown;
}

// Lists the upstreams that have asked this gateway for a rest, and the time left of each rest.
json GatewayService::restingStatus() const
{
    const TimePoint now = loop_.now();
    json shown = json::object();
    for (const auto &[upstream, until] : core_.resting(now)) {
        shown[upstream.value()] = {{"msLeft", toMillis(until - now)}};
    }
    return shown;
}

// Lists the upstreams that name a rate limit for all gateways together, and the age of that limit.
json GatewayService::limitedStatus() const
{
    const TimePoint now = loop_.now();
    json shown = json::object();
    for (const LimitReport &report : core_.limits().all()) {
        if (report.rate) {
            shown[report.upstream.value()] = {{"perSecond", report.rate->perSecond()},
                                              {"msAgo", toMillis(now - report.reportedAt)}};
        }
    }
    return shown;
}

json GatewayService::status() const
{
    std::string reason;
    const bool isReady = ready(reason);
    json closedGroups = json::array();
    for (const GroupId &group : core_.groups().closedGroups(loop_.now())) {
        closedGroups.push_back(group.value());
    }
    const auto retryGateways = synchronizer_->census().count();
    return {{"role", "gateway"},
            {"instance", settings_.instance.value()},
            {"hall", settings_.hall.value()},
            {"ready", isReady},
            {"reason", reason},
            {"configVersion", storeView_.version().value()},
            {"knowledgeAgeMs", storeView_.confirmed() ? toMillis(storeView_.age()) : -1},
            {"storeReachable", storeView_.storeReachable()},
            {"storeCalls", synchronizer_->storeCalls()},
            {"followsStore", synchronizer_->followsStore()},
            {"gateways", synchronizer_->gateways()},
            {"inFlight", activeRequests_.size()},
            {"heldBytes", heldMemory_.sum()},
            {"maxHeldBytes", memoryBudget_.limit()},
            {"secondAttempts", core_.secondAttempts()},
            {"retryGateways", retryGateways ? json(*retryGateways) : json()},
            {"connectionsMade", client_->connectionsMade()},
            {"upstreams", core_.upstreams().all().size()},
            {"groups", core_.groups().groups().size()},
            {"closedGroups", closedGroups},
            {"restingUpstreams", restingStatus()},
            {"limitedUpstreams", limitedStatus()},
            {"demandShares", demand_ ? demand_->status(loop_.now()) : json()},
            {"requestsThatEndUpstreams", suspectsStatus()}};
}

void GatewayService::applySettings(const GatewaySettings &settings)
{
    const bool fixedChanged =
        settings.instance != settings_.instance || settings.hall != settings_.hall
        || settings.regions != settings_.regions || settings.listen != settings_.listen
        || settings.operatorListen != settings_.operatorListen
        || settings.metricsListen != settings_.metricsListen || settings.store != settings_.store
        || settings.peerListen != settings_.peerListen || settings.agentPort != settings_.agentPort
        || settings.demandExchange != settings_.demandExchange
        || settings.adaptiveRoom != settings_.adaptiveRoom;
    if (fixedChanged) {
        logLine(
            LogLevel::Warning, "settings.need_restart",
            {{"message", "names, addresses, demand-exchange and adaptive-room change at the next "
                         "start"}});
    }
    storeView_.setFreshness(settings.timings.freshness);
    settings_.timings = settings.timings;
    settings_.bounds = settings.bounds;
    core_.setRetryLimits(retryLimits(settings_.bounds));
    core_.warmUps().setBounds(settings_.bounds.warmUp);
    settings_.crashRetention = settings.crashRetention;
    core_.crashes().setRetention(settings_.crashRetention);
    settings_.maxHeldBytes = settings.maxHeldBytes;
    memoryBudget_ = MemoryBudget(settings_.maxHeldBytes);
    applyCallerBounds();
    updateHeldMemory();
    core_.upstreams().setLapseGrace(settings_.timings.lapseGrace);
}

void GatewayService::stop()
{
    if (stopping_) {
        return;
    }
    stopping_ = true;
    stopStartedAt_ = loop_.now();
    server_->announceClose();
    logLine(LogLevel::Info, "gateway.stopping", {{"inFlight", activeRequests_.size()}});
}

// Answers the requests that were not served before the deadline of the stop.
void GatewayService::endAllRequests()
{
    requestsEnded_ = activeRequests_.size() + startupQueue_.size();
    for (StartupRequestQueue::QueuedRequest &queued : startupQueue_.popAll()) {
        refuse(queued.exchange, protocol_.readRequest(queued.request), FailureCode::EntryStopping,
               Outcome::NotRun, kNotReadyRetryAfter);
    }
    GatewayActions actions;
    core_.endAll(loop_.now(), actions);
    carryOut(actions);
}

void GatewayService::stopIfDrained()
{
    const Duration since = loop_.now() - stopStartedAt_;
    // The balancer notices the lost readiness with a delay and sends requests until then.
    if (since < settings_.timings.stopDelay) {
        return;
    }
    server_->closeIdleConnections();
    const bool drained = activeRequests_.empty() && server_->isDrained();
    if (!drained && since < settings_.timings.stopDeadline) {
        return;
    }
    if (!drained && !requestsEnded_) {
        endAllRequests();
        return;
    }
    if (!drained && since < settings_.timings.stopDeadline + kLastAnswersTime) {
        return;
    }
    logLine(LogLevel::Info, "gateway.stopped", {{"cutOff", requestsEnded_.value_or(0)}});
    synchronizer_->stop();
    loop_.stop();
}

} // namespace seamarch
