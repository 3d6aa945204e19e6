// Decides whether a group's expert map is worth changing, and to which map.
//
// The planner maintains a decayed history of how often each expert was chosen, and compares the map
// in use with the maps that a single change can reach. Copying experts slows passes down and takes
// time during which demand may shift again. A change is therefore rated by its gain over the time
// that the present workload is expected to last, and a small change that is active soon is
// preferred to a better one that takes long: the next change completes the improvement.
//
// Counts arrive in rounds, one for each poll of the ranks. A round indicates a shift of demand if
// it differs from the history by more than rounds usually do under steady demand, or if the map in
// use is much more skewed under it. Such a round is a blend of two workloads, so no map is planned
// for it, and the next round decides: if it differs as well, the history is discarded; if not, the
// deviation was noise. The planner also records the intervals between shifts to estimate how long a
// workload lasts; a falsely detected shift would make every change appear to take effect too late
// to pay off.
//
// A more balanced map brings no benefit while passes are much shorter than the pause between events
// that callers tolerate. Because copies are expensive, only a highly skewed map is changed then.
//
// Performs no I/O; not thread-safe.
#pragma once

#include "decision/expertmap/evenplacement.h"
#include "decision/expertmap/groupdecider.h"
#include "decision/gateway/routetable.h"
#include "seamarch/units.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace seamarch {

// Detects shifts of demand in the choice counts of a group and plans changes of its expert map.
class ExpertPlanner
{
public:
    struct Settings
    {
        // Half-life of the weight of counts while demand is steady.
        Duration halfLife = std::chrono::milliseconds(4000);
        // Time within which the ranks' answers to one poll arrive, unless setRoundWindow() sets
        // another value.
        Duration roundWindow = std::chrono::milliseconds(40);
        // Threshold of the distance between a round and the history above which demand has shifted,
        // as a multiple of the distance under steady demand, clamped to the bounds below. A
        // distance is the fraction of all choices that differ.
        double shiftThresholdFactor = 2.0;
        double minShiftDistance = 0.04;
        double maxShiftDistance = 0.3;
        // Relative increase of the skew above which demand has shifted, too: a shift to a few hot
        // experts moves few choices but overloads one rank.
        double shiftSkewIncrease = 0.3;
        // Assumed duration of a workload before the first shift is detected, and the number of
        // intervals between shifts that are kept.
        Duration initialShiftInterval = std::chrono::seconds(10);
        std::size_t maxShiftIntervals = 16;
        // Lower bound of the expected remaining duration of a workload.
        Duration minWorkloadDuration = std::chrono::milliseconds(500);
        // Minimum ratio of a change's gain to its cost; above 1 because the gain is an estimate.
        double minBenefitRatio = 1.5;
        // Minimum fraction of the pass time that a change must save, because no other shift can be
        // handled while it is in progress.
        double minGain = 0.12;
        // Relative increase of the pass time while experts are copied, as specified for the engine,
        // and the approximate time for which the group is paused when a change is activated.
        double copySlowdown = 0.15;
        Duration activationPause = std::chrono::milliseconds(50);
        // Initial estimate of the time, besides copying, from a plan to its activation: delivery of
        // the orders, a hold some passes ahead, and arms. The longer it is, the more copies are
        // combined in one change.
        Duration activationDelay = std::chrono::milliseconds(250);
        // Lower bound of that estimate, and the weight of the last change in its moving average.
        Duration minActivationDelay = std::chrono::milliseconds(100);
        double activationDelayWeight = 0.5;
        // While passes take less than this fraction of the gap target, no stream misses the target
        // unless the load grows by more than half, and the map is not changed. Maps with a skew of
        // `forcedChangeSkew` or more are changed regardless: a shift of demand has made them
        // useless, and passes may be longer than those that were measured.
        double relaxedPassRatio = 0.6;
        double forcedChangeSkew = 2.0;
        // The smallest change considered copies for up to this fraction of `activationDelay`; less
        // copying is not worth a change of its own.
        double minCopyRatio = 0.125;
        // The placement of a set is not improved beyond this skew.
        double targetSkew = 1.08;
        std::uint32_t maxChanges = 96;
        // Factor by which the pace of a rank must change for a new plan without a new round.
        double paceChangeFactor = 1.5;
        // Minimum number of choices in a round or the history; fewer are mostly noise.
        double minChoices = 20'000.0;
    };

    ExpertPlanner() = default;
    explicit ExpertPlanner(const Settings &settings)
        : settings_(settings)
    {}

    // Sets the dimensions and limits of the map. Discards the history if the number of sets or
    // experts changes.
    void setRule(const ExpertRule &rule);
    // Sets the number of ranks that have been polled for the next round.
    void expectAnswers(std::uint32_t ranks) { expectedAnswers_ = ranks; }
    // Returns whether all polled ranks have answered in the current round, so that it can end
    // before its window has passed.
    bool roundAnswered() const { return expectedAnswers_ > 0 && answers_ >= expectedAnswers_; }
    // Adds the number of choices of each expert at one rank since that rank's previous report, set
    // by set. Ignores counts whose size does not match the rule.
    void addChoices(std::span<const double> choices, TimePoint now);
    // Sets the time within which the answers of one round arrive, which depends on the link.
    void setRoundWindow(Duration window) { settings_.roundWindow = window; }
    // Sets the pace of each rank: its time for a given load relative to a healthy rank.
    void setPaces(std::vector<double> paces) { paces_ = std::move(paces); }

