#include "agent/agentservice.h"

#include "base/digest.h"
#include "base/log.h"
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

constexpr int kGrantsPerLease = 3;
constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr std::size_t kFreeNotices = 4; // Entries that hear of a free slot.
// What may wait for an entry that lags; beyond it the upstream is not read.
constexpr std::size_t kPendingHighWater = 64 * 1024;
constexpr std::string_view kEventPrefix = "data: ";
constexpr std::string_view kEventStream = "text/event-stream";

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

// The serving end for one entry.
class AgentService::AgentEnd final : public wire::Agent::Server, public PeerServer
{
public:
    AgentEnd(AgentService &service, ConnectionId connection)
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
        const AdmissionResult verdict =
            service_.onStart(connection_, context.getParams().getCall());
        auto builder = context.getResults().initVerdict();
        builder.setAccepted(verdict.accepted);
        builder.setFailure(static_cast<std::uint16_t>(verdict.failure));
        builder.setNotRun(verdict.outcome == Outcome::NotRun);
        builder.setRetryAfterMicros(verdict.retryAfter.count());
        builder.setStarted(verdict.started);
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
        context.getResults().setGiven(
            service_.turnBook_.tryIssue(InstanceId(toString(params.getInstance())),
                                        Incarnation(params.getIncarnation()), params.getNumber()));
        return kj::READY_NOW;
    }

    kj::Promise<void> releaseTurn(ReleaseTurnContext context) override
    {
        const auto params = context.getParams();
        service_.turnBook_.release(InstanceId(toString(params.getInstance())),
                                   Incarnation(params.getIncarnation()), params.getNumber());
        return kj::READY_NOW;
    }

    kj::Promise<void> grant(GrantContext context) override
    {
        const auto params = context.getParams();
        const std::uint64_t set = params.getMemberSet();
        service_.turnBook_.onMemberState(InstanceId(toString(params.getInstance())),
                                         {Incarnation(params.getIncarnation()),
                                          params.getTurnsReleased(), params.getHoldsTurn()});
        context.getResults().setGranted(service_.core_.onGrantRequest(set, service_.loop_.now()));
        return kj::READY_NOW;
    }

