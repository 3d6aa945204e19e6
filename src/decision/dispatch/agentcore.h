// The decisions of an agent on the requests for its upstream: accept or refuse, whose turn it is,
// start, cancel, leave.
//
// The class is a pure state machine: events and the time come in, actions go out, and the shell
// around it (src/agent) carries them out. It runs unchanged under tests in virtual time.
// Single-threaded.
#pragma once

#include "decision/dispatch/verdict.h"
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

// A request as it arrives at an agent.
struct AgentCall
{
    RequestId id;
    AccountId account;
    TargetName target;
    std::uint8_t priority = 0;
    Tokens promptTokens = 0;
    Tokens answerTokens = 0;
    Duration deadline{};          // Time left when it arrives.
    Incarnation agentIncarnation; // The life of the agent that the entry means.
    std::optional<Ticket> ticket;
    std::string callerKey; // Empty when the call has none.
};

// Start the request at the upstream.
struct StartUpstream
{
    RequestId id;
};

// Break the request off at the upstream.
struct AbortUpstream
{
    RequestId id;
};

// Tell the entry that an accepted request has not run and will not.
struct ReportNotRun
{
    RequestId id;
    FailureCode failure = FailureCode::NoUpstream;
    Duration retryAfter{};
};

// Tell an entry or two that a slot is free and nothing waits for it here.
struct AnnounceFree
{};

using AgentAction = std::variant<StartUpstream, AbortUpstream, ReportNotRun, AnnounceFree>;
using AgentActions = std::vector<AgentAction>;

class AgentCore
{
public:
    struct Settings
    {
        InstanceId self;
        Incarnation incarnation;
        std::uint64_t seed = 0;
        std::uint32_t slots = 8;
        double initialTokensPerSecond = 1000.0;
        std::size_t ledgerCapacity = 20'000;
        std::size_t ticketCapacity = 20'000;
        KeyHome::Settings keyHome;
    };

    // `now` is the start of this incarnation. It grants nothing for a lease, because it cannot know
    // what the incarnation before it promised.
    AgentCore(const Settings &settings, TimePoint now);

    // Takes the claims of the accounts and the upstream's slots from a configuration.
    void applyConfig(const ConfigDocument &document);

    // A request has arrived.
    StartVerdict onCall(const AgentCall &call, TimePoint now, UnixMillis wall,
                        AgentActions &actions);
    // The entry gives a request up. Returns true when it is proved that it did not and will not
    // run. A cancel that means another incarnation proves nothing: its request may have run there.
    bool onCancel(RequestId id, Incarnation meant, TimePoint now, AgentActions &actions);
    // An entry takes a request back to send it elsewhere, unless it has started. Returns true when
    // it is proved that it did not and will not run here.
    bool onWithdraw(RequestId id, Incarnation meant);
    // The upstream has generated answer tokens.
    void onTokens(RequestId id, Tokens count);
    // The upstream has ended a request, well or not.
    void onEnded(RequestId id, TimePoint now, AgentActions &actions);
    // The connection to the upstream could not be made, so the request did not start after all.
    void onNotStarted(RequestId id, TimePoint now, AgentActions &actions);
    // Time has passed: expires waiting requests and refreshes the rate.
    void onTick(TimePoint now, AgentActions &actions);

    // Takes no new work from now on; what waits is reported as not run, what runs goes on.
    void leave(AgentActions &actions);
    bool leaving() const { return leaving_; }
    // The upstream wants nothing before `until`: nothing is started there, what waits is reported
    // as not run, and entries hear that no work is taken. A rest is never cut short.
    void rest(TimePoint until, TimePoint now, AgentActions &actions);
    // Takes no new work while the upstream is being reloaded; what waits is reported as not run.
    void setServing(bool serving, AgentActions &actions);
    // Tells whether nothing waits and nothing runs.
    bool idle() const { return running_.empty() && queue_.size() == 0; }

    AgentReport report() const;
    Ticket issueTicket() { return tickets_.issue(); }

    // The agents of this agent's service in this hall, as the newest list names them.
    void setKeyMembers(TargetName target, MemberSet set);
    const MemberSet &keyMembers() const { return keyHome_.members(); }
    // The platform was asked at `at` or later and confirmed that list.
    void confirmKeyView(TimePoint at) { keyHome_.confirmMembers(at); }
    // Another agent asks this one to promise a member set.
    bool onGrantAsked(std::uint64_t set, TimePoint now) { return grants_.grant(set, now); }
    // Another agent has promised `set`; it was asked at `askedAt`.
    void onGranted(const InstanceId &member, std::uint64_t set, TimePoint askedAt, TimePoint now,
                   UnixMillis wall);
    bool holdsAllGrants(TimePoint now) const { return keyHome_.holdsAllGrants(now); }
    Incarnation incarnation() const { return settings_.incarnation; }
    const RunLedger &ledger() const { return ledger_; }

private:
    struct Running
    {
        AccountId account;
        double expected = 0.0; // Cost that it was charged so far.
        double promptCost = 0.0;
        double declared = 0.0; // Answer tokens that the caller declared.
        double produced = 0.0;
    };

    // What an accepted request holds until it starts, to be given back when it does not.
    struct Proof
    {
        std::optional<Ticket> ticket;
        AccountId account;
        std::string callerKey;
    };

    void refuseAllWaiting(FailureCode failure, Duration retryAfter, AgentActions &actions);
    std::optional<StartVerdict> refuseBeforeProof(const AgentCall &call, TimePoint now) const;
    std::optional<StartVerdict> checkProof(const AgentCall &call, TimePoint now, UnixMillis wall);
    void giveProofBack(RequestId id);
    Duration predictedWait(const AccountId &account) const;
    Duration predictedService(const AccountId &account, Tokens promptTokens,
                              Tokens answerTokens) const;
    Tokens expectedAnswer(const AccountId &account, Tokens declared) const;
    void learnLength(const Running &running);
    void startNext(TimePoint now, AgentActions &actions);
    void refuseWaiting(const QueuedRequest &request, FailureCode failure, Duration retryAfter,
                       AgentActions &actions);
    void settle(const Running &running, double actual);

    Settings settings_;
    FairQueue queue_;
    RunLedger ledger_;
    TicketIssuer tickets_;
    KeyHome keyHome_;
    GrantIssuer grants_;
    TargetName keyTarget_; // Keys are honoured for requests to it only.
    std::unordered_map<RequestId, Running> running_;
    std::unordered_map<RequestId, Proof> proofs_;
    double tokensPerSecond_;
    // What an account's answers turn out to be over what it declares. Accounts differ: some declare
    // the most that they would take.
    std::unordered_map<AccountId, double> lengthRatios_;
    double servedInWindow_ = 0.0;
    double runningTokens_ = 0.0;
    TimePoint windowStart_{};
    bool leaving_ = false;
    bool serving_ = true;
    std::optional<TimePoint> restUntil_; // While the upstream rests.
};

} // namespace seamarch
