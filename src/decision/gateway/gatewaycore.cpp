#include "decision/gateway/gatewaycore.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace seamarch {
namespace {

// A request fails this long before its deadline, so that the rejection still reaches the caller.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(10);

UpstreamChooser::Settings chooserSettings(const GatewayCore::Settings &settings)
{
    UpstreamChooser::Settings chooser = settings.chooser;
    chooser.hall = settings.hall;
    chooser.regions = settings.regions;
    return chooser;
}

bool provesNotRun(AnswerKind kind)
{
    return kind == AnswerKind::Full || kind == AnswerKind::WrongInstance
           || kind == AnswerKind::Refused;
}

} // namespace

GatewayCore::GatewayCore(const Settings &settings)
    : settings_(settings)
    , random_(settings.seed)
    , limits_(settings.limits)
    , chooser_(chooserSettings(settings), upstreams_, groups_, limits_, warmUps_, permits_)
    , crashes_(settings.crashes)
{}

GatewayCore::Request *GatewayCore::find(RequestNumber number)
{
    const auto found = requests_.find(number);
    return found == requests_.end() ? nullptr : &found->second;
}

// Returns this gateway's share of the retry limits. The gateways do not count together, so each
// stays well below an even share, because their traffic differs. If their number is not known, its
// part of the burst is one retry.
RetryBudget::Settings GatewayCore::budgetShare() const
{
    constexpr double kPerRequestFraction = 0.75;
    constexpr double kBurstFraction = 0.35;
    constexpr double kInitialTokens = 2.0;
    const double burst = retryGateways_ ? settings_.retries.burst * kBurstFraction
                                              / static_cast<double>(*retryGateways_)
                                        : 0.0;
    const bool disabled = settings_.retries.perRequest <= 0.0 && settings_.retries.burst <= 0.0;
    const double maxTokens = disabled ? 0.0 : std::max(1.0, burst);
    return {settings_.retries.perRequest * kPerRequestFraction, maxTokens,
            std::min(maxTokens, kInitialTokens)};
}

void GatewayCore::setGatewayCount(std::size_t count)
{
    gateways_ = std::max<std::size_t>(1, count);
}

void GatewayCore::setRetryGateways(std::optional<std::size_t> count)
{
    if (count != retryGateways_) {
        retryGateways_ = count;
        setRetryLimits(settings_.retries);
    }
}

double GatewayCore::retryPermits(const TargetName &service) const
{
    const auto found = budgets_.find(service);
    return found == budgets_.end() ? 0.0 : found->second.permits();
}

void GatewayCore::setHallPosition(const HallPosition &position)
{
    hallPosition_ = position;
    chooser_.setHallPosition(position);
}

void GatewayCore::setRetryLimits(const RetryLimits &limits)
{
    settings_.retries = limits;
    for (auto &[service, budget] : budgets_) {
        budget.reconfigure(budgetShare());
    }
}

bool GatewayCore::mayRepeat(const Request &request) const
{
    const RouteRule &route = *request.request.route;
    return route.repeatable || (route.streamed && route.resumable);
}

RequestNumber GatewayCore::begin(GatewayRequest request, TimePoint now, GatewayActions &actions)
{
    const RequestNumber number = nextNumber_++;
    Request &added = requests_[number];
    const RouteRule &route = *request.route;
    const Duration longest =
        route.timeout > Duration{} ? std::min(route.timeout, request.deadline) : request.deadline;
    added.arrivedAt = now - request.age;
    added.firstSentAt = added.arrivedAt - ageEstimators_[route.name].estimateAge(request.deadline);
    added.request = std::move(request);
    added.service = chooseService(route);
    for (const PromptPartId &part : added.request.sharedParts) {
        crashes_.onPartRequested(added.partKeys.emplace_back(added.service, part));
    }
    added.failAt = added.arrivedAt + longest - kAnswerMargin;
    budgets_.try_emplace(added.service, budgetShare()).first->second.onSuccess();
    if (!mayBeSent(added, now)) {
        giveUp(number, FailureCode::RequestEndsUpstreams, now, actions);
        return number;
    }
    if (!chooser_.hasUpstream(added.service, added.request.residency)) {
        giveUp(number, FailureCode::NoUpstreamInRegions, now, actions);
        return number;
    }
    if (route.streamed) {
        ServiceState &service = serviceOf(added.service);
        const StreamQueue::Entry entry = queueEntryFor(number, added, service);
        if (service.queue.countAhead(entry, now) > 0) {
            admitQueued(service, now, actions); // They take the slots that have become free.
        }
        const auto group = service.selector.selectForNew(entry, groups_, now);
        if (!group) {
            queueStream(number, added, now, actions);
            return number;
        }
        service.queue.chargeDirectStart(entry);
        service.recentStarts.push_back(now);
        startOrAwaitPermit(number, added, group, now, actions);
    } else {
        startOrAwaitPermit(number, added, std::nullopt, now, actions);
    }
    return number;
}

