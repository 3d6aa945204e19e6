// Decides when a group's expert map is worth changing, and to what.
//
// It keeps how popular each expert was of late, from the counts that the ranks report, and compares
// the map in use with the best that one change can reach. Passes are slower while ranks copy
// experts, so a change must win more than that within the time that a map is likely to stay fit.
//
// Which experts are chosen follows what requests are about. Within one mix of subjects the counts
// of a moment are noisy, and a long memory serves best; when the mix shifts, the old counts only
// mislead. Two memories are kept, a short and a long one, and the long one is dropped for the short
// when the two lie further apart than noise takes them.
//
// Pure and single-threaded.
#pragma once

#include "decision/expertmap/evenplacement.h"
#include "decision/expertmap/groupdecider.h"
#include "decision/gateway/routetable.h"
#include "seamarch/units.h"

#include <cstdint>
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
        // Counts lose half their weight in this time, in the long memory and in the short one. The
        // long one is that of a group of `halfLifeRanks`; a larger group's counts are less noisy,
        // and its memory is shorter by as much, down to the least.
        Duration longHalfLife = std::chrono::milliseconds(4000);
        std::uint32_t halfLifeRanks = 12;
        Duration leastLongHalfLife = std::chrono::milliseconds(1000);
        Duration shortHalfLife = std::chrono::milliseconds(300);
        // The distance of the two memories, in parts of all choices that differ, from which on
        // demand has shifted: this many times what it is while demand is calm, within bounds. Calm
        // groups of 63 ranks were seen at 0.01 to 0.02, of 12 ranks at 0.04 to 0.06.
        double shiftOverCalm = 3.0;
        double leastShiftDistance = 0.04;
        double mostShiftDistance = 0.15;
        // The same, in skew: a shift to a few hot experts moves few choices and loads one rank.
        double shiftSkew = 0.4;
        // After a shift the memories differ for a while; what is calm is learned again from then.
        Duration calmAfter = std::chrono::milliseconds(1500);
        // The least pause between two proposals.
        Duration pause = std::chrono::milliseconds(200);
        // How long a map is likely to stay fit: demand was seen to shift every three to four
        // seconds.
        Duration horizon = std::chrono::milliseconds(2000);
        // What a change must win over its cost: the gain is an estimate.
        double margin = 1.5;
        // The least part of a pass that it must win: while it is under way, a new shift waits.
        double leastGain = 0.12;
        // Passes take this part longer while experts are copied (the engine's own figure), and the
        // group stands still for about this long while a change comes into use.
        double copySlowdown = 0.15;
        Duration standstill = std::chrono::milliseconds(50);
        // A set's placement is not improved beyond this skew.
        double goodEnough = 1.08;
        std::uint32_t maxChanges = 96;
        // Above this skew a change is made quickly rather than well: ranks copy no longer than
        // this, if they copy one expert at least, and the next change does the rest.
        double urgentSkew = 1.5;
        Duration urgentCopying = std::chrono::milliseconds(450);
        // Choices of experts below which the counts are mostly noise.
        double leastCounts = 20'000.0;
    };

    ExpertPlanner() = default;
    explicit ExpertPlanner(const Settings &settings)
        : settings_(settings)
    {}

    void setRule(const ExpertRule &rule);
    // Takes how often each expert was chosen at a rank since that rank's last report, set by set.
    void onChoices(std::span<const double> choices, TimePoint now);
    // Takes how many times as long as a sound rank each rank takes, by rank.
    void setPaces(std::vector<double> paces) { paces_ = std::move(paces); }
    // Allows a proposal at once, because another agent may have changed the map meanwhile.
    void reset() { plannedAt_.reset(); }

    // Returns a better map than `current`, if there is one worth the change.
    std::optional<ExpertMap> plan(const ExpertMap &current, TimePoint now);
    // Returns the mean over the sets of the largest load over the mean load.
    double skew(const ExpertMap &map) const;
    // Returns the skew that the last plan expects.
    double expectedSkew() const { return expectedSkew_; }
    // Returns the part of all choices by which the short memory differs from the long one.
    double distance() const;
    std::uint64_t shifts() const { return shifts_; }

private:
    static std::vector<double> sharesOf(const std::vector<double> &memory, std::uint32_t set,
                                        std::uint32_t experts);
    double skewBy(const std::vector<double> &memory, const ExpertMap &map) const;
    bool shifted(const ExpertMap &current) const;
    void decay(TimePoint now);
    Duration longHalfLife() const;
    void noteShift(const ExpertMap &current, TimePoint now);
    std::uint32_t newExpertsAt(double skew) const;
    bool worthIt(double before, double after, std::uint32_t newExperts) const;

    Settings settings_;
    ExpertRule rule_;
    std::vector<double> long_; // Counts by set and expert, with the weight of their age.
    std::vector<double> short_;
    TimePoint decayedAt_{};
    std::optional<TimePoint> plannedAt_;
    std::vector<double> paces_;
    std::uint32_t ranks_ = 0; // Of the last map that was planned for.
    double calmDistance_ = 0.05;
    std::optional<TimePoint> shiftedAt_;
    double expectedSkew_ = 1.0;
    std::uint64_t shifts_ = 0;
};

} // namespace seamarch
