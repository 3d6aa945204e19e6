#include "agent/agentservice.h"

#include "base/digest.h"
#include "base/log.h"
#include "base/untrustedjson.h"
#include "base/wallclock.h"
#include "net/retryafter.h"
#include "net/wireconvert.h"
#include "observe/processnetwork.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace seamarch {
namespace {

using nlohmann::json;

constexpr int kGrantRequestsPerLease = 3;
constexpr Duration kTickPeriod = std::chrono::milliseconds(100);
constexpr std::size_t kFreeSlotNotices = 4; // The number of entries told of a free slot.
// The pending answer size of one request above which reading from the upstream is paused.
constexpr std::size_t kPendingHighWaterBytes = 64 * 1024;
// Engines serve it without running anything; those that do not know it answer 404.
constexpr std::string_view kHealthPath = "/health";
constexpr std::string_view kEventPrefix = "data: ";
constexpr std::string_view kEventStreamType = "text/event-stream";

AgentCore::Settings coreSettings(const AgentSettings &settings, Incarnation incarnation)
{
    AgentCore::Settings core;
    core.self = settings.instance;
    core.incarnation = incarnation;
    core.seed = randomNonzeroId();
    core.slots = settings.slots;
    core.keyHome.lease = settings.lease;
    return core;
}

std::size_t countEvents(std::string_view piece)
{
    std::size_t count = 0;
    for (std::size_t at = piece.find(kEventPrefix); at != std::string_view::npos;
         at = piece.find(kEventPrefix, at + kEventPrefix.size())) {
        ++count;
    }
    return count;
}

} // namespace

// Serves the RPC calls on one connection, of an entry or of another agent.
class AgentService::AgentRpcServer final : public wire::Agent::Server, public PeerServer
{
public:
    AgentRpcServer(AgentService &service, ConnectionId connection)
        : PeerServer(service.knowledge_, service.changes_, service.loop_)
        , service_(service)
        , connection_(connection)
    {}

    kj::Promise<void> open(OpenContext context) override
    {
        const auto found = service_.connections_.find(connection_);
        if (found != service_.connections_.end()) {
            const auto params = context.getParams();
            found->second.sink = params.getSink();
            found->second.entry = Incarnation(params.getEntryIncarnation());
        }
        return kj::READY_NOW;
    }

    kj::Promise<void> start(StartContext context) override
    {
        const AdmissionResult result = service_.onStart(connection_, context.getParams().getCall());
        auto builder = context.getResults().initVerdict();
        builder.setAccepted(result.accepted);
        builder.setFailure(static_cast<std::uint16_t>(result.failure));
        builder.setNotRun(result.outcome == Outcome::NotRun);
        builder.setRetryAfterMicros(result.retryAfter.count());
        builder.setStarted(result.started);
        return kj::READY_NOW;
    }

    kj::Promise<void> cancel(CancelContext context) override
    {
        const auto params = context.getParams();
        const bool notRun = service_.onCancel(readRequestId(params.getId()),
                                              Incarnation(params.getAgentIncarnation()));
        context.getResults().setNotRun(notRun);
        return kj::READY_NOW;
    }

    kj::Promise<void> withdraw(WithdrawContext context) override
    {
        const auto params = context.getParams();
        const bool notRun = service_.onWithdraw(readRequestId(params.getId()),
                                                Incarnation(params.getAgentIncarnation()));
        context.getResults().setNotRun(notRun);
        return kj::READY_NOW;
    }

    kj::Promise<void> issueTicket(IssueTicketContext context) override
    {
        context.getResults().setTicket(formatTicket(service_.core_.issueTicket()));
        return kj::READY_NOW;
    }

    kj::Promise<void> turn(TurnContext context) override
    {
        const auto params = context.getParams();
        context.getResults().setGiven(service_.permitIssuer_.tryIssue(
            InstanceId(toString(params.getInstance())), Incarnation(params.getIncarnation()),
            params.getNumber()));
        return kj::READY_NOW;
    }

