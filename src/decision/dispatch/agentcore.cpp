#include "decision/dispatch/agentcore.h"

#include "decision/fairness/requestcost.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace seamarch {
namespace {

constexpr Duration kRateWindow = std::chrono::seconds(1);
constexpr double kRateSmoothing = 0.3;
constexpr double kMaxLengthRatio = 4.0;
constexpr double kInitialLengthRatio = 0.25; // Of the declared length, until answers are measured.
constexpr double kLengthRatioSmoothing = 0.05;
constexpr int kServiceTimeMargin = 4; // 1 in 50 answers of freely varying length takes longer.
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(250);

AdmissionResult refused(FailureCode failure, Duration retryAfter = kDefaultRetryAfter)
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

void AgentCore::onGranted(const InstanceId &member, std::uint64_t set, TimePoint requestedAt,
                          TimePoint now, UnixMillis wall)
{
    keyHome_.onGrant(member, set, requestedAt, now, wall);
}

Duration AgentCore::predictedWait(const AccountId &account) const
{
    if (running_.size() < settings_.slots && queue_.size() == 0) {
        return {};
    }
    // All slots are in use, so one running request must end before the next one starts.
    const double tokensToFirstEnd =
        runningTokens_ / static_cast<double>(std::max<std::size_t>(1, running_.size()));
    return fromSeconds((queue_.tokensAhead(account) + tokensToFirstEnd) / tokensPerSecond_);
}

Tokens AgentCore::expectedAnswerTokens(const AccountId &account, Tokens declaredTokens) const
{
    const auto found = lengthRatios_.find(account);
    const double ratio = found == lengthRatios_.end() ? 1.0 : found->second;
    return static_cast<Tokens>(std::ceil(ratio * static_cast<double>(declaredTokens)));
}

void AgentCore::updateLengthRatio(const Running &running)
{
    if (running.producedTokens <= 0.0 || running.declaredTokens <= 0.0) {
        return;
    }
    const double observedRatio =
        std::min(running.producedTokens / running.declaredTokens, kMaxLengthRatio);
    const auto [ratio, added] = lengthRatios_.try_emplace(running.account, observedRatio);
    ratio->second += kLengthRatioSmoothing * (observedRatio - ratio->second);
}

Duration AgentCore::predictedServiceTime(const AccountId &account, Tokens promptTokens,
                                         Tokens answerTokens) const
{
    // Callers tend to declare the maximum that they would accept, so only a part of the declared
    // length is assumed until the account's ratio has been measured. Otherwise requests that can
    // meet their deadline would be refused.
    const bool ratioKnown = lengthRatios_.contains(account);
    const double assumedTokens =
        (ratioKnown ? 1.0 : kInitialLengthRatio) * static_cast<double>(answerTokens);
    answerTokens = static_cast<Tokens>(std::ceil(assumedTokens));
    const auto cost =
        static_cast<double>(requestCost(promptTokens, expectedAnswerTokens(account, answerTokens)));
    return fromSeconds(cost * settings_.slots / tokensPerSecond_);
}

std::optional<AdmissionResult> AgentCore::checkAdmission(const AgentCall &call, TimePoint now) const
{
    if (call.agentIncarnation != settings_.incarnation) {
        return refused(FailureCode::UpstreamUnreachable);
    }
    if (leaving_ || !serving_) {
        return refused(FailureCode::UpstreamLeaving);
    }
    if (backoffUntil_) {
        return refused(FailureCode::NoUpstream, std::max(*backoffUntil_ - now, kDefaultRetryAfter));
    }
    // An answer after the deadline is wasted work, so the time needed includes the service time.
    const Duration wait = predictedWait(call.account);
    const Duration service =
        predictedServiceTime(call.account, call.promptTokens, call.answerTokens);
    const Duration needed = wait + kServiceTimeMargin * service;
    // With a free slot the request is accepted whatever the prediction: if a wrong prediction could
    // refuse all requests, nothing would ever correct it.
    if (wait > Duration{} && needed > call.deadline) {
        return refused(FailureCode::DeadlineUnreachable,
                       std::min(needed - call.deadline, wait + kDefaultRetryAfter));
    }
    return std::nullopt;
}

std::optional<AdmissionResult> AgentCore::reserveTicketAndKey(const AgentCall &call, TimePoint now,
                                                              UnixMillis wall)
{
    if (call.ticket) {
        switch (tickets_.redeem(*call.ticket)) {
        case TicketVerdict::Fresh:
            break;
        case TicketVerdict::Spent:
            // This copy does not run, but an earlier copy may have, so the outcome is unknown.
            return AdmissionResult{false, false, FailureCode::TicketSpent, Outcome::Unknown, {}};
        case TicketVerdict::Unknown:
            return AdmissionResult{false, false, FailureCode::TicketSpent, Outcome::Unknown, {}};
        }
    }
    if (call.callerKey.empty()) {
        return std::nullopt;
    }
    if (call.target != keyTarget_) {
        return AdmissionResult{false, false, FailureCode::KeyHomeUnsure, Outcome::Unknown,
                               kDefaultRetryAfter};
    }
    switch (keyHome_.accept(call.account, call.callerKey, now, wall)) {
    case KeyVerdict::Accept:
        return std::nullopt;
    case KeyVerdict::SeenBefore:
        return AdmissionResult{false, false, FailureCode::KeySeenBefore, Outcome::Unknown, {}};
    case KeyVerdict::NotHome:
    case KeyVerdict::Unsure:
        // An earlier copy may have run at a previous key home, so the outcome is unknown.
        return AdmissionResult{false, false, FailureCode::KeyHomeUnsure, Outcome::Unknown,
                               kDefaultRetryAfter};
    }
    return std::nullopt;
}

AdmissionResult AgentCore::onCall(const AgentCall &call, TimePoint now, UnixMillis wall,
                                  AgentActions &actions)
{
    if (ledger_.state(call.id) != RunState::Unknown) {
        // A duplicate. The first copy determines the outcome of the request.
        return {false, false, FailureCode::Cancelled, Outcome::Unknown, {}};
    }
    if (const auto refusal = checkAdmission(call, now)) {
        return *refusal;
    }
    QueuedRequest request;
    request.id = call.id;
    request.account = call.account;
    request.priority = call.priority;
    const Tokens answer = expectedAnswerTokens(call.account, call.answerTokens);
    request.expectedCost = requestCost(call.promptTokens, answer);
    request.promptCost = requestCost(call.promptTokens, 0);
    request.answerTokens = call.answerTokens;
    request.arrived = now;
    request.deadline = now + call.deadline;
    if (!queue_.push(request)) {
        return refused(FailureCode::AccountQueueFull, predictedWait(call.account));
    }
    if (const auto refusal = reserveTicketAndKey(call, now, wall)) {
        queue_.remove(call.id);
        return *refusal;
    }
    ledger_.enqueue(call.id);
    if (call.ticket || !call.callerKey.empty()) {
        reservations_[call.id] = {call.ticket, call.account, call.callerKey};
    }
    startNext(now, actions);
    return {true, running_.contains(call.id), FailureCode::NoUpstream, Outcome::NotRun, {}};
}

void AgentCore::startNext(TimePoint now, AgentActions &actions)
{
    while (running_.size() < settings_.slots && !backoffUntil_) {
        const auto request = queue_.pop();
        if (!request) {
            return;
        }
        const Duration service = predictedServiceTime(request->account, 0, request->answerTokens);
        if (request->deadline <= now + 2 * service) {
            queue_.adjustCharge(request->account, -static_cast<double>(request->expectedCost));
            refuseWaiting(*request, FailureCode::DeadlineUnreachable, kDefaultRetryAfter, actions);
            continue;
        }
        ledger_.start(request->id);
        reservations_.erase(request->id);
        const auto expected = static_cast<double>(request->expectedCost);
        const auto promptCost = static_cast<double>(request->promptCost);
        running_[request->id] = {request->account, expected, promptCost,
                                 static_cast<double>(request->answerTokens), 0.0};
        runningTokens_ += expected;
        actions.emplace_back(StartUpstream{request->id});
    }
}

void AgentCore::releaseReservation(RequestId id)
{
    const auto reservation = reservations_.find(id);
    if (reservation == reservations_.end()) {
        return;
    }
    if (reservation->second.ticket) {
        tickets_.restore(*reservation->second.ticket);
    }
    if (!reservation->second.callerKey.empty()) {
        keyHome_.withdraw(reservation->second.account, reservation->second.callerKey);
    }
    reservations_.erase(reservation);
}

void AgentCore::refuseWaiting(const QueuedRequest &request, FailureCode failure,
                              Duration retryAfter, AgentActions &actions)
{
    ledger_.withdraw(request.id);
    releaseReservation(request.id);
    actions.emplace_back(ReportNotRun{request.id, failure, retryAfter});
}

bool AgentCore::onCancel(RequestId id, Incarnation targetIncarnation, TimePoint now,
                         AgentActions &actions)
{
    if (targetIncarnation != settings_.incarnation) {
        return false;
    }
    if (running_.contains(id)) {
        actions.emplace_back(AbortUpstream{id});
        onEnded(id, now, actions);
        return false;
    }
    return onWithdraw(id, targetIncarnation);
}

bool AgentCore::onWithdraw(RequestId id, Incarnation targetIncarnation)
{
    if (targetIncarnation != settings_.incarnation || running_.contains(id)) {
        return false;
    }
    queue_.remove(id);
    const bool notRun = ledger_.cancel(id);
    if (notRun) {
        releaseReservation(id);
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
    running.producedTokens += added;
    servedInWindow_ += added;
    // Tokens beyond the expected cost are charged as they are produced.
    const double excess = running.promptCost + running.producedTokens - running.chargedCost;
    if (excess > 0.0) {
        queue_.adjustCharge(running.account, excess);
        running.chargedCost += excess;
        runningTokens_ += excess;
    }
}

void AgentCore::settleCharge(const Running &running, double actual)
{
    queue_.adjustCharge(running.account, actual - running.chargedCost);
    runningTokens_ = std::max(0.0, runningTokens_ - running.chargedCost);
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
    // An upstream that is not a model engine reports no tokens; its expected cost counts as served.
    const bool reportsTokens = running.producedTokens > 0.0;
    updateLengthRatio(running);
    servedInWindow_ += reportsTokens ? running.promptCost : running.chargedCost;
    settleCharge(running,
                 reportsTokens ? running.promptCost + running.producedTokens : running.chargedCost);
    startNext(now, actions);
    if (running_.size() < settings_.slots && !leaving_ && serving_ && !backoffUntil_) {
        actions.emplace_back(AnnounceFreeSlot{});
    }
}

void AgentCore::onNotStarted(RequestId id, TimePoint now, AgentActions &actions)
{
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    settleCharge(found->second, 0.0);
    running_.erase(found);
    ledger_.withdraw(id);
    actions.emplace_back(ReportNotRun{id, FailureCode::UpstreamUnreachable, kDefaultRetryAfter});
    startNext(now, actions);
}

void AgentCore::onTick(TimePoint now, AgentActions &actions)
{
    for (const QueuedRequest &request : queue_.popExpired(now)) {
        refuseWaiting(request, FailureCode::DeadlineUnreachable, kDefaultRetryAfter, actions);
    }
    if (backoffUntil_ && now >= *backoffUntil_) {
        backoffUntil_.reset();
        if (!leaving_ && serving_) {
            actions.emplace_back(AnnounceFreeSlot{});
        }
    }
    startNext(now, actions);
    const Duration elapsed = now - windowStart_;
    if (elapsed < kRateWindow) {
        return;
    }
    // The rate of a window without full slots counts only if it raises the estimate: an upstream
    // that is not saturated does not show its capacity.
    const bool saturated = running_.size() >= settings_.slots;
    const double rate = servedInWindow_ / toSeconds(elapsed);
    if (servedInWindow_ > 0.0 && (saturated || rate > tokensPerSecond_)) {
        tokensPerSecond_ += kRateSmoothing * (rate - tokensPerSecond_);
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

void AgentCore::backOffUntil(TimePoint until, TimePoint now, AgentActions &actions)
{
    if (until <= now) {
        return;
    }
    backoffUntil_ = std::max(until, backoffUntil_.value_or(until));
    refuseAllWaiting(FailureCode::NoUpstream, *backoffUntil_ - now, actions);
}

void AgentCore::leave(AgentActions &actions)
{
    leaving_ = true;
    refuseAllWaiting(FailureCode::UpstreamLeaving, kDefaultRetryAfter, actions);
}

void AgentCore::setServing(bool serving, AgentActions &actions)
{
    serving_ = serving;
    if (!serving) {
        refuseAllWaiting(FailureCode::UpstreamLeaving, kDefaultRetryAfter, actions);
    }
}

AgentReport AgentCore::report() const
{
    AgentReport report;
    report.incarnation = settings_.incarnation;
    report.leaving = leaving_ || !serving_ || backoffUntil_.has_value();
    report.queuedTokens = queue_.queuedTokens();
    report.runningTokens = static_cast<Tokens>(runningTokens_);
    report.queuedRequests = static_cast<std::uint32_t>(queue_.size());
    report.runningRequests = static_cast<std::uint32_t>(running_.size());
    report.tokensPerSecond = tokensPerSecond_;
    report.slots = settings_.slots;
    return report;
}

} // namespace seamarch
