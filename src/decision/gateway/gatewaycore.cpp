#include "decision/gateway/gatewaycore.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace seamarch {
namespace {

// A request is given up a little before its time is over, so that its answer still arrives.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(10);

// Waiting streams are looked at every 25 ms; one whose time to begin ends before the look after the
// next begins now.
constexpr Duration kStartSlack = std::chrono::milliseconds(40);
// A caller that has waited for less than this is at its first try: what it states may be less than
// its program's figure by the time that its connection took.
constexpr Duration kShortestComeBack = std::chrono::milliseconds(200);

bool saysNotRun(AnswerKind kind)
{
    return kind == AnswerKind::Full || kind == AnswerKind::WrongInstance
           || kind == AnswerKind::Refused;
}

} // namespace

GatewayCore::GatewayCore(const Settings &settings)
    : settings_(settings)
    , random_(settings.seed)
    , outliers_(settings.outliers)
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

void GatewayCore::setRetryLimits(const RetryLimits &limits)
{
    settings_.retries = limits;
    for (auto &[service, budget] : budgets_) {
        budget.change(ownBudget());
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
    added.firstAskedAt = now - statedWaits_[route.name].sinceFirstTry(request.deadline);
    added.request = std::move(request);
    added.service = chooseService(route);
    added.giveUpAt = now + longest - kAnswerMargin;
    budgets_.try_emplace(added.service, ownBudget()).first->second.onSuccess();
    added.arrivedAt = now;
    ServiceState &service = serviceOf(added);
    if (route.streamed && !mayStart(service, entryFor(number, added, service), now)) {
        queueStream(number, added, now, actions);
        return number;
    }
    if (route.streamed) {
        ++service.streams;
        service.started.push_back(now);
    }
    if (!startAttempt(number, added, now, actions)) {
        giveUp(number, FailureCode::NoUpstream, actions);
    }
    return number;
}

StreamQueue::Entry GatewayCore::entryFor(RequestNumber number, const Request &request,
                                         const ServiceState &service)
{
    const Duration goal = request.request.route->latencyGoal;
    StreamQueue::Entry entry;
    entry.number = number;
    entry.priority = request.request.priority;
    entry.cameBack = request.arrivedAt - request.firstAskedAt >= kShortestComeBack;
    // Without a goal there is no moment from which on the caller would be worse off.
    entry.startBy =
        goal > Duration{} ? request.firstAskedAt + goal - service.firstEvent : request.giveUpAt;
    return entry;
}

// Returns how long a stream may wait for a place; its caller leaves not long after.
Duration GatewayCore::longestWait(const Request &request) const
{
    return request.request.route->silenceLimit - settings_.waitMargin;
}

// Returns the latest moment at which the caller would come back.
Duration GatewayCore::latestReturn(const Request &request, TimePoint now) const
{
    const Duration left = request.arrivedAt + request.request.deadline - now;
    return std::max(settings_.shortestReturn, left / settings_.honouredPart);
}

// Has a stream wait for a place, or refuses it at once where the queue is too long.
void GatewayCore::queueStream(RequestNumber number, Request &request, TimePoint now,
                              GatewayActions &actions)
{
    ServiceState &service = serviceOf(request);
    const StreamQueue::Entry entry = entryFor(number, request, service);
    request.waits = true;
    const Duration wait = expectedWait(service, entry, now);
    if (wait * settings_.waitDoubt > longestWait(request)) {
        request.comeBack = std::clamp(wait, settings_.shortestReturn, settings_.longestReturn);
        giveUp(number, FailureCode::NoUpstream, actions);
        return;
    }
    service.waiting.add(entry, now);
}

GatewayCore::ServiceState &GatewayCore::serviceOf(const Request &request)
{
    const auto [found, added] = services_.try_emplace(request.service);
    if (added) {
        found->second.limiter = StreamLimiter(settings_.streams);
        beginStreams(found->second, request.service);
    }
    return found->second;
}

// Bounds the streams at a service by an even share of its slots, until pauses tell more.
void GatewayCore::beginStreams(ServiceState &service, const TargetName &name)
{
    double slots = 0.0;
    for (const UpstreamRecord *record : upstreams_.candidates(name)) {
        slots += record->slots;
    }
    if (slots > 0.0) {
        service.limiter.begin(slots, static_cast<double>(gateways_));
    }
}

// Returns how long a stream would wait at the pace of the last second.
Duration GatewayCore::expectedWait(ServiceState &service, const StreamQueue::Entry &entry,
                                   TimePoint now)
{
    constexpr Duration kWindow = std::chrono::seconds(1);
    while (!service.started.empty() && now - service.started.front() > kWindow) {
        service.started.pop_front();
    }
    const auto ahead = static_cast<Duration::rep>(service.waiting.ahead(entry, now));
    const auto pace = static_cast<Duration::rep>(std::max<std::size_t>(1, service.started.size()));
    return kWindow * (ahead + 1) / pace;
}

// Tells whether a stream may begin now. While pauses are near the goal, each prompt that the
// engines read makes all streams late that are being written: one that can still begin in time
// later waits for passes that are short again, and one that is late already does no harm by
// waiting.
bool GatewayCore::mayStart(const ServiceState &service, const StreamQueue::Entry &entry,
                           TimePoint now) const
{
    if (!service.limiter.admits(service.streams)) {
        return false;
    }
    const bool fewest = service.streams < settings_.streams.least;
    if (fewest || !service.limiter.strained(now)) {
        return true;
    }
    return now <= entry.startBy && now + kStartSlack >= entry.startBy;
}

// Starts waiting requests while the bound admits them.
void GatewayCore::admitWaiting(ServiceState &service, TimePoint now, GatewayActions &actions)
{
    for (auto next = service.waiting.next(now); next && mayStart(service, *next, now);
         next = service.waiting.next(now)) {
        const RequestNumber number = next->number;
        service.waiting.remove(number);
        Request &request = requests_.at(number);
        request.waits = false;
        ++service.streams;
        service.started.push_back(now);
        if (!startAttempt(number, request, now, actions)) {
            giveUp(number, FailureCode::NoUpstream, actions);
        }
    }
}

void GatewayCore::endRequest(RequestNumber number)
{
    const auto found = requests_.find(number);
    if (found == requests_.end()) {
        return;
    }
    const Request &request = found->second;
    ServiceState &service = serviceOf(request);
    if (request.waits) {
        service.waiting.remove(number);
    } else if (request.request.route->streamed && service.streams > 0) {
        --service.streams;
    }
    requests_.erase(found);
}

void GatewayCore::onFirstEvent(RequestNumber number, TimePoint now)
{
    constexpr int kWeight = 8; // Of the average so far, against one of the new time.
    const Request *request = find(number);
    if (request == nullptr || request->sentAt == TimePoint{}) {
        return;
    }
    Duration &average = serviceOf(*request).firstEvent;
    const Duration time = now - request->sentAt;
    average = average == Duration{} ? time : (average * (kWeight - 1) + time) / kWeight;
}

void GatewayCore::onPause(RequestNumber number, Duration pause, TimePoint now)
{
    const Request *request = find(number);
    if (request != nullptr) {
        serviceOf(*request).limiter.onPause(pause, request->request.route->pauseGoal, now);
    }
}

std::size_t GatewayCore::waiting(const TargetName &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.waiting.size();
}

std::uint32_t GatewayCore::streams(const TargetName &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.streams;
}

double GatewayCore::streamLimit(const TargetName &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? settings_.streams.initial : found->second.limiter.limit();
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

// Rates an upstream; the lowest is the best. `turn` is its place in the own order of its hall's
// upstreams, from 0 to 1.
double GatewayCore::score(const UpstreamRecord &record, double turn)
{
    constexpr double kTurnWeight = 0.5; // Less than one request in flight.
    const double penalty = record.hall == settings_.hall ? 0.0 : settings_.otherHallPenalty;
    return states_[record.id].inFlight + penalty + kTurnWeight * turn;
}

// Returns the turn of each candidate in this gateway's order of its hall's upstreams, from 0 to 1.
std::unordered_map<InstanceId, double>
GatewayCore::turnsOf(const std::vector<const UpstreamRecord *> &candidates) const
{
    std::unordered_map<HallId, std::vector<InstanceId>> halls;
    for (const UpstreamRecord *record : candidates) {
        halls[record->hall].push_back(record->id);
    }
    std::unordered_map<InstanceId, double> turns;
    for (const auto &[hall, ids] : halls) {
        for (std::size_t index = 0; index < ids.size(); ++index) {
            const auto turn = static_cast<double>(upstreamTurn(index, ids.size(), place_));
            turns.emplace(ids[index], turn / static_cast<double>(ids.size()));
        }
    }
    return turns;
}

// Returns the best upstream that has not been tried. Upstreams that failed are passed over while
// others are left; upstreams without room are passed over always, because asking them again at once
// only adds to their load.
std::optional<InstanceId> GatewayCore::choose(const Request &request, TimePoint now)
{
    std::vector<const UpstreamRecord *> candidates = upstreams_.candidates(request.service);
    const std::unordered_map<InstanceId, double> turns = turnsOf(candidates);
    std::erase_if(candidates, [&](const UpstreamRecord *record) {
        return request.tried.contains(record->id) || states_[record->id].fullUntil > now;
    });
    std::vector<InstanceId> ids;
    for (const UpstreamRecord *record : candidates) {
        ids.push_back(record->id);
    }
    const std::vector<InstanceId> trusted = outliers_.remaining(ids, now);
    const auto isDoubtful = [&](const UpstreamRecord *record) {
        return states_[record->id].avoidUntil > now
               || std::find(trusted.begin(), trusted.end(), record->id) == trusted.end();
    };
    std::optional<InstanceId> best;
    double bestScore = 0.0;
    bool bestDoubtful = true;
    for (const UpstreamRecord *record : candidates) {
        const bool doubtful = isDoubtful(record);
        const double value = score(*record, turns.at(record->id));
        if (!best || (bestDoubtful && !doubtful)
            || (bestDoubtful == doubtful && value < bestScore)) {
            best = record->id;
            bestScore = value;
            bestDoubtful = doubtful;
        }
    }
    return best;
}

// Tells whether a request whose attempt has failed can be sent to another upstream.
bool GatewayCore::mayTryAgain(const Request &request, TimePoint now)
{
    return mayRepeat(request) && request.attempts < request.request.route->maxAttempts
           && budgets_.at(request.service).available() && choose(request, now).has_value();
}

bool GatewayCore::startAttempt(RequestNumber number, Request &request, TimePoint now,
                               GatewayActions &actions)
{
    const auto chosen = choose(request, now);
    if (!chosen || now >= request.giveUpAt) {
        return false;
    }
    request.upstream = *chosen;
    request.sentAt = now;
    request.tried.insert(*chosen);
    request.answering = false;
    ++request.attempts;
    ++states_[*chosen].inFlight;
    actions.push_back(StartAttempt{number, request.attempts + request.unsent,
                                   *upstreams_.find(*chosen), request.giveUpAt - now,
                                   mayRepeat(request)});
    return true;
}

void GatewayCore::leaveUpstream(Request &request)
{
    const auto found = states_.find(request.upstream);
    if (found != states_.end() && found->second.inFlight > 0) {
        --found->second.inFlight;
    }
    request.upstream = InstanceId();
    request.answering = false;
}

void GatewayCore::noteRefusal(const InstanceId &upstream, AnswerKind kind, TimePoint now)
{
    UpstreamState &state = states_[upstream];
    if (kind == AnswerKind::Full) {
        state.fullUntil = now + settings_.fullPause;
    } else if (kind == AnswerKind::WrongInstance) {
        state.avoidUntil = now + settings_.wrongInstancePause;
    }
}

// Learns from an answer whether the whole service refuses, as a group does that stands still.
void GatewayCore::noteAnswer(Request &request, AnswerKind kind, TimePoint now)
{
    ServiceState &service = serviceOf(request);
    if (kind != AnswerKind::Full) {
        const auto refusingSince = std::exchange(service.refusingSince, std::nullopt);
        if (refusingSince && now - *refusingSince >= settings_.outagePatience) {
            beginStreams(service, request.service);
        }
        return;
    }
    const bool stoodStill = now - request.sentAt >= settings_.standstill;
    const TimePoint since = stoodStill ? now - settings_.outagePatience : now;
    service.refusingSince = std::min(since, service.refusingSince.value_or(since));
    if (now - *service.refusingSince >= settings_.outagePatience) {
        request.comeBack = latestReturn(request, now);
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
        outliers_.onSuccess(upstream);
        request->answering = true;
        request->headSent = true;
        return true;
    }
    if (kind == AnswerKind::Failure || kind == AnswerKind::Invalid) {
        outliers_.onFailure(upstream, now);
        request->mayHaveRun = true;
        // The last word of an upstream goes to the caller when nothing better can be had.
        if (kind == AnswerKind::Failure && !request->headSent && !mayTryAgain(*request, now)) {
            request->answering = true;
            request->headSent = true;
            return true;
        }
    }
    noteRefusal(upstream, kind, now);
    actions.push_back(CancelAttempt{number});
    leaveUpstream(*request);
    if (saysNotRun(kind) || mayRepeat(*request)) {
        retryOrGiveUp(number,
                      saysNotRun(kind) ? FailureCode::NoUpstream : FailureCode::UpstreamFailed, now,
                      actions);
    } else {
        giveUp(number, FailureCode::UpstreamFailed, actions);
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
    leaveUpstream(*request);
    if (end == AttemptEnd::Complete && answering) {
        endRequest(number);
        return;
    }
    if (end == AttemptEnd::NotSent) {
        states_[upstream].avoidUntil = now + settings_.unreachablePause;
        --request->attempts;
        ++request->unsent;
        if (request->unsent <= settings_.maxUnsent) {
            if (!startAttempt(number, *request, now, actions)) {
                giveUp(number, FailureCode::NoUpstream, actions);
            }
            return;
        }
        giveUp(number, FailureCode::NoUpstream, actions);
        return;
    }
    outliers_.onFailure(upstream, now);
    request->mayHaveRun = true;
    const bool mayResume = !request->headSent || request->request.route->resumable;
    if (mayRepeat(*request) && mayResume) {
        retryOrGiveUp(number, FailureCode::UpstreamUnreachable, now, actions);
    } else {
        giveUp(number, FailureCode::UpstreamUnreachable, actions);
    }
}

void GatewayCore::retryOrGiveUp(RequestNumber number, FailureCode failure, TimePoint now,
                                GatewayActions &actions)
{
    Request &request = requests_.at(number);
    const bool allowed = request.attempts < request.request.route->maxAttempts;
    if (allowed && budgets_.at(request.service).take()
        && startAttempt(number, request, now, actions)) {
        ++secondAttempts_;
        return;
    }
    giveUp(number, failure, actions);
}

void GatewayCore::giveUp(RequestNumber number, FailureCode failure, GatewayActions &actions)
{
    const auto found = requests_.find(number);
    if (found == requests_.end()) {
        return;
    }
    Request &request = found->second;
    if (request.upstream != InstanceId()) {
        actions.push_back(CancelAttempt{number});
        leaveUpstream(request);
    }
    if (request.headSent) {
        actions.push_back(BreakAnswer{number, failure});
    } else if (request.mayHaveRun) {
        const FailureCode said =
            failure == FailureCode::NoUpstream ? FailureCode::UpstreamFailed : failure;
        actions.push_back(RejectRequest{number, said, Outcome::Unknown, {}});
    } else {
        const Duration comeBack =
            request.comeBack > Duration{} ? request.comeBack : settings_.retryAfter;
        actions.push_back(
            RejectRequest{number, FailureCode::NoUpstream, Outcome::NotRun, comeBack});
    }
    endRequest(number);
}

void GatewayCore::onCallerGone(RequestNumber number, GatewayActions &actions)
{
    Request *request = find(number);
    if (request == nullptr) {
        return;
    }
    if (request->upstream != InstanceId()) {
        actions.push_back(CancelAttempt{number});
        leaveUpstream(*request);
    }
    endRequest(number);
}

void GatewayCore::onTick(TimePoint now, GatewayActions &actions)
{
    upstreams_.expire(now);
    std::erase_if(states_, [now](const auto &entry) {
        const UpstreamState &state = entry.second;
        return state.inFlight == 0 && state.avoidUntil <= now && state.fullUntil <= now;
    });
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
            request.comeBack = settings_.shortestReturn;
        }
        // The attempt under way was written, as far as is known.
        request.mayHaveRun = request.mayHaveRun || request.upstream != InstanceId();
        giveUp(number, FailureCode::UpstreamTimedOut, actions);
    }
    for (auto &[name, service] : services_) {
        service.limiter.onTick(service.streams, service.waiting.size(), now);
        admitWaiting(service, now, actions);
    }
}

std::uint32_t GatewayCore::inFlightAt(const InstanceId &upstream) const
{
    const auto found = states_.find(upstream);
    return found == states_.end() ? 0 : found->second.inFlight;
}

} // namespace seamarch
