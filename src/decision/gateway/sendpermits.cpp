#include "decision/gateway/sendpermits.h"

#include <algorithm>

namespace seamarch {

bool SendPermits::has(const InstanceId &upstream, TimePoint now) const
{
    const auto found = states_.find(upstream);
    return found != states_.end() && found->second.held > 0 && found->second.expiresAt > now;
}

void SendPermits::consume(const InstanceId &upstream, TimePoint now)
{
    const auto found = states_.find(upstream);
    if (found != states_.end() && has(upstream, now)) {
        --found->second.held;
    }
}

void SendPermits::request(const InstanceId &upstream)
{
    State &state = states_[upstream];
    state.wanted = std::min(state.wanted + 1, settings_.maxWantedPerQuery);
}

bool SendPermits::awaitsAnswer(const State &state, TimePoint now) const
{
    return state.queriedAt != TimePoint{} && now - state.queriedAt < settings_.answerTimeout;
}

bool SendPermits::mayArriveBefore(const InstanceId &upstream, TimePoint end, TimePoint now) const
{
    const auto found = states_.find(upstream);
    return found == states_.end() || awaitsAnswer(found->second, now)
           || found->second.nextQueryAt < end;
}

TimePoint SendPermits::nextQueryAt(const InstanceId &upstream) const
{
    const auto found = states_.find(upstream);
    return found == states_.end() ? TimePoint() : found->second.nextQueryAt;
}

std::vector<SendPermits::Query> SendPermits::takeQueries(TimePoint now)
{
    std::vector<Query> queries;
    for (auto &[upstream, state] : states_) {
        if (state.wanted == 0 || awaitsAnswer(state, now) || state.nextQueryAt > now) {
            continue;
        }
        queries.push_back({upstream, state.wanted});
        state.wanted = 0;
        state.queriedAt = now;
    }
    return queries;
}

void SendPermits::onAnswer(const InstanceId &upstream, const PermitGrant &grant,
                           TimePoint queriedAt, TimePoint now)
{
    const auto found = states_.find(upstream);
    if (found == states_.end() || found->second.queriedAt != queriedAt) {
        return; // The query was given up; its permits stay unused.
    }
    State &state = found->second;
    state.queriedAt = {};
    state.nextQueryAt = now + grant.retryAfter;
    const TimePoint until = queriedAt + settings_.permitTimeToLive;
    if (grant.granted == 0 || until <= now) {
        return;
    }
    state.held = (has(upstream, now) ? state.held : 0) + grant.granted;
    state.expiresAt = until;
}

void SendPermits::expire(TimePoint now)
{
    std::erase_if(states_, [&](const auto &entry) {
        const State &state = entry.second;
        const bool holds = state.held > 0 && state.expiresAt > now;
        return !holds && state.wanted == 0 && !awaitsAnswer(state, now) && state.nextQueryAt <= now;
    });
}

} // namespace seamarch
