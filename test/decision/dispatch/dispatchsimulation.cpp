#include "decision/dispatch/dispatchsimulation.h"

#include <algorithm>
#include <fmt/format.h>

namespace seamarch::test {
namespace {

constexpr Duration kLease = std::chrono::seconds(3);
constexpr Duration kHeartbeat = std::chrono::milliseconds(500);
constexpr Duration kSimulationEnd = std::chrono::seconds(60);
constexpr Duration kNoFaultsFrom = std::chrono::seconds(40); // No faults after this time.
constexpr int kMaxAttempts = 5;
constexpr Duration kFaultTime = std::chrono::seconds(14);
constexpr Duration kPartitionLength = std::chrono::seconds(5);
const TargetName kTarget("portal");
const HallId kHall("north");
const AccountId kAccount("bids");

std::string keyAt(UnixMillis wall, std::uint64_t low)
{
    const auto millis = static_cast<std::uint64_t>(wall.count());
    return fmt::format("{:08x}-{:04x}-7{:03x}-8{:03x}-{:012x}", millis >> 16U, millis & 0xffffU,
                       low & 0xfffU, (low >> 12U) & 0xfffU, low & 0xffffffffffffU);
}

} // namespace

DispatchSimulation::DispatchSimulation(const Options &options)
    : options_(options)
    , random_(options.seed)
    , entries_(static_cast<std::size_t>(options.entries))
    , agents_(static_cast<std::size_t>(options.agents))
{
    for (std::size_t index = 0; index < agents_.size(); ++index) {
        agents_[index].id = InstanceId(fmt::format("portal-{}", index));
    }
    publishList();
    for (std::size_t index = 0; index < agents_.size(); ++index) {
        startAgent(index);
    }
    for (std::size_t index = 0; index < entries_.size(); ++index) {
        startEntry(index);
    }
}

void DispatchSimulation::scheduleAt(TimePoint time, std::function<void()> action)
{
    events_.push({std::max(time, now_), nextSequence_++, std::move(action)});
}

Duration DispatchSimulation::randomDelay(double lowMs, double highMs)
{
    return fromSeconds(std::uniform_real_distribution<double>(lowMs, highMs)(random_) / 1000.0);
}

bool DispatchSimulation::chance(double probability)
{
    return std::bernoulli_distribution(probability)(random_);
}

// The partition separates the first entry and the first agent from all other processes.
bool DispatchSimulation::isPartitioned(std::size_t left, std::size_t right) const
{
    const Duration time = now_.time_since_epoch();
    const bool during = time >= kFaultTime && time < kFaultTime + kPartitionLength;
    return options_.scenario == Scenario::Partition && during && (left == 0) != (right == 0);
}

std::size_t DispatchSimulation::pickIndex(std::size_t size)
{
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(random_);
}

UnixMillis DispatchSimulation::wall() const
{
    constexpr UnixMillis kStart(1'700'000'000'000);
    return kStart + std::chrono::duration_cast<UnixMillis>(now_.time_since_epoch());
}

void DispatchSimulation::publishList()
{
    InstanceList list;
    list.version = ListVersion(lists_.size() + 1);
    for (std::size_t index = 0; index < agents_.size(); ++index) {
        if (delisted_ == index) {
            continue;
        }
        InstanceRecord record;
        record.id = agents_[index].id;
        record.hall = kHall;
        record.serves = {kTarget};
        list.instances.push_back(record);
    }
    lists_.push_back(list);
}

void DispatchSimulation::applyMembers(std::size_t agent, const InstanceList &list)
{
    std::vector<InstanceId> members;
    for (const InstanceRecord &record : list.instances) {
        members.push_back(record.id);
    }
    agents_[agent].core->setKeyMembers(kTarget, makeMemberSet(members));
}

// Removes an agent from the list although it may be running, or lists it again. Each process gets
// the new list with a delay of up to 9 s.
void DispatchSimulation::changeList()
{
    if (delisted_) {
        delisted_.reset();
    } else {
        delisted_ = pickIndex(agents_.size());
    }
    publishList();
    const InstanceList list = lists_.back();
    for (std::size_t index = 0; index < agents_.size(); ++index) {
        runAtAgent(index, randomDelay(10, 9000),
                   [this, index, list] { applyMembers(index, list); });
    }
    for (std::size_t index = 0; index < entries_.size(); ++index) {
        runAtEntry(index, entries_[index].incarnation, randomDelay(10, 9000),
                   [this, index, list] { entries_[index].core->applyList(list); });
    }
}

void DispatchSimulation::startEntry(std::size_t index)
{
    Entry &entry = entries_[index];
    entry.incarnation = Incarnation(nextIncarnation_++);
    EntryCore::Settings settings;
    settings.hall = kHall;
    settings.incarnation = entry.incarnation;
    settings.seed = random_();
    settings.lease = kLease;
    entry.core = std::make_unique<EntryCore>(settings, std::make_unique<TwoChoicesRouter>());
    ConfigDocument config;
    AccountConfig account;
    account.id = kAccount;
    account.homeHall = kHall;
    config.accounts.push_back(account);
    entry.core->applyConfig(config);
    entry.core->applyList(lists_.back());
    for (std::size_t agent = 0; agent < agents_.size(); ++agent) {
        heartbeatLoop(index, agent);
    }
}

void DispatchSimulation::startAgent(std::size_t index)
{
    Agent &agent = agents_[index];
    agent.incarnation = Incarnation(nextIncarnation_++);
    agent.jobs.clear();
    agent.leftAt.reset();
    AgentCore::Settings settings;
    settings.self = agent.id;
    settings.incarnation = agent.incarnation;
    settings.seed = random_();
    settings.slots = 1;
    settings.ledgerCapacity = 40;
    settings.keyHome.lease = kLease;
    agent.core = std::make_unique<AgentCore>(settings, now_);
    // A restarted process may get an older list than the others have.
    applyMembers(index,
                 lists_[lists_.size() > 1 && chance(0.5) ? lists_.size() - 2 : lists_.size() - 1]);
    grantLoop(index);
}

void DispatchSimulation::runAtEntry(std::size_t index, Incarnation targetIncarnation,
                                    Duration delay, const std::function<void()> &action)
{
    scheduleAfter(delay, [this, index, targetIncarnation, action] {
        const Entry &entry = entries_[index];
        if (entry.incarnation != targetIncarnation) {
            return;
        }
        if (now_ < entry.pausedUntil) {
            runAtEntry(index, targetIncarnation, entry.pausedUntil - now_, action);
            return;
        }
        action();
    });
}

void DispatchSimulation::runAtAgent(std::size_t index, Duration delay,
                                    const std::function<void()> &action)
{
    scheduleAfter(delay, [this, index, action] {
        const Agent &agent = agents_[index];
        if (now_ < agent.pausedUntil) {
            runAtAgent(index, agent.pausedUntil - now_, action);
            return;
        }
        action();
    });
}

void DispatchSimulation::heartbeatLoop(std::size_t entry, std::size_t agent)
{
    const Incarnation targetIncarnation = entries_[entry].incarnation;
    runAtEntry(entry, targetIncarnation, kHeartbeat, [this, entry, agent, targetIncarnation] {
        const TimePoint requestedAt = now_;
        if (!isPartitioned(entry, agent) && (!randomFaults() || !chance(0.05))) {
            runAtAgent(
                agent, randomDelay(0.5, 20), [this, entry, agent, targetIncarnation, requestedAt] {
                    const AgentReport report = agents_[agent].core->report();
                    runAtEntry(entry, targetIncarnation, randomDelay(0.5, 20),
                               [this, entry, agent, report, requestedAt] {
                                   EntryActions actions;
                                   entries_[entry].core->onReport(agents_[agent].id, report,
                                                                  requestedAt, now_, actions);
                                   carryOut(entry, actions);
                               });
                });
        }
        heartbeatLoop(entry, agent);
    });
}

void DispatchSimulation::grantLoop(std::size_t index)
{
    const Incarnation targetIncarnation = agents_[index].incarnation;
    runAtAgent(index, kHeartbeat, [this, index, targetIncarnation] {
        if (agents_[index].incarnation != targetIncarnation) {
            return;
        }
        const std::uint64_t set = agents_[index].core->keyMembers().hash;
        const TimePoint requestedAt = now_;
        for (std::size_t other = 0; other < agents_.size(); ++other) {
            if (isPartitioned(index, other)) {
                continue;
            }
            runAtAgent(other, randomDelay(0.5, 30),
                       [this, index, other, targetIncarnation, set, requestedAt] {
                           if (!agents_[other].core->onGrantRequest(set, now_)) {
                               return;
                           }
                           runAtAgent(index, randomDelay(0.5, 30),
                                      [this, index, other, targetIncarnation, set, requestedAt] {
                                          Agent &asker = agents_[index];
                                          if (asker.incarnation == targetIncarnation) {
                                              asker.core->onGranted(agents_[other].id, set,
                                                                    requestedAt, now_, wall());
                                          }
                                      });
                       });
        }
        grantLoop(index);
    });
}

void DispatchSimulation::tickLoop()
{
    for (std::size_t index = 0; index < entries_.size(); ++index) {
        if (now_ >= entries_[index].pausedUntil) {
            EntryActions actions;
            entries_[index].core->onTick(now_, actions);
            carryOut(index, actions);
        }
    }
    for (std::size_t index = 0; index < agents_.size(); ++index) {
        if (now_ >= agents_[index].pausedUntil) {
            AgentActions actions;
            agents_[index].core->onTick(now_, actions);
            carryOut(index, actions);
        }
    }
    scheduleAfter(std::chrono::milliseconds(50), [this] { tickLoop(); });
}

// Injects a random fault about every second.
void DispatchSimulation::injectFault()
{
    if (now_.time_since_epoch() > kNoFaultsFrom) {
        return;
    }
    const std::size_t agent = pickIndex(agents_.size());
    const std::size_t entry = pickIndex(entries_.size());
    switch (pickIndex(7)) {
    case 0: // An agent is killed and replaced.
        agents_[agent].pausedUntil = {};
        startAgent(agent);
        breakConnections(agent);
        break;
    case 1: // An agent is paused.
        agents_[agent].pausedUntil = now_ + randomDelay(100, 8000);
        break;
    case 2: // An entry is paused.
        entries_[entry].pausedUntil = now_ + randomDelay(100, 8000);
        break;
    case 3: // An entry is killed and replaced; its callers see broken connections.
        for (const auto &[id, operation] : operationOf_) {
            if (id.entry == entries_[entry].incarnation && !reportedNotRun_.contains(id)) {
                onFailed({id, FailureCode::UpstreamUnreachable, Outcome::Unknown, {}}, operation);
            }
        }
        startEntry(entry);
        break;
    case 4: // The connections to an agent break; both sides keep running.
        breakConnections(agent);
        break;
    case 5: // An agent leaves and is replaced later.
        if (!agents_[agent].leftAt) {
            AgentActions actions;
            agents_[agent].core->leave(actions);
            agents_[agent].leftAt = now_;
            carryOut(agent, actions);
            scheduleAfter(randomDelay(6000, 9000), [this, agent] {
                startAgent(agent);
                breakConnections(agent);
            });
        }
        break;
    case 6:
        changeList();
        break;
    default:
        break;
    }
    scheduleAfter(randomDelay(300, 1500), [this] { injectFault(); });
}

void DispatchSimulation::breakConnections(std::size_t agent)
{
    for (const auto &[id, index] : agentOf_) {
        if (index != agent) {
            continue;
        }
        const std::size_t entry = entryIndex(id.entry);
        if (entry == entries_.size()) {
            continue;
        }
        runAtEntry(entry, id.entry, randomDelay(0.1, 200), [this, entry, request = id, agent] {
            const auto current = agentOf_.find(request);
            if (current == agentOf_.end() || current->second != agent) {
                return;
            }
            EntryActions actions;
            if (options_.fault == InjectedFault::RetryUnknownOutcome) {
                entries_[entry].core->onNotWritten(request, now_, actions);
            } else {
                entries_[entry].core->onConnectionLost(request, now_, actions);
            }
            carryOut(entry, actions);
        });
    }
}

void DispatchSimulation::beginOperation(int index)
{
    Operation &operation = operations_[static_cast<std::size_t>(index)];
    operation.kind = options_.onlyKind.value_or(static_cast<OperationKind>(pickIndex(4)));
    if (operation.kind == OperationKind::Ticketed) {
        operation.ticket = agents_[pickIndex(agents_.size())].core->issueTicket();
    }
    if (operation.kind == OperationKind::Keyed) {
        operation.key = keyAt(wall(), random_());
    }
    attempt(index);
}

void DispatchSimulation::attempt(int index)
{
    Operation &operation = operations_[static_cast<std::size_t>(index)];
    if (operation.done || operation.attempts >= kMaxAttempts) {
        return;
    }
    const std::size_t entry = pickIndex(entries_.size());
    if (now_ < entries_[entry].pausedUntil) {
        scheduleAfter(std::chrono::milliseconds(100), [this, index] { attempt(index); });
        return;
    }
    ++operation.attempts;
    EntryRequest request;
    request.account = kAccount;
    request.target = kTarget;
    request.promptTokens = 100;
    request.repeatable = operation.kind == OperationKind::Repeatable;
    request.deadline = std::chrono::seconds(10);
    request.ticket = operation.ticket;
    request.callerKey = operation.key;
    EntryActions actions;
    const RequestId id = entries_[entry].core->begin(request, now_, actions);
    operationOf_[id] = index;
    carryOut(entry, actions);
}

void DispatchSimulation::carryOut(std::size_t entry, const EntryActions &actions)
{
    for (const EntryAction &action : actions) {
        if (const auto *call = std::get_if<SendCall>(&action)) {
            sendCall(entry, *call);
        } else if (const auto *cancel = std::get_if<SendCancel>(&action)) {
            sendCancel(entry, *cancel);
        } else if (const auto *withdrawal = std::get_if<SendWithdraw>(&action)) {
            sendWithdraw(entry, *withdrawal);
        } else if (const auto *failure = std::get_if<FailRequest>(&action)) {
            onFailed(*failure,
                     operationOf_.contains(failure->id) ? operationOf_.at(failure->id) : -1);
        }
    }
}

std::size_t DispatchSimulation::agentIndex(const InstanceId &id) const
{
    const auto found = std::find_if(agents_.begin(), agents_.end(),
                                    [&id](const Agent &agent) { return agent.id == id; });
    return static_cast<std::size_t>(found - agents_.begin());
}

std::size_t DispatchSimulation::entryIndex(Incarnation incarnation) const
{
    const auto found =
        std::find_if(entries_.begin(), entries_.end(), [incarnation](const Entry &entry) {
            return entry.incarnation == incarnation;
        });
    return static_cast<std::size_t>(found - entries_.begin());
}

void DispatchSimulation::sendCall(std::size_t entry, const SendCall &call)
{
    const std::size_t agent = agentIndex(call.agent);
    const Agent &target = agents_[agent];
    const bool left = target.leftAt && target.incarnation == call.agentIncarnation;
    if (left && now_ > *target.leftAt + kLease + kHeartbeat) {
        addViolation(fmt::format("request {} sent to an agent that left {} s ago", call.id.counter,
                                 toSeconds(now_ - *target.leftAt)));
    }
    agentOf_[call.id] = agent;
    // begin() returns the id after its actions, so operationOf_ can be read only on delivery.
    const bool lost = isPartitioned(entry, agent) || (randomFaults() && chance(0.03));
    const bool duplicated = randomFaults() && chance(0.05);
    if (!lost) {
        runAtAgent(agent, randomDelay(0.5, 30),
                   [this, entry, call, agent] { deliverCall(entry, call, agent, true); });
    }
    if (duplicated) {
        // The entry has closed the connection on which the answer to a late copy arrives.
        runAtAgent(agent, randomDelay(0.5, 4000),
                   [this, entry, call, agent] { deliverCall(entry, call, agent, false); });
    }
    if (lost) {
        runAtEntry(entry, call.id.entry, randomDelay(10, 500), [this, entry, call] {
            EntryActions actions;
            entries_[entry].core->onConnectionLost(call.id, now_, actions);
            carryOut(entry, actions);
        });
    }
}

void DispatchSimulation::deliverCall(std::size_t entry, const SendCall &call, std::size_t agent,
                                     bool connectionOpen)
{
    const int operation = operationOf_.at(call.id);
    const Operation &operationState = operations_[static_cast<std::size_t>(operation)];
    AgentCall message;
    message.id = call.id;
    message.account = kAccount;
    message.target = kTarget;
    message.promptTokens = 100;
    message.deadline = call.deadline;
    message.agentIncarnation = call.agentIncarnation;
    message.callerKey = operationState.key;
    if (options_.fault != InjectedFault::DropTicket) {
        message.ticket = operationState.ticket;
    }
    Agent &target = agents_[agent];
    AgentActions actions;
    const AdmissionResult admission = target.core->onCall(message, now_, wall(), actions);
    const bool acceptsWhileLeaving =
        options_.fault == InjectedFault::AcceptWhileLeaving && target.leftAt;
    if (admission.accepted && connectionOpen) {
        runAtEntry(entry, call.id.entry, randomDelay(0.5, 30), [this, entry, call, admission] {
            entries_[entry].core->onAccepted(call.id, admission.started);
        });
    }
    if (admission.accepted || acceptsWhileLeaving) {
        target.jobs.emplace(call.id, operation);
        if (target.leftAt) {
            addViolation(fmt::format("a leaving agent took request {}", call.id.counter));
        }
        carryOut(agent, actions);
        return;
    }
    if (!connectionOpen) {
        return;
    }
    runAtEntry(entry, call.id.entry, randomDelay(0.5, 30), [this, entry, call, admission, agent] {
        const auto current = agentOf_.find(call.id);
        if (current == agentOf_.end() || current->second != agent) {
            return;
        }
        EntryActions entryActions;
        entries_[entry].core->onRefused(call.id, admission.failure, admission.outcome,
                                        admission.retryAfter, now_, entryActions);
        carryOut(entry, entryActions);
    });
}

void DispatchSimulation::sendCancel(std::size_t entry, const SendCancel &cancel)
{
    const std::size_t agent = agentIndex(cancel.agent);
    if (isPartitioned(entry, agent) || (randomFaults() && chance(0.1))) {
        return;
    }
    runAtAgent(agent, randomDelay(0.5, 60), [this, entry, cancel, agent] {
        Agent &target = agents_[agent];
        AgentActions actions;
        bool notRun = true;
        if (options_.fault != InjectedFault::SkipTombstone) {
            const Incarnation targetIncarnation = options_.fault == InjectedFault::IgnoreIncarnation
                                                      ? target.incarnation
                                                      : cancel.agentIncarnation;
            notRun = target.core->onCancel(cancel.id, targetIncarnation, now_, actions);
        }
        carryOut(agent, actions);
        runAtEntry(entry, cancel.id.entry, randomDelay(0.5, 60), [this, entry, cancel, notRun] {
            EntryActions entryActions;
            entries_[entry].core->onCancelled(cancel.id, notRun, now_, entryActions);
            carryOut(entry, entryActions);
        });
    });
}

void DispatchSimulation::sendWithdraw(std::size_t entry, const SendWithdraw &withdrawal)
{
    const std::size_t agent = agentIndex(withdrawal.agent);
    if (randomFaults() && chance(0.1)) {
        return;
    }
    runAtAgent(agent, randomDelay(0.5, 200), [this, entry, withdrawal, agent] {
        bool notRun = agents_[agent].core->onWithdraw(withdrawal.id, withdrawal.agentIncarnation);
        notRun = notRun || options_.fault == InjectedFault::MisreportWithdrawal;
        moved_ += notRun ? 1 : 0;
        runAtEntry(entry, withdrawal.id.entry, randomDelay(0.5, 200),
                   [this, entry, withdrawal, notRun] {
                       EntryActions actions;
                       entries_[entry].core->onWithdrawn(withdrawal.id, withdrawal.agent, notRun,
                                                         now_, actions);
                       carryOut(entry, actions);
                   });
    });
}

void DispatchSimulation::announceFree(std::size_t agent)
{
    const std::size_t entry = pickIndex(entries_.size());
    runAtEntry(entry, entries_[entry].incarnation, randomDelay(0.5, 100), [this, entry, agent] {
        EntryActions actions;
        entries_[entry].core->onFree(agents_[agent].id, agents_[agent].core->report(), now_,
                                     actions);
        carryOut(entry, actions);
    });
}

void DispatchSimulation::carryOut(std::size_t agent, const AgentActions &actions)
{
    for (const AgentAction &action : actions) {
        if (std::holds_alternative<AnnounceFreeSlot>(action)) {
            announceFree(agent);
            continue;
        }
        if (const auto *start = std::get_if<StartUpstream>(&action)) {
            runUpstream(agent, start->id);
        } else if (const auto *report = std::get_if<ReportNotRun>(&action)) {
            const std::size_t entry = entryIndex(report->id.entry);
            if (entry == entries_.size()) {
                continue;
            }
            runAtEntry(entry, report->id.entry, randomDelay(0.5, 30),
                       [this, entry, agent, notRunReport = *report] {
                           const auto current = agentOf_.find(notRunReport.id);
                           if (current == agentOf_.end() || current->second != agent) {
                               return;
                           }
                           EntryActions entryActions;
                           entries_[entry].core->onRefused(notRunReport.id, notRunReport.failure,
                                                           Outcome::NotRun, notRunReport.retryAfter,
                                                           now_, entryActions);
                           carryOut(entry, entryActions);
                       });
        }
    }
}

void DispatchSimulation::runUpstream(std::size_t agent, RequestId id)
{
    const Incarnation targetIncarnation = agents_[agent].incarnation;
    if (randomFaults() && chance(0.03)) {
        runAtAgent(agent, randomDelay(0.1, 5), [this, agent, id, targetIncarnation] {
            AgentActions actions;
            if (agents_[agent].incarnation == targetIncarnation) {
                agents_[agent].core->onNotStarted(id, now_, actions);
                carryOut(agent, actions);
            }
        });
        return;
    }
    const int operation = operationOf_.at(id);
    ++runsOf_[id];
    ++operations_[static_cast<std::size_t>(operation)].runs;
    if (reportedNotRun_.contains(id)) {
        addViolation(fmt::format("request {} ran after its caller was told 'not run'", id.counter));
    }
    runAtAgent(agent, randomDelay(50, 1200), [this, agent, id, targetIncarnation, operation] {
        if (agents_[agent].incarnation != targetIncarnation) {
            return;
        }
        AgentActions actions;
        agents_[agent].core->onEnded(id, now_, actions);
        carryOut(agent, actions);
        sendAnswer(agent, id, operation);
    });
}

void DispatchSimulation::sendAnswer(std::size_t agent, RequestId id, int operation)
{
    RequestId to = id;
    if (options_.fault == InjectedFault::SwapAnswers && chance(0.1) && id.counter > 1) {
        --to.counter;
    }
    const std::size_t entry = entryIndex(to.entry);
    if (entry == entries_.size()) {
        return;
    }
    if (isPartitioned(entry, agent)) {
        return;
    }
    const int copies = randomFaults() && chance(0.05) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        runAtEntry(entry, to.entry, randomDelay(0.5, 100), [this, entry, agent, to, operation] {
            EntryCore &core = *entries_[entry].core;
            if (!core.onAnswer(to, agents_[agent].id)) {
                return;
            }
            if (operationOf_.at(to) != operation) {
                addViolation(fmt::format("request {} got another's answer", to.counter));
            }
            core.onComplete(to, agents_[agent].id, now_);
            agentOf_.erase(to);
            ++answered_;
            operations_[static_cast<std::size_t>(operation)].done = true;
        });
    }
}