private:
    void onPeerStatus(wire::Status::Reader status) override
    {
        // The list was confirmed `age` before the peer sent this, and it sent this after it heard
        // the clock that it echoes; so the confirmation is no older than that.
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

// Hands the upstream's answer to the service under the request's id.
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

AgentService::AgentService(EventLoop &loop, AgentSettings settings)
    : loop_(loop)
    , settings_(std::move(settings))
    , incarnation_(randomNonzeroId())
    , metrics_(settings_.maxAccountSeries)
    , changes_(loop)
    , core_(coreSettings(settings_, incarnation_), loop.now())
    , turnBook_(settings_.instance)
    , random_(incarnation_.value())
    , tasks_(*this)
{
    knowledge_.listen(*this);
    knowledge_.listen(changes_);
}

AgentService::~AgentService() noexcept = default;

tl::expected<std::unique_ptr<AgentService>, NetError> AgentService::create(EventLoop &loop,
                                                                           AgentSettings settings)
{
    std::unique_ptr<AgentService> service(new AgentService(loop, std::move(settings)));
    if (auto opened = service->open(); !opened) {
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
    operators_ = std::move(net->operators);
    auto listening = transport_->listen(
        settings_.listen, [this](kj::Own<RawStream> stream) { accept(kj::mv(stream)); });
    if (!listening) {
        return listening;
    }
    orders_ = std::make_unique<OrderDriver>(loop_, *client_, static_cast<OrderHost &>(*this),
                                            settings_.instance, settings_.upstream);
    grants_ = std::make_unique<GrantNetwork>(
        GrantNetwork::Context{loop_, *transport_, core_, turnBook_, orders_->turns(),
                              settings_.instance, incarnation_, settings_.hall});
    grantTimer_ = std::make_unique<PeriodicTimer>(loop_, settings_.lease / kGrantsPerLease, [this] {
        grants_->tick();
        grants_->askTurn();
        orders_->tick();
    });
    tickTimer_ = std::make_unique<PeriodicTimer>(loop_, kTick, [this] { tick(); });
    return {};
}

void AgentService::accept(kj::Own<RawStream> stream)
{
    const ConnectionId id = nextConnection_++;
    Connection &connection = connections_[id];
    connection.peer = RpcPeer::server(kj::mv(stream), kj::heap<AgentEnd>(*this, id));
    connection.peer->onClosed([this, id] { loop_.post([this, id] { onConnectionClosed(id); }); });
}

void AgentService::onConnectionClosed(ConnectionId connection)
{
    connections_.erase(connection);
    // The entry is gone or will ask anew; nobody is left to take these answers. A request that has
    // not started is withdrawn. One that runs is broken off: its caller's connection ended at the
    // entry, or the entry will hear 'may have run'.
    std::vector<RequestId> orphans;
    for (const auto &[id, job] : jobs_) {
        if (job.connection == connection) {
            orphans.push_back(id);
        }
    }
    for (const RequestId &id : orphans) {
        AgentActions actions;
        core_.onCancel(id, incarnation_, loop_.now(), actions);
        carryOut(actions);
        jobs_.erase(id);
    }
}

AdmissionResult AgentService::onStart(ConnectionId connection, wire::Call::Reader call)
{
    AgentCall decided;
    decided.id = readRequestId(call.getId());
    decided.account = AccountId(toString(call.getAccount()));
    decided.target = TargetName(toString(call.getTarget()));
    decided.priority = call.getPriority();
    decided.promptTokens = call.getPromptTokens();
    decided.answerTokens = call.getMaxTokens();
    decided.deadline = Duration(call.getDeadlineMicros());
    decided.agentIncarnation = Incarnation(call.getAgentIncarnation());
    decided.callerKey = toString(call.getCallerKey());
    if (call.getTicket().size() > 0) {
        decided.ticket = parseTicket(toString(call.getTicket()));
    }
    AgentActions actions;
    const AdmissionResult verdict = core_.onCall(decided, loop_.now(), wallClockNow(), actions);
    metrics_.count("seamarch_agent_calls_total",
                   verdict.accepted ? "accepted" : toString(verdict.failure));
    if (!verdict.accepted) {
        return verdict;
    }
    Job &job = jobs_[decided.id];
    job.connection = connection;
    job.account = decided.account;
    job.arrivedAt = loop_.now();
    job.call.address = settings_.upstream;
    job.call.method = toString(call.getMethod());
    job.call.path = toString(call.getPath());
    job.call.contentType = toString(call.getContentType());
    const auto body = call.getBody();
    job.call.body.assign(reinterpret_cast<const char *>(body.begin()), body.size());
    carryOut(actions);
    return verdict;
}

bool AgentService::onCancel(RequestId id, Incarnation meant)
{
    AgentActions actions;
    const bool notRun = core_.onCancel(id, meant, loop_.now(), actions);
    carryOut(actions);
    if (meant == incarnation_) {
        jobs_.erase(id);
    }
    return notRun;
}

bool AgentService::onWithdraw(RequestId id, Incarnation meant)
{
    const bool notRun = core_.onWithdraw(id, meant);
    if (notRun) {
        jobs_.erase(id);
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
    const auto found = jobs_.find(action.id);
    if (found == jobs_.end()) {
        return;
    }
    Job &job = found->second;
    metrics_.observe(RequestStage::QueueWait, job.account, "all", loop_.now() - job.arrivedAt);
    job.httpCall =
        client_->call(std::move(job.call), std::make_unique<UpstreamReceiver>(*this, action.id));
    job.call = HttpCallRequest();
}

void AgentService::carryOut(const AbortUpstream &action)
{
    const auto found = jobs_.find(action.id);
    if (found != jobs_.end() && found->second.httpCall != 0) {
        client_->cancel(found->second.httpCall);
    }
}

void AgentService::carryOut(const ReportNotRun &action)
{
    sendFailure(action.id, action.failure, Outcome::NotRun, action.retryAfter);
}

void AgentService::carryOut(const AnnounceFreeSlot & /*action*/)
{
    // A few entries drawn at random hear of it: enough that one of them has a request that waits.
    std::vector<Connection *> entries;
    for (auto &[id, connection] : connections_) {
        if (connection.sink != nullptr) {
            entries.push_back(&connection);
        }
    }
    for (std::size_t notice = 0; notice < kFreeNotices && !entries.empty(); ++notice) {
        std::uniform_int_distribution<std::size_t> draw(0, entries.size() - 1);
        const std::size_t index = draw(random_);
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
    takeRestWish(head);
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return;
    }
    Job &job = found->second;
    job.headReady = true;
    job.status = head.status;
    job.contentType = findHeader(head.headers, "content-type");
    job.streamed = job.contentType.starts_with(kEventStream);
}

// The upstream may ask for rest in an answer. The answer itself goes to its caller like any other.
void AgentService::takeRestWish(const HttpHead &head)
{
    const RetryAfter wish = readRetryAfter(head.status, head.headers);
    if (!wish.rest && !wish.unreadable) {
        return;
    }
    metrics_.count("seamarch_upstream_notices_total", wish.rest ? "rest" : "unreadable");
    logLine(LogLevel::Info, "upstream.notice",
            {{"upstream", settings_.instance.value()},
             {"status", head.status},
             {"restMs", wish.rest ? json(toMillis(*wish.rest)) : json()},
             {"restUnreadable", wish.unreadable}});
    if (wish.rest) {
        AgentActions actions;
        core_.backOffUntil(loop_.now() + *wish.rest, loop_.now(), actions);
        carryOut(actions);
    }
}

void AgentService::onUpstreamPiece(RequestId id, std::string_view piece)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return;
    }
    Job &job = found->second;
    job.pending += piece;
    if (job.streamed) {
        core_.onTokens(id, countEvents(piece));
    }
    if (job.pending.size() > kPendingHighWater && !job.paused) {
        job.paused = true;
        client_->pause(job.httpCall, true);
    }
    flushLater(id);
}

void AgentService::countWholeAnswer(RequestId id, const Job &job)
{
    const json answer = json::parse(job.pending, nullptr, false);
    const auto usage = answer.is_object() ? answer.find("usage") : answer.end();
    if (answer.is_object() && usage != answer.end() && usage->is_object()) {
        core_.onTokens(id, usage->value("completion_tokens", 0U));
    }
}

void AgentService::onUpstreamEnd(RequestId id, HttpCallEnd end)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return;
    }
    Job &job = found->second;
    AgentActions actions;
    if (end == HttpCallEnd::NotSent) {
        core_.onNotStarted(id, loop_.now(), actions);
        carryOut(actions);
        return;
    }
    if (end == HttpCallEnd::Complete && !job.streamed) {
        countWholeAnswer(id, job);
    }
    core_.onEnded(id, loop_.now(), actions);
    ++finished_;
    if (end == HttpCallEnd::Complete && job.headReady) {
        job.ended = true;
        flushLater(id);
    } else if (end == HttpCallEnd::Interrupted || end == HttpCallEnd::KeptLost) {
        askAfterUpstream(id);
    } else {
        sendFailure(id, FailureCode::UpstreamFailed, Outcome::Unknown, {});
    }
    carryOut(actions);
}