void GatewayCore::endRequest(RequestNumber number)
{
    const auto found = requests_.find(number);
    if (found == requests_.end()) {
        return;
    }
    const Request &request = found->second;
    ServiceState &service = serviceOf(request.service);
    if (request.queued) {
        service.queue.remove(number);
    }
    permitWaiters_.erase(number);
    requests_.erase(found);
}

TargetName GatewayCore::chooseService(const RouteRule &route)
{
    std::uint64_t total = 0;
    for (const RouteTarget &target : route.targets) {
        total += target.weight;
    }
    if (total == 0) {
        return route.targets.empty() ? TargetName() : route.targets.front().service;
    }
    std::uint64_t remaining = std::uniform_int_distribution<std::uint64_t>(0, total - 1)(random_);
    for (const RouteTarget &target : route.targets) {
        if (remaining < target.weight) {
            return target.service;
        }
        remaining -= target.weight;
    }
    return route.targets.back().service;
}

// Returns whether a request whose attempt failed can be sent to another upstream.
bool GatewayCore::mayRetry(const Request &request, TimePoint now)
{
    return mayRepeat(request) && mayBeSent(request, now)
           && request.attempts < request.request.route->maxAttempts
           && budgets_.at(request.service).hasPermit()
           && chooseFor(request, std::nullopt, now).has_value();
}

// Returns the best upstream of `group`, or of any group if `group` is empty, that the request was
// not sent to yet.
std::optional<InstanceId> GatewayCore::chooseFor(const Request &request,
                                                 const std::optional<GroupId> &group, TimePoint now)
{
    return chooser_.choose(
        {request.service, group, request.request.residency, paceFor(request), gateways_},
        request.tried, now);
}

// Sends the request to the best upstream of `group`, or of any group if that has none left. Returns
// false if the request cannot be sent.
bool GatewayCore::startAttempt(RequestNumber number, Request &request,
                               const std::optional<GroupId> &group, TimePoint now,
                               GatewayActions &actions)
{
    if (!mayBeSent(request, now)) {
        return false;
    }
    auto chosen = chooseFor(request, group, now);
    if (!chosen && group) {
        chosen = chooseFor(request, std::nullopt, now);
    }
    if (!chosen || now >= request.failAt) {
        return false;
    }
    const UpstreamRecord &upstream = *upstreams_.find(*chosen);
    request.upstream = *chosen;
    request.upstreamRecord = upstream;
    request.group = groups_.groupOf(upstream);
    request.hasEvents = false;
    request.partsAnswered = false;
    request.succeeds = false;
    request.attemptStartedAt = now;
    request.progressAt = now;
    request.tried.insert(*chosen);
    request.attemptHasHead = false;
    request.readingPaused = false;
    ++request.attempts;
    chooser_.onSent(upstream, now);
    if (request.request.route->streamed) {
        trackerOf(request).onStreamStart(now);
    }
    actions.push_back(StartAttempt{number, request.attempts + request.connectFailures, upstream,
                                   request.group, request.failAt - now, mayRepeat(request)});
    return true;
}

// Sends the request again, as `startAttempt`, to a group that is selected for retries.
bool GatewayCore::startRetry(RequestNumber number, Request &request, TimePoint now,
                             GatewayActions &actions)
{
    const bool streamed = request.request.route->streamed;
    const auto group =
        streamed ? serviceOf(request.service).selector.selectForRetry(groups_, now) : std::nullopt;
    return startAttempt(number, request, group, now, actions);
}

