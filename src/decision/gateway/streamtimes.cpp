#include "decision/gateway/streamtimes.h"

#include <algorithm>

namespace seamarch {
namespace {

// Pauses are averaged over more samples than other times: a stream has many of them, and its
// duration follows from their mean over its whole time.
constexpr int kPauseHistoryFactor = 2;

template <typename Value>
Value average(Value previous, Value sample, int historyWeight)
{
    return (previous * historyWeight + sample) / (historyWeight + 1);
}

} // namespace

void StreamTimes::onFirstEvent(Duration time)
{
    if (meanFirstEvent_ == Duration{}) {
        meanFirstEvent_ = time;
        firstEventDeviation_ = time / 2;
        return;
    }
    const Duration deviation = std::chrono::abs(time - meanFirstEvent_);
    firstEventDeviation_ = average(firstEventDeviation_, deviation, settings_.historyWeight);
    meanFirstEvent_ = average(meanFirstEvent_, time, settings_.historyWeight);
}

void StreamTimes::onPause(Duration pause)
{
    meanPause_ = meanPause_ == Duration{}
                     ? pause
                     : average(meanPause_, pause, settings_.historyWeight * kPauseHistoryFactor);
}

void StreamTimes::onComplete(const RequestSize &size, std::uint32_t events)
{
    const double sample =
        size.answer > 0 ? static_cast<double>(events) / static_cast<double>(size.answer) : events;
    double &mean = size.answer > 0 ? eventsPerToken_ : meanEvents_;
    mean = mean <= 0.0 ? sample : average(mean, sample, settings_.historyWeight);
}

Duration StreamTimes::timeToFirstEvent() const
{
    return meanFirstEvent_;
}

Duration StreamTimes::cautiousTimeToFirstEvent() const
{
    return meanFirstEvent_ + fromSeconds(toSeconds(firstEventDeviation_) * settings_.deviations);
}

Duration StreamTimes::duration(const RequestSize &size) const
{
    const double events =
        size.answer > 0 ? eventsPerToken_ * static_cast<double>(size.answer) : meanEvents_;
    if (events <= 0.0 || meanFirstEvent_ == Duration{} || meanPause_ == Duration{}) {
        return {};
    }
    return meanFirstEvent_ + fromSeconds(toSeconds(meanPause_) * std::max(0.0, events - 1.0));
}

} // namespace seamarch
