// Records which orders the agent beside a rank has forwarded to its engine, so that the agent can
// state which orders the engine cannot have received (see GroupDecider).
//
// Nothing is known about orders from before the process started. The agent reports a version as
// unarmed only if the engine has stated to this process, before the prepare, that it had not copied
// that version: then no arm of that version can have been sent yet, and all later orders passed
// through this process. Nor is a version reported as unarmed if the one before it was not in use by
// then: another decider may have armed that one at a rank that still copies the later one, and its
// arm outlasts the copying.
//
// Performs no I/O; not thread-safe.
#pragma once

#include "decision/expertmap/groupdecider.h"

#include <cstdint>

namespace seamarch {

// The record of forwarded orders of the current epoch.
class ForwardedOrders
{
public:
    // Returns whether the order may be forwarded to the engine, and records it if so. An order with
    // a lower fence than an earlier order must not be forwarded: the engine would refuse it, and
    // this agent may have reported that it has not forwarded such an order.
    bool admit(const MapOrder &order);

    // Records a report of the engine that `prepared` is the last version it has copied and `map`
    // the one in use.
    void recordReport(std::uint64_t epoch, std::uint64_t prepared, std::uint64_t map);

    // Returns the version of `epoch` for which a prepare but no arm was forwarded, or zero if there
    // is none.
    std::uint64_t unarmedVersion(std::uint64_t epoch) const
    {
        return epoch == epoch_ ? unarmedVersion_ : 0;
    }
    // Returns the highest fence among the forwarded orders.
    std::uint64_t highestFence() const { return fence_; }

private:
    std::uint64_t fence_ = 0;
    std::uint64_t epoch_ = 0;           // The epoch of the members below.
    std::uint64_t highestPrepared_ = 0; // Highest version copied or in a prepare.
    std::uint64_t mapInUse_ = 0;        // From the engine's last report.
    bool engineReported_ = false;       // The engine has reported in this epoch.
    std::uint64_t unarmedVersion_ = 0;  // Version of the last prepare until its arm.

    void enterEpoch(std::uint64_t epoch);
};

} // namespace seamarch
