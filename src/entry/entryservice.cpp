#include "entry/entryservice.h"

#include "base/digest.h"
#include "base/log.h"
#include "decision/membership/linkplan.h"
#include "net/wireconvert.h"
#include "observe/processnetwork.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace seamarch {
namespace {

using nlohmann::json;

constexpr Duration kTickPeriod = std::chrono::milliseconds(100);
// When at least this much is buffered for a slow caller, the agent waits before it sends the next
// part.
constexpr std::size_t kBufferHighWaterBytes = 32 * 1024;

EntryCore::Settings coreSettings(const EntrySettings &settings, Incarnation incarnation)
{
    EntryCore::Settings core;
    core.hall = settings.hall;
    core.incarnation = incarnation;
    core.seed = incarnation.value();
    core.lease = settings.lease;
    core.crashes.seed = incarnation.value();
    return core;
}

std::string retryAfterSeconds(Duration retryAfter)
{
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(retryAfter).count();
    return std::to_string(std::max<std::int64_t>(1, (millis + 999) / 1000));
}

// Returns the text of an error. `detail` may quote bytes of the request that are not UTF-8; they
// are replaced.
std::string errorBody(FailureCode code, Outcome outcome, const std::string &detail)
{
    std::string message(advice(code));
    if (!detail.empty()) {
        message = detail + ". " + message;
    }
    const json body = {{"error",
                        {{"code", toString(code)},
                         {"type", "seamarch_error"},
                         {"message", message},
                         {"outcome", toString(outcome)}}}};
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string_view asStringView(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

} // namespace

// Serves the RPC calls of peer entries.
class EntryService::PeerRpcServer final : public PeerServer
{
public:
    PeerRpcServer(EntryService &service, ClusterState &knowledge, EventLoop &loop)
        : PeerServer(knowledge, service.changes_, loop)
        , service_(service)
    {}

private:
    void fillStatus(wire::Status::Builder status) override
    {
        status.setInstance(service_.settings_.instance.value());
        status.setIncarnation(service_.incarnation_.value());
        status.setLeaving(service_.stopping_);
    }
    CrashRecord *crashRecord() override { return &service_.core_.crashes(); }

    EntryService &service_;
};

EntryService::EntryService(EventLoop &loop, EntrySettings settings)
    : loop_(loop)
    , settings_(std::move(settings))
    , incarnation_(randomNonzeroId())
    , metrics_(settings_.maxAccountSeries)
    , changes_(loop)
    , filters_(makeCallerFilters(configIndex_))
    , core_(coreSettings(settings_, incarnation_), std::make_unique<ExpectedWaitRouter>())
{
    knowledge_.addListener(*this);
    knowledge_.addListener(changes_);
}

EntryService::~EntryService() = default;

tl::expected<std::unique_ptr<EntryService>, NetError> EntryService::create(EventLoop &loop,
                                                                           EntrySettings settings)
{
    std::unique_ptr<EntryService> service(new EntryService(loop, std::move(settings)));
    if (auto opened = service->open(); !opened) {
        loop.shutDown(); // Its sockets refer to parts of the service.
        return tl::unexpected(opened.error());
    }
    return service;
}

tl::expected<void, NetError> EntryService::open()
{
    auto net = openProcessNetwork(loop_, settings_.operatorListen, *this, metrics_);
    if (!net) {
        return tl::unexpected(net.error());
    }
    transport_ = std::move(net->transport);
    client_ = std::move(net->client);
    operatorServer_ = std::move(net->operators);
    HttpServerOptions options;
    options.address = settings_.listen;
    options.maxBodyBytes = settings_.maxBodyBytes;
    auto server = HttpServer::create(loop_, *this, std::move(options));
    if (!server) {
        return tl::unexpected(server.error());
    }
    server_ = std::move(*server);
    auto listening = transport_->listen(settings_.peerListen, [this](kj::Own<RawStream> stream) {
        const std::uint64_t id = nextPeerConnection_++;
        auto peer =
            RpcPeer::server(kj::mv(stream), kj::heap<PeerRpcServer>(*this, knowledge_, loop_));
        peer->onClosed([this, id] { loop_.post([this, id] { peerConnections_.erase(id); }); });
        peerConnections_.emplace(id, std::move(peer));
    });
    if (!listening) {
        return listening;
    }
    watcher_ = std::make_unique<PlatformWatcher>(loop_, *client_, knowledge_, settings_.platform,
                                                 incarnation_.value());
    peers_ = std::make_unique<PeerNetwork>(
        loop_, *transport_, knowledge_, core_.crashes(),
        PeerNetwork::Settings{settings_.instance, settings_.hall, incarnation_, settings_.lease});
    tickTimer_ = std::make_unique<PeriodicTimer>(loop_, kTickPeriod, [this] { tick(); });
    peerTimer_ =
        std::make_unique<PeriodicTimer>(loop_, settings_.heartbeat, [this] { peers_->tick(); });
    scheduleHeartbeat();
    watcher_->setActive(true);
    return {};
}

void EntryService::onConfig(const ConfigDocument &document)
{
    configIndex_.applyConfig(document);
    core_.applyConfig(document);
    metrics_.set("seamarch_config_version", static_cast<double>(document.version.value()));
}

void EntryService::onInstances(const InstanceList &list)
{
    core_.applyList(list);
    // Deferred, since a link must not be destroyed in one of its own callbacks.
    loop_.post([this] {
        peers_->setInstances(knowledge_.list());
        updateLinks();
        peers_->tick();
        heartbeatAll();
    });
}

void EntryService::updateLinks()
{
    const auto chosen = chooseLinks(knowledge_.list(), settings_.instance, settings_.hall, {});
    for (const InstanceId &agent : chosen) {
        addLink(agent);
    }
    // A link with active requests is kept even if its agent is no longer chosen, so that no answer
    // is interrupted.
    std::erase_if(links_, [&](const auto &namedLink) {
        const bool busy =
            std::any_of(activeRequests_.begin(), activeRequests_.end(),
                        [&](const auto &active) { return active.second.agent == namedLink.first; });
        return !chosen.contains(namedLink.first) && !busy;
    });
}

void EntryService::addLink(const InstanceId &agent)
{
    const Member *member = core_.members().find(agent);
    if (member == nullptr) {
        return;
    }
    const SocketAddress address{member->record.address, member->record.port};
    const auto found = links_.find(agent);
    if (found != links_.end() && found->second->address() == address) {
        return;
    }
    const AgentLink::Context context{loop_, *transport_,        knowledge_,
                                     *this, settings_.instance, incarnation_};
    links_[agent] = std::make_unique<AgentLink>(context, agent, address);
}

void EntryService::carryOut(const ConnectAgent &action)
{
    addLink(action.agent);
    if (AgentLink *agent = link(action.agent)) {
        agent->heartbeat();
    }
}

AgentLink *EntryService::link(const InstanceId &agent)
{
    const auto found = links_.find(agent);
    return found == links_.end() ? nullptr : found->second.get();
}

void EntryService::heartbeatAll()
{
    for (const auto &[id, link] : links_) {
        link->heartbeat();
    }
}

void EntryService::scheduleHeartbeat()
{
    const Duration period = heartbeatPeriod(links_.size(), settings_.heartbeat, {});
    heartbeatTimer_ = loop_.schedule(period, [this] {
        scheduleHeartbeat();
        heartbeatAll();
    });
}

void EntryService::tick()
{
    EntryActions actions;
    core_.onTick(loop_.now(), actions);
    carryOut(actions);
    announceCrashes();
    watcher_->setActive(peers_->shouldWatchPlatform());
    if (stopping_) {
        stopIfDrained();
    }
}

// Sends changes of the crash record to the peers: completes their pending exchanges with this entry
// and warns the entries that the others exchange with.
void EntryService::announceCrashes()
{
    if (core_.crashes().cursor() != announcedCrashCursor_) {
        announcedCrashCursor_ = core_.crashes().cursor();
        changes_.wake();
    }
    peers_->sendCrashWarnings();
}

void EntryService::onRequest(ExchangeId exchange, HttpRequest request)
{
    std::string reason;
    if (!knowledge_.configInForce()) {
        respondFailure(exchange, FailureCode::EntryNotReady, Outcome::NotRun,
                       std::chrono::seconds(1), {});
        return;
    }
    CallerContext context{request, CallerRoute::Completion, nullptr, {}, {}, false, {}};
    for (const auto &filter : filters_) {
        if (const auto failure = filter->apply(context)) {
            respondFailure(exchange, failure->code, Outcome::NotRun, {}, failure->detail);
            return;
        }
    }
    switch (context.route) {
    case CallerRoute::Models:
        serveModels(exchange);
        return;
    case CallerRoute::Ticket:
        serveTicket(exchange, context.request);
        return;
    case CallerRoute::Completion:
    case CallerRoute::Service:
        beginRequest(exchange, context);
        return;
    }
}

void EntryService::serveModels(ExchangeId exchange)
{
    json models = json::array();
    for (const ModelConfig &model : configIndex_.models()) {
        models.push_back({{"id", model.name.value()},
                          {"object", "model"},
                          {"created", 0},
                          {"owned_by", "seamarch"}});
    }
    const json body = {{"object", "list"}, {"data", models}};
    server_->respond(exchange, {}, body.dump());
}

void EntryService::serveTicket(ExchangeId exchange, const EntryRequest &request)
{
    const auto candidates = core_.members().candidates(request.target, loop_.now());
    if (candidates.empty()) {
        respondFailure(exchange, FailureCode::NoUpstream, Outcome::NotRun, std::chrono::seconds(1),
                       {});
        return;
    }
    const std::size_t index = exchange % candidates.size();
    AgentLink *agent = link(candidates[index]->record.id);
    if (agent == nullptr) {
        respondFailure(exchange, FailureCode::NoUpstream, Outcome::NotRun, std::chrono::seconds(1),
                       {});
        return;
    }
    agent->issueTicket([this, exchange](const std::string &ticket) {
        if (ticket.empty()) {
            respondFailure(exchange, FailureCode::UpstreamUnreachable, Outcome::NotRun,
                           std::chrono::seconds(1), {});
            return;
        }
        server_->respond(exchange, {}, json{{"ticket", ticket}}.dump());
    });
}

void EntryService::beginRequest(ExchangeId exchange, CallerContext &context)
{
    ActiveRequest active;
    active.exchange = exchange;
    active.request = context.request;
    active.payload = std::move(context.payload);
    active.requestClass = std::move(context.requestClass);
    active.streamed = context.streamed;
    active.startedAt = loop_.now();
    active.request.digest =
        RequestDigest(sha256Prefix({active.payload.method, active.payload.path,
                                    active.request.account.value(), active.payload.body}));
    EntryActions actions;
    const RequestId id = core_.begin(active.request, active.startedAt, actions);
    metrics_.count("seamarch_requests_total", "received");
    requestByExchange_[exchange] = id;
    activeRequests_.emplace(id, std::move(active));
    carryOut(actions);
}

void EntryService::carryOut(const EntryActions &actions)
{
    for (const EntryAction &action : actions) {
        std::visit([this](const auto &each) { carryOut(each); }, action);
    }
}

void EntryService::carryOut(const SendCall &action)
{
    const auto active = activeRequests_.find(action.id);
    if (active == activeRequests_.end()) {
        return;
    }
    active->second.agent = action.agent;
    AgentLink *agent = link(action.agent);
    if (agent == nullptr) {
        loop_.post([this, id = action.id] { onCallFailed(id, false); });
        return;
    }
    agent->start(action, active->second.request, active->second.payload);
}

void EntryService::carryOut(const SendCancel &action)
{
    AgentLink *agent = link(action.agent);
    if (agent == nullptr) {
        loop_.post([this, id = action.id] { onCancelResult(id, false); });
        return;
    }
    agent->cancel(action);
}

void EntryService::carryOut(const SendWithdraw &action)
{
    AgentLink *agent = link(action.agent);
    if (agent == nullptr) {
        loop_.post([this, action] { onWithdrawResult(action.id, action.agent, false); });
        return;
    }
    agent->withdraw(action);
}

void EntryService::carryOut(const FailRequest &action)
{
    const auto found = activeRequests_.find(action.id);
    if (found == activeRequests_.end()) {
        return;
    }
    const ActiveRequest &active = found->second;
    metrics_.count("seamarch_failures_total", toString(action.failure));
    metrics_.count("seamarch_outcomes_total", toString(action.outcome));
    if (action.failure == FailureCode::RequestEndsUpstreams) {
        const auto prefix = prefixKey(active.request);
        logLine(LogLevel::Warning, "request.stopped",
                {{"digest", fmt::format("{:016x}", active.request.digest.value())},
                 {"account", active.request.account.value()},
                 {"ends", core_.crashes().crashCount(SuspectKey(active.request.digest))},
                 {"prefixEnds", prefix ? core_.crashes().crashCount(*prefix) : 0}});
    }
    if (active.headSent) {
        abortStream(active, action.failure, action.outcome);
    } else {
        respondFailure(active.exchange, action.failure, action.outcome, action.retryAfter, {});
    }
    endRequest(action.id);
}

void EntryService::respondFailure(ExchangeId exchange, FailureCode code, Outcome outcome,
                                  Duration retryAfter, const std::string &detail)
{
    HttpResponseHead head;
    head.status = httpStatus(code);
    head.headers.push_back({"seamarch-outcome", std::string(toString(outcome))});
    if (retryAfter > Duration{}) {
        head.headers.push_back({"retry-after", retryAfterSeconds(retryAfter)});
    }
    server_->respond(exchange, head, errorBody(code, outcome, detail));
}

void EntryService::abortStream(const ActiveRequest &active, FailureCode code, Outcome outcome)
{
    if (active.streamed) {
        server_->write(active.exchange, fmt::format("data: {}\n\n", errorBody(code, outcome, {})));
    }
    // The missing final chunk shows the caller's HTTP library that the answer is incomplete.
    server_->abort(active.exchange);
}

void EntryService::endRequest(RequestId id)
{
    const auto found = activeRequests_.find(id);
    if (found == activeRequests_.end()) {
        return;
    }
    KJ_IF_MAYBE (drainFulfiller, found->second.drainFulfiller) {
        (*drainFulfiller)->fulfill();
    }
    requestByExchange_.erase(found->second.exchange);
    activeRequests_.erase(found);
}

void EntryService::onCallerGone(ExchangeId exchange)
{
    const auto found = requestByExchange_.find(exchange);
    if (found == requestByExchange_.end()) {
        return;
    }
    const RequestId id = found->second;
    metrics_.count("seamarch_requests_total", "caller_gone");
    EntryActions actions;
    core_.onCallerGone(id, actions);
    endRequest(id);
    carryOut(actions);
}

void EntryService::onDrained(ExchangeId exchange)
{
    const auto found = requestByExchange_.find(exchange);
    if (found == requestByExchange_.end()) {
        return;
    }
    ActiveRequest &active = activeRequests_.at(found->second);
    KJ_IF_MAYBE (drainFulfiller, active.drainFulfiller) {
        (*drainFulfiller)->fulfill();
    }
    active.drainFulfiller = nullptr;
}

void EntryService::onHeartbeat(const InstanceId &agent, const AgentReport &report,
                               TimePoint requestedAt)
{
    EntryActions actions;
    core_.onReport(agent, report, requestedAt, loop_.now(), actions);
    carryOut(actions);
}

void EntryService::onAdmissionResult(RequestId id, const AdmissionResult &result)
{
    if (result.accepted) {
        core_.onAccepted(id, result.started);
        return;
    }
    EntryActions actions;
    core_.onRefused(id, result.failure, result.outcome, result.retryAfter, loop_.now(), actions);
    carryOut(actions);
}

void EntryService::onCallFailed(RequestId id, bool maybeSent)
{
    EntryActions actions;
    if (maybeSent) {
        core_.onConnectionLost(id, loop_.now(), actions);
    } else {
        core_.onNotWritten(id, loop_.now(), actions);
    }
    carryOut(actions);
}

void EntryService::onCancelResult(RequestId id, bool notRun)
{
    EntryActions actions;
    core_.onCancelled(id, notRun, loop_.now(), actions);
    carryOut(actions);
}

void EntryService::onWithdrawResult(RequestId id, const InstanceId &agent, bool notRun)
{
    EntryActions actions;
    core_.onWithdrawn(id, agent, notRun, loop_.now(), actions);
    carryOut(actions);
}

void EntryService::onFreeSlot(const InstanceId &agent, const AgentReport &report)
{
    EntryActions actions;
    core_.onFree(agent, report, loop_.now(), actions);
    carryOut(actions);
}

void EntryService::onLinkClosed(const InstanceId &agent)
{
    std::vector<RequestId> lost;
    for (const auto &[id, active] : activeRequests_) {
        if (active.agent == agent) {
            lost.push_back(id);
        }
    }
    EntryActions actions;
    for (const RequestId &id : lost) {
        core_.onConnectionLost(id, loop_.now(), actions);
    }
    carryOut(actions);
}

kj::Promise<void> EntryService::onPart(const InstanceId &agent, RequestId id,
                                       wire::Part::Reader part)
{
    const auto found = activeRequests_.find(id);
    if (part.getFailed()) {
        const auto failure = static_cast<FailureCode>(part.getFailure());
        if (found == activeRequests_.end() && failure == FailureCode::UpstreamEnded) {
            core_.onAbandonedCallCrashed(id, agent, loop_.now());
        }
        if (found == activeRequests_.end() || found->second.agent != agent) {
            return kj::READY_NOW;
        }
        EntryActions actions;
        const Outcome outcome = part.getNotRun() ? Outcome::NotRun : Outcome::Unknown;
        core_.onRefused(id, failure, outcome, Duration(part.getRetryAfterMicros()), loop_.now(),
                        actions);
        carryOut(actions);
        return kj::READY_NOW;
    }
    if (!core_.onAnswer(id, agent) || found == activeRequests_.end()) {
        metrics_.count("seamarch_requests_total", "dropped_part");
        return kj::READY_NOW;
    }
    return relay(id, found->second, part);
}

void EntryService::recordChunkLatency(ActiveRequest &active)
{
    const TimePoint now = loop_.now();
    const bool first = active.lastChunkAt == TimePoint{};
    const RequestStage stage = first ? RequestStage::FirstToken : RequestStage::BetweenTokens;
    const TimePoint since = first ? active.startedAt : active.lastChunkAt;
    metrics_.observe(stage, active.request.account, active.requestClass, now - since);
    active.lastChunkAt = now;
}

kj::Promise<void> EntryService::relay(RequestId id, ActiveRequest &active, wire::Part::Reader part)
{
    const std::string_view body = asStringView(part.getBody());
    HttpResponseHead head;
    if (part.getHasHead()) {
        head.status = part.getStatus();
        head.contentType = toString(part.getContentType());
        active.payload = {};
    }
    if (!body.empty()) {
        recordChunkLatency(active);
    }
    if (part.getHasHead() && part.getEnd()) {
        server_->respond(active.exchange, head, std::string(body));
    } else {
        if (part.getHasHead()) {
            server_->begin(active.exchange, head);
            active.headSent = true;
        }
        server_->write(active.exchange, body);
    }
    if (part.getEnd()) {
        server_->finish(active.exchange);
        metrics_.observe(RequestStage::Total, active.request.account, active.requestClass,
                         loop_.now() - active.startedAt);
        metrics_.count("seamarch_requests_total", "answered");
        ++answered_;
        core_.onComplete(id, active.agent, loop_.now());
        endRequest(id);
        return kj::READY_NOW;
    }
    if (server_->buffered(active.exchange) < kBufferHighWaterBytes) {
        return kj::READY_NOW;
    }
    auto paf = kj::newPromiseAndFulfiller<void>();
    active.drainFulfiller = kj::mv(paf.fulfiller);
    return kj::mv(paf.promise);
}

bool EntryService::ready(std::string &reason) const
{
    if (stopping_) {
        reason = "stopping";
        return false;
    }
    if (!knowledge_.configInForce()) {
        reason = "no configuration that is known to be the highest";
        return false;
    }
    if (!peers_->hallContacted()) {
        reason = "peers of the hall have not been heard";
        return false;
    }
    return true;
}

json EntryService::status() const
{
    std::string reason;
    const bool isReady = ready(reason);
    const DocumentVersions versions = knowledge_.versions();
    json agents = json::object();
    const TimePoint now = loop_.now();
    for (const auto &[id, member] : core_.members().members()) {
        agents[id.value()] = {{"mayReceive", core_.members().mayReceive(id, now)},
                              {"leaving", member.report.leaving},
                              {"queued", member.report.queuedRequests},
                              {"running", member.report.runningRequests},
                              {"configVersion", member.report.configVersion.value()}};
    }
    return {{"role", "entry"},
            {"instance", settings_.instance.value()},
            {"hall", settings_.hall.value()},
            {"ready", isReady},
            {"reason", reason},
            {"configVersion", versions.config},
            {"configFloor", versions.configFloor},
            {"listVersion", versions.list},
            {"conflicts", knowledge_.conflicts()},
            {"watchesPlatform", watcher_->active()},
            {"platformReachable", watcher_->reachable()},
            {"platformCalls", watcher_->calls()},
            {"inFlight", activeRequests_.size()},
            {"answered", answered_},
            {"retries", core_.retries()},
            {"moves", core_.moves()},
            {"links", links_.size()},
            {"rpcBytesIn", transport_->bytesIn()},
            {"rpcBytesOut", transport_->bytesOut()},
            {"droppedAnswers", core_.droppedAnswers()},
            {"agents", agents}};
}

void EntryService::stop()
{
    if (stopping_) {
        return;
    }
    stopping_ = true;
    stopStartedAt_ = loop_.now();
    logLine(LogLevel::Info, "entry.stopping", {{"inFlight", activeRequests_.size()}});
}

void EntryService::stopIfDrained()
{
    const Duration since = loop_.now() - stopStartedAt_;
    // The load balancer in front reacts to readiness with a delay, so new requests are still
    // served for `stopDelay`.
    if (since < settings_.stopDelay) {
        return;
    }
    server_->closeIdleConnections();
    const bool drained = activeRequests_.empty() && server_->isDrained();
    if (!drained && since < settings_.stopDeadline) {
        return;
    }
    logLine(LogLevel::Info, "entry.stopped", {{"cutOff", activeRequests_.size()}});
    loop_.stop();
}

} // namespace seamarch
