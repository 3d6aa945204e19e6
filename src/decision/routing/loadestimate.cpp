#include "decision/routing/loadestimate.h"

#include <algorithm>

namespace seamarch {
namespace {

// Processing rate that is assumed until the agent reports its own.
constexpr double kDefaultTokensPerSecond = 1000.0;

} // namespace

void LoadEstimate::onReport(const AgentReport &report, TimePoint requestedAt)
{
    report_ = report;
    reportRequestedAt_ = requestedAt;
    costSinceReport_ = 0.0;
    sentSinceReport_ = 0;
    endedSinceReport_ = 0;
    for (const auto &[id, sent] : inFlight_) {
        if (sent.sentAt >= requestedAt) {
            costSinceReport_ += sent.cost;
            ++sentSinceReport_;
        }
    }
}

void LoadEstimate::onSent(RequestId id, double cost, TimePoint now)
{
    inFlight_[id] = {cost, now};
    costSinceReport_ += cost;
    ++sentSinceReport_;
}

void LoadEstimate::onEnded(RequestId id)
{
    const auto found = inFlight_.find(id);
    if (found == inFlight_.end()) {
        return;
    }
    const SentRequest &sent = found->second;
    if (sent.sentAt >= reportRequestedAt_) {
        costSinceReport_ = std::max(0.0, costSinceReport_ - sent.cost);
        sentSinceReport_ -= sentSinceReport_ > 0 ? 1 : 0;
    } else {
        ++endedSinceReport_;
    }
    inFlight_.erase(found);
}

void LoadEstimate::reset()
{
    inFlight_.clear();
    report_ = {};
    costSinceReport_ = 0.0;
    sentSinceReport_ = 0;
    endedSinceReport_ = 0;
}

double LoadEstimate::processingRate() const
{
    return report_.tokensPerSecond > 0.0 ? report_.tokensPerSecond : kDefaultTokensPerSecond;
}

double LoadEstimate::queuedCost(TimePoint now) const
{
    const double processed = toSeconds(now - reportRequestedAt_) * processingRate();
    return std::max(0.0, static_cast<double>(report_.queuedTokens) - processed);
}

double LoadEstimate::pendingCost(TimePoint now) const
{
    const double processed = toSeconds(now - reportRequestedAt_) * processingRate();
    const auto reported = static_cast<double>(report_.queuedTokens + report_.runningTokens);
    return std::max(0.0, reported - processed) + costSinceReport_;
}

double LoadEstimate::freeSlots() const
{
    const double usedSlots = static_cast<double>(report_.runningRequests) + report_.queuedRequests
                             + sentSinceReport_ - endedSinceReport_;
    return static_cast<double>(report_.slots) - std::max(0.0, usedSlots);
}

Duration LoadEstimate::expectedWait(TimePoint now) const
{
    if (freeSlots() >= 1.0) {
        return {};
    }
    // A new request waits for all queued requests and then for the first slot to become free.
    const double slots = std::max<double>(1.0, report_.slots);
    const double costUntilFreeSlot = static_cast<double>(report_.runningTokens) / slots;
    return fromSeconds((queuedCost(now) + costSinceReport_ + costUntilFreeSlot) / processingRate());
}

} // namespace seamarch