    kj::Promise<void> releaseTurn(ReleaseTurnContext context) override
    {
        const auto params = context.getParams();
        service_.permitIssuer_.release(InstanceId(toString(params.getInstance())),
                                       Incarnation(params.getIncarnation()), params.getNumber());
        return kj::READY_NOW;
    }

    kj::Promise<void> grant(GrantContext context) override
    {
        const auto params = context.getParams();
        const std::uint64_t set = params.getMemberSet();
        service_.permitIssuer_.onMemberState(InstanceId(toString(params.getInstance())),
                                             {Incarnation(params.getIncarnation()),
                                              params.getTurnsReleased(), params.getHoldsTurn()});
        context.getResults().setGranted(service_.core_.onGrantRequest(set, service_.loop_.now()));
        return kj::READY_NOW;
    }

private:
    void onPeerStatus(wire::Status::Reader status) override
    {
        // The platform confirmed the list `age` before the peer sent this status. The peer sent it
        // after receiving the clock value that it echoes, so the confirmation happened no earlier
        // than the echoed time minus `age`.
        const Duration age(status.getListAgeMicros());
        const bool same = status.getListVersion() == service_.knowledge_.versions().list;
        if (same && age >= Duration{} && status.getEchoMicros() != 0) {
            service_.core_.confirmKeyView(TimePoint(Duration(status.getEchoMicros())) - age);
        }
    }

    void fillStatus(wire::Status::Builder status) override
    {
        status.setInstance(service_.settings_.instance.value());
        writeReport(service_.core_.report(), status);
    }

    AgentService &service_;
    ConnectionId connection_;
};

// Passes the upstream's answer to the service with the request's id.
class AgentService::UpstreamReceiver final : public HttpCallReceiver
{
public:
    UpstreamReceiver(AgentService &service, RequestId id)
        : service_(service)
        , id_(id)
    {}

    void onHead(HttpHead head) override { service_.onUpstreamHead(id_, head); }

    void onPiece(std::string_view piece) override { service_.onUpstreamPiece(id_, piece); }

    void onEnd(HttpCallEnd end) override { service_.onUpstreamEnd(id_, end); }

private:
    AgentService &service_;
    RequestId id_;
};

// Receives what the upstream still sends for a call that the entry has cancelled.
class AgentService::AbandonedReceiver final : public HttpCallReceiver
{
public:
    AbandonedReceiver(AgentService &service, HttpCallId call, RequestId id, ConnectionId connection)
        : service_(service)
        , call_(call)
        , id_(id)
        , connection_(connection)
    {}

    void onHead(HttpHead head) override
    {
        service_.applyRetryAfter(head);
        service_.client_->cancel(call_);
    }
    void onPiece(std::string_view /*piece*/) override {}
    void onEnd(HttpCallEnd end) override
    {
        if (end == HttpCallEnd::Interrupted || end == HttpCallEnd::ReusedConnectionLost) {
            service_.probeAfterAbandonedCall(id_, connection_);
        }
    }

private:
    AgentService &service_;
    HttpCallId call_;
    RequestId id_;
    ConnectionId connection_;
};

AgentService::AgentService(EventLoop &loop, AgentSettings settings)
    : loop_(loop)
    , settings_(std::move(settings))
    , incarnation_(randomNonzeroId())
    , metrics_(settings_.maxAccountSeries)
    , changes_(loop)
    , core_(coreSettings(settings_, incarnation_), loop.now())
    , permitIssuer_(settings_.instance)
    , random_(incarnation_.value())
    , tasks_(*this)
{
    knowledge_.addListener(*this);
    knowledge_.addListener(changes_);
}

AgentService::~AgentService() noexcept = default;

tl::expected<std::unique_ptr<AgentService>, NetError> AgentService::create(EventLoop &loop,
                                                                           AgentSettings settings)
{
    std::unique_ptr<AgentService> service(new AgentService(loop, std::move(settings)));
    if (auto opened = service->open(); !opened) {
        loop.shutDown(); // Its sockets refer to parts of the service.
        return tl::unexpected(opened.error());
    }
    return service;
}

