#include "decision/routing/loadestimate.h"

#include <algorithm>

namespace seamarch {

void LoadEstimate::onReport(double pendingTokens, double tokensPerSecond, TimePoint askedAt)
{
    reported_ = pendingTokens;
    tokensPerSecond_ = tokensPerSecond;
    reportedAt_ = askedAt;
    sentSince_ = 0.0;
    for (const auto &[id, sent] : inFlight_) {
        if (sent.at >= askedAt) {
            sentSince_ += sent.tokens;
        }
    }
}

void LoadEstimate::onSent(RequestId id, double tokens, TimePoint now)
{
    inFlight_[id] = {tokens, now};
    sentSince_ += tokens;
}

void LoadEstimate::onEnded(RequestId id)
{
    const auto found = inFlight_.find(id);
    if (found == inFlight_.end()) {
        return;
    }
    const Sent &sent = found->second;
    if (sent.at >= reportedAt_) {
        sentSince_ = std::max(0.0, sentSince_ - sent.tokens);
    }
    inFlight_.erase(found);
}

void LoadEstimate::reset()
{
    inFlight_.clear();
    sentSince_ = 0.0;
    reported_ = 0.0;
}

double LoadEstimate::pending(TimePoint now) const
{
    const double worked = toSeconds(now - reportedAt_) * tokensPerSecond_;
    return std::max(0.0, reported_ - worked) + sentSince_;
}

} // namespace seamarch
