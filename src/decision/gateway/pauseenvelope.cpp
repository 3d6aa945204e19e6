#include "decision/gateway/pauseenvelope.h"

#include <algorithm>

namespace seamarch {

void PauseEnvelope::onPeriod(double pauseRatio, std::uint32_t inFlight, TimePoint now)
{
    while (!samples_.empty() && now - samples_.front().at >= settings_.window) {
        samples_.pop_front();
    }
    if (inFlight == 0 || pauseRatio <= 0.0 || pauseRatio > settings_.maxRatio) {
        return;
    }
    detectSurge(pauseRatio, now);
    samples_.push_back({pauseRatio, inFlight, now});
}

void PauseEnvelope::detectSurge(double pauseRatio, TimePoint now)
{
    const bool sameSurge = !surgedAt_.empty() && now - surgedAt_.back() < settings_.surgeTime;
    const bool surges = std::any_of(samples_.begin(), samples_.end(), [&](const Sample &sample) {
        return now - sample.at <= settings_.surgeTime
               && pauseRatio >= settings_.surgeFactor * sample.pauseRatio;
    });
    if (surges && !sameSurge) {
        surgedAt_.push_back(now);
    }
    if (surgedAt_.size() > settings_.minSurges) {
        surgedAt_.pop_front();
    }
}

// Returns whether the last surges and the present time are apart by less than the window.
bool PauseEnvelope::recurs(TimePoint now) const
{
    const auto isApart = [this](TimePoint earlier, TimePoint later) {
        return later - earlier >= settings_.window;
    };
    return surgedAt_.size() == settings_.minSurges && !isApart(surgedAt_.back(), now)
           && std::adjacent_find(surgedAt_.begin(), surgedAt_.end(), isApart) == surgedAt_.end();
}

// Returns the start of the samples that count: the last surge once it is over, until then the whole
// window.
TimePoint PauseEnvelope::countedFrom(TimePoint now) const
{
    const bool isOver = now - surgedAt_.back() >= settings_.surgeTime;
    return isOver ? surgedAt_.back() : now - settings_.window;
}

std::optional<double> PauseEnvelope::safeStreams(double ratio, TimePoint now) const
{
    if (!recurs(now)) {
        return std::nullopt;
    }
    const TimePoint from = countedFrom(now);
    double longest = settings_.fixedShare;
    for (const Sample &sample : samples_) {
        longest = sample.at >= from ? std::max(longest, sample.pauseRatio) : longest;
    }
    const double excess = longest - settings_.fixedShare;
    double sum = 0.0;
    int count = 0;
    for (const Sample &sample : samples_) {
        const double sampleExcess = sample.pauseRatio - settings_.fixedShare;
        if (sample.at >= from && sampleExcess > 0.0
            && sampleExcess >= settings_.longestFraction * excess) {
            sum += sample.inFlight * (ratio - settings_.fixedShare) / sampleExcess;
            ++count;
        }
    }
    return count > 0 ? std::optional(sum / count) : std::nullopt;
}

void PauseEnvelope::clear()
{
    samples_.clear();
    surgedAt_.clear();
}

} // namespace seamarch