tl::expected<void, NetError> AgentService::open()
{
    auto net = openProcessNetwork(loop_, settings_.operatorListen, *this, metrics_);
    if (!net) {
        return tl::unexpected(net.error());
    }
    transport_ = std::move(net->transport);
    client_ = std::move(net->client);
    auto probe = UpstreamProbe::create(loop_);
    if (!probe) {
        return tl::unexpected(probe.error());
    }
    probe_ = std::move(*probe);
    operatorServer_ = std::move(net->operators);
    auto listening = transport_->listen(
        settings_.listen, [this](kj::Own<RawStream> stream) { accept(kj::mv(stream)); });
    if (!listening) {
        return listening;
    }
    engineReloader_ =
        std::make_unique<EngineReloader>(loop_, *client_, static_cast<EngineReloaderHost &>(*this),
                                         settings_.instance, settings_.upstream);
    grantNetwork_ = std::make_unique<GrantNetwork>(GrantNetwork::Context{
        loop_, *transport_, core_, permitIssuer_, engineReloader_->permitCollector(),
        settings_.instance, incarnation_, settings_.hall});
    grantTimer_ =
        std::make_unique<PeriodicTimer>(loop_, settings_.lease / kGrantRequestsPerLease, [this] {
            grantNetwork_->tick();
            grantNetwork_->requestPermit();
            engineReloader_->tick();
        });
    tickTimer_ = std::make_unique<PeriodicTimer>(loop_, kTickPeriod, [this] { tick(); });
    return {};
}

void AgentService::accept(kj::Own<RawStream> stream)
{
    const ConnectionId id = nextConnection_++;
    Connection &connection = connections_[id];
    connection.peer = RpcPeer::server(kj::mv(stream), kj::heap<AgentRpcServer>(*this, id));
    connection.peer->onClosed([this, id] { loop_.post([this, id] { onConnectionClosed(id); }); });
}

void AgentService::onConnectionClosed(ConnectionId connection)
{
    connections_.erase(connection);
    // The entry has ended or will send its requests again, so nobody receives these answers. Queued
    // requests are removed. Running ones are aborted: either their callers' connections to the
    // entry have closed, or the entry learns that they may have run.
    std::vector<RequestId> orphans;
    for (const auto &[id, active] : activeRequests_) {
        if (active.connection == connection) {
            orphans.push_back(id);
        }
    }
    for (const RequestId &id : orphans) {
        AgentActions actions;
        core_.onCancel(id, incarnation_, loop_.now(), actions);
        carryOut(actions);
        activeRequests_.erase(id);
    }
}

AdmissionResult AgentService::onStart(ConnectionId connection, wire::Call::Reader call)
{
    AgentCall agentCall;
    agentCall.id = readRequestId(call.getId());
    agentCall.account = AccountId(toString(call.getAccount()));
    agentCall.target = TargetName(toString(call.getTarget()));
    agentCall.priority = call.getPriority();
    agentCall.promptTokens = call.getPromptTokens();
    agentCall.answerTokens = call.getMaxTokens();
    agentCall.deadline = Duration(call.getDeadlineMicros());
    agentCall.agentIncarnation = Incarnation(call.getAgentIncarnation());
    agentCall.callerKey = toString(call.getCallerKey());
    if (call.getTicket().size() > 0) {
        agentCall.ticket = parseTicket(toString(call.getTicket()));
    }
    AgentActions actions;
    const AdmissionResult result = core_.onCall(agentCall, loop_.now(), wallClockNow(), actions);
    metrics_.count("seamarch_agent_calls_total",
                   result.accepted ? "accepted" : toString(result.failure));
    if (!result.accepted) {
        return result;
    }
    ActiveRequest &active = activeRequests_[agentCall.id];
    active.connection = connection;
    active.account = agentCall.account;
    active.arrivedAt = loop_.now();
    active.call.address = settings_.upstream;
    active.call.method = toString(call.getMethod());
    active.call.path = toString(call.getPath());
    active.call.contentType = toString(call.getContentType());
    const auto body = call.getBody();
    active.call.body =
        SharedText(std::string(reinterpret_cast<const char *>(body.begin()), body.size()));
    carryOut(actions);
    return result;
}

