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

constexpr Duration kTick = std::chrono::milliseconds(100);
// What a slow caller may have waiting here; the agent holds back the rest.
constexpr std::size_t kBufferedHighWater = 32 * 1024;

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

json errorBody(FailureCode code, Outcome outcome, const std::string &detail)
{
    std::string message(advice(code));
    if (!detail.empty()) {
        message = detail + ". " + message;
    }
    return {{"error",
             {{"code", toString(code)},
              {"type", "seamarch_error"},
              {"message", message},
              {"outcome", toString(outcome)}}}};
}

std::string_view view(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

} // namespace

// The serving end for peer entries.
class EntryService::PeerEnd final : public PeerServer
{
public:
    PeerEnd(EntryService &service, Knowledge &knowledge, EventLoop &loop)
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
    CrashRecord *crashes() override { return &service_.core_.crashes(); }

    EntryService &service_;
};

EntryService::EntryService(EventLoop &loop, EntrySettings settings)
    : loop_(loop)
    , settings_(std::move(settings))
    , incarnation_(randomNonzeroId())
    , metrics_(settings_.maxAccountSeries)
    , changes_(loop)
    , filters_(makeCallerFilters(directory_))
    , core_(coreSettings(settings_, incarnation_), std::make_unique<ExpectedWaitRouter>())
{
    knowledge_.listen(*this);
    knowledge_.listen(changes_);
}

EntryService::~EntryService() = default;

