// Decides when a group's expert map is worth changing, and to what.
//
// It keeps how popular each expert was of late, from the counts that the ranks report, and compares
// the map in use with the best that one change can reach. A change costs a second or two of slower
// passes and the copies have a price, so it must win a good part of the passes' time.
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
#include <vector>

namespace seamarch {

class ExpertPlanner
{
public:
    struct Settings
    {
        // Counts lose half their weight in this time, in the long memory and in the short one.
        Duration longHalfLife = std::chrono::milliseconds(4000);
        Duration shortHalfLife = std::chrono::milliseconds(300);
        // The distance of the two memories, in parts of all choices that differ, from which on
        // demand has shifted.
        double shiftDistance = 0.15;
        // The same, in skew: a shift to a few hot experts moves few choices and loads one rank.
        double shiftSkew = 0.4;
        // The least pause between two proposals; copying alone takes about a second.
        Duration pause = std::chrono::milliseconds(200);
        // The least part by which the sum of the sets' largest loads must fall. Passes are slower
        // by 15 in 100 while experts are copied.
        double leastGain = 0.18;
        // A set's placement is not improved beyond this skew.
        double goodEnough = 1.08;
        std::uint32_t maxChanges = 64;
        // Above this skew a change is made quickly rather than well: each rank copies few experts,
        // and the next change does the rest.
        double urgentSkew = 1.5;
        std::uint32_t urgentNewExperts = 1;
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

    Settings settings_;
    ExpertRule rule_;
    std::vector<double> long_; // Counts by set and expert, with the weight of their age.
    std::vector<double> short_;
    TimePoint decayedAt_{};
    std::optional<TimePoint> plannedAt_;
    double expectedSkew_ = 1.0;
    std::uint64_t shifts_ = 0;
};

} // namespace seamarch
