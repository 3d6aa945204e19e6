// The core of a gateway: decides which upstream gets a request, whether a request may be sent
// again, when it fails, and which outcome is reported to the caller.
//
// A gateway sends requests directly to upstreams. The outcome that it may report depends on what
// was written and what the upstream answered:
//   - nothing was written, or the upstream states that the request did not run: not run;
//   - anything else: the request may have run. Only a repeatable request is then sent again, and a
//     failure is never reported as 'not run'.
// A stream that breaks after its head was forwarded to the caller resumes at another upstream after
// the last complete event, if its route allows that.
//
// An upstream may also fall silent without a reset: its answers are lost, it hangs, its machine is
// frozen, or its group is stalled. Callers disconnect after a time of silence (the route's silence
// timeout). After half of that time a repeatable request fails over to another upstream, in a group
// that makes progress.
//
// A request during which several upstreams have crashed in turn, or whose prompt has a part that
// crashes upstreams, is not sent any more, in any state: new, queued, or about to fail over
// (CrashRecord).
//
// Upstreams may set a rate limit for all gateways together (UpstreamLimits), and have a reduced
// capacity while they warm up (WarmUpLimits). A request is sent to such an upstream only with a
// permit; if there is no other upstream, it waits for one for a short time.
//
// A request that is restricted to some regions is sent only to those, and is rejected at once if
// they have no upstream.
//
// Streams are admitted by group, because the ranks of a group execute every pass together and
// therefore slow down, stall and fail together: each group has a tracker with its own limit
// (GroupTracker). A stream goes to a group of the own hall if that admits it, else to another
// group, and is queued only if no group admits it. A group that is stalled, refuses or cannot be
// reached is avoided while there is another, except for an occasional request that probes whether
// it has recovered.
//
// Pure state machine: events and the time are passed in, actions are returned, and src/gateway
// executes them. Single-threaded.
#pragma once

#include "decision/gateway/groupselector.h"
#include "decision/gateway/grouptable.h"
#include "decision/gateway/permitissuer.h"
#include "decision/gateway/requestageestimator.h"
#include "decision/gateway/requestsize.h"
#include "decision/gateway/residency.h"
#include "decision/gateway/routetable.h"
#include "decision/gateway/sendpermits.h"
#include "decision/gateway/streamqueue.h"
#include "decision/gateway/upstreamchooser.h"
#include "decision/gateway/upstreamlimits.h"
#include "decision/gateway/upstreamnotice.h"
#include "decision/gateway/upstreampace.h"
#include "decision/gateway/upstreamtable.h"
#include "decision/gateway/urgency.h"
#include "decision/gateway/warmuplimits.h"
#include "decision/retry/crashrecord.h"
#include "decision/retry/retrybudget.h"
#include "seamarch/ids.h"
#include "seamarch/outcome.h"
#include "seamarch/units.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace seamarch {

// A caller's request with its route and account.
struct GatewayRequest
{
    std::shared_ptr<const RouteTable> table; // Keeps `route` alive.
    const RouteRule *route = nullptr;
    AccountId account;
    Urgency urgency;
    RequestSize size;
    Duration deadline{};                   // How long the caller waits, from the request's arrival.
    Duration age{};                        // Time since its arrival.
    Residency residency;                   // The regions that may serve it.
    RequestDigest digest;                  // Equal for requests that are identical to an upstream.
    std::vector<PromptPartId> sharedParts; // The parts of its prompt that other requests may share.
};

// The meaning of the head of an upstream's answer.
enum class AnswerKind {
    Success,       // The request ran and succeeded.
    Failure,       // The request ran, or may have run, and failed.
    Full,          // The request did not run: the upstream had no capacity.
    WrongInstance, // The request did not run: another instance has the address.
    Refused,       // The request did not run, for another reason.
    Invalid,       // The answer belongs to another request or lacks its proof.
};

// How an attempt's connection ended.
enum class AttemptEnd {
    Complete, // The answer was received completely.
    NotSent,  // Nothing was written.
    Lost,     // The connection broke, and the request may have run.
};

// An attempt as its upstream sees it. The upstream's answer counts also if the request has ended
// since.
struct AttemptRecord
{
    UpstreamRecord upstream; // As of the start of the attempt.
    TimePoint startedAt{};
    // What has crashed the upstream if it crashes now; see GatewayCore::crashSuspects().
    std::vector<SuspectKey> suspects;
    bool provedHarmless = false; // The answer went on for long enough to crash nothing any more.
};

