// A queue of the streams of one service that wait for a slot, ordered by priority and deadline.
//
// More urgent streams go first. Among equals, a stream that can still start in time for its caller
// goes before one that is late: a slot is worth more to a stream that can use it in time, and the
// other one is late in any case. Among late streams, retries of callers that were rejected before
// go first, because such callers do not try a third time; then the oldest.
//
// Pure and single-threaded.
#pragma once

#include "decision/gateway/urgency.h"
#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>

namespace seamarch {

// Identifies a request within one run of a gateway process.
using RequestNumber = std::uint64_t;

class StreamQueue
{
public:
    struct Entry
    {
        RequestNumber number = 0; // Increases in order of arrival.
        Urgency urgency;
        bool isRetry = false;      // Its caller was rejected before.
        TimePoint startDeadline{}; // A later start misses the route's latency target.
        // A later start cannot serve the caller at all: it disconnects before the first event, or
        // its deadline passes before the last one.
        TimePoint latestStart = TimePoint::max();
        AccountId account;
        double cost = 1.0; // Expected work, in the unit of requestcost.h.
    };

    void add(const Entry &entry, TimePoint now);
    void remove(RequestNumber number);
    // Returns the next stream without removing it; nullopt if the queue is empty.
    std::optional<Entry> next(TimePoint now);
    // Removes the next stream and returns its number; nullopt if the queue is empty.
    std::optional<RequestNumber> takeNext(TimePoint now);
    // Returns the number of streams that would go before `entry`.
    std::size_t countAhead(const Entry &entry, TimePoint now);
    std::size_t size() const { return entries_.size(); }
    bool empty() const { return entries_.empty(); }

private:
    // Whether a stream can still start in time; in the order of service.
    enum class Timeliness : std::uint8_t { InTime, LateRetry, Late };

    using Key = std::tuple<Urgency, Timeliness, RequestNumber>;

    static Key sortKey(const Entry &entry, TimePoint now);
    void demoteLate(TimePoint now);

    std::unordered_map<RequestNumber, Entry> entries_;
    std::map<Key, RequestNumber> order_;
    // Streams that are in `order_` as InTime, by start deadline.
    std::multimap<TimePoint, RequestNumber> startDeadlines_;
};

} // namespace seamarch
