#include "decision/gateway/serviceavailability.h"

#include <algorithm>
#include <utility>

namespace seamarch {
namespace {

// Window of the start rate.
constexpr Duration kStartWindow = std::chrono::seconds(1);

// Weight of a new sample in the usual start rate: it averages over about as long as the window.
constexpr double kUsualRateWeight = 0.05;

} // namespace

bool ServiceAvailability::acceptsNone(const GroupSelector &selector, const GroupTable &table,
                                      TimePoint now)
{
    const auto &groups = selector.all();
    return !groups.empty() && std::all_of(groups.begin(), groups.end(), [&](const auto &entry) {
        const auto &[group, tracker] = entry;
        return tracker.isRefusing(now) || tracker.mayBeForming(now) || table.isClosed(group, now);
    });
}

void ServiceAvailability::onState(const GroupSelector &selector, const GroupTable &table,
                                  TimePoint now)
{
    for (const auto &[group, tracker] : selector.all()) {
        GroupState &state =
            groups_.try_emplace(group, GroupState{OutageHistory(settings_), {}}).first->second;
        if (!tracker.isStalled()) {
            state.stalledSince.reset();
        } else if (!state.stalledSince) {
            state.stalledSince = now;
        }
        // A group that refuses after a stall has been out since the stall began.
        const bool down = tracker.isRefusing(now) || table.isClosed(group, now);
        const TimePoint since =
            std::min(state.stalledSince.value_or(now), tracker.refusingSince().value_or(now));
        state.history.onState(!down, down ? since : now);
    }
    std::erase_if(groups_,
                  [&](const auto &entry) { return selector.find(entry.first) == nullptr; });
    opensSoon_ = selector.opensSoon(table, now);
    const bool isOut = acceptsNone(selector, table, now);
    const bool wasOut = std::exchange(wasOut_, isOut);
    if (isOut) {
        openedAt_.reset();
    } else if (wasOut) {
        openedAt_ = now;
    }
    if (!isOut && !hasJustOpened(now)) {
        usualStartRate_ += (startRate(now) - usualStartRate_) * kUsualRateWeight;
    }
}

bool ServiceAvailability::hasJustOpened(TimePoint now) const
{
    return openedAt_ && now - *openedAt_ < kStartWindow;
}

Duration ServiceAvailability::shortestWait(std::size_t queued, TimePoint now) const
{
    if (recentStarts_.empty()) {
        return {};
    }
    return (now - recentStarts_.front()) * static_cast<Duration::rep>(queued)
           / static_cast<Duration::rep>(recentStarts_.size());
}

double ServiceAvailability::startRate(TimePoint now)
{
    while (!recentStarts_.empty() && now - recentStarts_.front() > kStartWindow) {
        recentStarts_.pop_front();
    }
    const auto recent = static_cast<double>(recentStarts_.size());
    return std::max({1.0, recent, hasJustOpened(now) ? usualStartRate_ : 0.0});
}

Duration ServiceAvailability::outageAge(TimePoint now) const
{
    Duration age = Duration::max();
    for (const auto &[group, state] : groups_) {
        age = std::min(age, state.history.age(now).value_or(Duration{}));
    }
    return groups_.empty() ? Duration{} : age;
}

double ServiceAvailability::opensWithin(Duration time, TimePoint now) const
{
    if (opensSoon_) {
        return 1.0;
    }
    double chance = 0.0;
    for (const auto &[group, state] : groups_) {
        chance = std::max(chance, state.history.endsWithin(time, now));
    }
    return chance;
}

Duration ServiceAvailability::expectedOutageLeft(Duration longest, TimePoint now) const
{
    constexpr double kProbable = 0.75;
    constexpr Duration kStep = std::chrono::milliseconds(100);
    for (Duration time = kStep; time <= longest; time += kStep) {
        if (opensWithin(time, now) >= kProbable) {
            return time;
        }
    }
    return {};
}

} // namespace seamarch
