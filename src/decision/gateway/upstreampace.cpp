#include "decision/gateway/upstreampace.h"

#include <algorithm>
#include <cmath>

namespace seamarch {

UpstreamPace::Evidence UpstreamPace::combine(const Evidence &history, double ratio) const
{
    const double kept = settings_.historyWeight / (settings_.historyWeight + 1.0);
    return {history.sum * kept + ratio, history.weight * kept + 1.0};
}

UpstreamPace::Evidence UpstreamPace::fade(const Evidence &evidence, Duration age) const
{
    const double kept = std::exp2(-toSeconds(age) / toSeconds(settings_.fadeHalfTime));
    return {evidence.sum * kept, evidence.weight * kept};
}

// Returns what the upstream's answers and its present wait show.
UpstreamPace::Evidence UpstreamPace::evidenceOf(const Observation &observation, TimePoint now) const
{
    const Evidence answered = fade(observation.answers, now - observation.at);
    if (observation.waitRatio <= 0.0) {
        return answered;
    }
    const Evidence before = fade(observation.answers, observation.waitedAt - observation.at);
    const Evidence waited =
        fade(combine(before, observation.waitRatio), now - observation.waitedAt);
    return cautiousRatio(waited) > cautiousRatio(answered) ? waited : answered;
}

// Returns the ratio under the assumption that the upstream is normal as far as answers are missing.
double UpstreamPace::cautiousRatio(const Evidence &evidence) const
{
    const double missing = std::max(0.0, settings_.fullWeight - evidence.weight);
    return (evidence.sum + missing) / (evidence.weight + missing);
}

// Returns the ratio of the fastest upstreams. With many upstreams the very lowest one is low by
// chance. A single one is compared with the usual time, as nothing is known of the others.
double UpstreamPace::fastestRatio(TimePoint now) const
{
    constexpr std::size_t kFastestPart = 4;
    if (observations_.size() < 2) {
        return 1.0;
    }
    std::vector<double> ratios;
    ratios.reserve(observations_.size());
    for (const auto &[upstream, observation] : observations_) {
        ratios.push_back(cautiousRatio(evidenceOf(observation, now)));
    }
    std::sort(ratios.begin(), ratios.end());
    return ratios[(ratios.size() - 1) / kFastestPart];
}

double UpstreamPace::ratioToUsual(const UsualTime &usual, Duration time) const
{
    const double ratio = toSeconds(time) / std::max(toSeconds(usual.time), 1e-6);
    return std::min(ratio, settings_.maxRatio);
}

void UpstreamPace::updateSlow(TimePoint now)
{
    const double fastest = fastestRatio(now);
    for (auto &[upstream, observation] : observations_) {
        const double ratio = cautiousRatio(evidenceOf(observation, now)) / fastest;
        observation.slow = ratio >= (observation.slow ? settings_.endRatio : settings_.minRatio);
    }
}

void UpstreamPace::onAnswer(const std::string &route, const InstanceId &upstream, Duration time,
                            TimePoint now)
{
    UsualTime &usual = usualTimes_[route];
    if (usual.answers == 0) {
        usual.time = time;
    }
    Observation &observation = observations_[upstream];
    observation.answers =
        combine(fade(observation.answers, now - observation.at), ratioToUsual(usual, time));
    observation.at = now;
    observation.waitRatio = 0.0;
    observation.last = {route, time, usual.time};
    updateSlow(now);
    usual.at = now;
    if (!observation.slow || observations_.size() < 2) {
        usual.time = (usual.answers * usual.time + time) / (usual.answers + 1);
        usual.answers = std::min(usual.answers + 1, settings_.usualHistoryWeight);
    }
}

void UpstreamPace::onWait(const std::string &route, const InstanceId &upstream, Duration time,
                          TimePoint now)
{
    const auto usual = usualTimes_.find(route);
    if (usual == usualTimes_.end() || time <= usual->second.time) {
        return;
    }
    Observation &observation = observations_[upstream];
    const double ratio = ratioToUsual(usual->second, time);
    if (observation.waitRatio > 0.0 && observation.waitedAt == now
        && observation.waitRatio >= ratio) {
        return; // Another request has waited longer.
    }
    observation.waitRatio = ratio;
    observation.waitedAt = now;
    observation.last = {route, time, usual->second.time};
    if (ratio >= settings_.minRatio) {
        updateSlow(now);
    }
}

double UpstreamPace::slowness(const InstanceId &upstream, TimePoint now) const
{
    const auto found = observations_.find(upstream);
    if (found == observations_.end() || !found->second.slow) {
        return 1.0;
    }
    const Evidence evidence = evidenceOf(found->second, now);
    return std::max(1.0, evidence.sum / evidence.weight / fastestRatio(now));
}

void UpstreamPace::expire(TimePoint now)
{
    constexpr int kFadedHalfTimes = 8;
    updateSlow(now);
    std::erase_if(observations_, [&](const auto &entry) {
        const Observation &observation = entry.second;
        const TimePoint latest = std::max(observation.at, observation.waitedAt);
        return !observation.slow && !observation.reportedSlow
               && now - latest > kFadedHalfTimes * settings_.fadeHalfTime;
    });
    std::erase_if(usualTimes_, [&](const auto &entry) {
        return now - entry.second.at > settings_.routeTimeToLive;
    });
}

std::vector<UpstreamPace::Change> UpstreamPace::takeChanges(TimePoint now)
{
    std::vector<Change> changes;
    for (auto &[upstream, observation] : observations_) {
        const bool wasReported = observation.reportedAt != TimePoint{};
        if (observation.slow == observation.reportedSlow
            || (wasReported && now - observation.reportedAt < settings_.reportInterval)) {
            continue;
        }
        observation.reportedSlow = observation.slow;
        observation.reportedAt = now;
        const TimePoint latest = std::max(observation.at, observation.waitedAt);
        changes.push_back({upstream, observation.slow, slowness(upstream, now),
                           observation.last.route, observation.last.time,
                           observation.last.usualTime, now - latest});
    }
    return changes;
}

} // namespace seamarch
