#include "decision/expertmap/expertplanner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace seamarch {
namespace {

double sumOf(const std::vector<double> &counts)
{
    return std::accumulate(counts.begin(), counts.end(), 0.0);
}

} // namespace

void ExpertPlanner::setRule(const ExpertRule &rule)
{
    const std::size_t size = std::size_t{rule.sets} * rule.experts;
    if (history_.size() != size) {
        history_.assign(size, 0.0);
        round_.assign(size, 0.0);
        suspectedHistory_.clear();
        roundStartedAt_.reset();
        answers_ = 0;
    }
    rule_ = rule;
}

void ExpertPlanner::addChoices(std::span<const double> choices, TimePoint now)
{
    if (choices.size() != round_.size() || round_.empty()) {
        return;
    }
    for (std::size_t index = 0; index < choices.size(); ++index) {
        round_[index] += choices[index];
    }
    ++answers_;
    roundStartedAt_ = roundStartedAt_.value_or(now);
}

// Returns the fraction of all choices in which two counts differ, or zero if one of them is empty.
double ExpertPlanner::distanceBetween(const std::vector<double> &counts,
                                      const std::vector<double> &others)
{
    const double total = sumOf(counts);
    const double otherTotal = sumOf(others);
    if (total <= 0.0 || otherTotal <= 0.0) {
        return 0.0;
    }
    double differing = 0.0;
    for (std::size_t index = 0; index < counts.size(); ++index) {
        differing += std::abs(counts[index] / total - others[index] / otherTotal);
    }
    return differing / 2.0;
}

std::vector<double> ExpertPlanner::sharesOf(const std::vector<double> &counts, std::uint32_t set,
                                            std::uint32_t experts)
{
    const auto begin = counts.begin() + static_cast<std::ptrdiff_t>(set) * experts;
    std::vector<double> shares(begin, begin + experts);
    const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
    const double floor = sum / experts * 1e-3; // Every expert is chosen occasionally.
    for (double &share : shares) {
        share = (share + floor) / std::max(1.0, sum + floor * experts);
    }
    return shares;
}

double ExpertPlanner::skewFor(const std::vector<double> &counts, const ExpertMap &map) const
{
    double sum = 0.0;
    for (std::uint32_t set = 0; set < map.size() && set < rule_.sets; ++set) {
        sum += placementSkew(map[set], sharesOf(counts, set, rule_.experts), paces_);
    }
    return map.empty() ? 1.0 : sum / static_cast<double>(map.size());
}

double ExpertPlanner::skew(const ExpertMap &map) const
{
    return skewFor(history_, map);
}

// Returns whether the current round differs from `history` by more than noise.
bool ExpertPlanner::indicatesShift(const std::vector<double> &history,
                                   const std::optional<ExpertMap> &current) const
{
    if (sumOf(history) <= 0.0) {
        return false;
    }
    const double limit = std::clamp(steadyDistance_ * settings_.shiftThresholdFactor,
                                    settings_.minShiftDistance, settings_.maxShiftDistance);
    return distanceBetween(round_, history) > limit
           || (current
               && skewFor(round_, *current)
                      > skewFor(history, *current) * (1.0 + settings_.shiftSkewIncrease));
}

void ExpertPlanner::recordShift(TimePoint now)
{
    shiftedSincePlan_ = true;
    // The ranks' passes end at different times, so one shift may cause two blended rounds in a row.
    if (lastShiftAt_ && now - *lastShiftAt_ < settings_.minWorkloadDuration) {
        return;
    }
    ++shifts_;
    if (lastShiftAt_) {
        shiftIntervals_.push_back(now - *lastShiftAt_);
        if (shiftIntervals_.size() > settings_.maxShiftIntervals) {
            shiftIntervals_.pop_front();
        }
    }
    lastShiftAt_ = now;
}

void ExpertPlanner::mergeRound(TimePoint now)
{
    const double seconds = std::max(0.0, toSeconds(now - mergedAt_));
    const double factor = std::exp2(-seconds / toSeconds(settings_.halfLife));
    for (std::size_t index = 0; index < history_.size(); ++index) {
        history_[index] = history_[index] * factor + round_[index];
    }
    mergedAt_ = now;
}

void ExpertPlanner::endRound(const std::optional<ExpertMap> &current, TimePoint now)
{
    const bool complete =
        roundStartedAt_ && (roundAnswered() || now - *roundStartedAt_ >= settings_.roundWindow);
    if (!complete || sumOf(round_) < settings_.minChoices) {
        return;
    }
    evaluateRound(current, now);
    std::fill(round_.begin(), round_.end(), 0.0);
    roundStartedAt_.reset();
    answers_ = 0;
}

