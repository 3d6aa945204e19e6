// DispatchSimulation: a deterministic simulation of entries, agents and the network between them,
// in virtual time with a fixed seed.
//
// It runs the real EntryCore and AgentCore. The simulated network drops, delays, reorders and
// duplicates messages; processes are killed, paused and replaced; their instance lists are stale.
// Callers retry as the API reference allows. Violated invariants are collected as messages. An
// injected fault breaks one rule on purpose, to show that the checks detect it.
#pragma once

#include "decision/dispatch/agentcore.h"
#include "decision/dispatch/entrycore.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace seamarch::test {

// A deliberate bug that the checks must detect.
enum class InjectedFault {
    None,
    IgnoreIncarnation,   // Agents answer cancels that address another incarnation.
    SkipTombstone,       // Agents answer a cancel with 'not run' and do not record it.
    RetryUnknownOutcome, // Entries treat a lost call as never written.
    DropTicket,          // Calls lose their ticket on the way.
    SwapAnswers,         // One in ten answers goes to another request.
    MisreportWithdrawal, // Agents confirm withdrawals of started requests.
    AcceptWhileLeaving,  // Leaving agents accept requests.
};

// Environment faults. Random mixes all of them; the others have none or exactly one, for
// measurements.
enum class Scenario { Random, NoFaults, AgentRestart, Partition };

// How an operation is protected against running twice: by a ticket, by an idempotency key, or, if
// Plain, by retrying only after the outcome 'not run'. Repeatable ones may run twice.
enum class OperationKind { Repeatable, Plain, Ticketed, Keyed };

// Simulates one run of operations by callers and checks the dispatch invariants.
class DispatchSimulation
{
public:
    struct Options
    {
        std::uint64_t seed = 1;
        InjectedFault fault = InjectedFault::None;
        Scenario scenario = Scenario::Random;
        std::optional<OperationKind> onlyKind; // Unset: a random mix of all kinds.
        int operations = 120;
        int entries = 3;
        int agents = 4;
    };

    explicit DispatchSimulation(const Options &options);

    // Runs the whole simulation and returns a message for each violated invariant.
    std::vector<std::string> run();

    // Counts of request outcomes: answered, failed as not run, failed as unknown, and requests
    // moved to another agent.
    int answered() const { return answered_; }
    int notRun() const { return notRun_; }
    int unknown() const { return unknown_; }
    int moved() const { return moved_; }

private:
    // One piece of work of a caller, which makes one or more attempts.
    struct Operation
    {
        OperationKind kind = OperationKind::Plain;
        std::optional<Ticket> ticket;
        std::string key;
        int attempts = 0;
        int runs = 0;
        bool done = false;
    };

    struct Entry
    {
        std::unique_ptr<EntryCore> core;
        Incarnation incarnation;
        TimePoint pausedUntil{};
    };

    struct Agent
    {
        InstanceId id;
        std::unique_ptr<AgentCore> core;
        Incarnation incarnation;
        TimePoint pausedUntil{};
        std::optional<TimePoint> leftAt;
        std::map<RequestId, int> jobs; // Operation index by request.
    };

    struct Event
    {
        TimePoint at;
        std::uint64_t sequence = 0;
        std::function<void()> action;

        bool operator>(const Event &other) const
        {
            return std::pair(at, sequence) > std::pair(other.at, other.sequence);
        }
    };

    void scheduleAt(TimePoint time, std::function<void()> action);
    void scheduleAfter(Duration delay, std::function<void()> action)
    {
        scheduleAt(now_ + delay, std::move(action));
    }
    Duration randomDelay(double lowMs, double highMs);
    bool chance(double probability);
    bool randomFaults() const { return options_.scenario == Scenario::Random; }
    // Returns true while messages between processes `left` and `right` are lost.
    bool isPartitioned(std::size_t left, std::size_t right) const;
    std::size_t pickIndex(std::size_t size);
    UnixMillis wall() const;

    void startEntry(std::size_t entry);
    void startAgent(std::size_t agent);
    void publishList();
    void changeList();
    void applyMembers(std::size_t agent, const InstanceList &list);
    void heartbeatLoop(std::size_t entry, std::size_t agent);
    void grantLoop(std::size_t agent);
    void tickLoop();
    void injectFault();

    // Runs `action` at a process after `delay`, once it is not paused. runAtEntry() drops it if the
    // entry is no longer `targetIncarnation`.
    void runAtEntry(std::size_t entry, Incarnation targetIncarnation, Duration delay,
                    const std::function<void()> &action);
    void runAtAgent(std::size_t agent, Duration delay, const std::function<void()> &action);

    void beginOperation(int operation);
    void attempt(int operation);
    void carryOut(std::size_t entry, const EntryActions &actions);
    void sendCall(std::size_t entry, const SendCall &call);
    void deliverCall(std::size_t entry, const SendCall &call, std::size_t agent,
                     bool connectionOpen);
    void sendCancel(std::size_t entry, const SendCancel &cancel);
    void sendWithdraw(std::size_t entry, const SendWithdraw &withdrawal);
    void announceFree(std::size_t agent);
    void carryOut(std::size_t agent, const AgentActions &actions);
    void runUpstream(std::size_t agent, RequestId id);
    void sendAnswer(std::size_t agent, RequestId id, int operation);
    void onFailed(const FailRequest &failure, int operation);
    void breakConnections(std::size_t agent);
    std::size_t agentIndex(const InstanceId &id) const;
    std::size_t entryIndex(Incarnation incarnation) const;
    void addViolation(const std::string &what) { violations_.push_back(what); }

    Options options_;
    std::mt19937_64 random_;
    TimePoint now_{};
    std::uint64_t nextSequence_ = 0;
    std::uint64_t nextIncarnation_ = 1;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::vector<Entry> entries_;
    std::vector<Agent> agents_;
    std::vector<Operation> operations_;
    std::map<RequestId, int> operationOf_;
    std::map<RequestId, int> runsOf_;
    std::map<RequestId, std::size_t> agentOf_;
    std::set<RequestId> reportedNotRun_;  // Requests whose caller got the outcome 'not run'.
    std::vector<InstanceList> lists_;     // All published lists, oldest first.
    std::optional<std::size_t> delisted_; // The agent left out of the newest list.
    std::vector<std::string> violations_;
    int answered_ = 0;
    int notRun_ = 0;
    int unknown_ = 0;
    int moved_ = 0;
};

} // namespace seamarch::test
