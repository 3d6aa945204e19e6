#include "decision/gateway/pausehistory.h"

#include <algorithm>

namespace seamarch {
namespace {

// Each number of streams that is tried is this much larger than the one before.
constexpr double kStep = 1.06;
// Of one served stream among those that set the mean number of pauses.
constexpr double kServedWeight = 0.02;

} // namespace

PauseHistory::Moment &PauseHistory::momentAt(TimePoint now)
{
    const std::int64_t number = now.time_since_epoch() / settings_.moment;
    if (moments_.empty() || moments_.back().number < number) {
        Moment moment;
        moment.number = number;
        moments_.push_back(moment);
        forget(now);
    }
    return moments_.back();
}

void PauseHistory::forget(TimePoint now)
{
    const std::int64_t oldest = (now - settings_.reach).time_since_epoch() / settings_.moment;
    while (!moments_.empty() && moments_.front().number < oldest) {
        moments_.pop_front();
    }
}

void PauseHistory::onPause(double part, std::uint32_t inFlight, Duration goal, TimePoint now)
{
    Moment &moment = momentAt(now);
    moment.longest = std::max(moment.longest, part);
    moment.sum += part;
    ++moment.pauses;
    moment.inFlight = std::max(moment.inFlight, static_cast<double>(inFlight));
    goalSeconds_ = toSeconds(goal);
}

void PauseHistory::onServed(std::uint32_t pauses)
{
    pausesPerStream_ += kServedWeight * (pauses - pausesPerStream_);
}

void PauseHistory::onDemand(TimePoint now)
{
    ++momentAt(now).demand;
}

// Returns how many times as long a pass of `moment` would have taken with `streams` in flight.
double PauseHistory::scale(const Moment &moment, double streams) const
{
    return (fixedCost_ + streams) / (fixedCost_ + std::max(1.0, moment.inFlight));
}

// Tells whether a stream that begins at a moment would have had no pause over its goal.
bool PauseHistory::inTime(std::size_t from, double streams) const
{
    double left = pausesPerStream_;
    for (std::size_t index = from; index < moments_.size() && left > 0.0; ++index) {
        const Moment &moment = moments_[index];
        if (moment.pauses == 0) {
            continue;
        }
        const double factor = scale(moment, streams);
        if (moment.longest * factor > settings_.tooLong) {
            return false;
        }
        left -= toSeconds(settings_.moment) / (moment.mean() * factor * goalSeconds_);
    }
    return true;
}

// Returns what callers are served in a second with `streams` in flight.
double PauseHistory::valueOf(double streams) const
{
    double pause = 0.0;
    std::uint32_t demand = 0;
    std::size_t heard = 0;
    std::size_t good = 0;
    for (std::size_t index = 0; index < moments_.size(); ++index) {
        const Moment &moment = moments_[index];
        demand += moment.demand;
        if (moment.pauses == 0) {
            continue;
        }
        ++heard;
        pause += moment.mean() * scale(moment, streams) * goalSeconds_;
        good += inTime(index, streams) ? 1U : 0U;
    }
    const double seconds =
        toSeconds(settings_.moment)
        * static_cast<double>(moments_.back().number - moments_.front().number + 1);
    const double life = pausesPerStream_ * pause / static_cast<double>(heard);
    const double served = std::min(demand / seconds, streams / life);
    const double part = static_cast<double>(good) / static_cast<double>(heard);
    return served * (part + settings_.lateWorth * (1.0 - part));
}

double PauseHistory::best(double most, TimePoint now)
{
    forget(now);
    const auto heard = std::count_if(moments_.begin(), moments_.end(),
                                     [](const Moment &moment) { return moment.pauses > 0; });
    if (heard * settings_.moment < settings_.leastReach || goalSeconds_ <= 0.0) {
        return most;
    }
    double best = most;
    double bestValue = valueOf(most);
    // From the largest down: of two that serve alike, the larger leaves more room.
    for (double streams = most / kStep; streams >= settings_.least; streams /= kStep) {
        const double value = valueOf(streams);
        if (value > bestValue) {
            bestValue = value;
            best = streams;
        }
    }
    return best;
}

} // namespace seamarch
