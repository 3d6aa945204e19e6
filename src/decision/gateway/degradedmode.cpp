#include "decision/gateway/degradedmode.h"

#include <algorithm>
#include <utility>

namespace seamarch {

DegradedMode::Change DegradedMode::onPeriod(double pauseRatio, std::uint32_t inFlight,
                                            TimePoint now)
{
    if (pauseRatio <= 0.0) {
        return Change::None;
    }
    if (isActive()) {
        if (!mayEnd(pauseRatio, now)) {
            return Change::None;
        }
        shortestRatio_.reset();
        return Change::Ended;
    }
    if (pauseRatio < settings_.minRatio) {
        run_.clear();
        return Change::None;
    }
    run_.push_back({pauseRatio, inFlight, now});
    shortestRatio_ = unresponsiveRatio(now);
    if (!isActive()) {
        return Change::None;
    }
    run_.clear();
    beganAt_ = now;
    shortBefore_ = false;
    return Change::Begun;
}

// Returns whether the mode may end: two periods in a row had short pauses, or it is to be judged
// anew.
bool DegradedMode::mayEnd(double pauseRatio, TimePoint now)
{
    shortestRatio_ = std::min(*shortestRatio_, pauseRatio);
    const bool isShort = pauseRatio <= settings_.endRatio;
    const bool wasShort = std::exchange(shortBefore_, isShort);
    return (isShort && wasShort) || now - beganAt_ >= settings_.maxTime;
}

// Returns the shortest pause of late if it did not shorten with the number of streams, or if there
// are only the fewest.
std::optional<double> DegradedMode::unresponsiveRatio(TimePoint now) const
{
    if (now - run_.front().at < settings_.confirmTime) {
        return std::nullopt;
    }
    const auto isRecent = [&](const Sample &sample) {
        return now - sample.at < settings_.shiftTime;
    };
    const auto recent = std::find_if(run_.begin(), run_.end(), isRecent);
    const auto most =
        std::max_element(run_.begin(), recent, [](const auto &left, const auto &right) {
            return left.inFlight < right.inFlight;
        });
    const auto shortest =
        std::min_element(recent, run_.end(), [](const auto &left, const auto &right) {
            return left.pauseRatio < right.pauseRatio;
        });
    const double fraction = static_cast<double>(shortest->inFlight) / std::max(1U, most->inFlight);
    const double expected =
        settings_.fixedShare + (most->pauseRatio - settings_.fixedShare) * fraction;
    const bool fewest = std::all_of(run_.begin(), run_.end(), [this](const Sample &sample) {
        return sample.inFlight <= settings_.fewestStreams;
    });
    const bool fell = fraction <= 1.0 - settings_.minFall;
    const bool responded = shortest->pauseRatio < (most->pauseRatio + expected) / 2.0;
    return fewest || (fell && !responded) ? std::optional(shortest->pauseRatio) : std::nullopt;
}

double DegradedMode::acceptedRatio(const Bearable &bearable) const
{
    const double shortest = shortestRatio_.value_or(1.0);
    double accepted = settings_.acceptedFactor * shortest;
    if (bearable.usual >= shortest) {
        accepted = std::min(accepted, bearable.usual);
    }
    return bearable.longest > 0.0 ? std::min(accepted, bearable.longest) : accepted;
}

} // namespace seamarch