// An entry must know whether the upstream broke off this request or ended with all that it had: the
// same request would end the next one as well.
void AgentService::askAfterUpstream(RequestId id)
{
    probe_->ask(settings_.upstream, [this, id](UpstreamState state) {
        metrics_.count("seamarch_upstreams_that_lost_requests_total", toString(state));
        logLine(LogLevel::Info, "upstream.probed",
                {{"request", id.counter}, {"entry", id.entry.value()}, {"state", toString(state)}});
        const bool ended = state == UpstreamState::Ended;
        sendFailure(id, ended ? FailureCode::UpstreamEnded : FailureCode::UpstreamFailed,
                    Outcome::Unknown, {});
    });
}

void AgentService::sendFailure(RequestId id, FailureCode failure, Outcome outcome,
                               Duration retryAfter)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return;
    }
    const auto connection = connections_.find(found->second.connection);
    jobs_.erase(found);
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

void AgentService::flushLater(RequestId id)
{
    // Head, body and end of a short answer arrive in one turn and leave as one part.
    loop_.post([this, id] { flush(id); });
}

void AgentService::flush(RequestId id)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.partInFlight || !found->second.headReady) {
        return;
    }
    Job &job = found->second;
    if (job.headSent && job.pending.empty() && !job.ended) {
        return;
    }
    const auto connection = connections_.find(job.connection);
    if (connection == connections_.end()) {
        return;
    }
    KJ_IF_MAYBE (sink, connection->second.sink) {
        auto request = sink->partRequest();
        writeRequestId(id, request.initId());
        auto part = request.initPart();
        if (!job.headSent) {
            part.setHasHead(true);
            part.setStatus(static_cast<std::uint16_t>(job.status));
            part.setContentType(job.contentType);
        }
        part.setBody(kj::arrayPtr(reinterpret_cast<const kj::byte *>(job.pending.data()),
                                  job.pending.size()));
        part.setEnd(job.ended);
        job.headSent = true;
        job.pending.clear();
        if (job.ended) {
            jobs_.erase(found);
            tasks_.add(request.send().ignoreResult());
            return;
        }
        job.partInFlight = true;
        tasks_.add(request.send().then(
            [this, id](capnp::Response<wire::AnswerSink::PartResults> && /*answer*/) {
                onPartTaken(id);
            }));
    }
}

