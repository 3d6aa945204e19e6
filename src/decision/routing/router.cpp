#include "decision/routing/router.h"

#include <algorithm>
#include <vector>

namespace seamarch {

std::optional<std::size_t> RoundRobinRouter::pick(std::span<const RouteCandidate> candidates,
                                                  const RouteRequest & /*request*/,
                                                  RandomEngine & /*random*/)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    return next_++ % candidates.size();
}

std::optional<std::size_t> LeastInFlightRouter::pick(std::span<const RouteCandidate> candidates,
                                                     const RouteRequest & /*request*/,
                                                     RandomEngine & /*random*/)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto least =
        std::min_element(candidates.begin(), candidates.end(),
                         [](const RouteCandidate &left, const RouteCandidate &right) {
                             return left.ownInFlight < right.ownInFlight;
                         });
    return static_cast<std::size_t>(least - candidates.begin());
}

std::optional<std::size_t> TwoChoicesRouter::pick(std::span<const RouteCandidate> candidates,
                                                  const RouteRequest & /*request*/,
                                                  RandomEngine &random)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
    const std::size_t first = draw(random);
    const std::size_t second = draw(random);
    return candidates[first].pendingCost <= candidates[second].pendingCost ? first : second;
}

double ExpectedWaitRouter::routingCost(const RouteCandidate &candidate,
                                       const RouteRequest &request) const
{
    const double expectedWait = toSeconds(candidate.expectedWait);
    const double uncachedTokens =
        std::max(0.0, static_cast<double>(request.promptTokens) - candidate.cachedTokens);
    const double prefill = uncachedTokens / settings_.prefillTokensPerSecond;
    return (expectedWait + prefill) / std::max(0.05, candidate.readiness)
           + toSeconds(candidate.distance);
}

std::optional<std::size_t> ExpectedWaitRouter::pick(std::span<const RouteCandidate> candidates,
                                                    const RouteRequest &request,
                                                    RandomEngine &random)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::vector<double> routingCosts;
    routingCosts.reserve(candidates.size());
    for (const RouteCandidate &candidate : candidates) {
        routingCosts.push_back(routingCost(candidate, request));
    }
    const double maxCost = *std::min_element(routingCosts.begin(), routingCosts.end())
                           + toSeconds(settings_.tieMargin);
    const auto eligible =
        static_cast<std::size_t>(std::count_if(routingCosts.begin(), routingCosts.end(),
                                               [maxCost](double each) { return each <= maxCost; }));
    std::uniform_int_distribution<std::size_t> draw(0, eligible - 1);
    std::size_t skip = draw(random);
    for (std::size_t index = 0; index < routingCosts.size(); ++index) {
        if (routingCosts[index] <= maxCost && skip-- == 0) {
            return index;
        }
    }
    return std::nullopt;
}

} // namespace seamarch
