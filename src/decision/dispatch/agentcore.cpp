#include "decision/dispatch/agentcore.h"

#include "decision/fairness/requestcost.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace seamarch {
namespace {

constexpr Duration kRateWindow = std::chrono::seconds(1);
constexpr double kRateWeight = 0.3;
constexpr double kMaxLengthRatio = 4.0;
constexpr double kUnknownLength = 0.25; // Of a declared length, for an account not seen here yet.
constexpr double kLengthWeight = 0.05;
constexpr int kServiceMargin = 4; // Of answers that vary freely one in fifty is longer than this.
constexpr Duration kShortRetry = std::chrono::milliseconds(250);

StartVerdict refused(FailureCode failure, Duration retryAfter = kShortRetry)
{
    return {false, false, failure, Outcome::NotRun, retryAfter};
}

} // namespace

AgentCore::AgentCore(const Settings &settings, TimePoint now)
    : settings_(settings)
    , ledger_(settings.ledgerCapacity)
    , tickets_(settings.self, settings.incarnation, settings.seed, settings.ticketCapacity)
    , keyHome_(settings.self, settings.keyHome)
    , grants_(settings.keyHome.lease)
    , tokensPerSecond_(settings.initialTokensPerSecond)
{
    grants_.refuseUntil(now + settings.keyHome.lease);
}

void AgentCore::applyConfig(const ConfigDocument &document)
{
    for (const AccountConfig &account : document.accounts) {
        queue_.setPolicy(account.id, {account.share, account.maxQueued});
    }
    for (const UpstreamConfig &upstream : document.upstreams) {
        if (upstream.agent == settings_.self) {
            settings_.slots = upstream.slots;
        }
    }
}

void AgentCore::setKeyMembers(TargetName target, MemberSet set)
{
    keyTarget_ = std::move(target);
    keyHome_.setMembers(std::move(set));
}

void AgentCore::onGranted(const InstanceId &member, std::uint64_t set, TimePoint askedAt,
                          TimePoint now, UnixMillis wall)
{
    keyHome_.onGrant(member, set, askedAt, now, wall);
}

Duration AgentCore::predictedWait(const AccountId &account) const
{
    if (running_.size() < settings_.slots && queue_.size() == 0) {
        return {};
    }
    // All slots are taken, so the first of the running requests must end before anything starts.
    const double firstEnd =
        runningTokens_ / static_cast<double>(std::max<std::size_t>(1, running_.size()));
    return fromSeconds((queue_.tokensAhead(account) + firstEnd) / tokensPerSecond_);
}

Tokens AgentCore::expectedAnswer(const AccountId &account, Tokens declared) const
{
    const auto found = lengthRatios_.find(account);
    const double ratio = found == lengthRatios_.end() ? 1.0 : found->second;
    return static_cast<Tokens>(std::ceil(ratio * static_cast<double>(declared)));
}

void AgentCore::learnLength(const Running &running)
{
    if (running.produced <= 0.0 || running.declared <= 0.0) {
        return;
    }
    const double observed = std::min(running.produced / running.declared, kMaxLengthRatio);
    const auto [ratio, added] = lengthRatios_.try_emplace(running.account, observed);
    ratio->second += kLengthWeight * (observed - ratio->second);
}

Duration AgentCore::predictedService(const AccountId &account, Tokens promptTokens,
                                     Tokens answerTokens) const
{
    // Callers declare the most that they would take, so until an account's habit is known only a
    // part of it is believed: a guess must not refuse what may well end in time.
    const bool known = lengthRatios_.contains(account);
    const double believed = (known ? 1.0 : kUnknownLength) * static_cast<double>(answerTokens);
    answerTokens = static_cast<Tokens>(std::ceil(believed));
    const auto cost =
        static_cast<double>(requestCost(promptTokens, expectedAnswer(account, answerTokens)));
    return fromSeconds(cost * settings_.slots / tokensPerSecond_);
}

std::optional<StartVerdict> AgentCore::refuseBeforeProof(const AgentCall &call, TimePoint now) const
{
    if (call.agentIncarnation != settings_.incarnation) {
        return refused(FailureCode::UpstreamUnreachable);
    }
    if (leaving_ || !serving_) {
        return refused(FailureCode::UpstreamLeaving);
    }
    if (restUntil_) {
        return refused(FailureCode::NoUpstream, std::max(*restUntil_ - now, kShortRetry));
    }
    // An answer that comes after its deadline is work for nothing, so the request's own run counts.
    const Duration wait = predictedWait(call.account);
    const Duration service = predictedService(call.account, call.promptTokens, call.answerTokens);
    const Duration needed = wait + kServiceMargin * service;
    // A free slot is never kept from work by a guess: refusing it all would leave the guess as it
    // is.
    if (wait > Duration{} && needed > call.deadline) {
        return refused(FailureCode::DeadlineUnreachable,
                       std::min(needed - call.deadline, wait + kShortRetry));
    }
    return std::nullopt;
}