void GatewayCore::detachUpstream(Request &request)
{
    chooser_.onFinished(request.upstream);
    if (request.request.route->streamed) {
        trackerOf(request).onStreamEnd(request.hasEvents);
    }
    request.upstream = InstanceId();
    request.hasEvents = false;
    request.attemptHasHead = false;
}

// Updates the refusal state of the upstream's group from an answer. A group that was stalled
// refuses all requests.
void GatewayCore::recordAnswer(Request &request, AnswerKind kind, TimePoint now)
{
    if (kind == AnswerKind::WrongInstance || kind == AnswerKind::Refused) {
        return; // Answered before the request reached the group.
    }
    GroupSelector &selector = serviceOf(request.service).selector;
    GroupTracker &tracker = selector.tracker(request.group);
    if (kind != AnswerKind::Full) {
        if (tracker.onAnswer(now)) {
            selector.resetLimit(request.group);
        }
        return;
    }
    tracker.onRefusal(request.attemptStartedAt, now);
    if (selector.allRefusing(now)) {
        request.retryAfterHint = maxHonouredRetryAfter(request, now);
    }
}

std::optional<AttemptRecord> GatewayCore::attemptOf(RequestNumber number) const
{
    const auto found = requests_.find(number);
    if (found == requests_.end() || found->second.upstream == InstanceId()) {
        return std::nullopt;
    }
    const Request &request = found->second;
    return AttemptRecord{request.upstreamRecord, request.attemptStartedAt, crashSuspects(number),
                         request.partsAnswered};
}

CancelAttempt GatewayCore::cancellation(RequestNumber number, CancelReason reason) const
{
    return {number, reason, attemptOf(number).value_or(AttemptRecord())};
}

void GatewayCore::onNotice(const AttemptRecord &attempt, const UpstreamNotice &notice,
                           TimePoint now)
{
    if (notice.rest) {
        chooser_.onRestRequested(attempt.upstream.id, now + *notice.rest);
    }
    if (notice.leaving) {
        upstreams_.markLeaving(attempt.upstream);
    }
}

void GatewayCore::onAbandonedHead(const AttemptRecord &attempt, AnswerKind kind, TimePoint now)
{
    if (kind != AnswerKind::WrongInstance) {
        chooser_.onAnswered(attempt.upstream.id, now);
    }
    recordRefusal(attempt.upstream.id, kind, now);
}

void GatewayCore::recordRefusal(const InstanceId &upstream, AnswerKind kind, TimePoint now)
{
    if (kind == AnswerKind::Full) {
        chooser_.onFull(upstream, now);
    } else if (kind == AnswerKind::WrongInstance) {
        chooser_.onWrongInstance(upstream, now);
    }
}

bool GatewayCore::onHead(RequestNumber number, AnswerKind kind, TimePoint now,
                         GatewayActions &actions)
{
    Request *request = find(number);
    if (request == nullptr || request->upstream == InstanceId()) {
        return false;
    }
    const InstanceId upstream = request->upstream;
    if (kind != AnswerKind::WrongInstance) {
        chooser_.onAnswered(upstream, now);
    }
    recordAnswer(*request, kind, now);
    if (kind == AnswerKind::Success) {
        chooser_.onSuccess(upstream);
        recordPace(*request, now);
        request->progressAt = now;
        request->attemptHasHead = true;
        request->succeeds = true;
        request->headSent = true;
        return true;
    }
    if (kind == AnswerKind::Failure) {
        crashes_.onRequestCompleted(SuspectKey(request->request.digest), now);
    }
    if (kind == AnswerKind::Failure || kind == AnswerKind::Invalid) {
        chooser_.onFailure(upstream, now);
        request->mayHaveRun = true;
        // Without another attempt the upstream's own failure is forwarded to the caller.
        if (kind == AnswerKind::Failure && !request->headSent && !mayRetry(*request, now)) {
            request->attemptHasHead = true;
            request->headSent = true;
            return true;
        }
    }
    recordRefusal(upstream, kind, now);
    actions.push_back(cancellation(number, CancelReason::Answered));
    detachUpstream(*request);
    if (kind == AnswerKind::Full && requeue(number, *request, now)) {
        return false;
    }
    if (provesNotRun(kind) || mayRepeat(*request)) {
        retryOrGiveUp(number,
                      provesNotRun(kind) ? FailureCode::NoUpstream : FailureCode::UpstreamFailed,
                      now, actions);
    } else {
        giveUp(number, FailureCode::UpstreamFailed, now, actions);
    }
    return false;
}

