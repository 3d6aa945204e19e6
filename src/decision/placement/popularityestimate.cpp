#include "decision/placement/popularityestimate.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace seamarch {
namespace {

constexpr double kDriftFraction =
    0.25; // Relative difference within a period that drift alone causes.
constexpr double kSpeedSmoothing = 0.3; // High enough to detect a stalled rank within a few steps.

double total(std::span<const double> values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

void normalise(std::vector<double> &shares)
{
    const double sum = total(shares);
    for (double &share : shares) {
        share = sum > 0.0 ? share / sum : 1.0 / static_cast<double>(shares.size());
    }
}

void updateAverage(std::vector<double> &average, const std::vector<double> &value, double weight)
{
    for (std::size_t index = 0; index < average.size(); ++index) {
        average[index] += weight * (value[index] - average[index]);
    }
}

} // namespace

PopularityEstimate::PopularityEstimate(std::size_t experts, Settings settings)
    : settings_(settings)
    , fastAverage_(experts, 1.0 / static_cast<double>(experts))
    , slowAverage_(fastAverage_)
    , dayProfile_(kDayBins)
{}

std::size_t PopularityEstimate::binAt(TimePoint time) const
{
    const double secondOfDay = std::fmod(toSeconds(time.time_since_epoch()), settings_.daySeconds);
    const double fraction = secondOfDay / settings_.daySeconds;
    return std::min(kDayBins - 1,
                    static_cast<std::size_t>(fraction * static_cast<double>(kDayBins)));
}

void PopularityEstimate::addCounts(std::span<const double> counts, TimePoint now)
{
    const double sum = total(counts);
    if (sum <= 0.0 || counts.size() != fastAverage_.size()) {
        return;
    }
    std::vector<double> shares(counts.begin(), counts.end());
    normalise(shares);
    if (!hasCounts_) {
        fastAverage_ = shares;
        slowAverage_ = shares;
        hasCounts_ = true;
    }
    const double elapsed = std::max(1.0, toSeconds(now - lastCountsAt_));
    updateAverage(fastAverage_, shares, 1.0 - std::exp2(-elapsed / settings_.fastHalfLifeSeconds));
    updateAverage(slowAverage_, shares, 1.0 - std::exp2(-elapsed / settings_.slowHalfLifeSeconds));
    std::vector<double> &bin = dayProfile_[binAt(now)];
    if (bin.empty()) {
        bin = shares;
    } else {
        constexpr double kProfileWeight = 0.2;
        updateAverage(bin, shares, kProfileWeight);
    }
    countsPerPeriod_ = sum;
    lastCountsAt_ = now;
}

double PopularityEstimate::noise() const
{
    if (countsPerPeriod_ <= 0.0) {
        return 1.0;
    }
    // The counts are approximately Poisson distributed; the fast average smooths the noise over its
    // half-life.
    const double mean = 1.0 / static_cast<double>(fastAverage_.size());
    return std::sqrt(mean / countsPerPeriod_);
}

std::vector<double> PopularityEstimate::shares() const
{
    std::vector<double> shares(fastAverage_.size());
    const double noiseLevel = noise();
    for (std::size_t index = 0; index < shares.size(); ++index) {
        const double difference = std::abs(fastAverage_[index] - slowAverage_[index]);
        const double weight = difference / (difference + noiseLevel);
        shares[index] = weight * fastAverage_[index] + (1.0 - weight) * slowAverage_[index];
    }
    normalise(shares);
    return shares;
}

std::vector<double> PopularityEstimate::forecast(Duration ahead) const
{
    std::vector<double> shares = this->shares();
    const std::vector<double> &currentBin = dayProfile_[binAt(lastCountsAt_)];
    const std::vector<double> &targetBin = dayProfile_[binAt(lastCountsAt_ + ahead)];
    if (currentBin.empty() || targetBin.empty()) {
        return shares;
    }
    for (std::size_t index = 0; index < shares.size(); ++index) {
        // A daily swing causes large differences; drift causes small ones and varies by day.
        const double profileChange = targetBin[index] - currentBin[index];
        const double relative = profileChange / std::max(currentBin[index], 1e-9);
        const double weight =
            relative * relative / (relative * relative + kDriftFraction * kDriftFraction);
        shares[index] =
            std::max(0.0, shares[index] + settings_.profileWeight * weight * profileChange);
    }
    normalise(shares);
    return shares;
}

void RankSpeedEstimate::addStep(std::span<const double> tokens, std::span<const double> seconds)
{
    std::vector<double> speeds(speeds_.size(), 0.0);
    for (std::size_t rank = 0; rank < speeds.size(); ++rank) {
        speeds[rank] = seconds[rank] > 0.0 ? tokens[rank] / seconds[rank] : 0.0;
    }
    std::vector<double> sorted = speeds;
    std::nth_element(sorted.begin(),
                     sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2), sorted.end());
    const double median = sorted[sorted.size() / 2];
    if (median <= 0.0) {
        return;
    }
    for (std::size_t rank = 0; rank < speeds.size(); ++rank) {
        speeds_[rank] += kSpeedSmoothing * (speeds[rank] / median - speeds_[rank]);
    }
}

std::vector<std::size_t> RankSpeedEstimate::ranksSlowerThan(double fraction) const
{
    std::vector<std::size_t> slow;
    for (std::size_t rank = 0; rank < speeds_.size(); ++rank) {
        if (speeds_[rank] < fraction) {
            slow.push_back(rank);
        }
    }
    return slow;
}

} // namespace seamarch
