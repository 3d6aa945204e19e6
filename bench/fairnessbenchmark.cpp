#include "benchmarkresult.h"
#include "decision/dispatch/agentcore.h"
#include "fleetsimulation.h"

#include <cmath>
#include <fmt/format.h>
#include <map>
#include <queue>

namespace seamarch::bench {
namespace {

// Simulates one agent with an engine of a few slots in virtual time; accounts submit requests to
// it.
class AgentSimulation
{
public:
    explicit AgentSimulation(std::uint32_t slots)
        : core_(makeSettings(slots), TimePoint{})
    {}

    // Adds an account with the given share to the configuration.
    void setShare(const std::string &account, double share)
    {
        ConfigDocument document;
        for (const auto &[name, existingShare] : shares_) {
            AccountConfig config;
            config.id = AccountId(name);
            config.share = existingShare;
            config.maxQueued = 100'000;
            document.accounts.push_back(config);
        }
        shares_[account] = share;
        AccountConfig config;
        config.id = AccountId(account);
        config.share = share;
        config.maxQueued = 100'000;
        document.accounts.push_back(config);
        core_.applyConfig(document);
    }

    // Submits a request with its declared and its actual number of answer tokens. `deadline` is in
    // seconds.
    void submit(const std::string &account, Tokens declared, Tokens actual, double deadline = 1e6)
    {
        const RequestId id{Incarnation(1), ++counter_};
        requests_[id] = {account, actual, now_};
        AgentCall call;
        call.id = id;
        call.account = AccountId(account);
        call.answerTokens = declared;
        call.deadline = fromSeconds(deadline);
        call.agentIncarnation = Incarnation(1);
        AgentActions actions;
        const AdmissionResult admission = core_.onCall(call, now_, {}, actions);
        refused += admission.accepted ? 0 : 1;
        execute(actions);
    }

    // Advances the virtual time to `seconds` and completes the requests that end by then.
    void runUntil(double seconds)
    {
        const TimePoint end{fromSeconds(seconds)};
        while (!completions_.empty() && completions_.top().first <= end) {
            const auto [at, id] = completions_.top();
            completions_.pop();
            now_ = at;
            const SimulatedRequest &request = requests_.at(id);
            core_.onTokens(id, request.actual);
            AgentActions actions;
            core_.onEnded(id, now_, actions);
            execute(actions);
        }
        now_ = end;
        AgentActions actions;
        core_.onTick(now_, actions);
        execute(actions);
    }

    // Returns the tokens generated for each account between two times in seconds.
    std::map<std::string, double> servedTokens(double from, double to) const
    {
        std::map<std::string, double> tokens;
        for (const ServiceInterval &interval : intervals_) {
            const double overlap = std::min(interval.end, to) - std::max(interval.start, from);
            tokens[interval.account] += std::max(0.0, overlap) / kSecondsPerToken;
        }
        return tokens;
    }

    std::map<std::string, std::vector<double>> queueWaits;
    int refused = 0;

private:
    struct SimulatedRequest
    {
        std::string account;
        Tokens actual = 0;
        TimePoint arrived;
    };

    static AgentCore::Settings makeSettings(std::uint32_t slots)
    {
        AgentCore::Settings settings;
        settings.self = InstanceId("bid-1");
        settings.incarnation = Incarnation(1);
        settings.slots = slots;
        return settings;
    }

    struct ServiceInterval
    {
        std::string account;
        double start = 0.0;
        double end = 0.0;
    };

    static constexpr double kSecondsPerToken = 0.005;

    void execute(const AgentActions &actions)
    {
        for (const AgentAction &action : actions) {
            if (const auto *start = std::get_if<StartUpstream>(&action)) {
                const SimulatedRequest &request = requests_.at(start->id);
                queueWaits[request.account].push_back(toSeconds(now_ - request.arrived));
                const double seconds = static_cast<double>(request.actual) * kSecondsPerToken;
                const double startsAt = toSeconds(now_.time_since_epoch());
                intervals_.push_back({request.account, startsAt, startsAt + seconds});
                completions_.emplace(now_ + fromSeconds(seconds), start->id);
            } else if (std::holds_alternative<ReportNotRun>(action)) {
                ++refused;
            }
        }
    }

    using Completion = std::pair<TimePoint, RequestId>;

