// What the agent beside a rank remembers of the orders that it has handed to its engine, so that it
// can vouch for what the engine has not been told (see GroupDecider).
//
// It remembers nothing of the time before its process started. It vouches for a version only if the
// engine has told this process, before the prepare, that it had not copied that version: no arm of
// it can have been sent by then, and all that came later came through this process.
//
// Pure and single-threaded.
#pragma once

#include "decision/expertmap/groupdecider.h"

#include <cstdint>

namespace seamarch {

class ForwardedOrders
{
public:
    // Tells whether the order may be handed to the engine, and remembers it if so. One under a
    // lower fence than an earlier one may not: the engine would refuse it, and this agent may have
    // vouched that it has handed on no such order.
    bool admit(const MapOrder &order);

    // The engine has reported that `prepared` is the last version that it has copied.
    void recordReport(std::uint64_t epoch, std::uint64_t prepared);

    // Returns the version of `epoch` that was prepared and of which no arm was handed over; zero
    // when there is none.
    std::uint64_t unarmedVersion(std::uint64_t epoch) const
    {
        return epoch == epoch_ ? unarmedVersion_ : 0;
    }
    // Returns the highest fence that was handed over.
    std::uint64_t highestFence() const { return fence_; }

private:
    std::uint64_t fence_ = 0;
    std::uint64_t epoch_ = 0; // Of what follows.
    std::uint64_t highestPrepared_ =
        0;                        // The highest version that was copied, or handed over for it.
    bool engineReported_ = false; // The engine has.
    std::uint64_t unarmedVersion_ = 0; // The version of the last prepare, until it is armed.

    void startEpoch(std::uint64_t epoch);
};

} // namespace seamarch
