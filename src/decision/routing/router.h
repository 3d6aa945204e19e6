// Chooses the agent that gets a request.
//
// A router sees candidates, which already may receive work, with the entry's corrected estimate of
// their load, and returns the index of one. Round robin, least in flight and two random choices are
// baselines behind the same interface; ExpectedWaitRouter is what the product uses.
//
// Routers are pure: the random engine comes with the call. Single-threaded.
#pragma once

#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <span>

namespace seamarch {

// What a router needs to know of one candidate.
struct RouteCandidate
{
    InstanceId agent;
    double pendingCost = 0.0; // Queued and running at the agent, corrected by the entry.
    Duration expectedWait{};  // Expected until a new request starts.
    std::uint32_t ownInFlight = 0;
    double cachedTokens = 0.0; // Expected number of prompt tokens that its cache holds.
    Duration distance{};       // One-way delay to it.
    double readiness = 1.0;    // From 0 to 1: less than 1 during the slow start.
};

// What a router needs to know of the request.
struct RouteRequest
{
    Tokens promptTokens = 0;
    Tokens answerTokens = 0;
};

using RandomEngine = std::mt19937_64;

class Router
{
public:
    virtual ~Router() = default;

    // Returns the index of the chosen candidate; nothing when there are none.
    virtual std::optional<std::size_t> pick(std::span<const RouteCandidate> candidates,
                                            const RouteRequest &request, RandomEngine &random) = 0;
};

// The candidates in turn.
class RoundRobinRouter final : public Router
{
public:
    std::optional<std::size_t> pick(std::span<const RouteCandidate> candidates,
                                    const RouteRequest &request, RandomEngine &random) override;

private:
    std::size_t next_ = 0;
};

// The candidate with the fewest requests in flight from this entry.
class LeastInFlightRouter final : public Router
{
public:
    std::optional<std::size_t> pick(std::span<const RouteCandidate> candidates,
                                    const RouteRequest &request, RandomEngine &random) override;
};

// The less loaded of two candidates drawn at random.
class TwoChoicesRouter final : public Router
{
public:
    std::optional<std::size_t> pick(std::span<const RouteCandidate> candidates,
                                    const RouteRequest &request, RandomEngine &random) override;
};

// The candidate with the lowest price: expected wait, plus the prefill that its cache does not
// save, plus the distance. Prices within `tieMargin` of the lowest are equal and drawn from at
// random, because all entries see the same lagged reports and would otherwise run to one upstream.
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

    // Returns the price of `candidate` in seconds.
    double routingCost(const RouteCandidate &candidate, const RouteRequest &request) const;

private:
    Settings settings_;
};

} // namespace seamarch
