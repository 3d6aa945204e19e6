#include "decision/gateway/gatewaycore.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace seamarch {
namespace {

// A request is given up a little before its time is over, so that its answer still arrives.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(10);

UpstreamChooser::Settings choiceSettings(const GatewayCore::Settings &settings)
{
    UpstreamChooser::Settings choice = settings.choice;
    choice.hall = settings.hall;
    choice.regions = settings.regions;
    return choice;
}

bool saysNotRun(AnswerKind kind)
{
    return kind == AnswerKind::Full || kind == AnswerKind::WrongInstance
           || kind == AnswerKind::Refused;
}

} // namespace

GatewayCore::GatewayCore(const Settings &settings)
    : settings_(settings)
    , random_(settings.seed)
    , limits_(settings.limits)
    , chooser_(choiceSettings(settings), upstreams_, groups_, limits_, warmUps_, permits_)
    , crashes_(settings.crashes)
{}

GatewayCore::Request *GatewayCore::find(RequestNumber number)
{
    const auto found = requests_.find(number);
    return found == requests_.end() ? nullptr : &found->second;
}

// Returns the part of the limits that this gateway may spend. The gateways do not count together,
// so each stays well below its part: it may know of too few others, and their traffic is unlike.
RetryBudget::Settings GatewayCore::ownBudget() const
{
    constexpr double kSpentPerRequest = 0.75;
    constexpr double kSpentOfBurst = 0.35;
    constexpr double kFirstPermits = 2.0;
    const double burst = settings_.retries.burst * kSpentOfBurst / static_cast<double>(gateways_);
    const bool none = settings_.retries.perRequest <= 0.0 && burst <= 0.0;
    const double most = none ? 0.0 : std::max(1.0, burst);
    return {settings_.retries.perRequest * kSpentPerRequest, most, std::min(most, kFirstPermits)};
}

void GatewayCore::setGateways(std::size_t count)
{
    const std::size_t gateways = std::max<std::size_t>(1, count);
    if (gateways != gateways_) {
        gateways_ = gateways;
        setRetryLimits(settings_.retries);
    }
}

void GatewayCore::setPlace(const HallPlace &place)
{
    place_ = place;
    chooser_.setPlace(place);
}

void GatewayCore::setRetryLimits(const RetryLimits &limits)
{
    settings_.retries = limits;
    for (auto &[service, budget] : budgets_) {
        budget.reconfigure(ownBudget());
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
    added.arrivedAt = now - request.held;
    added.firstAskedAt = added.arrivedAt - statedWaits_[route.name].sinceFirstTry(request.deadline);
    added.request = std::move(request);
    added.service = chooseService(route);
    added.giveUpAt = added.arrivedAt + longest - kAnswerMargin;
    budgets_.try_emplace(added.service, ownBudget()).first->second.onSuccess();
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
        const auto group = service.lanes.laneFor(entryFor(number, added, service), groups_, now);
        if (!group) {
            queueStream(number, added, now, actions);
            return number;
        }
        service.started.push_back(now);
        startOrWait(number, added, group, now, actions);
    } else {
        startOrWait(number, added, std::nullopt, now, actions);
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
    if (request.waits) {
        service.waiting.remove(number);
    }
    waitForPermits_.erase(number);
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
    std::uint64_t drawn = std::uniform_int_distribution<std::uint64_t>(0, total - 1)(random_);
    for (const RouteTarget &target : route.targets) {
        if (drawn < target.weight) {
            return target.service;
        }
        drawn -= target.weight;
    }
    return route.targets.back().service;
}

// Tells whether a request whose attempt has failed can be sent to another upstream.
bool GatewayCore::mayTryAgain(const Request &request, TimePoint now)
{
    return mayRepeat(request) && mayBeSent(request, now)
           && request.attempts < request.request.route->maxAttempts
           && budgets_.at(request.service).hasPermit()
           && chooseFor(request, std::nullopt, now).has_value();
}

// Returns the best upstream of `group`, or of any group, that the request was not sent to yet.
std::optional<InstanceId> GatewayCore::chooseFor(const Request &request,
                                                 const std::optional<GroupId> &group, TimePoint now)
{
    return chooser_.choose({request.service, group, request.request.residency}, request.tried, now);
}

// Sends the request to the best upstream of `group`, or of any where that has none left.
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
    if (!chosen || now >= request.giveUpAt) {
        return false;
    }
    const UpstreamRecord &upstream = *upstreams_.find(*chosen);
    request.upstream = *chosen;
    request.sentTo = upstream;
    request.group = groups_.groupOf(upstream);
    request.speaks = false;
    request.sentAt = now;
    request.heardAt = now;
    request.tried.insert(*chosen);
    request.answering = false;
    ++request.attempts;
    chooser_.onSent(upstream, now);
    if (request.request.route->streamed) {
        laneOf(request).onSent(now);
    }
    actions.push_back(StartAttempt{number, request.attempts + request.unsent, upstream,
                                   request.group, request.giveUpAt - now, mayRepeat(request)});
    return true;
}