std::optional<StartVerdict> AgentCore::checkProof(const AgentCall &call, TimePoint now,
                                                  UnixMillis wall)
{
    if (call.ticket) {
        switch (tickets_.redeem(*call.ticket)) {
        case TicketVerdict::Fresh:
            break;
        case TicketVerdict::Spent:
            // This copy does not run; the one before it may have, so the caller learns 'unknown'.
            return StartVerdict{false, false, FailureCode::TicketSpent, Outcome::Unknown, {}};
        case TicketVerdict::Unknown:
            return StartVerdict{false, false, FailureCode::TicketSpent, Outcome::Unknown, {}};
        }
    }
    if (call.callerKey.empty()) {
        return std::nullopt;
    }
    if (call.target != keyTarget_) {
        return StartVerdict{false, false, FailureCode::KeyHomeUnsure, Outcome::Unknown,
                            kShortRetry};
    }
    switch (keyHome_.accept(call.account, call.callerKey, now, wall)) {
    case KeyVerdict::Accept:
        return std::nullopt;
    case KeyVerdict::SeenBefore:
        return StartVerdict{false, false, FailureCode::KeySeenBefore, Outcome::Unknown, {}};
    case KeyVerdict::NotHome:
    case KeyVerdict::Unsure:
        // An earlier copy may have run at an earlier home, so no more than 'unknown' is true.
        return StartVerdict{false, false, FailureCode::KeyHomeUnsure, Outcome::Unknown,
                            kShortRetry};
    }
    return std::nullopt;
}

StartVerdict AgentCore::onCall(const AgentCall &call, TimePoint now, UnixMillis wall,
                               AgentActions &actions)
{
    if (ledger_.state(call.id) != RunState::Unknown) {
        // A copy of a request that is known here. Its first copy speaks for itself.
        return {false, false, FailureCode::Cancelled, Outcome::Unknown, {}};
    }
    if (const auto verdict = refuseBeforeProof(call, now)) {
        return *verdict;
    }
    QueuedRequest request;
    request.id = call.id;
    request.account = call.account;
    request.priority = call.priority;
    const Tokens answer = expectedAnswer(call.account, call.answerTokens);
    request.expectedCost = requestCost(call.promptTokens, answer);
    request.promptCost = requestCost(call.promptTokens, 0);
    request.answerTokens = call.answerTokens;
    request.arrived = now;
    request.deadline = now + call.deadline;
    if (!queue_.push(request)) {
        return refused(FailureCode::AccountQueueFull, predictedWait(call.account));
    }
    if (const auto verdict = checkProof(call, now, wall)) {
        queue_.remove(call.id);
        return *verdict;
    }
    ledger_.enqueue(call.id);
    if (call.ticket || !call.callerKey.empty()) {
        proofs_[call.id] = {call.ticket, call.account, call.callerKey};
    }
    startNext(now, actions);
    return {true, running_.contains(call.id), FailureCode::NoUpstream, Outcome::NotRun, {}};
}

void AgentCore::startNext(TimePoint now, AgentActions &actions)
{
    while (running_.size() < settings_.slots && !restUntil_) {
        const auto request = queue_.pop();
        if (!request) {
            return;
        }
        const Duration service = predictedService(request->account, 0, request->answerTokens);
        if (request->deadline <= now + 2 * service) {
            queue_.adjustCharge(request->account, -static_cast<double>(request->expectedCost));
            refuseWaiting(*request, FailureCode::DeadlineUnreachable, kShortRetry, actions);
            continue;
        }
        ledger_.start(request->id);
        proofs_.erase(request->id);
        const auto expected = static_cast<double>(request->expectedCost);
        const auto promptCost = static_cast<double>(request->promptCost);
        running_[request->id] = {request->account, expected, promptCost,
                                 static_cast<double>(request->answerTokens), 0.0};
        runningTokens_ += expected;
        actions.emplace_back(StartUpstream{request->id});
    }
}

void AgentCore::giveProofBack(RequestId id)
{
    const auto proof = proofs_.find(id);
    if (proof == proofs_.end()) {
        return;
    }
    if (proof->second.ticket) {
        tickets_.restore(*proof->second.ticket);
    }
    if (!proof->second.callerKey.empty()) {
        keyHome_.withdraw(proof->second.account, proof->second.callerKey);
    }
    proofs_.erase(proof);
}

void AgentCore::refuseWaiting(const QueuedRequest &request, FailureCode failure,
                              Duration retryAfter, AgentActions &actions)
{
    ledger_.withdraw(request.id);
    giveProofBack(request.id);
    actions.emplace_back(ReportNotRun{request.id, failure, retryAfter});
}

