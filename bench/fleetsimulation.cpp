#include "fleetsimulation.h"

#include "decision/fairness/requestcost.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace seamarch::bench {
namespace {

constexpr double kPrefillTokensPerSecond = 20'000.0;
constexpr double kDecodeSecondsPerToken = 0.03;
constexpr double kMeanPromptTokens = 2000.0;
constexpr double kMeanAnswerTokens = 120.0;
constexpr std::size_t kPrefixCount = 300;
constexpr std::size_t kCachedPrefixesPerEngine = 40; // Capacity of an engine's prefix cache.
constexpr double kPrefixFraction = 0.8; // Fraction of a prompt that is its cacheable prefix.
constexpr double kSlowEngineSpeed = 0.6;
constexpr double kWarmUpFraction = 0.2; // Fraction of the run that is excluded from the result.
const TargetName kTarget("bid");
const HallId kHall("north");
const AccountId kAccount("officers");

// A request with its true lengths, which the agents and entries do not know in advance.
struct SimulatedRequest
{
    TimePoint arrived{};
    std::uint64_t prefix = 0;
    Tokens prompt = 0;
    Tokens answer = 0;
    bool measured = false;
};

// An event queue in virtual time that drives the entries, the agents and their modelled engines.
class FleetSimulation
{
public:
    explicit FleetSimulation(const FleetOptions &options)
        : options_(options)
        , random_(options.seed)
    {
        for (int index = 0; index < options_.agents; ++index) {
            makeAgent(index);
        }
        for (int index = 0; index < options_.entries; ++index) {
            makeEntry();
        }
        std::vector<double> weights;
        for (std::size_t prefix = 0; prefix < kPrefixCount; ++prefix) {
            weights.push_back(1.0 / static_cast<double>(prefix + 1));
        }
        prefixes_ = std::discrete_distribution<std::uint64_t>(weights.begin(), weights.end());
    }

    FleetResult run()
    {
        result_.seconds = options_.seconds * (1.0 - kWarmUpFraction);
        for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
            heartbeat(entry);
        }
        tickAgents();
        scheduleAt(TimePoint(std::chrono::seconds(6)), [this] { onArrival(); });
        const TimePoint end{fromSeconds(options_.seconds + 6.0)};
        while (!events_.empty() && events_.top().at < end) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at;
            event.action();
        }
        return result_;
    }

