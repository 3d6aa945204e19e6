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
    const double longFactor = std::exp2(-seconds / toSeconds(longHalfLife()));
    const double shortFactor = std::exp2(-seconds / toSeconds(settings_.shortHalfLife));
    for (std::size_t index = 0; index < long_.size(); ++index) {
        long_[index] *= longFactor;
        short_[index] *= shortFactor;
    }
    decayedAt_ = now;
}

Duration ExpertPlanner::longHalfLife() const
{
    if (ranks_ <= settings_.halfLifeRanks) {
        return settings_.longHalfLife;
    }
    return std::max(settings_.leastLongHalfLife,
                    settings_.longHalfLife * settings_.halfLifeRanks / ranks_);
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
        sum += placementSkew(map[set], sharesOf(memory, set, rule_.experts), paces_);
    }
    return map.empty() ? 1.0 : sum / static_cast<double>(map.size());
}

double ExpertPlanner::skew(const ExpertMap &map) const
{
    return skewBy(long_, map);
}

bool ExpertPlanner::shifted(const ExpertMap &current) const
{
    const double limit = std::clamp(calmDistance_ * settings_.shiftOverCalm,
                                    settings_.leastShiftDistance, settings_.mostShiftDistance);
    if (distance() > limit) {
        return true;
    }
    const double shortTotal = std::accumulate(short_.begin(), short_.end(), 0.0);
    return shortTotal >= settings_.leastCounts
           && skewBy(short_, current) > skewBy(long_, current) + settings_.shiftSkew;
}

// Drops the long memory when demand has shifted; else learns how far the memories lie apart while
// it has not.
void ExpertPlanner::noteShift(const ExpertMap &current, TimePoint now)
{
    constexpr double kCalmWeight = 0.05; // Of one look among some twenty a second.
    if (shifted(current)) {
        long_ = short_;
        shiftedAt_ = now;
        ++shifts_;
    } else if (!shiftedAt_ || now - *shiftedAt_ > settings_.calmAfter) {
        calmDistance_ += kCalmWeight * (distance() - calmDistance_);
    }
}

// Returns how many experts of a set may be new to a rank in a change that starts from `skew`.
std::uint32_t ExpertPlanner::newExpertsAt(double skew) const
{
    if (skew <= settings_.urgentSkew || rule_.copyTime <= Duration{}) {
        return rule_.newExperts;
    }
    const auto quick = settings_.urgentCopying / (rule_.copyTime * std::max(1U, rule_.sets));
    return std::clamp<std::uint32_t>(static_cast<std::uint32_t>(quick), 1,
                                     std::max(1U, rule_.newExperts));
}

bool ExpertPlanner::worthIt(double before, double after, std::uint32_t newExperts) const
{
    const auto passTime = [this](double skew) {
        return 1.0 - rule_.expertPart + rule_.expertPart * skew;
    };
    const double gain = 1.0 - passTime(after) / passTime(before);
    const double copying = toSeconds(rule_.copyTime) * rule_.sets * newExperts;
    const double cost = settings_.copySlowdown * copying + toSeconds(settings_.standstill);
    return gain > settings_.leastGain
           && gain * toSeconds(settings_.horizon) > settings_.margin * cost;
}

std::optional<ExpertMap> ExpertPlanner::plan(const ExpertMap &current, TimePoint now)
{
    if (current.size() != rule_.sets || current.empty()) {
        return std::nullopt;
    }
    ranks_ = static_cast<std::uint32_t>(current.front().size());
    noteShift(current, now);
    const double total = std::accumulate(long_.begin(), long_.end(), 0.0);
    if (total < settings_.leastCounts || (plannedAt_ && now - *plannedAt_ < settings_.pause)) {
        return std::nullopt;
    }
    plannedAt_ = now;
    const double before = skew(current);
    const std::uint32_t newExperts = newExpertsAt(before);
    if (!worthIt(before, settings_.goodEnough, newExperts)) {
        return std::nullopt; // Not even the best that the search goes for: it is spared.
    }
    const PlacementBounds bounds{rule_.places, newExperts, settings_.maxChanges,
                                 settings_.goodEnough};
    ExpertMap planned;
    for (std::uint32_t set = 0; set < rule_.sets; ++set) {
        planned.push_back(
            improvePlacement(current[set], sharesOf(long_, set, rule_.experts), bounds, paces_));
    }
    expectedSkew_ = skew(planned);
    if (!worthIt(before, expectedSkew_, newExperts)) {
        return std::nullopt;
    }
    return planned;
}

} // namespace seamarch
