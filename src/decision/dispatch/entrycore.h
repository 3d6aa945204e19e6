// EntryCore: rate limiting, choice of an agent, retries and failure handling for the requests that
// callers send to one entry.
//
// A request is in one of four states: held until its agent's first report arrives, sent to an
// agent, resolving (the connection to its agent broke and a cancel may still prove that it did not
// run), or finished. It is sent to a second agent only if it provably did not run at the first, or
// if the configuration marks it as repeatable. Once an attempt may have run, no later failure of
// the request reports the outcome 'not run'.
//
// The class is a pure state machine: it takes events and the current time and returns actions,
// which the service around it (src/entry) carries out. Single-threaded.
#pragma once

#include "decision/admission/tokenbucket.h"
#include "decision/membership/membertable.h"
#include "decision/once/keyhome.h"
#include "decision/once/ticketissuer.h"
#include "decision/retry/crashrecord.h"
#include "decision/retry/outlierdetector.h"
#include "decision/retry/retrybudget.h"
#include "decision/routing/loadestimate.h"
#include "decision/routing/prefixindex.h"
#include "decision/routing/router.h"
#include "seamarch/configdocument.h"
#include "seamarch/ids.h"
#include "seamarch/outcome.h"
#include "seamarch/units.h"

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace seamarch {

// A caller's request with the properties that routing and retries depend on.
struct EntryRequest
{
    AccountId account;
    TargetName target;
    std::uint8_t priority = 0;
    Tokens promptTokens = 0;
    Tokens answerTokens = 0;
    std::uint64_t prefixHash = 0; // Zero: the request has no reusable prefix.
    bool repeatable = false;      // May run more than once.
    Duration deadline{};          // Time left on arrival.
    std::optional<Ticket> ticket;
    std::string callerKey; // The caller's idempotency key; empty if it sent none.
    RequestDigest digest;  // Equal for requests that are identical to an upstream.
};

// Returns the key under which crashes are recorded against the prefix of the prompt; nullopt if the
// request has none.
std::optional<SuspectKey> prefixKey(const EntryRequest &request);

// Sends the request to the agent.
struct SendCall
{
    RequestId id;
    InstanceId agent;
    Incarnation agentIncarnation;
    Duration deadline{}; // Time left.
};

// Asks the agent to cancel the request, over an existing or a new connection.
struct SendCancel
{
    RequestId id;
    InstanceId agent;
    Incarnation agentIncarnation;
};

// Asks the agent to remove the request from its queue unless it has started.
struct SendWithdraw
{
    RequestId id;
    InstanceId agent;
    Incarnation agentIncarnation;
};

// Reports to the caller that the request failed. EntryCore has removed it.
struct FailRequest
{
    RequestId id;
    FailureCode failure = FailureCode::NoUpstream;
    Outcome outcome = Outcome::NotRun;
    Duration retryAfter{}; // Suggested delay before a retry; zero: none is suggested.
};

// Connects to an agent and requests its report, for which a held request waits.
struct ConnectAgent
{
    InstanceId agent;
};

// An action that an event requires; the service around EntryCore carries actions out in order.
using EntryAction = std::variant<SendCall, SendCancel, SendWithdraw, FailRequest, ConnectAgent>;
using EntryActions = std::vector<EntryAction>;

// Decides for each request of an entry whether it is admitted, to which agent it is sent, whether
// it is retried or moved to another agent, and with which outcome it fails.
class EntryCore
{
public:
    struct Settings
    {
        HallId hall;
        Incarnation incarnation;
        std::uint64_t seed = 0;
        // An agent gets new requests only if it answered a heartbeat sent within this time.
        Duration lease = std::chrono::seconds(3);
        Duration holdTimeout = std::chrono::seconds(1);    // Wait for an agent's first report.
        Duration resolveTimeout = std::chrono::seconds(1); // Wait for an answer to a cancel.
        Duration slowStart = std::chrono::seconds(5); // Ramp-up of a new agent's readiness to 1.
        std::uint32_t maxAttempts = 3;
        std::uint32_t maxMoves = 3; // From one agent's queue to another agent.
        RetryBudget::Settings retryBudget;
        OutlierDetector::Settings outliers;
        CrashRecord::Settings crashes;
    };

    // `router` chooses among the candidate agents; production code passes an ExpectedWaitRouter.
    EntryCore(const Settings &settings, std::unique_ptr<Router> router);

    // Applies rate limits, home halls, hall distances and drained halls and upstreams.
    void applyConfig(const ConfigDocument &document);
    // Applies an instance list. Requests at agents that are no longer listed go on. An older list
    // than the current one is ignored.
    void applyList(const InstanceList &list);
    // Handles an agent's answer to the heartbeat sent at `requestedAt`.
    void onReport(const InstanceId &agent, const AgentReport &report, TimePoint requestedAt,
                  TimePoint now, EntryActions &actions);

    // Admits a request and sends or holds it, or fails it. Returns the id of the request.
    RequestId begin(const EntryRequest &request, TimePoint now, EntryActions &actions);
    // Records that the agent accepted the request; `started` is false if it is queued there.
    void onAccepted(RequestId id, bool started);
    // Handles a refusal or failure reported by the agent. `outcome` is NotRun if the request
    // provably did not run, else Unknown.
    void onRefused(RequestId id, FailureCode failure, Outcome outcome, Duration retryAfter,
                   TimePoint now, EntryActions &actions);
    // Handles a call that could not be written to any connection, which proves that it did not run.
    void onNotWritten(RequestId id, TimePoint now, EntryActions &actions);
    // Handles a connection that broke between the write of the call and the end of the answer.
    void onConnectionLost(RequestId id, TimePoint now, EntryActions &actions);
    // Handles the agent's answer to a cancel. `notRun` means that the request provably did not run.
    void onCancelled(RequestId id, bool notRun, TimePoint now, EntryActions &actions);
    // Handles an agent's announcement of a free slot with an empty queue: withdraws a request that
    // this entry has queued at another agent, to send it to this one.
    void onFree(const InstanceId &agent, const AgentReport &report, TimePoint now,
                EntryActions &actions);
    // Handles the answer of agent `from` to a withdrawal. `notRun` is as for onCancelled().
    void onWithdrawn(RequestId id, const InstanceId &from, bool notRun, TimePoint now,
                     EntryActions &actions);
    // Handles the first part of an answer. Returns false if the request is no longer assigned to
    // `agent`; the caller then drops the part.
    bool onAnswer(RequestId id, const InstanceId &agent);
    // Finishes a request whose answer is complete.
    void onComplete(RequestId id, const InstanceId &agent, TimePoint now);
    // Cancels and finishes a request whose caller has disconnected.
    void onCallerGone(RequestId id, EntryActions &actions);
    // Handles the end of the upstream of `agent` while it ran a request whose caller has
    // disconnected.
    void onAbandonedCallCrashed(RequestId id, const InstanceId &agent, TimePoint now);
    // Fails held and resolving requests that have timed out. Called periodically.
    void onTick(TimePoint now, EntryActions &actions);

    const MemberTable &members() const { return members_; }
    // Returns the record of requests during which upstream processes ended. A request that the
    // record holds responsible is not sent to any agent.
    CrashRecord &crashes() { return crashes_; }
    // Returns the number of unfinished requests, held ones included.
    std::size_t inFlight() const { return requests_.size(); }
    std::uint64_t retries() const { return retries_; }
    // Returns how many queued requests were moved to another agent.
    std::uint64_t moves() const { return moves_; }
    // Returns how many answers arrived for requests no longer assigned to the answering agent.
    std::uint64_t droppedAnswers() const { return droppedAnswers_; }
    // Returns the time when the lease of `agent` ends; it gets no new requests after that.
    TimePoint leaseUntil(const InstanceId &agent) const;

private:
    enum class RequestPhase { AwaitingReport, Sent, Answering, Resolving };

    struct Request
    {
        EntryRequest original;
        TimePoint deadline;
        RequestPhase phase = RequestPhase::Sent;
        InstanceId agent;
        Incarnation agentIncarnation;
        std::uint32_t attempts = 0;
        bool mayHaveRun = false; // An attempt ended without proof that it did not run.
        std::set<InstanceId> triedAgents;
        TimePoint sentAt{};
        std::uint32_t moves = 0;
        bool queuedAtAgent = false;       // Queued and not started, as last reported.
        std::optional<InstanceId> moveTo; // Target agent while a withdrawal is pending.
        TimePoint expiresAt{};            // Set while AwaitingReport or Resolving.
    };

    // The chosen agent, or the failure to report if there is none.
    struct Choice
    {
        std::optional<InstanceId> agent;
        FailureCode failure = FailureCode::NoUpstream;
        Outcome outcome = Outcome::NotRun;
        bool awaitsReport = false; // `agent` is listed, but has not reported yet.
    };

    void holdForReport(Request &request, const InstanceId &agent, TimePoint now,
                       EntryActions &actions);
    // Dispatches or fails the requests held for the report of `agent`.
    void releaseHeld(const InstanceId &agent, TimePoint now, EntryActions &actions);
    void dispatch(RequestId id, Request &request, const InstanceId &agent, TimePoint now,
                  EntryActions &actions);
    bool mayBeSent(const Request &request, TimePoint now) const;
    // A call that an agent may be running, with what has crashed the upstream if it crashes.
    struct RunningCall
    {
        RequestId id;
        InstanceId agent;
        AccountId account;
        std::vector<SuspectKey> suspects;
    };

    static RunningCall runningCall(RequestId id, const Request &request);
    void recordCrash(const RunningCall &call, TimePoint now);
    Choice choose(const Request &request, TimePoint now);
    static Duration retryAfter(const Choice &choice);
    Choice chooseTicketAgent(const Request &request, TimePoint now) const;
    Choice chooseKeyHome(const Request &request, TimePoint now) const;
    Choice chooseByRouter(const Request &request, TimePoint now);
    RouteCandidate candidateFor(const Member &member, const Request &request, TimePoint now);
    // Returns the earliest sent request that is queued at another agent and may run at `to`.
    std::optional<RequestId> findMovableRequest(const InstanceId &to) const;
    void moveWaitingRequestTo(const InstanceId &agent, TimePoint now, EntryActions &actions);
    // Returns 0.1 to 1, growing with the agent's age during slowStart.
    double readiness(const Member &member, TimePoint now) const;
    // Sends the request to another agent if it may be retried, else fails it.
    void retryOrFail(RequestId id, FailureCode failure, Duration retryAfter, TimePoint now,
                     EntryActions &actions);
    void fail(RequestId id, FailureCode failure, Outcome outcome, Duration retryAfter,
              EntryActions &actions);
    void removeFromAgentLoad(RequestId id, const Request &request);
    Request *find(RequestId id);

    Settings settings_;
    std::unique_ptr<Router> router_;
    RandomEngine random_;
    MemberTable members_;
    RateLimiter limiter_;
    RetryBudget retryBudget_;
    OutlierDetector outliers_;
    CrashRecord crashes_;
    std::deque<RunningCall> abandonedCalls_; // Of callers who left, oldest first.
    PrefixIndex prefixes_;
    std::unordered_map<InstanceId, LoadEstimate> loads_;
    std::unordered_map<HallId, Duration> hallDistances_;
    std::unordered_map<AccountId, HallId> homeHalls_;
    std::set<InstanceId> drainingAgents_;
    std::set<HallId> drainingHalls_;
    std::unordered_map<RequestId, Request> requests_;
    std::uint64_t nextCounter_ = 1;
    std::uint64_t retries_ = 0;
    std::uint64_t moves_ = 0;
    std::uint64_t droppedAnswers_ = 0;
};

} // namespace seamarch