// Sends the request once more.
bool GatewayCore::startAgain(RequestNumber number, Request &request, TimePoint now,
                             GatewayActions &actions)
{
    const bool streamed = request.request.route->streamed;
    const auto group =
        streamed ? serviceOf(request.service).lanes.laneForRetry(groups_, now) : std::nullopt;
    return startAttempt(number, request, group, now, actions);
}

void GatewayCore::leaveUpstream(Request &request)
{
    chooser_.onLeft(request.upstream);
    if (request.request.route->streamed) {
        laneOf(request).onLeft(request.speaks);
    }
    request.upstream = InstanceId();
    request.speaks = false;
    request.answering = false;
}

// Learns from an answer whether a group refuses everything, as one does that stands still.
void GatewayCore::noteAnswer(Request &request, AnswerKind kind, TimePoint now)
{
    if (kind == AnswerKind::WrongInstance || kind == AnswerKind::Refused) {
        return; // Said before the request got as far as the group.
    }
    ServiceLanes &lanes = serviceOf(request.service).lanes;
    StreamLane &lane = lanes.lane(request.group);
    if (kind != AnswerKind::Full) {
        if (lane.onAnswer(now)) {
            lanes.beginAnew(request.group);
        }
        return;
    }
    lane.onRefusal(request.sentAt, now);
    if (lanes.isOut(now)) {
        request.comeBack = latestReturn(request, now);
    }
}

