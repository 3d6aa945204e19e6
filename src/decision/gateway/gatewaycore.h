// The decisions of a gateway on the requests of its callers: which upstream gets a request, whether
// it may be sent again, when it is given up, and what the caller may conclude.
//
// A gateway sends requests straight to upstreams. What may be said of a request follows from what
// was written and what the upstream stated:
//   - nothing was written, or the upstream states that it did not run: it has not run;
//   - anything else: it may have run. Only a repeatable request is then sent again, and a failure
//     never says 'not run'.
// A stream that breaks off after its head has gone to the caller is taken up at another upstream
// after the last whole event, where its route allows that.
//
// An upstream may also fall silent without a reset: its answer was lost, it hangs, its machine
// froze, or its group stands still. The caller leaves after some time without a word. When half of
// that time is over, a request that may be repeated goes to another upstream, in a group that makes
// its passes.
//
// A request under which upstreams have ended, one after the other, is not sent any more, wherever
// it is: new, waiting for a place, or about to go to another upstream (CrashRecord).
//
// Upstreams may name a limit for all gateways together (UpstreamLimits), and bear little while they
// warm up (WarmUpLimits). A request goes there only for a permit; where there is nothing else to
// send it to, it waits a moment for one.
//
// A request that may be served in some regions only is sent nowhere else, and is given up at once
// while those have no upstream.
//
// Streams are admitted by group, because the ranks of a group make every pass together and slow
// down, stand still and break together: each group has a lane with a bound of its own (StreamLane).
// A stream goes to a group of the own hall while that admits it, else to another group, and waits
// only when none does. A lane whose group stands still, refuses or cannot be reached is avoided
// while there is another, but for a request now and then that shows when it works again.
//
// The class is a pure state machine: events and the time come in, actions go out, and the shell
// around it (src/gateway) carries them out. Single-threaded.
#pragma once

#include "decision/gateway/grouptable.h"
#include "decision/gateway/permitissuer.h"
#include "decision/gateway/residency.h"
#include "decision/gateway/routetable.h"
#include "decision/gateway/sendpermits.h"
#include "decision/gateway/servicelanes.h"
#include "decision/gateway/statedwaits.h"
#include "decision/gateway/streamqueue.h"
#include "decision/gateway/upstreamchooser.h"
#include "decision/gateway/upstreamlimits.h"
#include "decision/gateway/upstreamnotice.h"
#include "decision/gateway/upstreamtable.h"
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

// A request as a caller made it, with the route and the account that were found for it.
struct GatewayRequest
{
    std::shared_ptr<const RouteTable> table; // Keeps `route` alive.
    const RouteRule *route = nullptr;
    AccountId account;
    std::uint8_t priority = 5; // 0 is the most urgent.
    Duration deadline{};       // How long the caller waits, from its arrival on.
    Duration held{};           // How long ago it arrived.
    Residency residency;       // Where it may be served.
    RequestDigest digest;      // Requests that are the same to an upstream have the same one.
};

// What the head of an upstream's answer says.
enum class AnswerKind {
    Success,       // The request ran and succeeded.
    Failure,       // It ran, or may have, and failed.
    Full,          // It did not run: the upstream had no room.
    WrongInstance, // It did not run: another instance has the address.
    Refused,       // It did not run, for another reason.
    Invalid,       // The answer belongs to another request or lacks its proof.
};

// How an attempt's connection ended.
enum class AttemptEnd {
    Complete, // The whole answer is here.
    NotSent,  // Nothing was written.
    Lost,     // It broke, and the request may have run.
};

// Send the request to an upstream.
struct StartAttempt
{
    RequestNumber request = 0;
    std::uint32_t attempt = 0; // From 1.
    UpstreamRecord upstream;
    GroupId group; // Of the upstream; without a name where none is known.
    Duration timeLeft{};
    bool mayUseOldConnection = false; // A kept connection that may be closing unseen will do.
};

// Close the connection of the attempt that is under way.
struct CancelAttempt
{
    RequestNumber request = 0;
    bool silent = false; // Its upstream has said nothing for too long; another takes its place.
};

// Tell the caller that the request failed. The request is over.
struct RejectRequest
{
    RequestNumber request = 0;
    FailureCode failure = FailureCode::NoUpstream;
    Outcome outcome = Outcome::NotRun;
    Duration retryAfter{}; // Zero: nothing is known of when to come back.
};

// Break off an answer whose head has gone to the caller. The request is over.
struct BreakAnswer
{
    RequestNumber request = 0;
    FailureCode failure = FailureCode::UpstreamFailed;
};

