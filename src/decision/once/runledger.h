// The agent's record of every request that it has heard of, so that each runs at most once here.
//
// A request is unknown, queued, started or finished, or it has a tombstone. A tombstone is left by
// a cancel that came before the start: a late copy of the request then does not start. The record
// is bounded: the oldest closed entries are forgotten, and a floor per entry incarnation refuses
// every counter at or below the highest forgotten one. Refusing too much is safe, because a refusal
// says truthfully that this copy did not run.
//
// The class is pure and single-threaded.
#pragma once

#include "seamarch/ids.h"

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace seamarch {

// What the ledger knows of a request.
enum class RunState { Unknown, Queued, Started, Finished, Tombstone, Evicted };

class RunLedger
{
public:
    // `capacity` bounds the number of closed requests that are remembered one by one.
    explicit RunLedger(std::size_t capacity);

    RunState state(RequestId id) const;
    // Records a request that was accepted. Returns false, and records nothing, unless it is
    // Unknown.
    bool enqueue(RequestId id);
    // Records the start. Returns false unless the request is Queued.
    bool start(RequestId id);
    // Records the end of a started request.
    void finish(RequestId id);
    // Cancels. Returns true when it is proved that the request did not and will not run here.
    bool cancel(RequestId id);
    // Takes back an accepted request that has not started; leaves a tombstone.
    void withdraw(RequestId id);

    std::size_t size() const { return states_.size(); }
    // Returns the number of entry incarnations that have a floor.
    std::size_t incarnationsWithEvictions() const { return evictedUpTo_.size(); }

private:
    void close(RequestId id, RunState state);
    void evictOldest();

    std::size_t capacity_;
    std::unordered_map<RequestId, RunState> states_;
    std::deque<RequestId> closedOrder_; // Oldest first.
    // Sixteen bytes for each incarnation of an entry that was ever met: at 140 replacements a day
    // an agent that lives for a year keeps less than two megabytes of them.
    std::unordered_map<Incarnation, std::uint64_t> evictedUpTo_;
};

} // namespace seamarch
