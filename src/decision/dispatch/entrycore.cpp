#include "decision/dispatch/entrycore.h"

#include "decision/fairness/requestcost.h"

#include <algorithm>
#include <utility>

namespace seamarch {
namespace {

constexpr Duration kRetryAfterNoUpstream = std::chrono::seconds(1);

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
    , budget_(settings.retryBudget)
    , outliers_(settings.outliers)
    , crashes_(settings.crashes)
{}

void EntryCore::applyConfig(const ConfigDocument &document)
{
    homes_.clear();
    for (const AccountConfig &account : document.accounts) {
        limiter_.setLimit(account.id, account.requestsPerSecond);
        homes_[account.id] = account.homeHall;
    }
    distances_.clear();
    drainingHalls_.clear();
    for (const HallConfig &hall : document.halls) {
        if (hall.draining) {
            drainingHalls_.insert(hall.id);
        }
        if (hall.id == settings_.hall) {
            distances_.insert(hall.distance.begin(), hall.distance.end());
        }
    }
    draining_.clear();
    for (const UpstreamConfig &upstream : document.upstreams) {
        if (upstream.draining) {
            draining_.insert(upstream.agent);
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
    limiter_.setPart(1.0 / static_cast<double>(std::max<std::ptrdiff_t>(1, entries)));
}

void EntryCore::onReport(const InstanceId &agent, const AgentReport &report, TimePoint askedAt,
                         TimePoint now, EntryActions &actions)
{
    const bool reborn = members_.onReport(agent, report, askedAt, now);
    LoadEstimate &load = loads_[agent];
    if (reborn) {
        load.reset();
        outliers_.forget(agent);
        prefixes_.removeAgent(agent);
    }
    load.onReport(report, askedAt);
    if (reborn) {
        releaseHeld(agent, now, actions);
    }
    if (report.queuedRequests == 0 && load.freeSlots() >= 1.0) {
        moveOneTo(agent, now, actions);
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
    added.request = request;
    added.deadline = now + request.deadline;
    const Choice choice = choose(added, now);
    if (!choice.agent) {
        fail(id, choice.failure, choice.outcome, retryAfter(choice), actions);
        return id;
    }
    if (choice.unheard) {
        hold(added, *choice.agent, now, actions);
        return id;
    }
    dispatch(id, added, *choice.agent, now, actions);
    return id;
}

void EntryCore::hold(Request &request, const InstanceId &agent, TimePoint now,
                     EntryActions &actions)
{
    request.phase = Phase::Holding;
    request.agent = agent;
    request.giveUpAt = now + settings_.holdTime;
    actions.emplace_back(ConnectAgent{agent});
}

void EntryCore::releaseHeld(const InstanceId &agent, TimePoint now, EntryActions &actions)
{
    std::vector<RequestId> held;
    for (const auto &[id, request] : requests_) {
        if (request.phase == Phase::Holding && request.agent == agent) {
            held.push_back(id);
        }
    }
    for (const RequestId &id : held) {
        Request &request = requests_.at(id);
        const Choice choice = choose(request, now);
        if (choice.agent && !choice.unheard) {
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
    request.phase = Phase::Sent;
    request.tried.insert(request.agent);
    request.sentAt = now;
    request.moveTo.reset();
    request.waits = false;
    ++request.attempts;
    loads_[request.agent].onSent(id, expectedCost(request.request), now);
    if (request.request.prefixHash != 0) {
        prefixes_.recordHolder(request.request.prefixHash, request.agent, now);
    }
    actions.emplace_back(
        SendCall{id, request.agent, request.agentIncarnation, request.deadline - now});
}

// A request that ends upstreams is not invited to come back.
Duration EntryCore::retryAfter(const Choice &choice)
{
    return choice.failure == FailureCode::RequestEndsUpstreams ? Duration{} : kRetryAfterNoUpstream;
}

EntryCore::Choice EntryCore::choose(const Request &request, TimePoint now)
{
    if (!crashes_.mayBeSent(request.request.digest, now)) {
        return {std::nullopt, FailureCode::RequestEndsUpstreams, Outcome::NotRun};
    }
    if (request.request.ticket) {
        return chooseTicketAgent(request, now);
    }
    if (!request.request.callerKey.empty()) {
        return chooseKeyHome(request, now);
    }
    return chooseByRouter(request, now);
}

EntryCore::Choice EntryCore::chooseTicketAgent(const Request &request, TimePoint now) const
{
    const Ticket &ticket = *request.request.ticket;
    const Member *member = members_.find(ticket.agent);
    const bool alive =
        member != nullptr && member->heard && member->report.incarnation == ticket.incarnation;
    // An earlier attempt with this ticket may have run, through this entry or through another.
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
    const auto hall = homes_.find(request.request.account);
    const HallId home = hall == homes_.end() ? HallId() : hall->second;
    const MemberSet set = makeMemberSet(members_.listed(request.request.target, home));
    const auto agent =
        rendezvousHome(set, scopedKey(request.request.account, request.request.callerKey));
    const Member *member = agent ? members_.find(*agent) : nullptr;
    if (member != nullptr && !member->heard) {
        return {*agent, FailureCode::KeyHomeUnsure, Outcome::Unknown, true};
    }
    if (!agent || !members_.mayReceive(*agent, now)) {
        return {std::nullopt, FailureCode::KeyHomeUnsure, Outcome::Unknown};
    }
    return {*agent};
}

EntryCore::Choice EntryCore::chooseByRouter(const Request &request, TimePoint now)
{
    std::vector<const Member *> members = members_.candidates(request.request.target, now);
    std::erase_if(members, [&](const Member *member) {
        const InstanceRecord &record = member->record;
        return request.tried.contains(record.id) || draining_.contains(record.id)
               || drainingHalls_.contains(record.hall);
    });
    std::vector<InstanceId> ids;
    for (const Member *member : members) {
        ids.push_back(member->record.id);
    }
    std::vector<RouteCandidate> candidates;
    for (const InstanceId &id : outliers_.remaining(ids, now)) {
        candidates.push_back(candidateFor(*members_.find(id), request, now));
    }
    const RouteRequest traits{request.request.promptTokens, request.request.answerTokens};
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
    const auto distance = distances_.find(member.record.hall);
    candidate.distance = distance == distances_.end() ? Duration{} : distance->second;
    if (request.request.prefixHash != 0) {
        candidate.cachedTokens = prefixes_.probability(request.request.prefixHash, id, now)
                                 * static_cast<double>(request.request.promptTokens);
    }
    return candidate;
}

double EntryCore::readiness(const Member &member, TimePoint now) const
{
    const double age = toSeconds(now - member.firstSeen);
    return std::clamp(age / toSeconds(settings_.slowStart), 0.1, 1.0);
}

EntryCore::Request *EntryCore::find(RequestId id)
{
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
}

void EntryCore::leaveAgent(RequestId id, const Request &request)
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
    leaveAgent(id, *request);
    const Outcome told = request->mayHaveRun ? Outcome::Unknown : outcome;
    requests_.erase(id);
    actions.emplace_back(FailRequest{id, failure, told, retryAfter});
}

void EntryCore::retryOrFail(RequestId id, FailureCode failure, Duration retryAfter, TimePoint now,
                            EntryActions &actions)
{
    Request *request = find(id);
    if (request == nullptr) {
        return;
    }
    leaveAgent(id, *request);
    // A ticket and a key bind the request to one agent, so there is no other to try.
    const bool bound = request->request.ticket || !request->request.callerKey.empty();
    const bool mayRetry =
        !bound && request->attempts < settings_.maxAttempts && now < request->deadline;
    const Choice choice = mayRetry ? choose(*request, now) : Choice();
    if (!choice.agent || !budget_.take()) {
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
    // An upstream that is to leave ends because it was told to.
    if (failure == FailureCode::UpstreamEnded && members_.mayReceive(request->agent, now)) {
        crashes_.onEnded(request->request.digest, request->request.account, request->agent, now);
    }
    if (outcome == Outcome::Unknown) {
        request->mayHaveRun = true;
        if (!request->request.repeatable || request->phase == Phase::Answering) {
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

void EntryCore::onLost(RequestId id, TimePoint now, EntryActions &actions)
{
    Request *request = find(id);
    if (request == nullptr || request->phase == Phase::Resolving
        || request->phase == Phase::Holding) {
        return;
    }
    outliers_.onFailure(request->agent, now);
    if (request->phase == Phase::Answering) {
        fail(id, FailureCode::UpstreamFailed, Outcome::Unknown, {}, actions);
        return;
    }
    if (request->request.repeatable) {
        request->mayHaveRun = true;
        retryOrFail(id, FailureCode::UpstreamUnreachable, kRetryAfterNoUpstream, now, actions);
        return;
    }
    // The agent may still be alive behind a broken connection; its word on a cancel is a proof.
    request->phase = Phase::Resolving;
    request->giveUpAt = std::min(now + settings_.resolveTime, request->deadline);
    actions.emplace_back(SendCancel{id, request->agent, request->agentIncarnation});
}

void EntryCore::onCancelled(RequestId id, bool notRun, TimePoint now, EntryActions &actions)
{
    const Request *request = find(id);
    if (request == nullptr || request->phase != Phase::Resolving) {
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
        request->waits = !started;
    }
}

std::optional<RequestId> EntryCore::findMovable(const InstanceId &to) const
{
    const Member *member = members_.find(to);
    std::optional<RequestId> oldest;
    TimePoint oldestSentAt{};
    for (const auto &[id, request] : requests_) {
        const auto &serves = member->record.serves;
        const bool bound = request.request.ticket || !request.request.callerKey.empty();
        const bool waits = request.phase == Phase::Sent && request.waits && !request.moveTo;
        const bool fits =
            !bound && !request.tried.contains(to) && request.moves < settings_.maxMoves
            && std::find(serves.begin(), serves.end(), request.request.target) != serves.end();
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
    if (!members_.mayReceive(agent, now) || outliers_.ejected(agent, now)) {
        return;
    }
    const Member &member = *members_.find(agent);
    if (member.report.incarnation != report.incarnation || report.leaving) {
        return;
    }
    moveOneTo(agent, now, actions);
}

void EntryCore::moveOneTo(const InstanceId &agent, TimePoint now, EntryActions &actions)
{
    const auto id = members_.mayReceive(agent, now) ? findMovable(agent) : std::nullopt;
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
    if (!notRun || request->phase != Phase::Sent) {
        // It has started meanwhile; the free slot is offered to the next one that waits.
        request->waits = false;
        moveOneTo(to, now, actions);
        return;
    }
    leaveAgent(id, *request);
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
    if (request == nullptr || request->agent != agent || request->phase == Phase::Resolving) {
        ++droppedAnswers_;
        return false;
    }
    request->phase = Phase::Answering;
    return true;
}

void EntryCore::onComplete(RequestId id, const InstanceId &agent, TimePoint now)
{
    const Request *request = find(id);
    if (request == nullptr || request->agent != agent) {
        return;
    }
    outliers_.onSuccess(agent);
    crashes_.onSurvived(request->request.digest, now);
    if (request->attempts == 1) {
        budget_.onSuccess();
    }
    leaveAgent(id, *request);
    requests_.erase(id);
}

void EntryCore::onCallerGone(RequestId id, EntryActions &actions)
{
    const Request *request = find(id);
    if (request == nullptr) {
        return;
    }
    if (request->phase != Phase::Holding) {
        actions.emplace_back(SendCancel{id, request->agent, request->agentIncarnation});
    }
    leaveAgent(id, *request);
    requests_.erase(id);
}

void EntryCore::onTick(TimePoint now, EntryActions &actions)
{
    crashes_.expire(now);
    std::vector<RequestId> overdue;
    for (const auto &[id, request] : requests_) {
        const bool waits = request.phase == Phase::Resolving || request.phase == Phase::Holding;
        if (waits && now >= request.giveUpAt) {
            overdue.push_back(id);
        }
    }
    for (const RequestId &id : overdue) {
        // A held request was never sent; but it carries a ticket or a key, and an earlier request
        // with the same one may have run.
        fail(id, FailureCode::UpstreamUnreachable, Outcome::Unknown, kRetryAfterNoUpstream,
             actions);
    }
}

TimePoint EntryCore::leaseUntil(const InstanceId &agent) const
{
    const Member *member = members_.find(agent);
    return member == nullptr ? TimePoint{} : member->leaseUntil;
}

} // namespace seamarch
