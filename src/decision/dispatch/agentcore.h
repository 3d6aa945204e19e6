// AgentCore: admission control and scheduling of the requests for one agent's upstream.
//
// The class is a pure state machine: it takes events and the current time and returns actions,
// which the service around it (src/agent) carries out. Tests run it unchanged in virtual time.
// Single-threaded.
#pragma once

#include "decision/dispatch/admissionresult.h"
#include "decision/fairness/fairqueue.h"
#include "decision/membership/membertable.h"
#include "decision/once/keyhome.h"
#include "decision/once/runledger.h"
#include "decision/once/ticketissuer.h"
#include "seamarch/configdocument.h"
#include "seamarch/ids.h"
#include "seamarch/outcome.h"
#include "seamarch/units.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace seamarch {

// A request that an entry sends to an agent.
struct AgentCall
{
    RequestId id;
    AccountId account;
    TargetName target;
    std::uint8_t priority = 0;
    Tokens promptTokens = 0;
    Tokens answerTokens = 0;
    Duration deadline{};          // Time left on arrival.
    Incarnation agentIncarnation; // The agent incarnation that the entry addresses.
    std::optional<Ticket> ticket;
    std::string callerKey; // The caller's idempotency key; empty if it sent none.
};

// Starts an accepted request at the upstream.
struct StartUpstream
{
    RequestId id;
};

// Aborts a running request at the upstream.
struct AbortUpstream
{
    RequestId id;
};

// Reports to the entry that an accepted request has not run and will not run.
struct ReportNotRun
{
    RequestId id;
    FailureCode failure = FailureCode::NoUpstream;
    Duration retryAfter{};
};

// Announces a free slot, with no request queued for it, to one or two entries.
struct AnnounceFreeSlot
{};

// An action that an event requires; the service around AgentCore carries actions out in order.
using AgentAction = std::variant<StartUpstream, AbortUpstream, ReportNotRun, AnnounceFreeSlot>;
using AgentActions = std::vector<AgentAction>;

// Decides which requests an agent accepts, in which order they start at its upstream, and when they
// are refused or cancelled. An accepted request starts unless it is withdrawn, cancelled or
// reported as not run.
class AgentCore
{
public:
    struct Settings
    {
        InstanceId self;
        Incarnation incarnation;
        std::uint64_t seed = 0;
        std::uint32_t slots = 8;                // Requests that run concurrently.
        double initialTokensPerSecond = 1000.0; // Rate assumed until one has been measured.
        std::size_t ledgerCapacity = 20'000;    // Requests.
        std::size_t ticketCapacity = 20'000;
        KeyHome::Settings keyHome;
    };

    // `now` is the start time of this incarnation. It makes no key-home grants for one lease,
    // because it does not know which grants the previous incarnation made.
    AgentCore(const Settings &settings, TimePoint now);

    // Applies the shares and queue limits of the accounts and the slot count of the upstream.
    void applyConfig(const ConfigDocument &document);

    // Starts, queues or refuses an arriving request. `wall` is compared with the time in its key.
    AdmissionResult onCall(const AgentCall &call, TimePoint now, UnixMillis wall,
                           AgentActions &actions);
    // Handles a cancel by the entry; a running request is aborted. Returns true if the request
    // provably has not run and will not run. A cancel that addresses another incarnation returns
    // false, because the request may have run there.
    bool onCancel(RequestId id, Incarnation targetIncarnation, TimePoint now,
                  AgentActions &actions);
    // Handles a withdrawal by the entry, which wants to send the request to another agent. A
    // started request goes on. Returns true if it provably has not run and will not run here.
    bool onWithdraw(RequestId id, Incarnation targetIncarnation);
    // Records `count` answer tokens that the upstream has generated since the last call.
    void onTokens(RequestId id, Tokens count);
    // Handles the end of a request at the upstream, successful or not.
    void onEnded(RequestId id, TimePoint now, AgentActions &actions);
    // Handles a failure to connect to the upstream: the request is reported as not run.
    void onNotStarted(RequestId id, TimePoint now, AgentActions &actions);
    // Expires queued requests, ends a backoff and updates the token rate. Called periodically.
    void onTick(TimePoint now, AgentActions &actions);

