// An agent's record of the requests it has received, which ensures that each runs at most once
// here.
//
// A cancellation that arrives before the start leaves a tombstone, so that a delayed copy of the
// request does not start. The record is bounded: it evicts the oldest closed requests and keeps,
// for each entry incarnation, the highest evicted counter. Unrecorded requests with that counter or
// a lower one are refused. Refusing too many requests is safe, because a refusal correctly states
// that this copy did not run.
//
// The class is pure and single-threaded.
#pragma once

#include "seamarch/ids.h"

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace seamarch {

// The state of a request in the ledger.
enum class RunState {
    Unknown,   // Never received.
    Queued,    // Accepted but not started.
    Started,   // Running.
    Finished,  // Has run.
    Tombstone, // Cancelled or withdrawn before its start; must not start.
    Evicted    // Not recorded, with a counter up to the highest evicted one; may have run.
};

class RunLedger
{
public:
    // `capacity` is the maximum number of closed requests (Finished or Tombstone) that are kept.
    explicit RunLedger(std::size_t capacity);

    RunState state(RequestId id) const;
    // Records an accepted request as Queued. Returns false and records nothing unless the request
    // is Unknown.
    bool enqueue(RequestId id);
    // Records the start of a request. Returns false and changes nothing unless it is Queued.
    bool start(RequestId id);
    // Records that a started request has ended.
    void finish(RequestId id);
    // Cancels a request that has not started and leaves a tombstone. Returns true if the request
    // certainly has not run and will not run here.
    bool cancel(RequestId id);
    // Replaces an accepted request that has not started by a tombstone.
    void withdraw(RequestId id);

    // Returns the number of requests that are recorded individually.
    std::size_t size() const { return states_.size(); }
    // Returns the number of entry incarnations that have had requests evicted.
    std::size_t incarnationsWithEvictions() const { return evictedUpTo_.size(); }

private:
    void close(RequestId id, RunState state);
    void evictOldest();

    std::size_t capacity_;
    std::unordered_map<RequestId, RunState> states_;
    std::deque<RequestId> closedOrder_; // Oldest first.
    // Highest evicted counter by entry incarnation. Never shrinks: each incarnation takes 16 bytes,
    // so at 140 replacements a day an agent that runs for a year keeps less than 2 MB.
    std::unordered_map<Incarnation, std::uint64_t> evictedUpTo_;
};

} // namespace seamarch
