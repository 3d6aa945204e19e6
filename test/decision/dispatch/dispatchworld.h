// A small fake of what lies between entries and agents, in virtual time with a fixed seed.
//
// The real EntryCore and AgentCore run in it unchanged. The fake network drops, delays, reorders
// and doubles messages; processes are killed, paused and replaced; views lag. Callers retry as the
// reference tells them to. Violations of the invariants are collected as sentences. A planted fault
// breaks one rule on purpose, to show that the checker catches it.
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

enum class PlantedFault {
    None,
    TrustReplacedAgent, // A cancel is answered for whatever incarnation is there.
    ForgetTombstone,    // A cancel is answered 'not run' without being recorded.
    RetryUnknown,       // A lost call counts as never written.
    DropTicket,         // The ticket is taken off on the way.
    SwapAnswers,        // Now and then an answer goes to another request.
    LieAboutWithdrawal, // A request that has started is said to have been given back.
    KeepServingLeaving, // A leaving agent goes on taking work.
};

// What goes wrong. Random brings everything about; the others one thing, for measurements.
enum class Scenario { Random, Nothing, OneDeath, Cut };

// How an operation is kept from running twice.
enum class OperationKind { Repeatable, Plain, Ticketed, Keyed };

class DispatchWorld
{
public:
    struct Options
    {
        std::uint64_t seed = 1;
        PlantedFault fault = PlantedFault::None;
        Scenario scenario = Scenario::Random;
        std::optional<OperationKind> onlyKind;
        int operations = 120;
        int entries = 3;
        int agents = 4;
    };

    explicit DispatchWorld(const Options &options);

    // Runs to the end of virtual time and returns what was violated.
    std::vector<std::string> run();

    int answered() const { return answered_; }
    int notRun() const { return notRun_; }
    int unknown() const { return unknown_; }
    int moved() const { return moved_; }

private:
    // What a caller wants done once.
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
        std::map<RequestId, int> jobs; // Request to operation.
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

    void at(TimePoint time, std::function<void()> action);
    void after(Duration delay, std::function<void()> action)
    {
        at(now_ + delay, std::move(action));
    }
    Duration randomDelay(double lowMs, double highMs);
    bool chance(double probability);
    bool random() const { return options_.scenario == Scenario::Random; }
    bool cut(std::size_t left, std::size_t right) const;
    std::size_t pickIndex(std::size_t size);
    UnixMillis wall() const;

    void startEntry(std::size_t entry);
    void startAgent(std::size_t agent);
    void publishList();
    void relist();
    void applyMembers(std::size_t agent, const InstanceList &list);
    void heartbeatLoop(std::size_t entry, std::size_t agent);
    void grantLoop(std::size_t agent);
    void tickLoop();
    void disturb();

    // Runs `action` at the process when it is not paused; drops it when the incarnation is gone.
    void atEntry(std::size_t entry, Incarnation meant, Duration delay,
                 const std::function<void()> &action);
    void atAgent(std::size_t agent, Duration delay, const std::function<void()> &action);

    void beginOperation(int operation);
    void attempt(int operation);
    void carryOut(std::size_t entry, const EntryActions &actions);
    void sendCall(std::size_t entry, const SendCall &call);
    void deliverCall(std::size_t entry, const SendCall &call, std::size_t agent, bool listened);
    void sendCancel(std::size_t entry, const SendCancel &cancel);
    void sendWithdraw(std::size_t entry, const SendWithdraw &withdrawal);
    void announceFree(std::size_t agent);
    void carryOut(std::size_t agent, const AgentActions &actions);
    void runUpstream(std::size_t agent, RequestId id);
    void sendAnswer(std::size_t agent, RequestId id, int operation);
    void onFailed(const FailRequest &failure, int operation);
    void loseCalls(std::size_t agent);
    std::size_t agentIndex(const InstanceId &id) const;
    std::size_t entryIndex(Incarnation incarnation) const;
    void violate(const std::string &what) { violations_.push_back(what); }

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
    std::set<RequestId> toldNotRun_;
    std::vector<InstanceList> lists_; // Every list that was published.
    std::optional<std::size_t> delisted_;
    std::vector<std::string> violations_;
    int answered_ = 0;
    int notRun_ = 0;
    int unknown_ = 0;
    int moved_ = 0;
};

} // namespace seamarch::test
