// Chooses the agent that gets a request.
//
// A router receives the candidates that may receive work, with the entry's estimate of their load,
// and returns the index of one of them. The entry uses ExpectedWaitRouter; round robin, least in
// flight and two random choices are baselines for comparison.
//
// Routers are pure: the random engine is passed with each call. Single-threaded.
#pragma once

#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <span>

namespace seamarch {

// An agent that may be chosen, and its estimated state.
struct RouteCandidate
{
    InstanceId agent;
    double pendingCost = 0.0;      // Estimated cost of the requests queued and running there.
    Duration expectedWait{};       // Expected time until a new request starts.
    std::uint32_t ownInFlight = 0; // Requests in flight from this entry.
    double cachedTokens = 0.0;     // Expected number of prompt tokens in its cache.
    Duration distance{};           // One-way network delay to the agent.
    double readiness = 1.0;        // From 0 to 1; less than 1 during slow start.
};

// The properties of a request that routing depends on.
struct RouteRequest
{
    Tokens promptTokens = 0;
    Tokens answerTokens = 0;
};

using RandomEngine = std::mt19937_64;

// Interface of the routing policies.
class Router
{
public:
    virtual ~Router() = default;

    // Returns the index of the chosen candidate, or nullopt if there are no candidates.
    virtual std::optional<std::size_t> pick(std::span<const RouteCandidate> candidates,
                                            const RouteRequest &request, RandomEngine &random) = 0;
};

// Chooses the candidates in turn.
class RoundRobinRouter final : public Router
{
public:
    std::optional<std::size_t> pick(std::span<const RouteCandidate> candidates,
                                    const RouteRequest &request, RandomEngine &random) override;

private:
    std::size_t next_ = 0;
};

// Chooses the candidate with the fewest requests in flight from this entry.
class LeastInFlightRouter final : public Router
{
public:
    std::optional<std::size_t> pick(std::span<const RouteCandidate> candidates,
                                    const RouteRequest &request, RandomEngine &random) override;
};

// Draws two candidates at random and chooses the one with the lower pending cost.
class TwoChoicesRouter final : public Router
{
public:
    std::optional<std::size_t> pick(std::span<const RouteCandidate> candidates,
                                    const RouteRequest &request, RandomEngine &random) override;
};

// Chooses the candidate with the lowest routing cost: expected wait plus prefill time of the prompt
// tokens that are not cached, both divided by the readiness, plus the network delay. Candidates
// within `tieMargin` of the lowest cost are drawn at random, because all entries see the same
// delayed reports and would otherwise all send their requests to the same upstream.
class ExpectedWaitRouter final : public Router
{
public:
    struct Settings
    {
        double prefillTokensPerSecond = 20000.0;
        Duration tieMargin = std::chrono::milliseconds(10);
    };

    ExpectedWaitRouter() = default;
    explicit ExpectedWaitRouter(Settings settings)
        : settings_(settings)
    {}

    std::optional<std::size_t> pick(std::span<const RouteCandidate> candidates,
                                    const RouteRequest &request, RandomEngine &random) override;

    // Returns the routing cost of `candidate` in seconds.
    double routingCost(const RouteCandidate &candidate, const RouteRequest &request) const;

private:
    Settings settings_;
};

} // namespace seamarch