bool AgentCore::onCancel(RequestId id, Incarnation meant, TimePoint now, AgentActions &actions)
{
    if (meant != settings_.incarnation) {
        return false;
    }
    if (running_.contains(id)) {
        actions.emplace_back(AbortUpstream{id});
        onEnded(id, now, actions);
        return false;
    }
    return onWithdraw(id, meant);
}

bool AgentCore::onWithdraw(RequestId id, Incarnation meant)
{
    if (meant != settings_.incarnation || running_.contains(id)) {
        return false;
    }
    queue_.remove(id);
    const bool notRun = ledger_.cancel(id);
    if (notRun) {
        giveProofBack(id);
    }
    return notRun;
}

void AgentCore::onTokens(RequestId id, Tokens count)
{
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    Running &running = found->second;
    const auto added = static_cast<double>(count);
    running.produced += added;
    servedInWindow_ += added;
    // What goes beyond the declared length is charged as it is produced.
    const double beyond = running.promptCost + running.produced - running.expected;
    if (beyond > 0.0) {
        queue_.adjustCharge(running.account, beyond);
        running.expected += beyond;
        runningTokens_ += beyond;
    }
}

void AgentCore::settle(const Running &running, double actual)
{
    queue_.adjustCharge(running.account, actual - running.expected);
    runningTokens_ = std::max(0.0, runningTokens_ - running.expected);
}

void AgentCore::onEnded(RequestId id, TimePoint now, AgentActions &actions)
{
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    const Running running = found->second;
    running_.erase(found);
    ledger_.finish(id);
    // A plain service reports no tokens: the whole expected cost counts as served.
    const bool counted = running.produced > 0.0;
    learnLength(running);
    servedInWindow_ += counted ? running.promptCost : running.expected;
    settle(running, counted ? running.promptCost + running.produced : running.expected);
    startNext(now, actions);
    if (running_.size() < settings_.slots && !leaving_ && serving_ && !restUntil_) {
        actions.emplace_back(AnnounceFree{});
    }
}

void AgentCore::onNotStarted(RequestId id, TimePoint now, AgentActions &actions)
{
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    settle(found->second, 0.0);
    running_.erase(found);
    ledger_.withdraw(id);
    actions.emplace_back(ReportNotRun{id, FailureCode::UpstreamUnreachable, kShortRetry});
    startNext(now, actions);
}

void AgentCore::onTick(TimePoint now, AgentActions &actions)
{
    for (const QueuedRequest &request : queue_.popExpired(now)) {
        refuseWaiting(request, FailureCode::DeadlineUnreachable, kShortRetry, actions);
    }
    if (restUntil_ && now >= *restUntil_) {
        restUntil_.reset();
        if (!leaving_ && serving_) {
            actions.emplace_back(AnnounceFree{});
        }
    }
    startNext(now, actions);
    const Duration passed = now - windowStart_;
    if (passed < kRateWindow) {
        return;
    }
    // A window counts only when work waited through it: an idle upstream says nothing of its speed.
    const bool saturated = running_.size() >= settings_.slots;
    const double rate = servedInWindow_ / toSeconds(passed);
    if (servedInWindow_ > 0.0 && (saturated || rate > tokensPerSecond_)) {
        tokensPerSecond_ += kRateWeight * (rate - tokensPerSecond_);
    }
    windowStart_ = now;
    servedInWindow_ = 0.0;
}

void AgentCore::refuseAllWaiting(FailureCode failure, Duration retryAfter, AgentActions &actions)
{
    for (const QueuedRequest &request : queue_.popAll()) {
        refuseWaiting(request, failure, retryAfter, actions);
    }
}

void AgentCore::rest(TimePoint until, TimePoint now, AgentActions &actions)
{
    if (until <= now) {
        return;
    }
    restUntil_ = std::max(until, restUntil_.value_or(until));
    refuseAllWaiting(FailureCode::NoUpstream, *restUntil_ - now, actions);
}

void AgentCore::leave(AgentActions &actions)
{
    leaving_ = true;
    refuseAllWaiting(FailureCode::UpstreamLeaving, kShortRetry, actions);
}

void AgentCore::setServing(bool serving, AgentActions &actions)
{
    serving_ = serving;
    if (!serving) {
        refuseAllWaiting(FailureCode::UpstreamLeaving, kShortRetry, actions);
    }
}

AgentReport AgentCore::report() const
{
    AgentReport report;
    report.incarnation = settings_.incarnation;
    report.leaving = leaving_ || !serving_ || restUntil_.has_value();
    report.queuedTokens = queue_.queuedTokens();
    report.runningTokens = static_cast<Tokens>(runningTokens_);
    report.queuedRequests = static_cast<std::uint32_t>(queue_.size());
    report.runningRequests = static_cast<std::uint32_t>(running_.size());
    report.tokensPerSecond = tokensPerSecond_;
    report.slots = settings_.slots;
    return report;
}

} // namespace seamarch