void GatewayCore::onNotice(RequestNumber number, const UpstreamNotice &notice, TimePoint now)
{
    const Request *request = find(number);
    if (request == nullptr || request->upstream == InstanceId()) {
        return;
    }
    if (notice.rest) {
        chooser_.onRestWanted(request->upstream, now + *notice.rest);
    }
    if (notice.leaving) {
        upstreams_.announceLeaving(request->sentTo);
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
    noteAnswer(*request, kind, now);
    if (kind == AnswerKind::Success) {
        chooser_.onSuccess(upstream);
        request->heardAt = now;
        request->answering = true;
        request->headSent = true;
        return true;
    }
    if (kind == AnswerKind::Failure) {
        crashes_.onRequestCompleted(request->request.digest, now);
    }
    if (kind == AnswerKind::Failure || kind == AnswerKind::Invalid) {
        chooser_.onFailure(upstream, now);
        request->mayHaveRun = true;
        // The last word of an upstream goes to the caller when nothing better can be had.
        if (kind == AnswerKind::Failure && !request->headSent && !mayTryAgain(*request, now)) {
            request->answering = true;
            request->headSent = true;
            return true;
        }
    }
    if (kind == AnswerKind::Full) {
        chooser_.onFull(upstream, now);
    } else if (kind == AnswerKind::WrongInstance) {
        chooser_.onWrongInstance(upstream, now);
    }
    actions.push_back(CancelAttempt{number, false});
    leaveUpstream(*request);
    if (kind == AnswerKind::Full && queueAgain(number, *request, now)) {
        return false;
    }
    if (saysNotRun(kind) || mayRepeat(*request)) {
        retryOrGiveUp(number,
                      saysNotRun(kind) ? FailureCode::NoUpstream : FailureCode::UpstreamFailed, now,
                      actions);
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
    const bool answering = request->answering;
    const GroupId group = request->group;
    leaveUpstream(*request);
    if (end == AttemptEnd::Complete && answering) {
        crashes_.onRequestCompleted(request->request.digest, now);
        endRequest(number);
        return;
    }
    if (end == AttemptEnd::NotSent) {
        chooser_.onUnreachable(upstream, now);
        serviceOf(request->service).lanes.lane(group).onUnreachable(now);
        --request->attempts;
        ++request->unsent;
        if (request->unsent <= settings_.maxUnsent) {
            if (!startAgain(number, *request, now, actions)) {
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

void GatewayCore::retryOrGiveUp(RequestNumber number, FailureCode failure, TimePoint now,
                                GatewayActions &actions)
{
    Request &request = requests_.at(number);
    const bool allowed =
        request.attempts < request.request.route->maxAttempts && mayBeSent(request, now);
    if (allowed && budgets_.at(request.service).tryAcquire()
        && startAgain(number, request, now, actions)) {
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
        actions.push_back(CancelAttempt{number, false});
        leaveUpstream(request);
    }
    if (request.headSent) {
        actions.push_back(BreakAnswer{number, failure});
    } else if (request.mayHaveRun) {
        const FailureCode said =
            failure == FailureCode::NoUpstream ? FailureCode::UpstreamFailed : failure;
        actions.push_back(RejectRequest{number, said, Outcome::Unknown, {}});
    } else if (!mayBeSent(request, now)) {
        // It is true of this request that it has not run; to come back would not help it.
        actions.push_back(
            RejectRequest{number, FailureCode::RequestEndsUpstreams, Outcome::NotRun, {}});
    } else {
        const bool regions = failure == FailureCode::NoUpstreamInRegions;
        actions.push_back(RejectRequest{number, regions ? failure : FailureCode::NoUpstream,
                                        Outcome::NotRun, comeBackAfter(request, now)});
    }
    endRequest(number);
}

// Returns when a refused caller may come back. While all upstreams rest, or take nothing without a
// permit that is not to be had, sooner would be in vain.
Duration GatewayCore::comeBackAfter(const Request &request, TimePoint now)
{
    const Duration wait = request.comeBack > Duration{} ? request.comeBack : settings_.retryAfter;
    const TimePoint restsUntil = chooser_.restsUntil(request.service, now).value_or(now);
    const TimePoint permitsFrom = chooser_.permitsFrom(request.service, now).value_or(now);
    return std::max({wait, restsUntil - now, permitsFrom - now});
}

void GatewayCore::onCallerGone(RequestNumber number, GatewayActions &actions)
{
    Request *request = find(number);
    if (request == nullptr) {
        return;
    }
    if (request->upstream != InstanceId()) {
        actions.push_back(CancelAttempt{number, false});
        leaveUpstream(*request);
    }
    endRequest(number);
}

bool GatewayCore::mayBeSent(const Request &request, TimePoint now) const
{
    return crashes_.mayBeSent(request.request.digest, now);
}

void GatewayCore::onUpstreamEnded(const RequestDigest &digest, const AccountId &account,
                                  const InstanceId &upstream, TimePoint at, TimePoint now,
                                  GatewayActions &actions)
{
    // One that is leaving, or that the store lists no longer, ends because it was told to.
    if (upstreams_.stays(upstream)) {
        crashes_.onUpstreamCrashed(digest, account, upstream, at);
        giveUpSuspects(now, actions);
    }
}

// Gives up what waits or is under way of requests that must not be sent any more. An upstream that
// has not begun with one drops it when its connection closes. What has already begun to answer goes
// on: it may show that the request is harmless.
void GatewayCore::giveUpSuspects(TimePoint now, GatewayActions &actions)
{
    if (crashes_.cursor() == crashesSeen_) {
        return;
    }
    crashesSeen_ = crashes_.cursor();
    std::vector<RequestNumber> suspects;
    for (const auto &[number, request] : requests_) {
        if (!request.answering && !mayBeSent(request, now)) {
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

// Tells whether the upstream of a request that may be repeated has said nothing for so long that
// its caller will soon leave.
bool GatewayCore::fellSilent(const Request &request, TimePoint now) const
{
    const RouteRule &route = *request.request.route;
    const bool mayMove = request.upstream != InstanceId() && (!request.headSent || route.resumable);
    const Duration borne = std::min(route.silenceLimit, request.request.deadline);
    return mayMove && borne > Duration{}
           && toSeconds(now - request.heardAt) >= toSeconds(borne) * settings_.silencePart;
}

void GatewayCore::moveSilent(TimePoint now, GatewayActions &actions)
{
    std::vector<RequestNumber> silent;
    for (const auto &[number, request] : requests_) {
        if (fellSilent(request, now) && mayTryAgain(request, now)) {
            silent.push_back(number);
        }
    }
    std::sort(silent.begin(), silent.end());
    for (const RequestNumber number : silent) {
        move(number, now, actions);
    }
}

// Sends a request to another upstream in place of one that is silent, if there is a better one.
void GatewayCore::move(RequestNumber number, TimePoint now, GatewayActions &actions)
{
    Request &request = requests_.at(number);
    std::optional<GroupId> group;
    if (request.request.route->streamed) {
        group = serviceOf(request.service).lanes.laneForMove(request.group, groups_, now);
        if (!group || !chooseFor(request, group, now)) {
            return;
        }
    }
    if (!budgets_.at(request.service).tryAcquire()) {
        return;
    }
    chooser_.onFailure(request.upstream, now);
    request.mayHaveRun = true;
    actions.push_back(CancelAttempt{number, true});
    leaveUpstream(request);
    ++secondAttempts_;
    if (!startAttempt(number, request, group, now, actions)) {
        giveUp(number, FailureCode::UpstreamTimedOut, now, actions);
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
    startWaitingForPermits(now, actions);
    giveUpSuspects(now, actions);
    std::vector<RequestNumber> late;
    for (const auto &[number, request] : requests_) {
        const bool waitedLong = request.waits && now - request.arrivedAt >= longestWait(request);
        if (now >= request.giveUpAt || waitedLong) {
            late.push_back(number);
        }
    }
    std::sort(late.begin(), late.end());
    for (const RequestNumber number : late) {
        Request &request = requests_.at(number);
        if (request.waits) {
            const bool out = serviceOf(request.service).lanes.isOut(now);
            request.comeBack = out ? latestReturn(request, now) : settings_.shortestReturn;
        }
        // The attempt under way was written, as far as is known.
        request.mayHaveRun = request.mayHaveRun || request.upstream != InstanceId();
        giveUp(number, FailureCode::UpstreamTimedOut, now, actions);
    }
    moveSilent(now, actions);
    for (auto &[name, service] : services_) {
        ServiceState &current = serviceOf(name);
        current.lanes.onTick(current.waiting.size(), groups_, now);
        admitWaiting(current, now, actions);
    }
}

} // namespace seamarch