// Sends the request to an upstream.
struct StartAttempt
{
    RequestNumber request = 0;
    std::uint32_t attempt = 0; // Counts from 1.
    UpstreamRecord upstream;
    GroupId group; // The upstream's group; empty if unknown.
    Duration timeLeft{};
    bool mayReuseConnection = false; // Allows an idle connection, which the peer may be closing.
};

enum class CancelReason {
    Ended,            // The caller has left, or the time of the request is over.
    Answered,         // The answer is of no use; the upstream does no more work for it.
    Silent,           // The upstream was silent for too long; the request fails over.
    MayCrashUpstream, // The upstream must not start the request any more.
};

// Abandons the current attempt. Until its upstream notices, it may still answer or crash, unless it
// has answered.
struct CancelAttempt
{
    RequestNumber request = 0;
    CancelReason reason = CancelReason::Ended;
    AttemptRecord attempt;
};

// Reports to the caller that the request failed. Ends the request.
struct RejectRequest
{
    RequestNumber request = 0;
    FailureCode failure = FailureCode::NoUpstream;
    Outcome outcome = Outcome::NotRun;
    Duration retryAfter{}; // Zero: not stated to the caller.
    // The more urgent stream for which the request was rejected from the queue; zero: none.
    RequestNumber displacedBy = 0;
    // For `RequestEndsUpstreams`: what upstreams crashed under, and how often. The index is that of
    // the part in `GatewayRequest::sharedParts`, or nullopt if it is the request as a whole.
    std::optional<std::size_t> crashingPart;
    std::size_t crashes = 0;
};

// Aborts an answer whose head was forwarded to the caller. Ends the request.
struct AbortAnswer
{
    RequestNumber request = 0;
    FailureCode failure = FailureCode::UpstreamFailed;
};

using GatewayAction = std::variant<StartAttempt, CancelAttempt, RejectRequest, AbortAnswer>;
using GatewayActions = std::vector<GatewayAction>;

// Limits on the second attempts that all gateways together send to a service.
struct RetryLimits
{
    double perRequest = 0.0; // Second attempts that each request adds to the budget.
    double burst = 0.0;      // Additional ones within the platform's accounting window.
};

// Assigns requests to upstreams and decides on retries, failures and reported outcomes.
class GatewayCore
{
public:
    struct Settings
    {
        HallId hall;
        HallRegions regions;
        std::uint64_t seed = 0;
        // Default for when a rejected caller may retry.
        Duration retryAfter = std::chrono::milliseconds(250);
        // Limits the attempts that fail to connect, which are not counted as attempts.
        std::uint32_t maxConnectFailures = 3;
        RetryLimits retries;
        UpstreamChooser::Settings chooser; // Hall and regions are set from the members above.
        GroupSelector::Settings selector;
        CrashRecord::Settings crashes;
        // A stream that goes on for so long after its first event shows that the upstream has
        // survived the beginning of its answer.
        Duration answerProofTime = std::chrono::milliseconds(250);
        UpstreamLimits::Settings limits;
        // How long a request waits for a permit if all upstreams that it could be sent to need
        // one: about the response time of another gateway, and less than a caller's retry delay.
        Duration permitTimeout = std::chrono::milliseconds(200);
        // A queued stream is rejected this long before its caller disconnects: its first event
        // would come too late.
        Duration queueTimeoutMargin = std::chrono::milliseconds(300);
        // The expected wait is multiplied by this before it is compared with the caller's limit: it
        // is derived from the start rate of the last second, which may fall just as fast.
        int waitSafetyFactor = 2;
        // Bounds of the retry delay for callers that are rejected because of the queue's length.
        Duration minRetryAfter = std::chrono::milliseconds(400);
        Duration maxRetryAfter = std::chrono::milliseconds(2500);
        // An attempt may be silent for this fraction of the time after which its caller
        // disconnects.
        double silenceFraction = 0.5;
        UpstreamPace::Settings pace;
        // Answer times below this fraction of the route's latency target are taken for equal.
        double equalAnswerFraction = 0.1;
        // Callers honour a retry delay of at most their remaining time divided by this.
        int maxRetryAfterDivisor = 3;
    };

    explicit GatewayCore(const Settings &settings);