void AgentService::onPartTaken(RequestId id)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return;
    }
    Job &job = found->second;
    job.partInFlight = false;
    if (job.paused) {
        job.paused = false;
        client_->pause(job.httpCall, false);
    }
    flush(id);
}

void AgentService::setServing(bool serving)
{
    AgentActions actions;
    core_.setServing(serving, actions);
    carryOut(actions);
}

void AgentService::releaseTurn(const InstanceId &member)
{
    grants_->releaseTurn(member);
}

void AgentService::updateTarget()
{
    const auto &instances = knowledge_.list().instances;
    const auto self = std::find_if(instances.begin(), instances.end(), [this](const auto &record) {
        return record.id == settings_.instance;
    });
    if (self == instances.end() || self->serves.empty() || !knowledge_.configInForce()) {
        return;
    }
    for (const ModelConfig &model : knowledge_.config().models) {
        if (model.name == self->serves.front()) {
            orders_->setTarget(model.version, knowledge_.config().version);
            grants_->setFloor(model.minServing);
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
    // Links must not be taken away inside one of their own callbacks.
    loop_.post([this] {
        grants_->setInstances(knowledge_.list());
        updateTarget();
    });
    const auto self = std::find_if(
        list.instances.begin(), list.instances.end(),
        [this](const InstanceRecord &record) { return record.id == settings_.instance; });
    const bool leaving = self != list.instances.end() && self->state == InstanceState::Leaving;
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
    const KnownVersions versions = knowledge_.versions();
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
            {"engineVersion", orders_->engineVersion()},
            {"reloading", orders_->reloading()},
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
    logLine(LogLevel::Info, "agent.stopping", {{"inFlight", jobs_.size()}});
    AgentActions actions;
    core_.leave(actions);
    carryOut(actions);
}

void AgentService::stopIfDrained()
{
    const Duration since = loop_.now() - stopStartedAt_;
    // Entries hear that it is leaving with the next heartbeat, and their last calls are answered.
    const bool told = since >= settings_.lease;
    const bool drained = told && core_.idle() && jobs_.empty();
    if (!drained && since < settings_.stopDeadline) {
        return;
    }
    logLine(LogLevel::Info, "agent.stopped", {{"cutOff", jobs_.size()}});
    loop_.stop();
}

} // namespace seamarch