void GatewayCore::onEnd(RequestNumber number, AttemptEnd end, TimePoint now,
                        GatewayActions &actions)
{
    Request *request = find(number);
    if (request == nullptr || request->upstream == InstanceId()) {
        return;
    }
    const InstanceId upstream = request->upstream;
    const bool attemptHasHead = request->attemptHasHead;
    const GroupId group = request->group;
    detachUpstream(*request);
    if (end == AttemptEnd::Complete && attemptHasHead) {
        crashes_.onRequestCompleted(SuspectKey(request->request.digest), now);
        if (request->succeeds) {
            recordPartsAnswered(*request, now);
        }
        endRequest(number);
        return;
    }
    if (end == AttemptEnd::NotSent) {
        chooser_.onUnreachable(upstream, now);
        serviceOf(request->service).selector.tracker(group).onUnreachable(now);
        --request->attempts;
        ++request->connectFailures;
        if (request->connectFailures <= settings_.maxConnectFailures) {
            if (!startRetry(number, *request, now, actions)) {
                giveUp(number, FailureCode::NoUpstream, now, actions);
            }
            return;
        }
        giveUp(number, FailureCode::NoUpstream, now, actions);
        return;
    }
    chooser_.onFailure(upstream, now);
    request->mayHaveRun = true;
    const bool mayResume = !request->headSent || request->request.route->resumable;
    if (mayRepeat(*request) && mayResume) {
        retryOrGiveUp(number, FailureCode::UpstreamUnreachable, now, actions);
    } else {
        giveUp(number, FailureCode::UpstreamUnreachable, now, actions);
    }
}

void GatewayCore::onAnswerReceived(RequestNumber number, TimePoint now)
{
    if (Request *request = find(number)) {
        request->progressAt = now;
    }
}

void GatewayCore::retryOrGiveUp(RequestNumber number, FailureCode failure, TimePoint now,
                                GatewayActions &actions)
{
    Request &request = requests_.at(number);
    const bool allowed =
        request.attempts < request.request.route->maxAttempts && mayBeSent(request, now);
    if (allowed && budgets_.at(request.service).tryAcquire()
        && startRetry(number, request, now, actions)) {
        ++secondAttempts_;
        return;
    }
    giveUp(number, failure, now, actions);
}

void GatewayCore::giveUp(RequestNumber number, FailureCode failure, TimePoint now,
                         GatewayActions &actions)
{
    const auto found = requests_.find(number);
    if (found == requests_.end()) {
        return;
    }
    Request &request = found->second;
    if (request.upstream != InstanceId()) {
        actions.push_back(cancellation(number, mayBeSent(request, now)
                                                   ? CancelReason::Ended
                                                   : CancelReason::MayCrashUpstream));
        detachUpstream(request);
    }
    if (request.headSent) {
        actions.push_back(AbortAnswer{number, failure});
    } else if (request.mayHaveRun) {
        const FailureCode reported =
            failure == FailureCode::NoUpstream ? FailureCode::UpstreamFailed : failure;
        actions.push_back(
            RejectRequest{number, reported, Outcome::Unknown, {}, 0, std::nullopt, 0});
    } else if (!mayBeSent(request, now)) {
        actions.push_back(rejectionOfSuspect(number, request, now));
    } else {
        const bool regions = failure == FailureCode::NoUpstreamInRegions;
        actions.push_back(RejectRequest{number, regions ? failure : FailureCode::NoUpstream,
                                        Outcome::NotRun, retryAfterFor(request, now),
                                        request.displacedBy, std::nullopt, 0});
    }
    endRequest(number);
}

