// How popular each expert of a layer is, from counts that lag and have gaps.
//
// Two averages are kept, a fast and a slow one. The estimate leans on the fast one by how far the
// two lie apart against the noise of the counts, so that drift is followed and noise is not. A
// profile of the day, kept for the life of the process, adds what recurred at this time before.
//
// The class is pure and single-threaded. Memory: (2 + kDayBins) numbers for each expert.
#pragma once

#include "seamarch/units.h"

#include <cstdint>
#include <span>
#include <vector>

namespace seamarch {

class PopularityEstimate
{
public:
    struct Settings
    {
        double fastHalfLifeSeconds = 100.0;
        double slowHalfLifeSeconds = 3600.0;
        double daySeconds = 86400.0;
        double profileWeight = 0.5; // How far a forecast follows what recurred.
    };

    static constexpr std::size_t kDayBins = 48;

    explicit PopularityEstimate(std::size_t experts)
        : PopularityEstimate(experts, Settings())
    {}
    PopularityEstimate(std::size_t experts, Settings settings);

    // Takes the tokens that each expert got in a period that ended at `now`. A period whose counts
    // are lost is simply not reported.
    void addCounts(std::span<const double> counts, TimePoint now);

    // Returns the share of each expert as estimated now; the shares sum to 1.
    std::vector<double> shares() const;
    // Returns the shares that are expected `ahead` from the last counts.
    std::vector<double> forecast(Duration ahead) const;
    // Returns the standard deviation of one expert's share that the counts' noise alone makes.
    double noise() const;

private:
    std::size_t binAt(TimePoint time) const;

    Settings settings_;
    std::vector<double> fast_;
    std::vector<double> slow_;
    std::vector<std::vector<double>> dayProfile_; // By bin of the day; empty until it was seen.
    TimePoint lastCountsAt_{};
    double countsPerPeriod_ = 0.0;
    bool started_ = false;
};

// How fast each rank works, from the time that each takes for its tokens in a step.
class RankSpeedEstimate
{
public:
    explicit RankSpeedEstimate(std::size_t ranks)
        : speeds_(ranks, 1.0)
    {}

    // Takes one step: the tokens that each rank had and the seconds that it took for them.
    void addStep(std::span<const double> tokens, std::span<const double> seconds);
    // Returns each rank's speed; the median rank has 1.
    const std::vector<double> &speeds() const { return speeds_; }
    // Returns the ranks whose speed is below `part` of the median's.
    std::vector<std::size_t> ranksSlowerThan(double fraction) const;

private:
    std::vector<double> speeds_;
};

} // namespace seamarch