    // Sets the number of gateways that share the upstreams, including this one.
    void setGatewayCount(std::size_t count);
    // Sets the number of gateways that share the retry limits, including this one and those that it
    // cannot reach; nullopt if it may be any number.
    void setRetryGateways(std::optional<std::size_t> count);
    // Sets the position of this gateway among those of its hall.
    void setHallPosition(const HallPosition &position);
    void setRetryLimits(const RetryLimits &limits);

    UpstreamTable &upstreams() { return upstreams_; }
    const UpstreamTable &upstreams() const { return upstreams_; }
    GroupTable &groups() { return groups_; }
    const GroupTable &groups() const { return groups_; }
    CrashRecord &crashes() { return crashes_; }
    const CrashRecord &crashes() const { return crashes_; }
    UpstreamLimits &limits() { return limits_; }
    const UpstreamLimits &limits() const { return limits_; }
    PermitIssuer &permitIssuer() { return permitIssuer_; }
    WarmUpLimits &warmUps() { return warmUps_; }

    // Admits a request: sends, queues or rejects it.
    RequestNumber begin(GatewayRequest request, TimePoint now, GatewayActions &actions);
    // Handles the head of an answer. Returns true if the answer is to be forwarded to the caller;
    // for a stream that resumes, if its events are to be appended to those already forwarded.
    bool onHead(RequestNumber request, AnswerKind kind, TimePoint now, GatewayActions &actions);
    // Returns the current attempt of a request; nullopt if it has none.
    std::optional<AttemptRecord> attemptOf(RequestNumber request) const;
    // Handles a notice that an upstream sends about itself in an answer. Call it before `onHead`,
    // so that requests that `onHead` sends again avoid this upstream.
    void onNotice(const AttemptRecord &attempt, const UpstreamNotice &notice, TimePoint now);
    // Handles the limit for all gateways together that an answer states; nullopt if it states none.
    UpstreamLimits::Change onLimit(const AttemptRecord &attempt, std::optional<RequestRate> limit,
                                   TimePoint now);
    // Returns the changes of what governs the stream limits since the last call.
    std::vector<std::pair<GroupId, LimitChange>> takeLimitChanges();
    // Returns the upstreams that became slow or are taken for normal again since the last call.
    std::vector<std::pair<TargetName, UpstreamPace::Change>> takePaceChanges(TimePoint now);
    // Returns the permit requests that are due and marks them as sent.
    std::vector<SendPermits::Query> takePermitQueries(TimePoint now)
    {
        return permits_.takeQueries(now);
    }
    // Handles the answer to the permit request for `upstream` that was sent at `queriedAt`.
    void onPermits(const InstanceId &upstream, const PermitGrant &answer, TimePoint queriedAt,
                   TimePoint now, GatewayActions &actions);
    // Handles the head of an answer to an attempt that has been cancelled.
    void onAbandonedHead(const AttemptRecord &attempt, AnswerKind kind, TimePoint now);
    // Handles the end of the current attempt's connection.
    void onEnd(RequestNumber request, AttemptEnd end, TimePoint now, GatewayActions &actions);
    // Returns what may have crashed the upstream of the current attempt, if it has crashed: the
    // request as a whole, and its prompt parts if the answer had begun but not proved them
    // harmless. Call it before `onEnd`.
    std::vector<SuspectKey> crashSuspects(RequestNumber request) const;
    // Handles the end of an upstream at `at` while it ran a request with these suspects. The
    // request itself may have ended since. An upstream that is leaving, or that the store no longer
    // lists, ends as planned, so that its end does not count as a crash.
    void onUpstreamEnded(const std::vector<SuspectKey> &suspects, const AccountId &account,
                         const InstanceId &upstream, TimePoint at, TimePoint now,
                         GatewayActions &actions);
    // Handles the first event of the current attempt.
    void onFirstEvent(RequestNumber request, TimePoint now);
    // Handles a further event, `pause` after the previous one of the same attempt.
    void onPause(RequestNumber request, Duration pause, TimePoint now);
    // Handles that all of the current attempt's answer has arrived, which is to be confirmed before
    // `onHead` or `onEnd`. Meanwhile the upstream does not count as silent.
    void onAnswerReceived(RequestNumber request, TimePoint now);
    // Handles that the answer of the current attempt is no longer read, or is read again, because
    // the caller takes it slowly. Meanwhile the upstream does not count as silent.
    void onReadingPaused(RequestNumber request, bool paused, TimePoint now);
    // Handles a disconnect of the caller. Ends the request.
    void onCallerGone(RequestNumber request, GatewayActions &actions);
    // Expires old state, fails requests that timed out, fails over silent ones and starts queued
    // streams. Call it periodically.
    void onTick(TimePoint now, GatewayActions &actions);
    // Ends all requests, before the process ends: those without an answer are rejected.
    void endAll(TimePoint now, GatewayActions &actions);