// Returns the retry delay for a rejected caller. It is no shorter than the time until an upstream
// ends its rest or permits are available again.
Duration GatewayCore::retryAfterFor(const Request &request, TimePoint now)
{
    const Duration wait =
        request.retryAfterHint > Duration{} ? request.retryAfterHint : settings_.retryAfter;
    const TimePoint restsUntil = chooser_.earliestRestEnd(request.service, now).value_or(now);
    const TimePoint permitsFrom = chooser_.earliestPermitAt(request.service, now).value_or(now);
    return std::max({wait, restsUntil - now, permitsFrom - now});
}

void GatewayCore::onCallerGone(RequestNumber number, GatewayActions &actions)
{
    Request *request = find(number);
    if (request == nullptr) {
        return;
    }
    if (request->upstream != InstanceId()) {
        actions.push_back(cancellation(number, CancelReason::Ended));
        detachUpstream(*request);
    }
    endRequest(number);
}

bool GatewayCore::mayBeSent(const Request &request, TimePoint now) const
{
    return crashes_.mayBeSent(SuspectKey(request.request.digest), now)
           && std::all_of(request.partKeys.begin(), request.partKeys.end(),
                          [&](const SuspectKey &part) { return crashes_.mayBeSent(part, now); });
}

// Returns the rejection of a request that has not run. A retry would be rejected as well, so it
// states no retry delay.
RejectRequest GatewayCore::rejectionOfSuspect(RequestNumber number, const Request &request,
                                              TimePoint now) const
{
    RejectRequest rejection{
        number, FailureCode::RequestEndsUpstreams, Outcome::NotRun, {}, 0, std::nullopt, 0};
    SuspectKey cause(request.request.digest);
    for (std::size_t part = 0; part < request.partKeys.size(); ++part) {
        if (!crashes_.mayBeSent(request.partKeys[part], now)) {
            rejection.crashingPart = part;
            cause = request.partKeys[part];
            break;
        }
    }
    rejection.crashes = crashes_.crashCount(cause);
    return rejection;
}

void GatewayCore::recordPartsAnswered(Request &request, TimePoint now)
{
    request.partsAnswered = true;
    for (const SuspectKey &part : request.partKeys) {
        crashes_.onPartAnswered(part, now);
    }
}

std::vector<SuspectKey> GatewayCore::crashSuspects(RequestNumber number) const
{
    const auto found = requests_.find(number);
    if (found == requests_.end()) {
        return {};
    }
    const Request &request = found->second;
    std::vector<SuspectKey> suspects{SuspectKey(request.request.digest)};
    // Whether the answer has begun is not known: an upstream may crash before it sends the head.
    if (!request.partsAnswered) {
        suspects.insert(suspects.end(), request.partKeys.begin(), request.partKeys.end());
    }
    return suspects;
}

void GatewayCore::onUpstreamEnded(const std::vector<SuspectKey> &suspects, const AccountId &account,
                                  const InstanceId &upstream, TimePoint at, TimePoint now,
                                  GatewayActions &actions)
{
    if (!upstreams_.isActive(upstream)) {
        return;
    }
    for (const SuspectKey &suspect : suspects) {
        crashes_.onUpstreamCrashed(suspect, account, upstream, at);
    }
    giveUpSuspects(now, actions);
}

// Fails requests that must not be sent any more, whether queued or in progress. An upstream that
// has not started a request drops it when the connection closes. Requests with an answer in
// progress continue: their completion may prove that the request is harmless.
void GatewayCore::giveUpSuspects(TimePoint now, GatewayActions &actions)
{
    if (crashes_.cursor() == crashCursor_) {
        return;
    }
    crashCursor_ = crashes_.cursor();
    std::vector<RequestNumber> suspects;
    for (const auto &[number, request] : requests_) {
        if (!request.attemptHasHead && !mayBeSent(request, now)) {
            suspects.push_back(number);
        }
    }
    std::sort(suspects.begin(), suspects.end());
    for (const RequestNumber number : suspects) {
        Request &request = requests_.at(number);
        request.mayHaveRun = request.mayHaveRun || request.upstream != InstanceId();
        giveUp(number, FailureCode::UpstreamFailed, now, actions);
    }
}