using GatewayAction = std::variant<StartAttempt, CancelAttempt, RejectRequest, BreakAnswer>;
using GatewayActions = std::vector<GatewayAction>;

// What all gateways together may send of second attempts to a service.
struct RetryLimits
{
    double perRequest = 0.0; // That one request earns.
    double burst = 0.0;      // Besides, within the span that the platform looks at.
};

class GatewayCore
{
public:
    struct Settings
    {
        HallId hall;
        HallRegions regions;
        std::uint64_t seed = 0;
        // When a refused caller may come back.
        Duration retryAfter = std::chrono::milliseconds(250);
        // Attempts that could not even connect do not count as attempts; this bounds them.
        std::uint32_t maxUnsent = 3;
        RetryLimits retries;
        UpstreamChooser::Settings choice; // Its hall is set from `hall`.
        ServiceLanes::Settings lanes;
        CrashRecord::Settings crashes;
        UpstreamLimits::Settings limits;
        // How long a request waits for a permit, when all that it could be sent to name limits:
        // about the time in which another gateway answers, sooner than a caller comes back.
        Duration permitWait = std::chrono::milliseconds(200);
        // A stream that waits for a place is refused so long before its caller leaves: its first
        // event would come too late.
        Duration waitMargin = std::chrono::milliseconds(300);
        // The wait that is expected by the pace of late is doubled before it is held against what
        // the caller waits: the pace is that of a second, and may fall as fast.
        int waitDoubt = 2;
        // Bounds on when a caller that was refused for the queue is told to come back.
        Duration shortestReturn = std::chrono::milliseconds(400);
        Duration longestReturn = std::chrono::milliseconds(2500);
        // An attempt has this part of the time that its caller bears without a word.
        double silencePart = 0.5;
        // Callers come back after at most one part in so many of the time that they have left.
        int honouredPart = 3;
    };

    explicit GatewayCore(const Settings &settings);

    // Takes how many gateways share the upstreams, this one among them.
    void setGateways(std::size_t count);
    // Takes where this gateway stands among those of its hall.
    void setPlace(const HallPlace &place);
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

    // Admits a request and sends it, has it wait, or rejects it.
    RequestNumber begin(GatewayRequest request, TimePoint now, GatewayActions &actions);
    // The head of an answer is here. Returns true when it is to go to the caller, or, for a stream
    // that is being taken up, when its events are to follow those that went before.
    bool onHead(RequestNumber request, AnswerKind kind, TimePoint now, GatewayActions &actions);
    // The upstream of the attempt under way says something about itself. Comes before `onHead`, so
    // that what that sends on does not go there.
    void onNotice(RequestNumber request, const UpstreamNotice &notice, TimePoint now);
    // An answer to the attempt under way names this limit for all gateways together, or none.
    UpstreamLimits::Change onLimit(RequestNumber request, std::optional<RequestRate> limit,
                                   TimePoint now);
    // Returns the questions for permits that are due; they are under way from now on.
    std::vector<SendPermits::Query> takePermitAsks(TimePoint now)
    {
        return permits_.takeQueries(now);
    }
    // The question about `upstream` that was asked at `askedAt` is answered.
    void onPermits(const InstanceId &upstream, const PermitGrant &answer, TimePoint askedAt,
                   TimePoint now, GatewayActions &actions);
    void onEnd(RequestNumber request, AttemptEnd end, TimePoint now, GatewayActions &actions);
    // An upstream has ended while it had a request, at `at`; the request may be over by now.
    void onUpstreamEnded(const RequestDigest &digest, const AccountId &account,
                         const InstanceId &upstream, TimePoint at, TimePoint now,
                         GatewayActions &actions);
    // The first event of the attempt under way has come.
    void onFirstEvent(RequestNumber request, TimePoint now);
    // An event came `pause` after the one before it of the same attempt.
    void onPause(RequestNumber request, Duration pause, TimePoint now);
    // The caller has left. The request is over.
    void onCallerGone(RequestNumber request, GatewayActions &actions);
    // Time has passed: gives up requests whose time is over.
    void onTick(TimePoint now, GatewayActions &actions);

