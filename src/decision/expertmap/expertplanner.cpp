#include "decision/expertmap/expertplanner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace seamarch {

void ExpertPlanner::setRule(const ExpertRule &rule)
{
    const std::size_t size = std::size_t{rule.sets} * rule.experts;
    if (long_.size() != size) {
        long_.assign(size, 0.0);
        short_.assign(size, 0.0);
    }
    rule_ = rule;
}

void ExpertPlanner::decay(TimePoint now)
{
    const double seconds = std::max(0.0, toSeconds(now - decayedAt_));
    const double longFactor = std::exp2(-seconds / toSeconds(settings_.longHalfLife));
    const double shortFactor = std::exp2(-seconds / toSeconds(settings_.shortHalfLife));
    for (std::size_t index = 0; index < long_.size(); ++index) {
        long_[index] *= longFactor;
        short_[index] *= shortFactor;
    }
    decayedAt_ = now;
}

void ExpertPlanner::onChoices(std::span<const double> choices, TimePoint now)
{
    if (choices.size() != long_.size() || long_.empty()) {
        return;
    }
    decay(now);
    for (std::size_t index = 0; index < choices.size(); ++index) {
        long_[index] += choices[index];
        short_[index] += choices[index];
    }
}

double ExpertPlanner::distance() const
{
    const double longTotal = std::accumulate(long_.begin(), long_.end(), 0.0);
    const double shortTotal = std::accumulate(short_.begin(), short_.end(), 0.0);
    if (longTotal < settings_.leastCounts || shortTotal < settings_.leastCounts) {
        return 0.0;
    }
    double differing = 0.0;
    for (std::size_t index = 0; index < long_.size(); ++index) {
        differing += std::abs(long_[index] / longTotal - short_[index] / shortTotal);
    }
    return differing / 2.0;
}

std::vector<double> ExpertPlanner::sharesOf(const std::vector<double> &memory, std::uint32_t set,
                                            std::uint32_t experts)
{
    const auto begin = memory.begin() + static_cast<std::ptrdiff_t>(set) * experts;
    std::vector<double> shares(begin, begin + experts);
    const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
    const double floor = sum / experts * 1e-3; // Every expert is chosen now and then.
    for (double &share : shares) {
        share = (share + floor) / std::max(1.0, sum + floor * experts);
    }
    return shares;
}

double ExpertPlanner::skewBy(const std::vector<double> &memory, const ExpertMap &map) const
{
    double sum = 0.0;
    for (std::uint32_t set = 0; set < map.size() && set < rule_.sets; ++set) {
        sum += placementSkew(map[set], sharesOf(memory, set, rule_.experts));
    }
    return map.empty() ? 1.0 : sum / static_cast<double>(map.size());
}

double ExpertPlanner::skew(const ExpertMap &map) const
{
    return skewBy(long_, map);
}

bool ExpertPlanner::shifted(const ExpertMap &current) const
{
    if (distance() > settings_.shiftDistance) {
        return true;
    }
    const double shortTotal = std::accumulate(short_.begin(), short_.end(), 0.0);
    return shortTotal >= settings_.leastCounts
           && skewBy(short_, current) > skewBy(long_, current) + settings_.shiftSkew;
}

std::optional<ExpertMap> ExpertPlanner::plan(const ExpertMap &current, TimePoint now)
{
    if (current.size() == rule_.sets && shifted(current)) {
        long_ = short_;
        ++shifts_;
    }
    const double total = std::accumulate(long_.begin(), long_.end(), 0.0);
    if (total < settings_.leastCounts || current.size() != rule_.sets
        || (plannedAt_ && now - *plannedAt_ < settings_.pause)) {
        return std::nullopt;
    }
    plannedAt_ = now;
    const double before = skew(current);
    const std::uint32_t newExperts = before > settings_.urgentSkew
                                         ? std::min(rule_.newExperts, settings_.urgentNewExperts)
                                         : rule_.newExperts;
    const PlacementBounds bounds{rule_.places, newExperts, settings_.maxChanges,
                                 settings_.goodEnough};
    ExpertMap planned;
    for (std::uint32_t set = 0; set < rule_.sets; ++set) {
        planned.push_back(
            improvePlacement(current[set], sharesOf(long_, set, rule_.experts), bounds));
    }
    expectedSkew_ = skew(planned);
    if (before - expectedSkew_ < settings_.leastGain * before) {
        return std::nullopt;
    }
    return planned;
}

} // namespace seamarch