// Returns whether the request may fail over because its upstream has been silent for so long that
// the caller will soon disconnect.
bool GatewayCore::isSilent(const Request &request, TimePoint now) const
{
    const RouteRule &route = *request.request.route;
    const bool mayFailOver = request.upstream != InstanceId() && !request.readingPaused
                             && (!request.headSent || route.resumable);
    const Duration silenceTimeout = std::min(route.silenceTimeout, request.request.deadline);
    return mayFailOver && silenceTimeout > Duration{}
           && toSeconds(now - request.progressAt)
                  >= toSeconds(silenceTimeout) * settings_.silenceFraction;
}

void GatewayCore::failOverSilent(TimePoint now, GatewayActions &actions)
{
    std::vector<RequestNumber> silent;
    for (const auto &[number, request] : requests_) {
        if (isSilent(request, now) && mayRetry(request, now)) {
            silent.push_back(number);
        }
    }
    std::sort(silent.begin(), silent.end());
    for (const RequestNumber number : silent) {
        failOver(number, now, actions);
    }
}

// Cancels the attempt at a silent upstream and sends the request to a better one, if there is one.
void GatewayCore::failOver(RequestNumber number, TimePoint now, GatewayActions &actions)
{
    Request &request = requests_.at(number);
    std::optional<GroupId> group;
    if (request.request.route->streamed) {
        group = serviceOf(request.service).selector.selectForFailover(request.group, groups_, now);
        if (!group || !chooseFor(request, group, now)) {
            return;
        }
    }
    if (!budgets_.at(request.service).tryAcquire()) {
        return;
    }
    chooser_.onFailure(request.upstream, now);
    request.mayHaveRun = true;
    actions.push_back(cancellation(number, CancelReason::Silent));
    detachUpstream(request);
    ++secondAttempts_;
    if (!startAttempt(number, request, group, now, actions)) {
        giveUp(number, FailureCode::UpstreamTimedOut, now, actions);
    }
}

// Fails a request whose time is over.
void GatewayCore::giveUpWaiting(RequestNumber number, TimePoint now, GatewayActions &actions)
{
    Request &request = requests_.at(number);
    // The current attempt may have been written.
    request.mayHaveRun = request.mayHaveRun || request.upstream != InstanceId();
    giveUp(number, FailureCode::UpstreamTimedOut, now, actions);
}

void GatewayCore::endAll(TimePoint now, GatewayActions &actions)
{
    std::vector<RequestNumber> numbers;
    for (const auto &[number, request] : requests_) {
        numbers.push_back(number);
    }
    std::sort(numbers.begin(), numbers.end());
    for (const RequestNumber number : numbers) {
        giveUpWaiting(number, now, actions);
    }
}

void GatewayCore::onTick(TimePoint now, GatewayActions &actions)
{
    upstreams_.expire(now);
    groups_.expire(now);
    chooser_.expire(now);
    crashes_.expire(now);
    limits_.expire(now);
    permits_.expire(now);
    permitIssuer_.expire(now);
    recordWaits(now);
    servePermitWaiters(now, actions);
    giveUpSuspects(now, actions);
    std::vector<RequestNumber> expired;
    for (const auto &[number, request] : requests_) {
        const bool queueTimedOut =
            request.queued && now - request.arrivedAt >= maxQueueTime(request);
        if (now >= request.failAt || queueTimedOut) {
            expired.push_back(number);
        }
    }
    std::sort(expired.begin(), expired.end());
    for (const RequestNumber number : expired) {
        Request &request = requests_.at(number);
        if (request.queued) {
            const bool serviceOut = serviceOf(request.service).selector.allRefusing(now);
            request.retryAfterHint =
                serviceOut ? maxHonouredRetryAfter(request, now) : settings_.minRetryAfter;
        }
        giveUpWaiting(number, now, actions);
    }
    failOverSilent(now, actions);
    for (auto &[name, service] : services_) {
        ServiceState &current = serviceOf(name);
        current.selector.onTick(current.queue.size(), groups_, now);
        admitQueued(current, now, actions);
    }
}

} // namespace seamarch