bool AgentService::onCancel(RequestId id, Incarnation targetIncarnation)
{
    AgentActions actions;
    const bool notRun = core_.onCancel(id, targetIncarnation, loop_.now(), actions);
    carryOut(actions);
    if (targetIncarnation == incarnation_) {
        activeRequests_.erase(id);
    }
    return notRun;
}

bool AgentService::onWithdraw(RequestId id, Incarnation targetIncarnation)
{
    const bool notRun = core_.onWithdraw(id, targetIncarnation);
    if (notRun) {
        activeRequests_.erase(id);
    }
    return notRun;
}

void AgentService::carryOut(const AgentActions &actions)
{
    for (const AgentAction &action : actions) {
        std::visit([this](const auto &each) { carryOut(each); }, action);
    }
}

void AgentService::carryOut(const StartUpstream &action)
{
    const auto found = activeRequests_.find(action.id);
    if (found == activeRequests_.end()) {
        return;
    }
    ActiveRequest &active = found->second;
    metrics_.observe(RequestStage::QueueWait, active.account, "all",
                     loop_.now() - active.arrivedAt);
    active.httpCall =
        client_->call(std::move(active.call), std::make_unique<UpstreamReceiver>(*this, action.id));
    active.call = HttpCallRequest();
}

void AgentService::carryOut(const AbortUpstream &action)
{
    const auto found = activeRequests_.find(action.id);
    if (found != activeRequests_.end() && found->second.httpCall != 0) {
        const HttpCallId call = found->second.httpCall;
        client_->abandon(
            call, kAbandonTimes,
            std::make_unique<AbandonedReceiver>(*this, call, action.id, found->second.connection));
    }
}

void AgentService::carryOut(const ReportNotRun &action)
{
    sendFailure(action.id, action.failure, Outcome::NotRun, action.retryAfter);
}

