#include "entry/agentlink.h"

#include "base/log.h"
#include "net/wireconvert.h"

#include <utility>

namespace seamarch {

// The RPC object to which the agent sends answer parts and announcements of free slots. Passes them
// to the listener together with the agent's id.
class AgentLink::Sink final : public wire::AnswerSink::Server
{
public:
    Sink(AgentLinkListener &listener, InstanceId agent)
        : listener_(listener)
        , agent_(std::move(agent))
    {}

    kj::Promise<void> part(PartContext context) override
    {
        const auto params = context.getParams();
        return listener_.onPart(agent_, readRequestId(params.getId()), params.getPart());
    }

    kj::Promise<void> free(FreeContext context) override
    {
        listener_.onFreeSlot(agent_, readReport(context.getParams().getStatus()));
        return kj::READY_NOW;
    }

private:
    AgentLinkListener &listener_;
    InstanceId agent_;
};

AgentLink::AgentLink(const Context &context, InstanceId agent, SocketAddress address)
    : context_(context)
    , id_(std::move(agent))
    , link_(context.loop, context.transport, std::move(address))
    , tasks_(*this)
{
    link_.setHandlers([this] { onOpened(); }, [this] { onClosed(); });
}

AgentLink::~AgentLink() = default;

void AgentLink::taskFailed(kj::Exception &&exception)
{
    logLine(LogLevel::Debug, "link.task-failed",
            {{"agent", id_.value()}, {"message", exception.getDescription().cStr()}});
}

void AgentLink::onOpened()
{
    auto request = agent().openRequest();
    request.setEntryIncarnation(context_.incarnation.value());
    request.setSink(kj::heap<Sink>(context_.listener, id_));
    tasks_.add(request.send().ignoreResult());
}

void AgentLink::onClosed()
{
    heartbeatInFlight_ = false;
    context_.listener.onLinkClosed(id_);
}

void AgentLink::heartbeat()
{
    if (heartbeatInFlight_) {
        return;
    }
    heartbeatInFlight_ = true;
    auto request = agent().exchangeRequest();
    auto status = request.initStatus();
    status.setInstance(context_.self.value());
    status.setIncarnation(context_.incarnation.value());
    const TimePoint requestedAt = context_.loop.now();
    writeVersions(context_.knowledge.versions(), status);
    status.setListAgeMicros(context_.knowledge.listAge(requestedAt).count());
    status.setEchoMicros(agentClockMicros_);
    tasks_.add(request.send().then(
        [this, requestedAt](capnp::Response<wire::Peer::ExchangeResults> &&response) {
            heartbeatInFlight_ = false;
            onExchange(response.getStatus(), response.getConfig(), response.getList(), requestedAt);
        },
        [this](kj::Exception && /*error*/) { heartbeatInFlight_ = false; }));
}

void AgentLink::onExchange(wire::Status::Reader status, wire::Update::Reader config,
                           wire::Update::Reader list, TimePoint requestedAt)
{
    const DocumentVersions known = readVersions(status);
    agentClockMicros_ = status.getClockMicros();
    context_.knowledge.observePeerVersions(known);
    context_.knowledge.apply({readUpdate(config), readUpdate(list)});
    if (status.getWantsUpdate()) {
        offer(known);
    }
    context_.listener.onHeartbeat(id_, readReport(status), requestedAt);
}

void AgentLink::offer(const DocumentVersions &peer)
{
    const DocumentUpdates updates = context_.knowledge.updatesFor(peer);
    auto request = agent().offerRequest();
    writeUpdate(updates.config, request.initConfig());
    writeUpdate(updates.list, request.initList());
    tasks_.add(request.send().ignoreResult());
}

void AgentLink::start(const SendCall &call, const EntryRequest &request, const CallPayload &payload)
{
    auto message = agent().startRequest();
    auto builder = message.initCall();
    writeRequestId(call.id, builder.initId());
    builder.setAccount(request.account.value());
    builder.setTarget(request.target.value());
    builder.setMethod(payload.method);
    builder.setPath(payload.path);
    builder.setContentType(payload.contentType);
    builder.setBody(
        kj::arrayPtr(reinterpret_cast<const kj::byte *>(payload.body.data()), payload.body.size()));
    builder.setPromptTokens(static_cast<std::uint32_t>(request.promptTokens));
    builder.setMaxTokens(static_cast<std::uint32_t>(request.answerTokens));
    builder.setPriority(request.priority);
    builder.setRepeatable(request.repeatable);
    builder.setDeadlineMicros(call.deadline.count());
    if (request.ticket) {
        builder.setTicket(formatTicket(*request.ticket));
    }
    builder.setCallerKey(request.callerKey);
    builder.setAgentIncarnation(call.agentIncarnation.value());
    const RequestId id = call.id;
    tasks_.add(message.send().then(
        [this, id](capnp::Response<wire::Agent::StartResults> &&response) {
            const auto verdict = response.getVerdict();
            const Outcome outcome = verdict.getNotRun() ? Outcome::NotRun : Outcome::Unknown;
            context_.listener.onAdmissionResult(id,
                                                {verdict.getAccepted(), verdict.getStarted(),
                                                 static_cast<FailureCode>(verdict.getFailure()),
                                                 outcome, Duration(verdict.getRetryAfterMicros())});
        },
        [this, id, wroteAny = link_.wroteAny()](kj::Exception && /*error*/) {
            context_.listener.onCallFailed(id, *wroteAny);
        }));
}

void AgentLink::cancel(const SendCancel &cancel)
{
    auto message = agent().cancelRequest();
    writeRequestId(cancel.id, message.initId());
    message.setAgentIncarnation(cancel.agentIncarnation.value());
    const RequestId id = cancel.id;
    tasks_.add(message.send().then(
        [this, id](capnp::Response<wire::Agent::CancelResults> &&response) {
            context_.listener.onCancelResult(id, response.getNotRun());
        },
        [this, id](kj::Exception && /*error*/) { context_.listener.onCancelResult(id, false); }));
}

void AgentLink::withdraw(const SendWithdraw &withdrawal)
{
    auto message = agent().withdrawRequest();
    writeRequestId(withdrawal.id, message.initId());
    message.setAgentIncarnation(withdrawal.agentIncarnation.value());
    const RequestId id = withdrawal.id;
    tasks_.add(message.send().then(
        [this, id](capnp::Response<wire::Agent::WithdrawResults> &&response) {
            context_.listener.onWithdrawResult(id, id_, response.getNotRun());
        },
        [this, id](kj::Exception && /*error*/) {
            context_.listener.onWithdrawResult(id, id_, false);
        }));
}

void AgentLink::issueTicket(std::function<void(std::string)> callback)
{
    auto message = agent().issueTicketRequest();
    auto sharedCallback = std::make_shared<std::function<void(std::string)>>(std::move(callback));
    tasks_.add(message.send().then(
        [sharedCallback](capnp::Response<wire::Agent::IssueTicketResults> &&response) {
            (*sharedCallback)(toString(response.getTicket()));
        },
        [sharedCallback](kj::Exception && /*error*/) { (*sharedCallback)({}); }));
}

} // namespace seamarch
