// Estimators for the input of the balancer: the popularity of each expert of a layer, and the speed
// of each rank.
//
// The classes are pure and single-threaded.
#pragma once

#include "seamarch/units.h"

#include <cstdint>
#include <span>
#include <vector>

namespace seamarch {

// Estimates the popularity of each expert from token counts that arrive late and with gaps.
//
// Keeps a fast and a slow exponential moving average. The weight of the fast average grows with the
// difference between the two relative to the noise of the counts, so that the estimate follows
// drift but not noise. A profile of the day, kept until the process ends, lets the forecast include
// changes that recur at the same time of day.
//
// Memory: (2 + kDayBins) numbers for each expert.
class PopularityEstimate
{
public:
    // Half-lives of the two averages, length of the daily cycle and weight of the profile.
    struct Settings
    {
        double fastHalfLifeSeconds = 100.0;
        double slowHalfLifeSeconds = 3600.0;
        double daySeconds = 86400.0;
        double profileWeight = 0.5; // Weight of the daily profile in a forecast; 0 to 1.
    };

    // Number of bins of the daily profile.
    static constexpr std::size_t kDayBins = 48;

    explicit PopularityEstimate(std::size_t experts)
        : PopularityEstimate(experts, Settings())
    {}
    PopularityEstimate(std::size_t experts, Settings settings);

    // Adds the number of tokens routed to each expert in a period that ended at `now`. Ignores
    // counts that sum to zero. Periods whose counts were lost are not reported.
    void addCounts(std::span<const double> counts, TimePoint now);

    // Returns the estimated current share of each expert; the shares sum to 1.
    std::vector<double> shares() const;
    // Returns the shares expected at `ahead` after the last counts; they sum to 1.
    std::vector<double> forecast(Duration ahead) const;
    // Returns the standard deviation of one expert's share due to the sampling noise of the counts;
    // 1 before the first counts.
    double noise() const;

private:
    std::size_t binAt(TimePoint time) const;

    Settings settings_;
    std::vector<double> fastAverage_;
    std::vector<double> slowAverage_;
    // Shares by bin of the day; a bin is empty until it has counts.
    std::vector<std::vector<double>> dayProfile_;
    TimePoint lastCountsAt_{};
    double countsPerPeriod_ = 0.0;
    bool hasCounts_ = false;
};

// Estimates the relative speed of each rank from its tokens and its time in each step.
class RankSpeedEstimate
{
public:
    explicit RankSpeedEstimate(std::size_t ranks)
        : speeds_(ranks, 1.0)
    {}

    // Adds one step: the number of tokens that each rank processed and the seconds it took.
    void addStep(std::span<const double> tokens, std::span<const double> seconds);
    // Returns the smoothed speed of each rank; 1 is the speed of the median rank.
    const std::vector<double> &speeds() const { return speeds_; }
    // Returns the indices of the ranks whose speed is below `fraction` of the median speed.
    std::vector<std::size_t> ranksSlowerThan(double fraction) const;

private:
    std::vector<double> speeds_;
};

} // namespace seamarch