void AgentService::carryOut(const AnnounceFreeSlot & /*action*/)
{
    // Notifies a few random entries, enough that one of them has a waiting request.
    std::vector<Connection *> entries;
    for (auto &[id, connection] : connections_) {
        if (connection.sink != nullptr) {
            entries.push_back(&connection);
        }
    }
    for (std::size_t notice = 0; notice < kFreeSlotNotices && !entries.empty(); ++notice) {
        std::uniform_int_distribution<std::size_t> distribution(0, entries.size() - 1);
        const std::size_t index = distribution(random_);
        KJ_IF_MAYBE (sink, entries[index]->sink) {
            auto request = sink->freeRequest();
            writeReport(core_.report(), request.initStatus());
            tasks_.add(request.send().ignoreResult());
        }
        entries.erase(entries.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

void AgentService::onUpstreamHead(RequestId id, const HttpHead &head)
{
    applyRetryAfter(head);
    const auto found = activeRequests_.find(id);
    if (found == activeRequests_.end()) {
        return;
    }
    ActiveRequest &active = found->second;
    active.headReceived = true;
    active.status = head.status;
    active.contentType = findHeader(head.headers, "content-type");
    active.streamed = active.contentType.starts_with(kEventStreamType);
}

// Starts a backoff if the answer's head asks for one. The answer itself is relayed to its caller
// like any other.
void AgentService::applyRetryAfter(const HttpHead &head)
{
    const RetryAfter retryAfter = readRetryAfter(head.status, head.headers);
    if (!retryAfter.delay && !retryAfter.invalid) {
        return;
    }
    metrics_.count("seamarch_upstream_notices_total", retryAfter.delay ? "rest" : "unreadable");
    logLine(LogLevel::Info, "upstream.notice",
            {{"upstream", settings_.instance.value()},
             {"status", head.status},
             {"restMs", retryAfter.delay ? json(toMillis(*retryAfter.delay)) : json()},
             {"restUnreadable", retryAfter.invalid}});
    if (retryAfter.delay) {
        AgentActions actions;
        core_.backOffUntil(loop_.now() + *retryAfter.delay, loop_.now(), actions);
        carryOut(actions);
    }
}

void AgentService::onUpstreamPiece(RequestId id, std::string_view piece)
{
    const auto found = activeRequests_.find(id);
    if (found == activeRequests_.end()) {
        return;
    }
    ActiveRequest &active = found->second;
    active.pending += piece;
    if (active.streamed) {
        core_.onTokens(id, countEvents(piece));
    }
    if (active.pending.size() > kPendingHighWaterBytes && !active.paused) {
        active.paused = true;
        client_->pause(active.httpCall, true);
    }
    scheduleFlush(id);
}

void AgentService::countUsageTokens(RequestId id, const ActiveRequest &active)
{
    const auto answer = parseUntrustedJson(active.pending);
    if (!answer || !answer->is_object()) {
        return;
    }
    const auto usage = answer->find("usage");
    if (usage == answer->end() || !usage->is_object()) {
        return;
    }
    const auto tokens = usage->find("completion_tokens");
    if (tokens != usage->end() && tokens->is_number_unsigned()) {
        core_.onTokens(id, tokens->get<Tokens>());
    }
}

void AgentService::onUpstreamEnd(RequestId id, HttpCallEnd end)
{
    const auto found = activeRequests_.find(id);
    if (found == activeRequests_.end()) {
        return;
    }
    ActiveRequest &active = found->second;
    AgentActions actions;
    if (end == HttpCallEnd::NotSent) {
        core_.onNotStarted(id, loop_.now(), actions);
        carryOut(actions);
        return;
    }
    if (isComplete(end) && !active.streamed) {
        countUsageTokens(id, active);
    }
    core_.onEnded(id, loop_.now(), actions);
    ++finished_;
    if (end == HttpCallEnd::Complete && active.headReceived) {
        finishAnswer(id);
    } else if (end == HttpCallEnd::ClosedByPeer && active.headReceived) {
        confirmAnswer(id);
    } else if (end == HttpCallEnd::Interrupted || end == HttpCallEnd::ReusedConnectionLost) {
        probeUpstream(id);
    } else {
        sendFailure(id, FailureCode::UpstreamFailed, Outcome::Unknown, {});
    }
    carryOut(actions);
}

void AgentService::finishAnswer(RequestId id)
{
    const auto found = activeRequests_.find(id);
    if (found != activeRequests_.end()) {
        found->second.ended = true;
        scheduleFlush(id);
    }
}

// Finishes an answer that ended with its connection, unless the upstream has crashed: the kernel
// closes the connections of a crashed process in the same order as the upstream would.
void AgentService::confirmAnswer(RequestId id)
{
    probeUpstream(id, [this, id](bool hasEnded) {
        if (hasEnded) {
            sendFailure(id, FailureCode::UpstreamEnded, Outcome::Unknown, {});
        } else {
            finishAnswer(id);
        }
    });
}

// Probes the upstream after a connection broke, and reports to the entry whether the upstream only
// interrupted this request or its process has ended. A request that crashed this upstream would
// crash the next one as well, so the entry must be able to tell.
void AgentService::probeUpstream(RequestId id)
{
    probeUpstream(id, [this, id](bool hasEnded) {
        sendFailure(id, hasEnded ? FailureCode::UpstreamEnded : FailureCode::UpstreamFailed,
                    Outcome::Unknown, {});
    });
}

// Probes the upstream after it closed a cancelled call without an answer, and reports its end to
// the entry: the call may have crashed it.
void AgentService::probeAfterAbandonedCall(RequestId id, ConnectionId connection)
{
    loop_.schedule(kAbandonedProbeDelay, [this, id, connection] {
        probeUpstream(id, [this, id, connection](bool hasEnded) {
            if (hasEnded) {
                sendFailure(connection, id, FailureCode::UpstreamEnded, Outcome::Unknown, {});
            }
        });
    });
}

void AgentService::probeUpstream(RequestId id, std::function<void(bool)> onResult)
{
    const UpstreamQuestion question{std::string(kHealthPath), {}};
    probe_->probe(
        settings_.upstream, question,
        [this, id, onResult = std::move(onResult)](UpstreamProbeResult state) {
            metrics_.count("seamarch_upstreams_that_lost_requests_total", toString(state));
            logLine(
                LogLevel::Info, "upstream.probed",
                {{"request", id.counter}, {"entry", id.entry.value()}, {"state", toString(state)}});
            onResult(isEnd(state));
        });
}

void AgentService::sendFailure(RequestId id, FailureCode failure, Outcome outcome,
                               Duration retryAfter)
{
    const auto found = activeRequests_.find(id);
    if (found == activeRequests_.end()) {
        return;
    }
    const ConnectionId connection = found->second.connection;
    activeRequests_.erase(found);
    sendFailure(connection, id, failure, outcome, retryAfter);
}

void AgentService::sendFailure(ConnectionId entry, RequestId id, FailureCode failure,
                               Outcome outcome, Duration retryAfter)
{
    const auto connection = connections_.find(entry);
    if (connection == connections_.end()) {
        return;
    }
    KJ_IF_MAYBE (sink, connection->second.sink) {
        auto request = sink->partRequest();
        writeRequestId(id, request.initId());
        auto part = request.initPart();
        part.setFailed(true);
        part.setFailure(static_cast<std::uint16_t>(failure));
        part.setNotRun(outcome == Outcome::NotRun);
        part.setRetryAfterMicros(retryAfter.count());
        tasks_.add(request.send().ignoreResult());
    }
}

void AgentService::scheduleFlush(RequestId id)
{
    // Deferred, so that the head, body and end of a short answer, which arrive in one iteration of
    // the event loop, are sent as one part.
    loop_.post([this, id] { flush(id); });
}

void AgentService::flush(RequestId id)
{
    const auto found = activeRequests_.find(id);
    if (found == activeRequests_.end() || found->second.partInFlight
        || !found->second.headReceived) {
        return;
    }
    ActiveRequest &active = found->second;
    if (active.headSent && active.pending.empty() && !active.ended) {
        return;
    }
    const auto connection = connections_.find(active.connection);
    if (connection == connections_.end()) {
        return;
    }
    KJ_IF_MAYBE (sink, connection->second.sink) {
        auto request = sink->partRequest();
        writeRequestId(id, request.initId());
        auto part = request.initPart();
        if (!active.headSent) {
            part.setHasHead(true);
            part.setStatus(static_cast<std::uint16_t>(active.status));
            part.setContentType(active.contentType);
        }
        part.setBody(kj::arrayPtr(reinterpret_cast<const kj::byte *>(active.pending.data()),
                                  active.pending.size()));
        part.setEnd(active.ended);
        active.headSent = true;
        active.pending.clear();
        if (active.ended) {
            activeRequests_.erase(found);
            tasks_.add(request.send().ignoreResult());
            return;
        }
        active.partInFlight = true;
        tasks_.add(request.send().then(
            [this, id](capnp::Response<wire::AnswerSink::PartResults> && /*answer*/) {
                onPartAcknowledged(id);
            }));
    }
}

void AgentService::onPartAcknowledged(RequestId id)
{
    const auto found = activeRequests_.find(id);
    if (found == activeRequests_.end()) {
        return;
    }
    ActiveRequest &active = found->second;
    active.partInFlight = false;
    if (active.paused) {
        active.paused = false;
        client_->pause(active.httpCall, false);
    }
    flush(id);
}

void AgentService::setServing(bool serving)
{
    AgentActions actions;
    core_.setServing(serving, actions);
    carryOut(actions);
}

void AgentService::releasePermit(const InstanceId &member)
{
    grantNetwork_->releasePermit(member);
}

void AgentService::updateTarget()
{
    const auto &instances = knowledge_.list().instances;
    const auto selfRecord =
        std::find_if(instances.begin(), instances.end(),
                     [this](const auto &record) { return record.id == settings_.instance; });
    if (selfRecord == instances.end() || selfRecord->serves.empty()
        || !knowledge_.configInForce()) {
        return;
    }
    for (const ModelConfig &model : knowledge_.config().models) {
        if (model.name == selfRecord->serves.front()) {
            engineReloader_->setTarget(model.version, knowledge_.config().version);
            grantNetwork_->setMinServing(model.minServing);
        }
    }
}

void AgentService::onConfig(const ConfigDocument &document)
{
    core_.applyConfig(document);
    loop_.post([this] { updateTarget(); });
    metrics_.set("seamarch_config_version", static_cast<double>(document.version.value()));
}

void AgentService::onInstances(const InstanceList &list)
{
    // Deferred, since a link must not be destroyed in one of its own callbacks.
    loop_.post([this] {
        grantNetwork_->setInstances(knowledge_.list());
        updateTarget();
    });
    const auto selfRecord = std::find_if(
        list.instances.begin(), list.instances.end(),
        [this](const InstanceRecord &record) { return record.id == settings_.instance; });
    const bool leaving =
        selfRecord != list.instances.end() && selfRecord->state == InstanceState::Leaving;
    if (!leaving || core_.leaving()) {
        return;
    }
    AgentActions actions;
    core_.leave(actions);
    carryOut(actions);
}

bool AgentService::ready(std::string &reason) const
{
    if (core_.leaving()) {
        reason = "leaving";
        return false;
    }
    return true;
}

json AgentService::status() const
{
    const AgentReport report = core_.report();
    const DocumentVersions versions = knowledge_.versions();
    return {{"role", "agent"},
            {"instance", settings_.instance.value()},
            {"hall", settings_.hall.value()},
            {"ready", !core_.leaving()},
            {"configVersion", versions.config},
            {"listVersion", versions.list},
            {"queued", report.queuedRequests},
            {"running", report.runningRequests},
            {"tokensPerSecond", report.tokensPerSecond},
            {"connections", connections_.size()},
            {"ledger", core_.ledger().size()},
            {"rpcBytesIn", transport_->bytesIn()},
            {"rpcBytesOut", transport_->bytesOut()},
            {"keyHome", core_.holdsAllGrants(loop_.now())},
            {"engineVersion", engineReloader_->engineVersion()},
            {"reloading", engineReloader_->reloading()},
            {"finished", finished_}};
}

void AgentService::taskFailed(kj::Exception &&exception)
{
    logLine(LogLevel::Debug, "agent.task-failed", {{"message", exception.getDescription().cStr()}});
}

void AgentService::tick()
{
    AgentActions actions;
    core_.onTick(loop_.now(), actions);
    carryOut(actions);
    if (stopping_) {
        stopIfDrained();
    }
}

void AgentService::stop()
{
    if (stopping_) {
        return;
    }
    stopping_ = true;
    stopStartedAt_ = loop_.now();
    logLine(LogLevel::Info, "agent.stopping", {{"inFlight", activeRequests_.size()}});
    AgentActions actions;
    core_.leave(actions);
    carryOut(actions);
}

void AgentService::stopIfDrained()
{
    const Duration since = loop_.now() - stopStartedAt_;
    // For one lease the agent stays up, so that entries learn from a heartbeat that it is leaving
    // and get answers to the requests that they sent before.
    const bool announced = since >= settings_.lease;
    const bool drained = announced && core_.idle() && activeRequests_.empty();
    if (!drained && since < settings_.stopDeadline) {
        return;
    }
    logLine(LogLevel::Info, "agent.stopped", {{"cutOff", activeRequests_.size()}});
    loop_.stop();
}

} // namespace seamarch