// Merges the complete round into the history, and confirms, refutes or records a suspected shift.
void ExpertPlanner::evaluateRound(const std::optional<ExpertMap> &current, TimePoint now)
{
    constexpr double kSteadyWeight = 0.05; // Weight of one round, at about ten rounds a second.
    if (!suspectedHistory_.empty()) {
        if (indicatesShift(suspectedHistory_, current)) {
            recordShift(now);
        } else {
            history_ = std::move(suspectedHistory_); // The deviation was noise.
        }
        suspectedHistory_.clear();
    } else {
        distance_ = distanceBetween(round_, history_);
        if (indicatesShift(history_, current)) {
            suspectedHistory_ = std::exchange(history_, std::vector<double>(history_.size(), 0.0));
            return;
        }
        steadyDistance_ += kSteadyWeight * (distance_ - steadyDistance_);
    }
    mergeRound(now);
    planned_ = false;
}

// Returns the mean remainder, at the present workload's age, of the recorded intervals that are
// longer than that age. If the workload has outlasted them all, returns the mean of all intervals
// including the initial assumption, because no change would be worth its copying with too short an
// estimate.
Duration ExpertPlanner::expectedWorkloadDuration(TimePoint now) const
{
    if (shiftIntervals_.empty()) {
        return settings_.initialShiftInterval;
    }
    const Duration age = now - *lastShiftAt_;
    Duration remaining{};
    Duration sum{};
    std::int64_t longerCount = 0;
    for (const Duration gap : shiftIntervals_) {
        sum += gap;
        if (gap > age) {
            remaining += gap - age;
            ++longerCount;
        }
    }
    const auto observed = static_cast<std::int64_t>(shiftIntervals_.size());
    const Duration mean = longerCount > 0 ? remaining / longerCount
                                          : (sum + settings_.initialShiftInterval) / (observed + 1);
    return std::max(settings_.minWorkloadDuration, mean);
}

// Returns the pass time at `skew`, relative to a pass with perfectly even load.
double ExpertPlanner::passTime(double skew) const
{
    return 1.0 - rule_.expertShare + rule_.expertShare * skew;
}

double ExpertPlanner::relativePassCost(double skew) const
{
    const double slowest =
        paces_.empty() ? 1.0 : std::max(1.0, *std::max_element(paces_.begin(), paces_.end()));
    return (1.0 - rule_.expertShare) * slowest + rule_.expertShare * skew;
}

// Returns whether passes are already so short that a more balanced map would not help any caller.
bool ExpertPlanner::isWithinGapTarget(double skew) const
{
    const bool isMeasured = passTime_ > Duration{} && gapTarget_ > Duration{};
    return isMeasured && skew < settings_.forcedChangeSkew
           && toSeconds(passTime_) < settings_.relaxedPassRatio * toSeconds(gapTarget_);
}

// Returns the best map that is reachable with `copies` new experts per rank. The sets share the
// copies: the most skewed set goes first, and the copies that it leaves unused go to the next.
ExpertPlanner::Candidate ExpertPlanner::buildCandidate(const ExpertMap &current,
                                                       std::uint32_t copies) const
{
    std::vector<std::vector<double>> shares;
    std::vector<std::pair<double, std::uint32_t>> order;
    for (std::uint32_t set = 0; set < rule_.sets; ++set) {
        shares.push_back(sharesOf(history_, set, rule_.experts));
        order.emplace_back(-placementSkew(current[set], shares[set], paces_), set);
    }
    std::sort(order.begin(), order.end());
    const std::size_t ranks = current.front().size();
    std::vector<std::uint32_t> remaining(ranks, copies);
    auto totalCopies = static_cast<std::uint32_t>(ranks * copies);
    Candidate result{current, 1.0, {}};
    std::uint32_t setsLeft = rule_.sets;
    for (const auto &[negativeSkew, set] : order) {
        std::vector<std::uint32_t> allowed = remaining;
        for (std::uint32_t &allowance : allowed) {
            allowance = std::min(allowance, rule_.maxNewPerRank);
        }
        PlacementBounds bounds{rule_.maxPerRank,
                               rule_.maxNewPerRank,
                               settings_.maxChanges,
                               settings_.targetSkew,
                               allowed,
                               (totalCopies + setsLeft - 1) / setsLeft};
        result.map[set] = improvePlacement(current[set], shares[set], bounds, paces_);
        for (std::size_t rank = 0; rank < ranks; ++rank) {
            const auto &before = current[set][rank];
            const auto isNew = [&before](std::uint16_t expert) {
                return !std::binary_search(before.begin(), before.end(), expert);
            };
            const auto &after = result.map[set][rank];
            const auto added =
                static_cast<std::uint32_t>(std::count_if(after.begin(), after.end(), isNew));
            remaining[rank] -= std::min(remaining[rank], added);
            totalCopies -= std::min(totalCopies, added);
        }
        --setsLeft;
    }
    result.skew = skew(result.map);
    result.copying =
        rule_.copyTime * (copies - *std::min_element(remaining.begin(), remaining.end()));
    return result;
}

