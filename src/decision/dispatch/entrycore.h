// The decisions of an entry on the requests of its callers: admit, choose an agent, retry within
// proof, give up.
//
// Every request is in one of four states: held until its agent has been heard, at an agent, being
// resolved (the connection to its agent broke and a cancel may still prove that it did not run), or
// over. A request is sent to a second agent with a proof that it did not run at the first, or when
// the configuration says that it may be repeated. Once one attempt may have run, no later failure
// of the request says 'not run'.
//
// The class is a pure state machine: events and the time come in, actions go out, and the shell
// around it (src/entry) carries them out. Single-threaded.
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

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace seamarch {

// A request as a caller made it, classified.
struct EntryRequest
{
    AccountId account;
    TargetName target;
    std::uint8_t priority = 0;
    Tokens promptTokens = 0;
    Tokens answerTokens = 0;
    std::uint64_t prefixHash = 0; // Zero: the request has no prefix to speak of.
    bool repeatable = false;
    Duration deadline{};
    std::optional<Ticket> ticket;
    std::string callerKey;
    RequestDigest digest; // Requests that are the same to an upstream have the same one.
};

// Send the request to the agent.
struct SendCall
{
    RequestId id;
    InstanceId agent;
    Incarnation agentIncarnation;
    Duration deadline{}; // Time left.
};

// Ask the agent to cancel, over whatever connection there is or can be made.
struct SendCancel
{
    RequestId id;
    InstanceId agent;
    Incarnation agentIncarnation;
};

// Ask the agent to give the request back unless it has started.
struct SendWithdraw
{
    RequestId id;
    InstanceId agent;
    Incarnation agentIncarnation;
};

// Tell the caller that the request failed. The request is over.
struct FailRequest
{
    RequestId id;
    FailureCode failure = FailureCode::NoUpstream;
    Outcome outcome = Outcome::NotRun;
    Duration retryAfter{};
};

// Connect to an agent and ask for its report: a request that is bound to it waits for that.
struct ConnectAgent
{
    InstanceId agent;
};

using EntryAction = std::variant<SendCall, SendCancel, SendWithdraw, FailRequest, ConnectAgent>;
using EntryActions = std::vector<EntryAction>;

class EntryCore
{
public:
    struct Settings
    {
        HallId hall;
        Incarnation incarnation;
        std::uint64_t seed = 0;
        Duration lease = std::chrono::seconds(3);
        Duration holdTime = std::chrono::seconds(1);
        Duration resolveTime = std::chrono::seconds(1);
        Duration slowStart = std::chrono::seconds(5);
        std::uint32_t maxAttempts = 3;
        std::uint32_t maxMoves = 3;
        RetryBudget::Settings retryBudget;
        OutlierDetector::Settings outliers;
        CrashRecord::Settings crashes;
    };

    // `router` chooses among the candidates; the product passes an ExpectedWaitRouter.
    EntryCore(const Settings &settings, std::unique_ptr<Router> router);

    void applyConfig(const ConfigDocument &document);
    // Takes an instance list. Requests at agents that are no longer listed go on undisturbed.
    void applyList(const InstanceList &list);
    // A heartbeat that was asked for at `askedAt` has been answered.
    void onReport(const InstanceId &agent, const AgentReport &report, TimePoint askedAt,
                  TimePoint now, EntryActions &actions);

    // Admits a request and sends it, or fails it.
    RequestId begin(const EntryRequest &request, TimePoint now, EntryActions &actions);
    // The agent has accepted the request and started it, or has it wait.
    void onAccepted(RequestId id, bool started);
    // The agent says that it did not run, or that it may have; `outcome` tells which.
    void onRefused(RequestId id, FailureCode failure, Outcome outcome, Duration retryAfter,
                   TimePoint now, EntryActions &actions);
    // The call could not be written to any connection: a proof that it did not run.
    void onNotWritten(RequestId id, TimePoint now, EntryActions &actions);
    // The connection broke after the call was written and before its answer was whole.
    void onLost(RequestId id, TimePoint now, EntryActions &actions);
    // The agent has answered a cancel.
    void onCancelled(RequestId id, bool notRun, TimePoint now, EntryActions &actions);
    // An agent has a free slot and nothing that waits for it: a request of this entry that waits
    // elsewhere is taken back from there, to be sent to this agent.
    void onFree(const InstanceId &agent, const AgentReport &report, TimePoint now,
                EntryActions &actions);
    // The agent has answered a withdrawal.
    void onWithdrawn(RequestId id, const InstanceId &from, bool notRun, TimePoint now,
                     EntryActions &actions);
    // The first part of the answer is here. Returns false when the request is not this agent's
    // any more; the part is then dropped.
    bool onAnswer(RequestId id, const InstanceId &agent);
    // The whole answer is here. The request is over.
    void onComplete(RequestId id, const InstanceId &agent, TimePoint now);
    // The caller has left. The request is over.
    void onCallerGone(RequestId id, EntryActions &actions);
    // Time has passed: gives up requests whose time to resolve is over.
    void onTick(TimePoint now, EntryActions &actions);

    const MemberTable &members() const { return members_; }
    // The requests that upstreams have ended under. Such a request gets no agent any more.
    CrashRecord &crashes() { return crashes_; }
    std::size_t inFlight() const { return requests_.size(); }
    std::uint64_t retries() const { return retries_; }
    std::uint64_t moves() const { return moves_; }
    std::uint64_t droppedAnswers() const { return droppedAnswers_; }
    // Returns the time after which `agent` gets no more new work unless it answers again.
    TimePoint leaseUntil(const InstanceId &agent) const;

private:
    enum class Phase { Holding, Sent, Answering, Resolving };

    struct Request
    {
        EntryRequest request;
        TimePoint deadline;
        Phase phase = Phase::Sent;
        InstanceId agent;
        Incarnation agentIncarnation;
        std::uint32_t attempts = 0;
        bool mayHaveRun = false; // An attempt ended without a proof that it did not run.
        std::set<InstanceId> tried;
        TimePoint sentAt{};
        std::uint32_t moves = 0;
        bool waits = false;               // Waits at its agent, as far as is known.
        std::optional<InstanceId> moveTo; // Set while a withdrawal is under way.
        TimePoint giveUpAt{};
    };

    struct Choice
    {
        std::optional<InstanceId> agent;
        FailureCode failure = FailureCode::NoUpstream;
        Outcome outcome = Outcome::NotRun;
        bool unheard = false; // `agent` is listed, but has not been heard yet.
    };

    void hold(Request &request, const InstanceId &agent, TimePoint now, EntryActions &actions);
    void releaseHeld(const InstanceId &agent, TimePoint now, EntryActions &actions);
    void dispatch(RequestId id, Request &request, const InstanceId &agent, TimePoint now,
                  EntryActions &actions);
    Choice choose(const Request &request, TimePoint now);
    static Duration retryAfter(const Choice &choice);
    Choice chooseTicketAgent(const Request &request, TimePoint now) const;
    Choice chooseKeyHome(const Request &request, TimePoint now) const;
    Choice chooseByRouter(const Request &request, TimePoint now);
    RouteCandidate candidateFor(const Member &member, const Request &request, TimePoint now);
    std::optional<RequestId> findMovable(const InstanceId &to) const;
    void moveOneTo(const InstanceId &agent, TimePoint now, EntryActions &actions);
    double readiness(const Member &member, TimePoint now) const;
    void retryOrFail(RequestId id, FailureCode failure, Duration retryAfter, TimePoint now,
                     EntryActions &actions);
    void fail(RequestId id, FailureCode failure, Outcome outcome, Duration retryAfter,
              EntryActions &actions);
    void leaveAgent(RequestId id, const Request &request);
    Request *find(RequestId id);

    Settings settings_;
    std::unique_ptr<Router> router_;
    RandomEngine random_;
    MemberTable members_;
    RateLimiter limiter_;
    RetryBudget budget_;
    OutlierDetector outliers_;
    CrashRecord crashes_;
    PrefixIndex prefixes_;
    std::unordered_map<InstanceId, LoadEstimate> loads_;
    std::unordered_map<HallId, Duration> distances_;
    std::unordered_map<AccountId, HallId> homes_;
    std::set<InstanceId> draining_;
    std::set<HallId> drainingHalls_;
    std::unordered_map<RequestId, Request> requests_;
    std::uint64_t nextCounter_ = 1;
    std::uint64_t retries_ = 0;
    std::uint64_t moves_ = 0;
    std::uint64_t droppedAnswers_ = 0;
};

} // namespace seamarch
