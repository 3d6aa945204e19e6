// Corrects an agent's lagged load report with what this entry has sent to it and heard since.
//
// A report says what was queued and running when it was made. Until the next one arrives, the entry
// adds each request that it sends, takes away each that ends, and lets the reported queue shrink at
// the reported rate.
//
// The class is pure and single-threaded; one object for each agent.
#pragma once

#include "decision/membership/membertable.h"
#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <unordered_map>

namespace seamarch {

class LoadEstimate
{
public:
    // A report that was asked for at `askedAt` has arrived.
    void onReport(const AgentReport &report, TimePoint askedAt);
    void onSent(RequestId id, double cost, TimePoint now);
    void onEnded(RequestId id);
    // Forgets what is in flight, because the agent is a new incarnation.
    void reset();

    // Returns the estimated cost of all that is queued or running at `now`.
    double pendingCost(TimePoint now) const;
    // Returns the estimated number of slots that a new request would find free; may be negative.
    double freeSlots() const;
    // Returns how long a request that is sent now is expected to wait for its start.
    Duration expectedWait(TimePoint now) const;
    std::uint32_t inFlight() const { return static_cast<std::uint32_t>(inFlight_.size()); }

private:
    struct SentRequest
    {
        double cost = 0.0;
        TimePoint sentAt;
    };

    double processingRate() const;
    double queuedCost(TimePoint now) const;

    AgentReport report_;
    TimePoint reportRequestedAt_{};
    // Sent after the report was asked for and not yet ended.
    double costSinceReport_ = 0.0;
    std::uint32_t sentSinceReport_ = 0;
    std::uint32_t endedSinceReport_ = 0; // Of those that the report counts.
    std::unordered_map<RequestId, SentRequest> inFlight_;
};

} // namespace seamarch