// Returns the pass time in seconds that a change saves, minus its weighted cost. The result is zero
// or negative if the change is not worthwhile.
double ExpertPlanner::netBenefit(const Candidate &candidate, double before,
                                 Duration workloadDuration) const
{
    const double gain = 1.0 - passTime(candidate.skew) / passTime(before);
    const double used = toSeconds(workloadDuration - candidate.copying - settings_.activationDelay);
    const double cost = settings_.copySlowdown * toSeconds(candidate.copying)
                        + toSeconds(settings_.activationPause);
    return gain > settings_.minGain ? gain * used - settings_.minBenefitRatio * cost : 0.0;
}

void ExpertPlanner::recordActivation(Duration time)
{
    const Duration observed = std::max(settings_.minActivationDelay, time - expectedCopying_);
    const double weight = settings_.activationDelayWeight;
    settings_.activationDelay = fromSeconds(
        weight * toSeconds(observed) + (1.0 - weight) * toSeconds(settings_.activationDelay));
}

// Returns the number of copies per rank in the smallest change to consider. With fewer copies, a
// change would be active hardly sooner.
std::uint32_t ExpertPlanner::minCopiesPerRank() const
{
    const Duration least =
        fromSeconds(toSeconds(settings_.activationDelay) * settings_.minCopyRatio);
    std::uint32_t copies = 1;
    while (copies * 2 <= rule_.maxNewPerRank * rule_.sets
           && rule_.copyTime * (copies * 2) <= least) {
        copies *= 2;
    }
    return copies;
}

// Returns whether the pace of a rank has changed since the last plan. The history still holds then,
// and while one slow rank holds up all passes, it can take long until a round has enough choices.
bool ExpertPlanner::pacesChanged() const
{
    const auto changed = [this](double before, double now) {
        return std::max(before, now) > std::min(before, now) * settings_.paceChangeFactor;
    };
    return paces_.size() == plannedPaces_.size()
           && !std::equal(paces_.begin(), paces_.end(), plannedPaces_.begin(),
                          [&](double now, double before) { return !changed(before, now); });
}

// Returns whether passes with `candidate` would be so short that a more balanced map would not help
// any caller, and the remaining copies can be spared.
bool ExpertPlanner::isSufficient(const Candidate &candidate) const
{
    const Duration pass = fromSeconds(toSeconds(evenPassTime_) * relativePassCost(candidate.skew));
    return pass > Duration{} && gapTarget_ > Duration{}
           && toSeconds(pass) < settings_.relaxedPassRatio * toSeconds(gapTarget_);
}

// Returns whether no map can improve on `skew` by enough for a further change.
bool ExpertPlanner::isNearTarget(double skew) const
{
    return 1.0 - passTime(settings_.targetSkew) / passTime(skew) <= settings_.minGain;
}

// Returns the gain of a change per unit of time until its activation. A change that leaves a second
// one to make is charged with the activation of that one as well.
double ExpertPlanner::gainRate(const Candidate &candidate, double before) const
{
    const int activations = isNearTarget(candidate.skew) ? 1 : 2;
    const double gain = 1.0 - passTime(candidate.skew) / passTime(before);
    return gain / toSeconds(candidate.copying + activations * settings_.activationDelay);
}

// Returns the change to make, or nothing if none is worth its cost: the smallest one that suffices
// for the gap target, or otherwise the one with the largest gain per unit of time.
std::optional<ExpertPlanner::Candidate>
ExpertPlanner::chooseCandidate(const ExpertMap &current, double before,
                               Duration workloadDuration) const
{
    std::optional<Candidate> best;
    double bestRate = 0.0;
    for (std::uint32_t copies = minCopiesPerRank(); copies <= rule_.maxNewPerRank * rule_.sets;
         copies *= 2) {
        const Candidate candidate = buildCandidate(current, copies);
        const bool worthwhile = netBenefit(candidate, before, workloadDuration) > 0.0;
        const double rate = gainRate(candidate, before);
        if (worthwhile && rate > bestRate) {
            bestRate = rate;
            best = candidate;
        } else if (best) {
            break; // Each further copy gains less than the one before, and the search takes time.
        }
        if (candidate.copying > workloadDuration || (worthwhile && isSufficient(candidate))) {
            break;
        }
    }
    return best;
}

std::optional<ExpertMap> ExpertPlanner::plan(const ExpertMap &current, TimePoint now)
{
    if (current.size() != rule_.sets || current.empty() || (planned_ && !pacesChanged())
        || sumOf(history_) < settings_.minChoices) {
        return std::nullopt;
    }
    planned_ = true;
    plannedPaces_ = paces_;
    const double before = skew(current);
    if (isNearTarget(before)) {
        return std::nullopt; // Even the target skew would gain too little; skip the search.
    }
    if (isWithinGapTarget(before)) {
        return std::nullopt;
    }
    const Duration workloadDuration = expectedWorkloadDuration(now);
    auto best = chooseCandidate(current, before, workloadDuration);
    if (!best) {
        return std::nullopt;
    }
    expectedSkew_ = best->skew;
    expectedCopying_ = best->copying;
    shiftedSincePlan_ = false;
    return best->map;
}

} // namespace seamarch