    // Sets the present pass time, the time of a pass whose load is spread evenly, and the gap
    // target, which is the longest pause between events that callers tolerate. Zero means unknown.
    void setPassTimes(Duration pass, Duration evenPass, Duration gapTarget)
    {
        passTime_ = pass;
        evenPassTime_ = evenPass;
        gapTarget_ = gapTarget;
    }

    // Ends the current round if it is complete, and evaluates it. Must be called on every tick,
    // also while a change is in progress. `current` is the map in use, if known.
    void endRound(const std::optional<ExpertMap> &current, TimePoint now);
    // Returns a better map than `current`, or nothing if no change is worth its cost. Plans at most
    // once per evaluated round, and once more if the pace of a rank has changed.
    std::optional<ExpertMap> plan(const ExpertMap &current, TimePoint now);
    // Records that the planned change was activated, `time` after plan() returned it.
    void recordActivation(Duration time);
    // Returns whether demand has shifted since the last plan was returned.
    bool planOutdated() const { return shiftedSincePlan_; }
    // Returns whether the last round indicated a shift that the next round has yet to confirm.
    bool shiftSuspected() const { return !suspectedHistory_.empty(); }
    // Returns the skew of `map` under the history: the largest load of a rank divided by the mean,
    // averaged over the sets.
    double skew(const ExpertMap &map) const;
    // Returns the time of a pass at a skew of `skew`, relative to a pass whose load is spread
    // evenly over healthy ranks. Includes the work that each rank does by itself.
    double relativePassCost(double skew) const;
    // Return the expected skew and copy time of the last plan.
    double expectedSkew() const { return expectedSkew_; }
    Duration expectedCopying() const { return expectedCopying_; }
    // Returns the expected remaining time until demand shifts again.
    Duration expectedWorkloadDuration(TimePoint now) const;
    // Returns the distance between the last round and the history, as a fraction of all choices.
    double roundDistance() const { return distance_; }
    std::uint64_t shifts() const { return shifts_; }

private:
    struct Candidate
    {
        ExpertMap map;
        double skew = 1.0;
        Duration copying{};
    };

    static std::vector<double> sharesOf(const std::vector<double> &counts, std::uint32_t set,
                                        std::uint32_t experts);
    double skewFor(const std::vector<double> &counts, const ExpertMap &map) const;
    static double distanceBetween(const std::vector<double> &counts,
                                  const std::vector<double> &others);
    bool indicatesShift(const std::vector<double> &history,
                        const std::optional<ExpertMap> &current) const;
    void evaluateRound(const std::optional<ExpertMap> &current, TimePoint now);
    void recordShift(TimePoint now);
    void mergeRound(TimePoint now);
    double passTime(double skew) const;
    bool isWithinGapTarget(double skew) const;
    Candidate buildCandidate(const ExpertMap &current, std::uint32_t copies) const;
    std::uint32_t minCopiesPerRank() const;
    double netBenefit(const Candidate &candidate, double before, Duration workloadDuration) const;
    bool isSufficient(const Candidate &candidate) const;
    bool isNearTarget(double skew) const;
    bool pacesChanged() const;
    double gainRate(const Candidate &candidate, double before) const;
    std::optional<Candidate> chooseCandidate(const ExpertMap &current, double before,
                                             Duration workloadDuration) const;

    Settings settings_;
    ExpertRule rule_;
    std::vector<double> history_; // Counts by set and expert, weighted by age.
    std::vector<double> round_;   // Counts of the current round.
    // The history before a suspected shift that the next round confirms or refutes; empty if none
    // is suspected.
    std::vector<double> suspectedHistory_;
    std::optional<TimePoint> roundStartedAt_;
    std::uint32_t answers_ = 0;         // Ranks that have answered in the current round.
    std::uint32_t expectedAnswers_ = 0; // Ranks polled for a round; zero: unknown.
    TimePoint mergedAt_{};
    std::vector<double> paces_;
    std::vector<double> plannedPaces_; // The paces at the last plan.
    Duration passTime_{};
    Duration evenPassTime_{};
    Duration gapTarget_{};
    double distance_ = 0.0;
    double steadyDistance_ = 0.1;
    std::optional<TimePoint> lastShiftAt_;
    std::deque<Duration> shiftIntervals_; // Intervals between the last shifts.
    bool planned_ = false;                // plan() has run since the last evaluated round.
    bool shiftedSincePlan_ = false;
    double expectedSkew_ = 1.0;
    Duration expectedCopying_{};
    std::uint64_t shifts_ = 0;
};

} // namespace seamarch
