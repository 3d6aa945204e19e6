#include "decision/dispatch/entrycore.h"

#include "decision/fairness/requestcost.h"

#include <algorithm>
#include <utility>

namespace seamarch {
namespace {

constexpr Duration kRetryAfterNoUpstream = std::chrono::seconds(1);
// Agents report the crash of an abandoned call within a second.
constexpr std::size_t kMaxAbandonedCalls = 1024;

double expectedCost(const EntryRequest &request)
{
    return static_cast<double>(requestCost(request.promptTokens, request.answerTokens));
}

} // namespace

EntryCore::EntryCore(const Settings &settings, std::unique_ptr<Router> router)
    : settings_(settings)
    , router_(std::move(router))
    , random_(settings.seed)
    , members_(settings.lease)
    , retryBudget_(settings.retryBudget)
    , outliers_(settings.outliers)
    , crashes_(settings.crashes)
{}

void EntryCore::applyConfig(const ConfigDocument &document)
{
    homeHalls_.clear();
    for (const AccountConfig &account : document.accounts) {
        limiter_.setLimit(account.id, account.requestsPerSecond);
        homeHalls_[account.id] = account.homeHall;
    }
    hallDistances_.clear();
    drainingHalls_.clear();
    for (const HallConfig &hall : document.halls) {
        if (hall.draining) {
            drainingHalls_.insert(hall.id);
        }
        if (hall.id == settings_.hall) {
            hallDistances_.insert(hall.distance.begin(), hall.distance.end());
        }
    }
    drainingAgents_.clear();
    for (const UpstreamConfig &upstream : document.upstreams) {
        if (upstream.draining) {
            drainingAgents_.insert(upstream.agent);
        }
    }
}

void EntryCore::applyList(const InstanceList &list)
{
    if (!members_.applyList(list)) {
        return;
    }
    const auto entries =
        std::count_if(list.instances.begin(), list.instances.end(),
                      [](const InstanceRecord &each) { return each.role == InstanceRole::Entry; });
    limiter_.setShare(1.0 / static_cast<double>(std::max<std::ptrdiff_t>(1, entries)));
}

void EntryCore::onReport(const InstanceId &agent, const AgentReport &report, TimePoint requestedAt,
                         TimePoint now, EntryActions &actions)
{
    const bool newIncarnation = members_.onReport(agent, report, requestedAt, now);
    LoadEstimate &load = loads_[agent];
    if (newIncarnation) {
        load.reset();
        outliers_.reset(agent);
        prefixes_.removeAgent(agent);
    }
    load.onReport(report, requestedAt);
    if (newIncarnation) {
        releaseHeld(agent, now, actions);
    }
    if (report.queuedRequests == 0 && load.freeSlots() >= 1.0) {
        moveWaitingRequestTo(agent, now, actions);
    }
}

RequestId EntryCore::begin(const EntryRequest &request, TimePoint now, EntryActions &actions)
{
    const RequestId id{settings_.incarnation, nextCounter_++};
    if (const auto wait = limiter_.admit(request.account, now)) {
        actions.emplace_back(FailRequest{id, FailureCode::RateLimited, Outcome::NotRun, *wait});
        return id;
    }
    Request &added = requests_[id];
    added.original = request;
    added.deadline = now + request.deadline;
    if (const auto prefix = prefixKey(request)) {
        crashes_.onPartRequested(*prefix);
    }
    const Choice choice = choose(added, now);
    if (!choice.agent) {
        fail(id, choice.failure, choice.outcome, retryAfter(choice), actions);
        return id;
    }
    if (choice.awaitsReport) {
        holdForReport(added, *choice.agent, now, actions);
        return id;
    }
    dispatch(id, added, *choice.agent, now, actions);
    return id;
}

void EntryCore::holdForReport(Request &request, const InstanceId &agent, TimePoint now,
                              EntryActions &actions)
{
    request.phase = RequestPhase::AwaitingReport;
    request.agent = agent;
    request.expiresAt = now + settings_.holdTimeout;
    actions.emplace_back(ConnectAgent{agent});
}

void EntryCore::releaseHeld(const InstanceId &agent, TimePoint now, EntryActions &actions)
{
    std::vector<RequestId> held;
    for (const auto &[id, request] : requests_) {
        if (request.phase == RequestPhase::AwaitingReport && request.agent == agent) {
            held.push_back(id);
        }
    }
    for (const RequestId &id : held) {
        Request &request = requests_.at(id);
        const Choice choice = choose(request, now);
        if (choice.agent && !choice.awaitsReport) {
            dispatch(id, request, *choice.agent, now, actions);
        } else {
            fail(id, choice.failure, choice.outcome, retryAfter(choice), actions);
        }
    }
}

void EntryCore::dispatch(RequestId id, Request &request, const InstanceId &agent, TimePoint now,
                         EntryActions &actions)
{
    const Member &member = *members_.find(agent);
    request.agent = agent;
    request.agentIncarnation = member.report.incarnation;
    request.phase = RequestPhase::Sent;
    request.triedAgents.insert(request.agent);
    request.sentAt = now;
    request.moveTo.reset();
    request.queuedAtAgent = false;
    ++request.attempts;
    loads_[request.agent].onSent(id, expectedCost(request.original), now);
    if (request.original.prefixHash != 0) {
        prefixes_.recordHolder(request.original.prefixHash, request.agent, now);
    }
    actions.emplace_back(
        SendCall{id, request.agent, request.agentIncarnation, request.deadline - now});
}

// Suggests no retry for a request that is refused because upstreams ended while running it.
Duration EntryCore::retryAfter(const Choice &choice)
{
    return choice.failure == FailureCode::RequestEndsUpstreams ? Duration{} : kRetryAfterNoUpstream;
}

std::optional<SuspectKey> prefixKey(const EntryRequest &request)
{
    if (request.prefixHash == 0) {
        return std::nullopt;
    }
    return SuspectKey(request.target, PromptPartId(request.prefixHash));
}

bool EntryCore::mayBeSent(const Request &request, TimePoint now) const
{
    const auto prefix = prefixKey(request.original);
    return crashes_.mayBeSent(SuspectKey(request.original.digest), now)
           && (!prefix || crashes_.mayBeSent(*prefix, now));
}

EntryCore::RunningCall EntryCore::runningCall(RequestId id, const Request &request)
{
    RunningCall call{
        id, request.agent, request.original.account, {SuspectKey(request.original.digest)}};
    if (const auto prefix = prefixKey(request.original)) {
        call.suspects.push_back(*prefix);
    }
    return call;
}

void EntryCore::recordCrash(const RunningCall &call, TimePoint now)
{
    // The end of an upstream that is leaving is an intended stop, not a crash.
    if (!members_.mayReceive(call.agent, now)) {
        return;
    }
    for (const SuspectKey &suspect : call.suspects) {
        crashes_.onUpstreamCrashed(suspect, call.account, call.agent, now);
    }
}

void EntryCore::onAbandonedCallCrashed(RequestId id, const InstanceId &agent, TimePoint now)
{
    const auto call =
        std::find_if(abandonedCalls_.begin(), abandonedCalls_.end(),
                     [&](const RunningCall &each) { return each.id == id && each.agent == agent; });
    if (call != abandonedCalls_.end()) {
        recordCrash(*call, now);
        abandonedCalls_.erase(call);
    }
}

EntryCore::Choice EntryCore::choose(const Request &request, TimePoint now)
{
    if (!mayBeSent(request, now)) {
        return {std::nullopt, FailureCode::RequestEndsUpstreams, Outcome::NotRun};
    }
    if (request.original.ticket) {
        return chooseTicketAgent(request, now);
    }
    if (!request.original.callerKey.empty()) {
        return chooseKeyHome(request, now);
    }
    return chooseByRouter(request, now);
}

EntryCore::Choice EntryCore::chooseTicketAgent(const Request &request, TimePoint now) const
{
    const Ticket &ticket = *request.original.ticket;
    const Member *member = members_.find(ticket.agent);
    const bool alive = member != nullptr && member->hasReported
                       && member->report.incarnation == ticket.incarnation;
    // An earlier attempt with this ticket may have run, through this entry or another one.
    if (!alive) {
        return {std::nullopt, FailureCode::TicketSpent, Outcome::Unknown};
    }
    if (!members_.mayReceive(ticket.agent, now)) {
        return {std::nullopt, FailureCode::NoUpstream, Outcome::Unknown};
    }
    return {ticket.agent};
}

EntryCore::Choice EntryCore::chooseKeyHome(const Request &request, TimePoint now) const
{
    const auto hall = homeHalls_.find(request.original.account);
    const HallId home = hall == homeHalls_.end() ? HallId() : hall->second;
    const MemberSet set = makeMemberSet(members_.listedAgents(request.original.target, home));
    const auto agent =
        rendezvousHome(set, scopedKey(request.original.account, request.original.callerKey));
    const Member *member = agent ? members_.find(*agent) : nullptr;
    if (member != nullptr && !member->hasReported) {
        return {*agent, FailureCode::KeyHomeUnsure, Outcome::Unknown, true};
    }
    if (!agent || !members_.mayReceive(*agent, now)) {
        return {std::nullopt, FailureCode::KeyHomeUnsure, Outcome::Unknown};
    }
    return {*agent};
}

EntryCore::Choice EntryCore::chooseByRouter(const Request &request, TimePoint now)
{
    std::vector<const Member *> members = members_.candidates(request.original.target, now);
    std::erase_if(members, [&](const Member *member) {
        const InstanceRecord &record = member->record;
        return request.triedAgents.contains(record.id) || drainingAgents_.contains(record.id)
               || drainingHalls_.contains(record.hall);
    });
    std::vector<InstanceId> ids;
    for (const Member *member : members) {
        ids.push_back(member->record.id);
    }
    std::vector<RouteCandidate> candidates;
    for (const InstanceId &id : outliers_.filterCandidates(ids, now)) {
        candidates.push_back(candidateFor(*members_.find(id), request, now));
    }
    const RouteRequest traits{request.original.promptTokens, request.original.answerTokens};
    const auto picked = router_->pick(candidates, traits, random_);
    if (!picked) {
        return {std::nullopt, FailureCode::NoUpstream, Outcome::NotRun};
    }
    return {candidates[*picked].agent};
}

RouteCandidate EntryCore::candidateFor(const Member &member, const Request &request, TimePoint now)
{
    const InstanceId &id = member.record.id;
    const LoadEstimate &load = loads_[id];
    RouteCandidate candidate;
    candidate.agent = id;
    candidate.pendingCost = load.pendingCost(now);
    candidate.expectedWait = load.expectedWait(now);
    candidate.ownInFlight = load.inFlight();
    candidate.readiness = readiness(member, now);
    const auto distance = hallDistances_.find(member.record.hall);
    candidate.distance = distance == hallDistances_.end() ? Duration{} : distance->second;
    if (request.original.prefixHash != 0) {
        candidate.cachedTokens = prefixes_.probability(request.original.prefixHash, id, now)
                                 * static_cast<double>(request.original.promptTokens);
    }
    return candidate;
}

double EntryCore::readiness(const Member &member, TimePoint now) const
{
    const double age = toSeconds(now - member.firstReportAt);
    return std::clamp(age / toSeconds(settings_.slowStart), 0.1, 1.0);
}

EntryCore::Request *EntryCore::find(RequestId id)
{
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
}

void EntryCore::removeFromAgentLoad(RequestId id, const Request &request)
{
    const auto load = loads_.find(request.agent);
    if (load != loads_.end()) {
        load->second.onEnded(id);
    }
}

void EntryCore::fail(RequestId id, FailureCode failure, Outcome outcome, Duration retryAfter,
                     EntryActions &actions)
{
    const Request *request = find(id);
    if (request == nullptr) {
        return;
    }
    removeFromAgentLoad(id, *request);
    const Outcome reportedOutcome = request->mayHaveRun ? Outcome::Unknown : outcome;
    requests_.erase(id);
    actions.emplace_back(FailRequest{id, failure, reportedOutcome, retryAfter});
}

void EntryCore::retryOrFail(RequestId id, FailureCode failure, Duration retryAfter, TimePoint now,
                            EntryActions &actions)
{
    Request *request = find(id);
    if (request == nullptr) {
        return;
    }
    removeFromAgentLoad(id, *request);
    // A ticket or a key binds the request to one agent, so it has no alternative agent.
    const bool bound = request->original.ticket || !request->original.callerKey.empty();
    const bool mayRetry =
        !bound && request->attempts < settings_.maxAttempts && now < request->deadline;
    const Choice choice = mayRetry ? choose(*request, now) : Choice();
    if (!choice.agent || !retryBudget_.tryAcquire()) {
        fail(id, failure, Outcome::NotRun, retryAfter, actions);
        return;
    }
    ++retries_;
    dispatch(id, *request, *choice.agent, now, actions);
}

void EntryCore::onRefused(RequestId id, FailureCode failure, Outcome outcome, Duration retryAfter,
                          TimePoint now, EntryActions &actions)
{
    Request *request = find(id);
    if (request == nullptr) {
        return;
    }
    if (failure == FailureCode::UpstreamUnreachable || failure == FailureCode::UpstreamEnded) {
        outliers_.onFailure(request->agent, now);
    }
    if (failure == FailureCode::UpstreamEnded) {
        recordCrash(runningCall(id, *request), now);
    }
    if (outcome == Outcome::Unknown) {
        request->mayHaveRun = true;
        if (!request->original.repeatable || request->phase == RequestPhase::Answering) {
            fail(id, failure, outcome, retryAfter, actions);
            return;
        }
    }
    retryOrFail(id, failure, retryAfter, now, actions);
}

void EntryCore::onNotWritten(RequestId id, TimePoint now, EntryActions &actions)
{
    const Request *request = find(id);
    if (request == nullptr) {
        return;
    }
    outliers_.onFailure(request->agent, now);
    retryOrFail(id, FailureCode::UpstreamUnreachable, kRetryAfterNoUpstream, now, actions);
}

void EntryCore::onConnectionLost(RequestId id, TimePoint now, EntryActions &actions)
{
    Request *request = find(id);
    if (request == nullptr || request->phase == RequestPhase::Resolving
        || request->phase == RequestPhase::AwaitingReport) {
        return;
    }
    outliers_.onFailure(request->agent, now);
    if (request->phase == RequestPhase::Answering) {
        fail(id, FailureCode::UpstreamFailed, Outcome::Unknown, {}, actions);
        return;
    }
    if (request->original.repeatable) {
        request->mayHaveRun = true;
        retryOrFail(id, FailureCode::UpstreamUnreachable, kRetryAfterNoUpstream, now, actions);
        return;
    }
    // The agent may still run behind a broken connection; its answer to a cancel can prove that the
    // request did not run.
    request->phase = RequestPhase::Resolving;
    request->expiresAt = std::min(now + settings_.resolveTimeout, request->deadline);
    actions.emplace_back(SendCancel{id, request->agent, request->agentIncarnation});
}

void EntryCore::onCancelled(RequestId id, bool notRun, TimePoint now, EntryActions &actions)
{
    const Request *request = find(id);
    if (request == nullptr || request->phase != RequestPhase::Resolving) {
        return;
    }
    if (!notRun) {
        fail(id, FailureCode::UpstreamUnreachable, Outcome::Unknown, {}, actions);
        return;
    }
    retryOrFail(id, FailureCode::UpstreamUnreachable, kRetryAfterNoUpstream, now, actions);
}

void EntryCore::onAccepted(RequestId id, bool started)
{
    Request *request = find(id);
    if (request != nullptr) {
        request->queuedAtAgent = !started;
    }
}

std::optional<RequestId> EntryCore::findMovableRequest(const InstanceId &to) const
{
    const Member *member = members_.find(to);
    std::optional<RequestId> oldest;
    TimePoint oldestSentAt{};
    for (const auto &[id, request] : requests_) {
        const auto &serves = member->record.serves;
        const bool bound = request.original.ticket || !request.original.callerKey.empty();
        const bool waits =
            request.phase == RequestPhase::Sent && request.queuedAtAgent && !request.moveTo;
        const bool fits =
            !bound && !request.triedAgents.contains(to) && request.moves < settings_.maxMoves
            && std::find(serves.begin(), serves.end(), request.original.target) != serves.end();
        if (waits && fits && (!oldest || request.sentAt < oldestSentAt)) {
            oldest = id;
            oldestSentAt = request.sentAt;
        }
    }
    return oldest;
}

void EntryCore::onFree(const InstanceId &agent, const AgentReport &report, TimePoint now,
                       EntryActions &actions)
{
    if (!members_.mayReceive(agent, now) || outliers_.isEjected(agent, now)) {
        return;
    }
    const Member &member = *members_.find(agent);
    if (member.report.incarnation != report.incarnation || report.leaving) {
        return;
    }
    moveWaitingRequestTo(agent, now, actions);
}

void EntryCore::moveWaitingRequestTo(const InstanceId &agent, TimePoint now, EntryActions &actions)
{
    const auto id = members_.mayReceive(agent, now) ? findMovableRequest(agent) : std::nullopt;
    if (!id) {
        return;
    }
    Request &request = requests_.at(*id);
    request.moveTo = agent;
    ++request.moves;
    actions.emplace_back(SendWithdraw{*id, request.agent, request.agentIncarnation});
}

void EntryCore::onWithdrawn(RequestId id, const InstanceId &from, bool notRun, TimePoint now,
                            EntryActions &actions)
{
    Request *request = find(id);
    if (request == nullptr || request->agent != from || !request->moveTo) {
        return;
    }
    const InstanceId to = *request->moveTo;
    request->moveTo.reset();
    if (!notRun || request->phase != RequestPhase::Sent) {
        // The request has started meanwhile, so another queued one is moved to the free slot.
        request->queuedAtAgent = false;
        moveWaitingRequestTo(to, now, actions);
        return;
    }
    removeFromAgentLoad(id, *request);
    if (!members_.mayReceive(to, now)) {
        retryOrFail(id, FailureCode::NoUpstream, kRetryAfterNoUpstream, now, actions);
        return;
    }
    ++moves_;
    --request->attempts;
    dispatch(id, *request, to, now, actions);
}

bool EntryCore::onAnswer(RequestId id, const InstanceId &agent)
{
    Request *request = find(id);
    if (request == nullptr || request->agent != agent
        || request->phase == RequestPhase::Resolving) {
        ++droppedAnswers_;
        return false;
    }
    request->phase = RequestPhase::Answering;
    return true;
}

void EntryCore::onComplete(RequestId id, const InstanceId &agent, TimePoint now)
{
    const Request *request = find(id);
    if (request == nullptr || request->agent != agent) {
        return;
    }
    outliers_.onSuccess(agent);
    crashes_.onRequestCompleted(SuspectKey(request->original.digest), now);
    if (const auto prefix = prefixKey(request->original)) {
        crashes_.onPartAnswered(*prefix, now);
    }
    if (request->attempts == 1) {
        retryBudget_.onSuccess();
    }
    removeFromAgentLoad(id, *request);
    requests_.erase(id);
}

void EntryCore::onCallerGone(RequestId id, EntryActions &actions)
{
    const Request *request = find(id);
    if (request == nullptr) {
        return;
    }
    if (request->phase != RequestPhase::AwaitingReport) {
        actions.emplace_back(SendCancel{id, request->agent, request->agentIncarnation});
        abandonedCalls_.push_back(runningCall(id, *request));
        if (abandonedCalls_.size() > kMaxAbandonedCalls) {
            abandonedCalls_.pop_front();
        }
    }
    removeFromAgentLoad(id, *request);
    requests_.erase(id);
}

void EntryCore::onTick(TimePoint now, EntryActions &actions)
{
    crashes_.expire(now);
    std::vector<RequestId> overdue;
    for (const auto &[id, request] : requests_) {
        const bool waits = request.phase == RequestPhase::Resolving
                           || request.phase == RequestPhase::AwaitingReport;
        if (waits && now >= request.expiresAt) {
            overdue.push_back(id);
        }
    }
    for (const RequestId &id : overdue) {
        // A held request was never sent, but an earlier request with the same ticket or key may
        // have run.
        fail(id, FailureCode::UpstreamUnreachable, Outcome::Unknown, kRetryAfterNoUpstream,
             actions);
    }
}

TimePoint EntryCore::leaseUntil(const InstanceId &agent) const
{
    const Member *member = members_.find(agent);
    return member == nullptr ? TimePoint{} : member->leaseExpiresAt;
}

} // namespace seamarch
