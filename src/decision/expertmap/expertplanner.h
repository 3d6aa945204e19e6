// Decides when a group's expert map is worth changing, and to what.
//
// It keeps how popular each expert was of late, from the counts that the ranks report, and compares
// the map in use with those that one change can reach. Copying makes passes slower and takes time
// in which demand may shift again, so a change is weighed by what it wins over the time that the
// mixture of requests is still likely to last, and a small change that is in use soon goes before a
// better one that takes long: the next change does the rest.
//
// Counts come in rounds, one for each time that the ranks were asked. A round that differs from
// what is remembered by more than rounds of a calm time do, or under which the map in use is much
// less even, may show that demand has shifted. It is a blend of two mixtures, for which no map is
// planned, and the next round decides: if it differs as well, what was remembered is dropped; if
// not, the alarm was noise. The gaps between shifts are remembered too; they say how long a mixture
// lasts, and a false one would make every change look too late to pay.
//
// A more even map serves nobody while passes end long before the pauses that callers bear: copies
// have a price, and then only a map that is very uneven is changed.
//
// Pure and single-threaded.
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

class ExpertPlanner
{
public:
    struct Settings
    {
        // Counts lose half their weight in this time while demand is calm.
        Duration halfLife = std::chrono::milliseconds(4000);
        // The ranks' answers to one question come within this time, unless setRoundWindow() says
        // otherwise.
        Duration roundWindow = std::chrono::milliseconds(40);
        // The distance of a round from what is remembered, in parts of all choices that differ,
        // from which on demand has shifted: this many times what it is while demand is calm, within
        // bounds.
        double shiftThresholdFactor = 2.0;
        double minShiftDistance = 0.04;
        double maxShiftDistance = 0.3;
        // The same, in parts of the skew: a shift to a few hot experts moves few choices and loads
        // one rank.
        double shiftSkewIncrease = 0.3;
        // How long a mixture is taken to last before any shift was seen, and how many gaps between
        // shifts are remembered.
        Duration initialShiftInterval = std::chrono::seconds(10);
        std::size_t maxShiftIntervals = 16;
        // The least time that a mixture is taken to last still.
        Duration minWorkloadDuration = std::chrono::milliseconds(500);
        // What a change must win over its cost: the gain is an estimate.
        double minBenefitRatio = 1.5;
        // The least part of a pass that it must win: while it is under way, a new shift waits.
        double minGain = 0.12;
        // Passes take this part longer while experts are copied (the engine's own figure), and the
        // group stands still for about this long while a change comes into use.
        double copySlowdown = 0.15;
        Duration activationPause = std::chrono::milliseconds(50);
        // What a change takes beside its copies until it is in use, before any was seen: the
        // orders' way, a hold some passes ahead, arms. The longer, the more copies go into one
        // change.
        Duration activationDelay = std::chrono::milliseconds(250);
        // The least that it is taken for, and the weight of the last change in the average.
        Duration minActivationDelay = std::chrono::milliseconds(100);
        double activationDelayWeight = 0.5;
        // Passes that take less than this part of the longest pause that callers bear make nobody
        // late, unless the load grows by more than half. Above the skew, a shift of demand has made
        // the map useless, and passes may be longer than those that were measured.
        double relaxedPassRatio = 0.6;
        double forcedChangeSkew = 2.0;
        // Copies that take less than this part of it are not worth a change of their own.
        double minCopyRatio = 0.125;
        // A set's placement is not improved beyond this skew.
        double targetSkew = 1.08;
        std::uint32_t maxChanges = 96;
        // Choices of experts below which the counts are mostly noise.
        double minChoices = 20'000.0;
    };

    ExpertPlanner() = default;
    explicit ExpertPlanner(const Settings &settings)
        : settings_(settings)
    {}

    void setRule(const ExpertRule &rule);
    // Takes how often each expert was chosen at a rank since that rank's last report, set by set.
    void addChoices(std::span<const double> choices, TimePoint now);
    // Sets within which time the answers of one round come: it depends on the link.
    void setRoundWindow(Duration span) { settings_.roundWindow = span; }
    // Takes how many times as long as a sound rank each rank takes, by rank.
    void setPaces(std::vector<double> paces) { paces_ = std::move(paces); }

    // Takes how long passes take, and the longest pause between events that callers bear; zero: not
    // known.
    void setPassTimes(Duration pass, Duration goal)
    {
        passTime_ = pass;
        latencyGoal_ = goal;
    }

    // Ends the round that is complete, if there is one, and learns from it. Called at each tick,
    // also while a change is under way. `current` is the map in use, where it is known.
    void endRound(const std::optional<ExpertMap> &current, TimePoint now);
    // Returns a better map than `current`, if there is one worth the change.
    std::optional<ExpertMap> plan(const ExpertMap &current, TimePoint now);
    // A change has come into use, so long after the plan for it was returned.
    void recordActivation(Duration time);
    // Tells whether demand has shifted since the last plan was returned.
    bool planOutdated() const { return shiftedSincePlan_; }
    // Tells whether the last round gave an alarm, on which the next one decides.
    bool shiftSuspected() const { return !suspectedHistory_.empty(); }
    // Returns the mean over the sets of the largest load over the mean load.
    double skew(const ExpertMap &map) const;
    // Returns the skew that the last plan expects, and how long its copying takes.
    double expectedSkew() const { return expectedSkew_; }
    Duration expectedCopying() const { return expectedCopying_; }
    // Returns how long the mixture of requests is likely to last still.
    Duration expectedWorkloadDuration(TimePoint now) const;
    // Returns the part of all choices by which the last round differed from what was remembered.
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
    bool isWithinLatencyGoal(double skew) const;
    Candidate buildCandidate(const ExpertMap &current, std::uint32_t copies) const;
    std::uint32_t minCopiesPerRank() const;
    double netBenefit(const Candidate &candidate, double before, Duration workloadDuration) const;

    Settings settings_;
    ExpertRule rule_;
    std::vector<double> history_; // Counts by set and expert, with the weight of their age.
    std::vector<double> round_;   // Of the round that is coming in.
    // What was remembered when an alarm was given that the next round decides on; empty: none was.
    std::vector<double> suspectedHistory_;
    std::optional<TimePoint> roundStartedAt_;
    TimePoint mergedAt_{};
    std::vector<double> paces_;
    Duration passTime_{};
    Duration latencyGoal_{};
    double distance_ = 0.0;
    double steadyDistance_ = 0.1;
    std::optional<TimePoint> lastShiftAt_;
    std::deque<Duration> shiftIntervals_; // Between shifts.
    bool planned_ = false;                // The round last remembered has been planned for.
    bool shiftedSincePlan_ = false;
    double expectedSkew_ = 1.0;
    Duration expectedCopying_{};
    std::uint64_t shifts_ = 0;
};

} // namespace seamarch