    // Refuses new requests from now on and reports queued ones as not run. Running ones go on.
    void leave(AgentActions &actions);
    bool leaving() const { return leaving_; }
    // Starts a backoff that the upstream asked for: until `until` no request starts, queued
    // requests are reported as not run, and reports mark the agent as leaving so that entries send
    // it none. A later call can extend a backoff but not shorten it.
    void backOffUntil(TimePoint until, TimePoint now, AgentActions &actions);
    // With `false`, refuses new requests while the upstream reloads and reports queued ones as not
    // run, until a call with `true`.
    void setServing(bool serving, AgentActions &actions);
    // Returns true if no request is queued or running.
    bool idle() const { return running_.empty() && queue_.size() == 0; }

    // Returns the load and state that heartbeats carry to entries.
    AgentReport report() const;
    Ticket issueTicket() { return tickets_.issue(); }

    // Sets the agents that share the key homes of `target`: those of this agent's service in this
    // hall, from the newest instance list.
    void setKeyMembers(TargetName target, MemberSet set);
    const MemberSet &keyMembers() const { return keyHome_.members(); }
    // Records that the platform confirmed that list in answer to a query sent at `at` or later.
    void confirmKeyView(TimePoint at) { keyHome_.confirmMembers(at); }
    // Handles another agent's request for a grant of the member set with the hash `set`. Returns
    // true if it is granted.
    bool onGrantRequest(std::uint64_t set, TimePoint now) { return grants_.grant(set, now); }
    // Records a grant of `set` by `member`, requested at `requestedAt`; its lease counts from then.
    void onGranted(const InstanceId &member, std::uint64_t set, TimePoint requestedAt,
                   TimePoint now, UnixMillis wall);
    // Returns true if every member's grant for the current set is valid.
    bool holdsAllGrants(TimePoint now) const { return keyHome_.holdsAllGrants(now); }
    Incarnation incarnation() const { return settings_.incarnation; }
    const RunLedger &ledger() const { return ledger_; }

private:
    struct Running
    {
        AccountId account;
        double chargedCost = 0.0; // Cost charged to the account so far.
        double promptCost = 0.0;
        double declaredTokens = 0.0; // Answer length that the caller declared.
        double producedTokens = 0.0;
    };

    // The ticket and key that a queued request holds; released if the request does not start.
    struct Reservation
    {
        std::optional<Ticket> ticket;
        AccountId account;
        std::string callerKey;
    };

    // Empties the queue and reports each request as not run.
    void refuseAllWaiting(FailureCode failure, Duration retryAfter, AgentActions &actions);
    // Returns a refusal if the agent's state or the deadline rules the call out.
    std::optional<AdmissionResult> checkAdmission(const AgentCall &call, TimePoint now) const;
    // Redeems the call's ticket and registers its key. Returns a refusal if either is not accepted.
    std::optional<AdmissionResult> reserveTicketAndKey(const AgentCall &call, TimePoint now,
                                                       UnixMillis wall);
    void releaseReservation(RequestId id);
    // Returns the expected time in the queue; zero if a slot is free.
    Duration predictedWait(const AccountId &account) const;
    // Returns the expected run time of a request while all slots are in use.
    Duration predictedServiceTime(const AccountId &account, Tokens promptTokens,
                                  Tokens answerTokens) const;
    // Scales a declared answer length by the account's length ratio.
    Tokens expectedAnswerTokens(const AccountId &account, Tokens declaredTokens) const;
    // Adds a finished request to the length ratio of its account.
    void updateLengthRatio(const Running &running);
    // Starts queued requests while slots are free; refuses those that cannot meet their deadline.
    void startNext(TimePoint now, AgentActions &actions);
    void refuseWaiting(const QueuedRequest &request, FailureCode failure, Duration retryAfter,
                       AgentActions &actions);
    // Corrects the account's charge to the actual cost.
    void settleCharge(const Running &running, double actual);

    Settings settings_;
    FairQueue queue_;
    RunLedger ledger_;
    TicketIssuer tickets_;
    KeyHome keyHome_;
    GrantIssuer grants_;
    TargetName keyTarget_; // The only target whose caller keys are accepted.
    std::unordered_map<RequestId, Running> running_;
    std::unordered_map<RequestId, Reservation> reservations_;
    double tokensPerSecond_;
    // Moving average of actual over declared answer length, for each account. Accounts differ: some
    // declare the maximum that they would accept.
    std::unordered_map<AccountId, double> lengthRatios_;
    double servedInWindow_ = 0.0; // Cost served since windowStart_, in tokens.
    double runningTokens_ = 0.0;  // Cost charged for the running requests, in tokens.
    TimePoint windowStart_{};
    bool leaving_ = false;
    bool serving_ = true;
    std::optional<TimePoint> backoffUntil_; // Set during a backoff.
};

} // namespace seamarch
