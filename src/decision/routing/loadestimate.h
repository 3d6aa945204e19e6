// Corrects an agent's lagged load report with what this entry has sent to it and heard since.
//
// A report says what was queued and running when it was made. Until the next one arrives, the entry
// adds the tokens of each request that it sends, takes away those of each that ends, and lets the
// reported backlog shrink at the reported rate.
//
// The class is pure and single-threaded; one object for each agent.
#pragma once

#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <deque>
#include <unordered_map>

namespace seamarch {

class LoadEstimate
{
public:
    // A report that was asked for at `askedAt` has arrived.
    void onReport(double pendingTokens, double tokensPerSecond, TimePoint askedAt);
    void onSent(RequestId id, double tokens, TimePoint now);
    void onEnded(RequestId id);
    // Forgets what is in flight, because the agent is a new incarnation.
    void reset();

    // Returns the estimate of the tokens that are queued or running at `now`.
    double pending(TimePoint now) const;
    double tokensPerSecond() const { return tokensPerSecond_; }
    std::uint32_t inFlight() const { return static_cast<std::uint32_t>(inFlight_.size()); }

private:
    struct Sent
    {
        double tokens = 0.0;
        TimePoint at;
    };

    double reported_ = 0.0;
    double tokensPerSecond_ = 0.0;
    TimePoint reportedAt_{};
    double sentSince_ = 0.0; // Tokens sent after the report was asked for and not yet ended.
    std::unordered_map<RequestId, Sent> inFlight_;
};

} // namespace seamarch