void DispatchSimulation::onFailed(const FailRequest &failure, int operation)
{
    agentOf_.erase(failure.id);
    if (failure.outcome == Outcome::NotRun) {
        ++notRun_;
        reportedNotRun_.insert(failure.id);
        if (runsOf_[failure.id] > 0) {
            addViolation(fmt::format("request {} ran and its caller was told 'not run' ({})",
                                     failure.id.counter, toString(failure.failure)));
        }
    } else {
        ++unknown_;
    }
    if (operation < 0) {
        return;
    }
    // Callers retry a request that did not run, and one whose repetition is safe.
    const OperationKind kind = operations_[static_cast<std::size_t>(operation)].kind;
    const bool bound = kind == OperationKind::Ticketed || kind == OperationKind::Keyed;
    if (failure.outcome == Outcome::NotRun || bound || kind == OperationKind::Repeatable) {
        scheduleAfter(randomDelay(50, 1500), [this, operation] { attempt(operation); });
    }
}

std::vector<std::string> DispatchSimulation::run()
{
    operations_.resize(static_cast<std::size_t>(options_.operations));
    for (int index = 0; index < options_.operations; ++index) {
        // Starts at 8 s, when the first leases and key-home grants are in place.
        scheduleAt(TimePoint(std::chrono::seconds(8)) + randomDelay(0, 15'000),
                   [this, index] { beginOperation(index); });
    }
    tickLoop();
    if (randomFaults()) {
        scheduleAt(TimePoint(std::chrono::seconds(8)), [this] { injectFault(); });
    }
    if (options_.scenario == Scenario::AgentRestart) {
        scheduleAt(TimePoint(kFaultTime), [this] {
            startAgent(0);
            breakConnections(0);
        });
    }
    if (options_.scenario == Scenario::Partition) {
        scheduleAt(TimePoint(kFaultTime), [this] { breakConnections(0); });
    }
    while (!events_.empty() && events_.top().at.time_since_epoch() < kSimulationEnd) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.at;
        event.action();
    }
    for (std::size_t index = 0; index < operations_.size(); ++index) {
        const Operation &operation = operations_[index];
        if (operation.kind != OperationKind::Repeatable && operation.runs > 1) {
            addViolation(fmt::format("operation {} of kind {} ran {} times", index,
                                     static_cast<int>(operation.kind), operation.runs));
        }
    }
    return violations_;
}

} // namespace seamarch::test