    std::size_t inFlight() const { return requests_.size(); }
    // Returns the number of queued streams of a service.
    std::size_t queuedStreams(const TargetName &service) const;
    // Returns the streams in flight at all groups of a service.
    std::uint32_t streams(const TargetName &service) const;
    // Returns the sum of the stream limits of all groups of a service.
    double streamLimit(const TargetName &service) const;
    // Returns the tracker of one group; nullptr if no request was sent there.
    const GroupTracker *tracker(const TargetName &service, const GroupId &group) const;
    // Returns what this gateway wants of each group of engines, ordered by service and group.
    DemandTable::Demands demands() const;
    // Sets this gateway's share of a group; nullopt if it is not known.
    void setShare(const TargetName &service, const GroupId &group, std::optional<double> share);
    std::uint64_t secondAttempts() const { return secondAttempts_; }
    // Returns the retries of a service that this gateway may make at present.
    double retryPermits(const TargetName &service) const;
    // Returns the upstreams that asked for a rest, with the end of the rest.
    std::map<InstanceId, TimePoint> resting(TimePoint now) const { return chooser_.resting(now); }
    // Returns whether an upstream has answered a request since its connections broke at `time`.
    bool answeredSince(const InstanceId &upstream, TimePoint time) const
    {
        return chooser_.answeredSince(upstream, time);
    }
    // Returns this gateway's requests in flight at an upstream.
    std::uint32_t inFlightAt(const InstanceId &upstream) const
    {
        return chooser_.inFlightAt(upstream);
    }

private:
    struct Request
    {
        GatewayRequest request;
        TargetName service;
        TimePoint failAt{};
        TimePoint arrivedAt{};
        TimePoint firstSentAt{};      // Estimate of when the caller sent it first.
        TimePoint attemptStartedAt{}; // Start of the current attempt.
        TimePoint progressAt{};       // Last sign of progress of the current attempt, or its start.
        Duration retryAfterHint{};    // Retry delay for a rejection; zero: the default.
        bool queued = false;          // In the stream queue; no attempt is in progress.
        RequestNumber displacedBy = 0;    // As in RejectRequest.
        std::vector<SuspectKey> partKeys; // Of `request.sharedParts`, in the same order.
        TimePoint permitDeadline{};       // End of the wait for a permit; zero: not waiting.
        InstanceId upstream;              // Of the current attempt; empty if there is none.
        UpstreamRecord upstreamRecord;    // Its record at the start of the attempt.
        GroupId group;                    // Its group at the start of the attempt.
        bool hasEvents = false;           // The current attempt has sent an event.
        TimePoint firstEventAt{};         // Of the current attempt, if `hasEvents`.
        bool partsAnswered = false;       // The current attempt proved its prompt parts harmless.
        bool succeeds = false;            // The current attempt's head was that of a success.
        std::set<InstanceId> tried;
        std::uint32_t attempts = 0; // Attempts that connected, as far as is known.
        bool refusedBefore = false; // Refused by an upstream and queued again.
        std::uint32_t connectFailures = 0;
        bool mayHaveRun = false;
        bool headSent = false;
        bool attemptHasHead = false; // The current attempt's head was accepted.
        bool readingPaused = false;  // The current attempt's answer is not read at present.
    };

    // The streams of one service: in flight, by group, and queued.
    struct ServiceState
    {
        explicit ServiceState(const GroupSelector::Settings &settings)
            : selector(settings)
        {}

        GroupSelector selector;
        std::deque<TimePoint> recentStarts; // Stream starts within the last second.
        StreamQueue queue;
        Duration meanTimeToFirstEvent{}; // Moving average, from the attempt's start; zero: unknown.
    };