tl::expected<std::unique_ptr<EntryService>, NetError> EntryService::create(EventLoop &loop,
                                                                           EntrySettings settings)
{
    std::unique_ptr<EntryService> service(new EntryService(loop, std::move(settings)));
    if (auto opened = service->open(); !opened) {
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
    operators_ = std::move(net->operators);
    HttpServerOptions options;
    options.address = settings_.listen;
    options.maxBodyBytes = settings_.maxBodyBytes;
    auto server = HttpServer::create(loop_, *this, std::move(options));
    if (!server) {
        return tl::unexpected(server.error());
    }
    server_ = std::move(*server);
    auto listening = transport_->listen(settings_.peerListen, [this](kj::Own<RawStream> stream) {
        const std::uint64_t id = nextIncoming_++;
        auto peer = RpcPeer::server(kj::mv(stream), kj::heap<PeerEnd>(*this, knowledge_, loop_));
        peer->onClosed([this, id] { loop_.post([this, id] { incoming_.erase(id); }); });
        incoming_.emplace(id, std::move(peer));
    });
    if (!listening) {
        return listening;
    }
    watcher_ = std::make_unique<PlatformWatcher>(loop_, *client_, knowledge_, settings_.platform,
                                                 incarnation_.value());
    peers_ = std::make_unique<PeerNetwork>(
        loop_, *transport_, knowledge_, core_.crashes(),
        PeerNetwork::Settings{settings_.instance, settings_.hall, incarnation_, settings_.lease});
    tickTimer_ = std::make_unique<PeriodicTimer>(loop_, kTick, [this] { tick(); });
    peerTimer_ =
        std::make_unique<PeriodicTimer>(loop_, settings_.heartbeat, [this] { peers_->tick(); });
    armHeartbeat();
    watcher_->setActive(true);
    return {};
}

void EntryService::onConfig(const ConfigDocument &document)
{
    directory_.applyConfig(document);
    core_.applyConfig(document);
    metrics_.set("seamarch_config_version", static_cast<double>(document.version.value()));
}

void EntryService::onInstances(const InstanceList &list)
{
    core_.applyList(list);
    // Links must not be taken away inside one of their own callbacks.
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
    // A link with requests in flight outlives the listing of its agent: no answer is cut off.
    std::erase_if(links_, [&](const auto &entry) {
        const bool busy = std::any_of(flights_.begin(), flights_.end(), [&](const auto &flight) {
            return flight.second.agent == entry.first;
        });
        return !chosen.contains(entry.first) && !busy;
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

void EntryService::armHeartbeat()
{
    const Duration period = heartbeatPeriod(links_.size(), settings_.heartbeat, {});
    heartbeatTimer_ = loop_.schedule(period, [this] {
        armHeartbeat();
        heartbeatAll();
    });
}

void EntryService::tick()
{
    EntryActions actions;
    core_.onTick(loop_.now(), actions);
    carryOut(actions);
    tellOfCrashes();
    watcher_->setActive(peers_->shouldWatch());
    if (stopping_) {
        stopIfDrained();
    }
}

// Others of the site wait for news of requests that end upstreams.
void EntryService::tellOfCrashes()
{
    if (core_.crashes().cursor() != toldCrashes_) {
        toldCrashes_ = core_.crashes().cursor();
        changes_.wake();
    }
    peers_->warn();
}

void EntryService::onRequest(ExchangeId exchange, HttpRequest request)
{
    std::string reason;
    if (!knowledge_.configInForce()) {
        answerFailure(exchange, FailureCode::EntryNotReady, Outcome::NotRun,
                      std::chrono::seconds(1), {});
        return;
    }
    CallerContext context{request, CallerRoute::Completion, nullptr, {}, {}, false, {}};
    for (const auto &filter : filters_) {
        if (const auto failure = filter->apply(context)) {
            answerFailure(exchange, failure->code, Outcome::NotRun, {}, failure->detail);
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
        beginFlight(exchange, context);
        return;
    }
}

void EntryService::serveModels(ExchangeId exchange)
{
    json models = json::array();
    for (const ModelConfig &model : directory_.models()) {
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
        answerFailure(exchange, FailureCode::NoUpstream, Outcome::NotRun, std::chrono::seconds(1),
                      {});
        return;
    }
    const std::size_t index = exchange % candidates.size();
    AgentLink *agent = link(candidates[index]->record.id);
    if (agent == nullptr) {
        answerFailure(exchange, FailureCode::NoUpstream, Outcome::NotRun, std::chrono::seconds(1),
                      {});
        return;
    }
    agent->issueTicket([this, exchange](const std::string &ticket) {
        if (ticket.empty()) {
            answerFailure(exchange, FailureCode::UpstreamUnreachable, Outcome::NotRun,
                          std::chrono::seconds(1), {});
            return;
        }
        server_->respond(exchange, {}, json{{"ticket", ticket}}.dump());
    });
}

void EntryService::beginFlight(ExchangeId exchange, CallerContext &context)
{
    Flight flight;
    flight.exchange = exchange;
    flight.request = context.request;
    flight.payload = std::move(context.payload);
    flight.requestClass = std::move(context.requestClass);
    flight.streamed = context.streamed;
    flight.startedAt = loop_.now();
    flight.request.digest =
        RequestDigest(sha256Prefix({flight.payload.method, flight.payload.path,
                                    flight.request.account.value(), flight.payload.body}));
    EntryActions actions;
    const RequestId id = core_.begin(flight.request, flight.startedAt, actions);
    metrics_.count("seamarch_requests_total", "received");
    byExchange_[exchange] = id;
    flights_.emplace(id, std::move(flight));
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
    const auto flight = flights_.find(action.id);
    if (flight == flights_.end()) {
        return;
    }
    flight->second.agent = action.agent;
    AgentLink *agent = link(action.agent);
    if (agent == nullptr) {
        loop_.post([this, id = action.id] { onCallFailed(id, false); });
        return;
    }
    agent->start(action, flight->second.request, flight->second.payload);
}

void EntryService::carryOut(const SendCancel &action)
{
    AgentLink *agent = link(action.agent);
    if (agent == nullptr) {
        loop_.post([this, id = action.id] { onCancelVerdict(id, false); });
        return;
    }
    agent->cancel(action);
}

void EntryService::carryOut(const SendWithdraw &action)
{
    AgentLink *agent = link(action.agent);
    if (agent == nullptr) {
        loop_.post([this, action] { onWithdrawVerdict(action.id, action.agent, false); });
        return;
    }
    agent->withdraw(action);
}

void EntryService::carryOut(const FailRequest &action)
{
    const auto found = flights_.find(action.id);
    if (found == flights_.end()) {
        return;
    }
    const Flight &flight = found->second;
    metrics_.count("seamarch_failures_total", toString(action.failure));
    metrics_.count("seamarch_outcomes_total", toString(action.outcome));
    if (action.failure == FailureCode::RequestEndsUpstreams) {
        logLine(LogLevel::Warning, "request.stopped",
                {{"digest", fmt::format("{:016x}", flight.request.digest.value())},
                 {"account", flight.request.account.value()},
                 {"ends", core_.crashes().crashCount(flight.request.digest)}});
    }
    if (flight.headSent) {
        breakOffStream(flight, action.failure, action.outcome);
    } else {
        answerFailure(flight.exchange, action.failure, action.outcome, action.retryAfter, {});
    }
    endFlight(action.id);
}

void EntryService::answerFailure(ExchangeId exchange, FailureCode code, Outcome outcome,
                                 Duration retryAfter, const std::string &detail)
{
    HttpResponseHead head;
    head.status = httpStatus(code);
    head.headers.push_back({"seamarch-outcome", std::string(toString(outcome))});
    if (retryAfter > Duration{}) {
        head.headers.push_back({"retry-after", retryAfterSeconds(retryAfter)});
    }
    server_->respond(exchange, head, errorBody(code, outcome, detail).dump());
}

void EntryService::breakOffStream(const Flight &flight, FailureCode code, Outcome outcome)
{
    if (flight.streamed) {
        const json body = errorBody(code, outcome, {});
        server_->write(flight.exchange, fmt::format("data: {}\n\n", body.dump()));
    }
    // Without the closing chunk the caller's library sees that the answer is not whole.
    server_->abort(flight.exchange);
}

void EntryService::endFlight(RequestId id)
{
    const auto found = flights_.find(id);
    if (found == flights_.end()) {
        return;
    }
    KJ_IF_MAYBE (waiting, found->second.waiting) {
        (*waiting)->fulfill();
    }
    byExchange_.erase(found->second.exchange);
    flights_.erase(found);
}

void EntryService::onCallerGone(ExchangeId exchange)
{
    const auto found = byExchange_.find(exchange);
    if (found == byExchange_.end()) {
        return;
    }
    const RequestId id = found->second;
    metrics_.count("seamarch_requests_total", "caller_gone");
    EntryActions actions;
    core_.onCallerGone(id, actions);
    endFlight(id);
    carryOut(actions);
}

void EntryService::onDrained(ExchangeId exchange)
{
    const auto found = byExchange_.find(exchange);
    if (found == byExchange_.end()) {
        return;
    }
    Flight &flight = flights_.at(found->second);
    KJ_IF_MAYBE (waiting, flight.waiting) {
        (*waiting)->fulfill();
    }
    flight.waiting = nullptr;
}

void EntryService::onHeartbeat(const InstanceId &agent, const AgentReport &report,
                               TimePoint askedAt)
{
    EntryActions actions;
    core_.onReport(agent, report, askedAt, loop_.now(), actions);
    carryOut(actions);
}

void EntryService::onVerdict(RequestId id, const AdmissionResult &verdict)
{
    if (verdict.accepted) {
        core_.onAccepted(id, verdict.started);
        return;
    }
    EntryActions actions;
    core_.onRefused(id, verdict.failure, verdict.outcome, verdict.retryAfter, loop_.now(), actions);
    carryOut(actions);
}

void EntryService::onCallFailed(RequestId id, bool written)
{
    EntryActions actions;
    if (written) {
        core_.onConnectionLost(id, loop_.now(), actions);
    } else {
        core_.onNotWritten(id, loop_.now(), actions);
    }
    carryOut(actions);
}

void EntryService::onCancelVerdict(RequestId id, bool notRun)
{
    EntryActions actions;
    core_.onCancelled(id, notRun, loop_.now(), actions);
    carryOut(actions);
}

void EntryService::onWithdrawVerdict(RequestId id, const InstanceId &agent, bool notRun)
{
    EntryActions actions;
    core_.onWithdrawn(id, agent, notRun, loop_.now(), actions);
    carryOut(actions);
}

void EntryService::onFree(const InstanceId &agent, const AgentReport &report)
{
    EntryActions actions;
    core_.onFree(agent, report, loop_.now(), actions);
    carryOut(actions);
}

void EntryService::onLinkClosed(const InstanceId &agent)
{
    std::vector<RequestId> lost;
    for (const auto &[id, flight] : flights_) {
        if (flight.agent == agent) {
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
    const auto found = flights_.find(id);
    if (part.getFailed()) {
        if (found == flights_.end() || found->second.agent != agent) {
            return kj::READY_NOW;
        }
        EntryActions actions;
        const Outcome outcome = part.getNotRun() ? Outcome::NotRun : Outcome::Unknown;
        core_.onRefused(id, static_cast<FailureCode>(part.getFailure()), outcome,
                        Duration(part.getRetryAfterMicros()), loop_.now(), actions);
        carryOut(actions);
        return kj::READY_NOW;
    }
    if (!core_.onAnswer(id, agent) || found == flights_.end()) {
        metrics_.count("seamarch_requests_total", "dropped_part");
        return kj::READY_NOW;
    }
    return relay(id, found->second, part);
}

void EntryService::onPieceTimes(Flight &flight)
{
    const TimePoint now = loop_.now();
    const bool first = flight.lastPieceAt == TimePoint{};
    const RequestStage stage = first ? RequestStage::FirstToken : RequestStage::BetweenTokens;
    const TimePoint since = first ? flight.startedAt : flight.lastPieceAt;
    metrics_.observe(stage, flight.request.account, flight.requestClass, now - since);
    flight.lastPieceAt = now;
}

kj::Promise<void> EntryService::relay(RequestId id, Flight &flight, wire::Part::Reader part)
{
    const std::string_view body = view(part.getBody());
    HttpResponseHead head;
    if (part.getHasHead()) {
        head.status = part.getStatus();
        head.contentType = toString(part.getContentType());
        flight.payload = {};
    }
    if (!body.empty()) {
        onPieceTimes(flight);
    }
    if (part.getHasHead() && part.getEnd()) {
        server_->respond(flight.exchange, head, std::string(body));
    } else {
        if (part.getHasHead()) {
            server_->begin(flight.exchange, head);
            flight.headSent = true;
        }
        server_->write(flight.exchange, body);
    }
    if (part.getEnd()) {
        server_->finish(flight.exchange);
        metrics_.observe(RequestStage::Total, flight.request.account, flight.requestClass,
                         loop_.now() - flight.startedAt);
        metrics_.count("seamarch_requests_total", "answered");
        ++answered_;
        core_.onComplete(id, flight.agent, loop_.now());
        endFlight(id);
        return kj::READY_NOW;
    }
    if (server_->buffered(flight.exchange) < kBufferedHighWater) {
        return kj::READY_NOW;
    }
    auto paf = kj::newPromiseAndFulfiller<void>();
    flight.waiting = kj::mv(paf.fulfiller);
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
    if (!peers_->hallHeard()) {
        reason = "peers of the hall have not been heard";
        return false;
    }
    return true;
}

json EntryService::status() const
{
    std::string reason;
    const bool isReady = ready(reason);
    const KnownVersions versions = knowledge_.versions();
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
            {"inFlight", flights_.size()},
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
    logLine(LogLevel::Info, "entry.stopping", {{"inFlight", flights_.size()}});
}

void EntryService::stopIfDrained()
{
    const Duration since = loop_.now() - stopStartedAt_;
    // The balancer lags behind the readiness, so new requests are served for a while.
    if (since < settings_.stopDelay) {
        return;
    }
    server_->closeIdle();
    const bool drained = flights_.empty() && server_->open() == 0;
    if (!drained && since < settings_.stopDeadline) {
        return;
    }
    logLine(LogLevel::Info, "entry.stopped", {{"cutOff", flights_.size()}});
    loop_.stop();
}

} // namespace seamarch