    AgentCore core_;
    TimePoint now_{};
    std::uint64_t counter_ = 0;
    std::map<std::string, double> shares_;
    std::vector<ServiceInterval> intervals_;
    std::map<RequestId, SimulatedRequest> requests_;
    std::priority_queue<Completion, std::vector<Completion>, std::greater<>> completions_;
};

// Returns the largest relative error, over all backlogged accounts, of the tokens that an account
// receives within 5 s compared with its share.
double shareError()
{
    AgentSimulation agent(16);
    const std::map<std::string, double> shares = {{"large", 4.0}, {"middle", 2.0}, {"small", 1.0}};
    std::mt19937_64 random(5);
    std::exponential_distribution<double> length(1.0 / 60.0);
    double total = 0.0;
    for (const auto &[account, share] : shares) {
        agent.setShare(account, share);
        total += share;
    }
    for (int index = 0; index < 3000; ++index) {
        for (const auto &[account, share] : shares) {
            // The small account declares a quarter of its actual tokens.
            const auto actual = static_cast<Tokens>(1.0 + length(random));
            agent.submit(account, account == "small" ? actual / 4 + 1 : actual, actual);
        }
    }
    agent.runUntil(10.0);
    const auto tokens = agent.servedTokens(5.0, 10.0);
    double served = 0.0;
    for (const auto &[account, count] : tokens) {
        served += count;
    }
    double maxError = 0.0;
    for (const auto &[account, share] : shares) {
        const double part = tokens.at(account) / served;
        maxError = std::max(maxError, std::abs(part - share / total) / (share / total));
    }
    return maxError;
}

// Returns the 95th percentile of a light account's queue wait in seconds, with or without another
// account that floods the agent.
double lightAccountWait(bool flood)
{
    AgentSimulation agent(16);
    std::mt19937_64 random(9);
    agent.setShare("light", 1.0);
    std::exponential_distribution<double> gap(8.0);
    double nextLight = 0.0;
    for (int step = 0; step < 600; ++step) {
        const double now = step * 0.1;
        if (flood) {
            for (int burst = 0; burst < 40; ++burst) {
                agent.submit("flood", 40, 40);
            }
        }
        while (nextLight <= now) {
            agent.submit("light", 40, 40);
            nextLight += gap(random);
        }
        agent.runUntil(now + 0.1);
    }
    return percentileOf(agent.queueWaits.at("light"), 0.95);
}

FleetResult simulateAtLoad(double load)
{
    FleetOptions options;
    options.load = load;
    options.deadlineSeconds = 10.0;
    options.seconds = 200.0;
    return simulateFleet(options);
}

} // namespace

void addFairnessResults(BenchmarkResults &results)
{
    results.push_back({"fairness.share_error_5s", shareError(), "part", 0.06, true, 0.0, "exact"});
    // When a light request arrives, each slot may be occupied by a flood request, which takes 40
    // tokens of 5 ms each.
    constexpr double kServiceSeconds = 0.2;
    results.push_back({"fairness.light_wait_beside_flood_p95", lightAccountWait(true), "s",
                       kServiceSeconds, true, lightAccountWait(false), "alone"});
    double peak = 0.0;
    for (const double load : {0.8, 0.9, 1.0, 1.2, 1.5}) {
        peak = std::max(peak, simulateAtLoad(load).goodput());
    }
    const FleetResult doubleLoad = simulateAtLoad(2.0);
    const FleetResult halfLoad = simulateAtLoad(0.5);
    results.push_back(
        {"overload.refused_at_half_load",
         static_cast<double>(halfLoad.refused) / static_cast<double>(halfLoad.offered), "part",
         0.01, true, 0.0, "none"});
    results.push_back(
        {"overload.goodput_of_capacity",
         doubleLoad.goodput() * 2.0 * doubleLoad.seconds / static_cast<double>(doubleLoad.offered),
         "of capacity", 0.8, false, 1.0, "all slots busy in time"});
    results.push_back({"overload.goodput_at_twice_the_load", doubleLoad.goodput() / peak, "of peak",
                       0.95, false, 1.0, "peak"});
    results.push_back({"overload.sends_per_request",
                       static_cast<double>(doubleLoad.sends - doubleLoad.withdrawn)
                           / static_cast<double>(doubleLoad.offered),
                       "ratio", 1.1, true, 1.0, "no retries"});
    results.push_back(
        {"overload.late_or_lost",
         static_cast<double>(doubleLoad.offered - doubleLoad.completed - doubleLoad.refused)
             / static_cast<double>(doubleLoad.offered),
         "part", 0.05, true, 0.0, "none"});
}

} // namespace seamarch::bench
