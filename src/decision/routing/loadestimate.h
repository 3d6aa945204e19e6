// Estimates the current load of one agent from its last load report and this entry's own requests.
//
// A report describes what was queued and running when it was made. Until the next report arrives,
// the estimate adds the requests that this entry sends, subtracts those that end, and lets the
// reported queue drain at the reported rate. Costs are in the unit of requestcost.h.
//
// The class is pure and single-threaded; each agent has its own object.
#pragma once

#include "decision/membership/membertable.h"
#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <unordered_map>

namespace seamarch {

class LoadEstimate
{
public:
    // Replaces the last report by one that was requested at `requestedAt`. Requests sent since then
    // are counted in addition to it.
    void onReport(const AgentReport &report, TimePoint requestedAt);
    // Records that this entry sent a request of the given cost to the agent.
    void onSent(RequestId id, double cost, TimePoint now);
    // Records that a request sent by this entry has ended. Ignores unknown requests.
    void onEnded(RequestId id);
    // Discards the report and the requests in flight, because the agent has a new incarnation.
    void reset();

    // Returns the estimated cost of all requests that are queued or running at `now`.
    double pendingCost(TimePoint now) const;
    // Returns the estimated number of free slots; negative if the queued and running requests
    // outnumber the slots.
    double freeSlots() const;
    // Returns the expected time until a request that is sent at `now` starts to run.
    Duration expectedWait(TimePoint now) const;
    // Returns the number of this entry's requests that have not ended.
    std::uint32_t inFlight() const { return static_cast<std::uint32_t>(inFlight_.size()); }

private:
    struct SentRequest
    {
        double cost = 0.0;
        TimePoint sentAt;
    };

    // Returns the cost that the agent processes per second.
    double processingRate() const;
    // Returns the part of the reported queue that has not been processed at `now`.
    double queuedCost(TimePoint now) const;

    AgentReport report_;
    TimePoint reportRequestedAt_{};
    // Cost and number of the requests sent after the report was requested and not yet ended.
    double costSinceReport_ = 0.0;
    std::uint32_t sentSinceReport_ = 0;
    std::uint32_t endedSinceReport_ = 0; // Ended requests that the report still counts.
    std::unordered_map<RequestId, SentRequest> inFlight_;
};

} // namespace seamarch