private:
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

    struct Engine
    {
        std::unique_ptr<AgentCore> core;
        double speed = 1.0;
        std::deque<std::uint64_t> cache; // Prefixes, most recently used first.
        std::uint32_t running = 0;       // Used slots; only with the central queue.
    };

    void scheduleAt(TimePoint time, std::function<void()> action)
    {
        events_.push({time, nextSequence_++, std::move(action)});
    }

    void scheduleAfter(double seconds, std::function<void()> action)
    {
        scheduleAt(now_ + fromSeconds(seconds), std::move(action));
    }

    void makeAgent(int index)
    {
        AgentCore::Settings settings;
        settings.self = InstanceId(fmt::format("bid-{:02}", index));
        settings.incarnation = Incarnation(static_cast<std::uint64_t>(index) + 1);
        settings.slots = options_.slots;
        Engine engine;
        engine.speed = index < options_.slowAgents ? kSlowEngineSpeed : 1.0;
        settings.initialTokensPerSecond = capacityTokens() * engine.speed;
        engine.core = std::make_unique<AgentCore>(settings, now_);
        InstanceRecord record;
        record.id = settings.self;
        record.hall = kHall;
        record.serves = {kTarget};
        list_.instances.push_back(record);
        engines_.push_back(std::move(engine));
    }

    void makeEntry()
    {
        list_.version = ListVersion(1);
        EntryCore::Settings settings;
        settings.hall = kHall;
        settings.incarnation = Incarnation(1000 + entries_.size());
        settings.seed = random_();
        settings.lease = std::chrono::hours(1);
        settings.slowStart = std::chrono::seconds(1);
        auto core = std::make_unique<EntryCore>(
            settings, options_.router ? options_.router() : std::make_unique<ExpectedWaitRouter>());
        core->applyList(list_);
        entries_.push_back(std::move(core));
    }

    static double meanCost()
    {
        return static_cast<double>(requestCost(static_cast<Tokens>(kMeanPromptTokens),
                                               static_cast<Tokens>(kMeanAnswerTokens)));
    }

    // Returns the request cost that an engine of normal speed processes per second with all slots
    // in use.
    double capacityTokens() const
    {
        const double seconds = kMeanPromptTokens / kPrefillTokensPerSecond
                               + kMeanAnswerTokens * kDecodeSecondsPerToken;
        return options_.slots * meanCost() / seconds;
    }

    double requestsPerSecond() const
    {
        const double fast = options_.agents - options_.slowAgents * (1.0 - kSlowEngineSpeed);
        return options_.load * fast * capacityTokens() / meanCost();
    }

    void heartbeat(std::size_t entry)
    {
        std::uniform_real_distribution<double> jitter(0.8, 1.2);
        scheduleAfter(options_.reportLagSeconds * jitter(random_), [this, entry] {
            for (std::size_t index = 0; index < engines_.size(); ++index) {
                // No report is lost in the first 5 s, so that every entry discovers every agent.
                const bool started = now_.time_since_epoch() > std::chrono::seconds(5);
                if (started && drawWithProbability(options_.lostFraction)) {
                    continue;
                }
                EntryActions actions;
                entries_[entry]->onReport(list_.instances[index].id, engines_[index].core->report(),
                                          now_, now_, actions);
                if (options_.freeSlotNotices > 0) {
                    execute(entry, actions);
                }
            }
            heartbeat(entry);
        });
    }

    bool drawWithProbability(double probability)
    {
        return std::bernoulli_distribution(probability)(random_);
    }

    void tickAgents()
    {
        for (std::size_t index = 0; index < engines_.size(); ++index) {
            AgentActions actions;
            engines_[index].core->onTick(now_, actions);
            execute(index, actions);
        }
        scheduleAfter(0.05, [this] { tickAgents(); });
    }

    void onArrival()
    {
        std::exponential_distribution<double> gap(requestsPerSecond());
        scheduleAfter(gap(workloadRandom_), [this] { onArrival(); });
        SimulatedRequest simulatedRequest;
        simulatedRequest.arrived = now_;
        simulatedRequest.prefix = prefixes_(workloadRandom_) + 1;
        simulatedRequest.prompt = 200
                                  + static_cast<Tokens>(std::exponential_distribution<double>(
                                      1.0 / (kMeanPromptTokens - 200))(workloadRandom_));
        simulatedRequest.answer = 1
                                  + static_cast<Tokens>(std::exponential_distribution<double>(
                                      1.0 / kMeanAnswerTokens)(workloadRandom_));
        simulatedRequest.measured =
            toSeconds(now_.time_since_epoch()) > 6.0 + options_.seconds * kWarmUpFraction;
        result_.offered += simulatedRequest.measured ? 1 : 0;
        if (options_.clairvoyant) {
            waiting_.push_back(simulatedRequest);
            dispatchWaiting();
            return;
        }
        const std::size_t entry = pickEntry();
        EntryRequest request;
        request.account = kAccount;
        request.target = kTarget;
        request.promptTokens = simulatedRequest.prompt;
        request.answerTokens = static_cast<Tokens>(kMeanAnswerTokens); // Callers declare the mean.
        request.prefixHash =
            drawWithProbability(options_.lostFraction) ? 0 : simulatedRequest.prefix;
        request.repeatable = true;
        request.deadline = fromSeconds(options_.deadlineSeconds);
        EntryActions actions;
        const RequestId id = entries_[entry]->begin(request, now_, actions);
        requests_[id] = simulatedRequest;
        entryOf_[id] = entry;
        execute(entry, actions);
    }

    void sendFreeSlotNotices(std::size_t index)
    {
        // Notifies a few randomly chosen entries.
        for (int notice = 0; notice < options_.freeSlotNotices; ++notice) {
            const std::size_t entry = pickEntry();
            scheduleAfter(0.0015, [this, entry, index] {
                EntryActions actions;
                entries_[entry]->onFree(list_.instances[index].id, engines_[index].core->report(),
                                        now_, actions);
                execute(entry, actions);
            });
        }
    }

    std::size_t pickEntry()
    {
        return std::uniform_int_distribution<std::size_t>(0, entries_.size() - 1)(random_);
    }

    void withdraw(std::size_t entry, const SendWithdraw &request)
    {
        scheduleAfter(0.0015, [this, entry, request] {
            const std::size_t index = indexOf(request.agent);
            const bool notRun =
                engines_[index].core->onWithdraw(request.id, request.agentIncarnation);
            result_.withdrawn += notRun ? 1 : 0;
            scheduleAfter(0.0015, [this, entry, request, notRun] {
                EntryActions actions;
                entries_[entry]->onWithdrawn(request.id, request.agent, notRun, now_, actions);
                execute(entry, actions);
            });
        });
    }

    std::size_t indexOf(const InstanceId &agent) const
    {
        const auto found =
            std::find_if(list_.instances.begin(), list_.instances.end(),
                         [&agent](const InstanceRecord &each) { return each.id == agent; });
        return static_cast<std::size_t>(found - list_.instances.begin());
    }

    void execute(std::size_t entry, const EntryActions &actions)
    {
        for (const EntryAction &action : actions) {
            if (const auto *withdrawal = std::get_if<SendWithdraw>(&action)) {
                withdraw(entry, *withdrawal);
                continue;
            }
            if (const auto *call = std::get_if<SendCall>(&action)) {
                result_.sends += requests_.at(call->id).measured ? 1 : 0;
                scheduleAfter(0.0015, [this, entry, call = *call] { deliver(entry, call); });
            } else if (const auto *failure = std::get_if<FailRequest>(&action)) {
                result_.refused += requests_.at(failure->id).measured ? 1 : 0;
            }
        }
    }

    void deliver(std::size_t entry, const SendCall &call)
    {
        const std::size_t index = indexOf(call.agent);
        const SimulatedRequest &simulatedRequest = requests_.at(call.id);
        AgentCall message;
        message.id = call.id;
        message.account = kAccount;
        message.promptTokens = simulatedRequest.prompt;
        message.answerTokens = static_cast<Tokens>(kMeanAnswerTokens);
        message.deadline = call.deadline;
        message.agentIncarnation = call.agentIncarnation;
        AgentActions actions;
        const AdmissionResult admission = engines_[index].core->onCall(message, now_, {}, actions);
        execute(index, actions);
        if (admission.accepted) {
            scheduleAfter(0.0015, [this, entry, id = call.id, admission] {
                entries_[entry]->onAccepted(id, admission.started);
            });
        } else {
            scheduleAfter(0.0015, [this, entry, id = call.id, admission] {
                EntryActions next;
                entries_[entry]->onRefused(id, admission.failure, admission.outcome,
                                           admission.retryAfter, now_, next);
                execute(entry, next);
            });
        }
    }

    void execute(std::size_t index, const AgentActions &actions)
    {
        for (const AgentAction &action : actions) {
            if (std::holds_alternative<AnnounceFreeSlot>(action)) {
                sendFreeSlotNotices(index);
            } else if (const auto *start = std::get_if<StartUpstream>(&action)) {
                const RequestId id = start->id;
                const SimulatedRequest &simulatedRequest = requests_.at(id);
                const double seconds = startOnEngine(index, simulatedRequest);
                scheduleAfter(seconds, [this, index, id] { finish(index, id); });
            } else if (const auto *report = std::get_if<ReportNotRun>(&action)) {
                EntryActions next;
                const std::size_t entry = entryOf_.at(report->id);
                entries_[entry]->onRefused(report->id, report->failure, Outcome::NotRun,
                                           report->retryAfter, now_, next);
                execute(entry, next);
            }
        }
    }

    // Starts a request on an engine and returns how long it occupies its slot, in seconds.
    double startOnEngine(std::size_t index, const SimulatedRequest &simulatedRequest)
    {
        Engine &engine = engines_[index];
        const auto cached =
            std::find(engine.cache.begin(), engine.cache.end(), simulatedRequest.prefix);
        const double prefixTokens = kPrefixFraction * static_cast<double>(simulatedRequest.prompt);
        const bool hit = cached != engine.cache.end();
        if (hit) {
            engine.cache.erase(cached);
        }
        engine.cache.push_front(simulatedRequest.prefix);
        if (engine.cache.size() > kCachedPrefixesPerEngine) {
            engine.cache.pop_back();
        }
        const double uncachedTokens =
            static_cast<double>(simulatedRequest.prompt) - (hit ? prefixTokens : 0.0);
        const double prefill = uncachedTokens / kPrefillTokensPerSecond / engine.speed;
        const double firstTokenSeconds = prefill + kDecodeSecondsPerToken / engine.speed;
        if (simulatedRequest.measured) {
            result_.cacheableTokens += prefixTokens;
            result_.cachedTokens += hit ? prefixTokens : 0.0;
            result_.firstTokens.push_back(toSeconds(now_ - simulatedRequest.arrived)
                                          + firstTokenSeconds);
        }
        return prefill
               + static_cast<double>(simulatedRequest.answer) * kDecodeSecondsPerToken
                     / engine.speed;
    }

    void finish(std::size_t index, RequestId id)
    {
        const SimulatedRequest &simulatedRequest = requests_.at(id);
        const bool withinDeadline =
            toSeconds(now_ - simulatedRequest.arrived) <= options_.deadlineSeconds;
        result_.completed += simulatedRequest.measured && withinDeadline ? 1 : 0;
        AgentCore &core = *engines_[index].core;
        core.onTokens(id, simulatedRequest.answer);
        AgentActions actions;
        core.onEnded(id, now_, actions);
        EntryCore &entry = *entries_[entryOf_.at(id)];
        const InstanceId &agent = list_.instances[index].id;
        if (entry.onAnswer(id, agent)) {
            entry.onComplete(id, agent, now_);
        }
        execute(index, actions);
    }

    // Assigns the oldest requests of the central queue to the best free slots of the whole fleet.
    void dispatchWaiting()
    {
        while (!waiting_.empty()) {
            const SimulatedRequest simulatedRequest = waiting_.front();
            std::size_t best = engines_.size();
            double bestScore = 0.0;
            for (std::size_t index = 0; index < engines_.size(); ++index) {
                const Engine &engine = engines_[index];
                if (engine.running >= options_.slots) {
                    continue;
                }
                const bool hit =
                    std::find(engine.cache.begin(), engine.cache.end(), simulatedRequest.prefix)
                    != engine.cache.end();
                const double score =
                    (hit ? 1.0 - kPrefixFraction : 1.0) / engine.speed + 0.01 * engine.running;
                if (best == engines_.size() || score < bestScore) {
                    best = index;
                    bestScore = score;
                }
            }
            if (best == engines_.size()) {
                return;
            }
            waiting_.pop_front();
            ++engines_[best].running;
            const double seconds = startOnEngine(best, simulatedRequest);
            scheduleAfter(seconds, [this, best, simulatedRequest] {
                --engines_[best].running;
                const bool withinDeadline =
                    toSeconds(now_ - simulatedRequest.arrived) <= options_.deadlineSeconds;
                result_.completed += simulatedRequest.measured && withinDeadline ? 1 : 0;
                dispatchWaiting();
            });
        }
    }

    FleetOptions options_;
    std::mt19937_64 random_;
    // Arrivals use a separate random engine with the default seed, so that all routers are measured
    // under the same arrivals.
    std::mt19937_64 workloadRandom_;
    TimePoint now_{};
    std::uint64_t nextSequence_ = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::vector<std::unique_ptr<EntryCore>> entries_;
    std::vector<Engine> engines_;
    InstanceList list_;
    std::discrete_distribution<std::uint64_t> prefixes_;
    std::map<RequestId, SimulatedRequest> requests_;
    std::map<RequestId, std::size_t> entryOf_;
    std::deque<SimulatedRequest> waiting_;
    FleetResult result_;
};

} // namespace

double percentileOf(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0.0;
    }
    const auto index =
        static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<std::size_t>(index)];
}

double FleetResult::percentile(double fraction) const
{
    return percentileOf(firstTokens, fraction);
}

FleetResult simulateFleet(const FleetOptions &options)
{
    return FleetSimulation(options).run();
}

} // namespace seamarch::bench