    RetryBudget::Settings budgetShare() const;
    bool mayRepeat(const Request &request) const;
    bool mayRetry(const Request &request, TimePoint now);
    std::optional<InstanceId> chooseFor(const Request &request, const std::optional<GroupId> &group,
                                        TimePoint now);
    TargetName chooseService(const RouteRule &route);
    const UpstreamPace *paceFor(const Request &request) const;
    Duration comparableTime(const Request &request, TimePoint now) const;
    void recordPace(const Request &request, TimePoint now);
    void recordWaits(TimePoint now);
    GroupTracker &trackerOf(const Request &request);
    bool startAttempt(RequestNumber number, Request &request, const std::optional<GroupId> &group,
                      TimePoint now, GatewayActions &actions);
    void startOrAwaitPermit(RequestNumber number, Request &request,
                            const std::optional<GroupId> &group, TimePoint now,
                            GatewayActions &actions);
    void servePermitWaiters(TimePoint now, GatewayActions &actions);
    bool startRetry(RequestNumber number, Request &request, TimePoint now, GatewayActions &actions);
    void retryOrGiveUp(RequestNumber number, FailureCode failure, TimePoint now,
                       GatewayActions &actions);
    void giveUp(RequestNumber number, FailureCode failure, TimePoint now, GatewayActions &actions);
    void giveUpWaiting(RequestNumber number, TimePoint now, GatewayActions &actions);
    void detachUpstream(Request &request);
    // Returns the action that cancels the current attempt. Call it before `detachUpstream`.
    CancelAttempt cancellation(RequestNumber number, CancelReason reason) const;
    // Marks an upstream that refused a request.
    void recordRefusal(const InstanceId &upstream, AnswerKind kind, TimePoint now);
    ServiceState &serviceOf(const TargetName &service);
    void endRequest(RequestNumber number);
    void recordAnswer(Request &request, AnswerKind kind, TimePoint now);
    StreamQueue::Entry queueEntryFor(RequestNumber number, const Request &request,
                                     const ServiceState &service) const;
    Duration maxQueueTime(const Request &request) const;
    Duration maxHonouredRetryAfter(const Request &request, TimePoint now) const;
    Duration retryAfterFor(const Request &request, TimePoint now);
    Duration expectedWait(ServiceState &service, const StreamQueue::Entry &entry, TimePoint now);
    void queueStream(RequestNumber number, Request &request, TimePoint now,
                     GatewayActions &actions);
    static Duration shortestWait(const ServiceState &service, TimePoint now);
    void displaceHopeless(ServiceState &service, const StreamQueue::Entry &arrived, TimePoint now,
                          GatewayActions &actions);
    bool requeue(RequestNumber number, Request &request, TimePoint now);
    bool mayQueueUntilOpen(ServiceState &service, TimePoint now) const;
    void admitQueued(ServiceState &service, TimePoint now, GatewayActions &actions);
    bool isSilent(const Request &request, TimePoint now) const;
    void failOverSilent(TimePoint now, GatewayActions &actions);
    void failOver(RequestNumber number, TimePoint now, GatewayActions &actions);
    bool mayBeSent(const Request &request, TimePoint now) const;
    void recordPartsAnswered(Request &request, TimePoint now);
    RejectRequest rejectionOfSuspect(RequestNumber number, const Request &request,
                                     TimePoint now) const;
    void giveUpSuspects(TimePoint now, GatewayActions &actions);
    Request *find(RequestNumber number);

    Settings settings_;
    std::mt19937_64 random_;
    UpstreamTable upstreams_;
    GroupTable groups_;
    UpstreamLimits limits_;
    WarmUpLimits warmUps_;
    SendPermits permits_;
    PermitIssuer permitIssuer_;
    UpstreamChooser chooser_; // Holds references to the members above.
    std::set<RequestNumber> permitWaiters_;
    CrashRecord crashes_;
    std::uint64_t crashCursor_ = 0; // Cursor of `crashes_` at the last check.
    std::unordered_map<TargetName, RetryBudget> budgets_;
    std::unordered_map<TargetName, ServiceState> services_;
    std::map<TargetName, UpstreamPace> paces_; // Of services that are not streamed.
    std::unordered_map<std::string, RequestAgeEstimator> ageEstimators_; // Keyed by route name.
    std::unordered_map<RequestNumber, Request> requests_;
    std::size_t gateways_ = 1;
    std::optional<std::size_t> retryGateways_ = 1;
    HallPosition hallPosition_;
    RequestNumber nextNumber_ = 1;
    std::uint64_t secondAttempts_ = 0;
};

} // namespace seamarch
