#include "decision/retry/outlierdetector.h"

#include <algorithm>
#include <cmath>

namespace seamarch {

void OutlierDetector::onSuccess(const InstanceId &agent)
{
    states_.erase(agent);
}

void OutlierDetector::reset(const InstanceId &agent)
{
    states_.erase(agent);
}

void OutlierDetector::onFailure(const InstanceId &agent, TimePoint now)
{
    constexpr std::uint32_t kMaxDoublings = 10;
    State &state = states_[agent];
    ++state.failures;
    const std::uint32_t threshold = state.ejections == 0 ? settings_.consecutiveFailures : 1;
    if (state.failures < threshold || now < state.ejectedUntil) {
        return;
    }
    const auto doublings = std::min(state.ejections, kMaxDoublings);
    const Duration duration = settings_.baseEjectionTime * (1LL << doublings);
    state.ejectedUntil = now + std::min(duration, settings_.maxEjectionTime);
    ++state.ejections;
    state.failures = 0;
}

bool OutlierDetector::isEjected(const InstanceId &agent, TimePoint now) const
{
    const auto found = states_.find(agent);
    return found != states_.end() && now < found->second.ejectedUntil;
}

std::vector<InstanceId> OutlierDetector::filterCandidates(const std::vector<InstanceId> &candidates,
                                                          TimePoint now) const
{
    std::vector<InstanceId> kept;
    std::vector<InstanceId> ejected;
    for (const InstanceId &agent : candidates) {
        (isEjected(agent, now) ? ejected : kept).push_back(agent);
    }
    const auto count = static_cast<double>(candidates.size());
    const auto minKept =
        static_cast<std::size_t>(std::ceil(count * (1.0 - settings_.maxEjectedFraction)));
    std::sort(ejected.begin(), ejected.end(),
              [this](const InstanceId &left, const InstanceId &right) {
                  return states_.at(left).ejectedUntil < states_.at(right).ejectedUntil;
              });
    for (const InstanceId &agent : ejected) {
        if (kept.size() >= minKept) {
            break;
        }
        kept.push_back(agent);
    }
    return kept;
}

} // namespace seamarch