    std::size_t inFlight() const { return requests_.size(); }
    std::size_t waiting(const TargetName &service) const;
    // Returns the streams in flight at a service, at all its groups; and the sum of their bounds.
    std::uint32_t streams(const TargetName &service) const;
    double streamLimit(const TargetName &service) const;
    // Returns the lane of one group; nothing when no request has gone there.
    const StreamLane *lane(const TargetName &service, const GroupId &group) const;
    std::uint64_t secondAttempts() const { return secondAttempts_; }
    // Returns the upstreams that rest, and until when.
    std::map<InstanceId, TimePoint> resting(TimePoint now) const { return chooser_.resting(now); }
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
        TimePoint giveUpAt{};
        TimePoint arrivedAt{};
        TimePoint firstAskedAt{}; // When its caller first asked, as far as is known.
        TimePoint sentAt{};       // The attempt under way.
        TimePoint heardAt{};      // Its last word; when it was sent, before the first.
        Duration comeBack{};      // When a refused caller may come back; zero: the usual pause.
        bool waits = false;       // For the bound on streams; nothing was sent yet.
        TimePoint permitUntil{};  // It waits so long for a permit; zero: it does not.
        InstanceId upstream;      // Of the attempt under way; empty: none.
        UpstreamRecord sentTo;    // That upstream, as it was listed when the attempt began.
        GroupId group;            // Of that upstream, when the attempt began.
        bool speaks = false;      // The attempt under way has sent an event.
        std::set<InstanceId> tried;
        std::uint32_t attempts = 0; // That reached an upstream, as far as is known.
        bool sentBefore = false;    // An upstream has refused it already.
        std::uint32_t unsent = 0;
        bool mayHaveRun = false;
        bool headSent = false;
        bool answering = false; // The attempt under way has sent its head.
    };

    // The streams in flight at one service, by group, and those that wait.
    struct ServiceState
    {
        explicit ServiceState(const ServiceLanes::Settings &settings)
            : lanes(settings)
        {}

        ServiceLanes lanes;
        std::deque<TimePoint> started; // Of the streams of the last second.
        StreamQueue waiting;
        Duration firstEvent{}; // From an attempt's start, on average of late; zero: not known.
    };

    RetryBudget::Settings ownBudget() const;
    bool mayRepeat(const Request &request) const;
    bool mayTryAgain(const Request &request, TimePoint now);
    std::optional<InstanceId> chooseFor(const Request &request, const std::optional<GroupId> &group,
                                        TimePoint now);
    TargetName chooseService(const RouteRule &route);
    StreamLane &laneOf(const Request &request);
    bool startAttempt(RequestNumber number, Request &request, const std::optional<GroupId> &group,
                      TimePoint now, GatewayActions &actions);
    void startOrWait(RequestNumber number, Request &request, const std::optional<GroupId> &group,
                     TimePoint now, GatewayActions &actions);
    void startWaitingForPermits(TimePoint now, GatewayActions &actions);
    bool startAgain(RequestNumber number, Request &request, TimePoint now, GatewayActions &actions);
    void retryOrGiveUp(RequestNumber number, FailureCode failure, TimePoint now,
                       GatewayActions &actions);
    void giveUp(RequestNumber number, FailureCode failure, TimePoint now, GatewayActions &actions);
    void leaveUpstream(Request &request);
    ServiceState &serviceOf(const TargetName &service);
    void endRequest(RequestNumber number);
    void noteAnswer(Request &request, AnswerKind kind, TimePoint now);
    static StreamQueue::Entry entryFor(RequestNumber number, const Request &request,
                                       const ServiceState &service);
    Duration longestWait(const Request &request) const;
    Duration latestReturn(const Request &request, TimePoint now) const;
    Duration comeBackAfter(const Request &request, TimePoint now);
    Duration expectedWait(ServiceState &service, const StreamQueue::Entry &entry, TimePoint now);
    void queueStream(RequestNumber number, Request &request, TimePoint now,
                     GatewayActions &actions);
    bool queueAgain(RequestNumber number, Request &request, TimePoint now);
    bool mayQueueForOpening(ServiceState &service, TimePoint now) const;
    void admitWaiting(ServiceState &service, TimePoint now, GatewayActions &actions);
    bool fellSilent(const Request &request, TimePoint now) const;
    void moveSilent(TimePoint now, GatewayActions &actions);
    void move(RequestNumber number, TimePoint now, GatewayActions &actions);
    bool mayBeSent(const Request &request, TimePoint now) const;
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
    UpstreamChooser chooser_; // Refers to the tables and permits.
    std::set<RequestNumber> waitForPermits_;
    CrashRecord crashes_;
    std::uint64_t crashesSeen_ = 0; // The state of the record that requests were held against.
    std::unordered_map<TargetName, RetryBudget> budgets_;
    std::unordered_map<TargetName, ServiceState> services_;
    std::unordered_map<std::string, StatedWaits> statedWaits_; // By the route's name.
    std::unordered_map<RequestNumber, Request> requests_;
    std::size_t gateways_ = 1;
    HallPlace place_;
    RequestNumber nextNumber_ = 1;
    std::uint64_t secondAttempts_ = 0;
};

} // namespace seamarch
