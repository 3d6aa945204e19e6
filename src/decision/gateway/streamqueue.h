// The streams of one service that wait for a place, in the order in which they get one.
//
// A more urgent stream goes first. Among equals, one that can still begin in time for its caller
// goes before one that cannot: a place that comes too late for the first of a queue is worth more
// to the next, and the first is late either way. Of those that are late, callers that were refused
// before go first, because they do not come a third time; then the oldest.
//
// Pure and single-threaded.
#pragma once

#include "seamarch/units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>

namespace seamarch {

// Names one request within one life of a gateway.
using RequestNumber = std::uint64_t;

class StreamQueue
{
public:
    struct Entry
    {
        RequestNumber number = 0; // Rises with arrival.
        std::uint8_t priority = 0;
        bool isRetry = false;      // Its caller was refused before.
        TimePoint startDeadline{}; // A start after this is too late for the caller's goal.
    };

    void add(const Entry &entry, TimePoint now);
    void remove(RequestNumber number);
    // Returns the stream that goes next; nothing when none waits.
    std::optional<Entry> next(TimePoint now);
    // Takes it out.
    std::optional<RequestNumber> takeNext(TimePoint now);
    // Returns how many would go before `entry`.
    std::size_t countAhead(const Entry &entry, TimePoint now);
    std::size_t size() const { return entries_.size(); }
    bool empty() const { return entries_.empty(); }

private:
    // What a stream may still expect, the best first.
    enum class Timeliness : std::uint8_t { InTime, LateRetry, Late };

    using Key = std::tuple<std::uint8_t, Timeliness, RequestNumber>;

    static Key sortKey(const Entry &entry, TimePoint now);
    void demoteLate(TimePoint now);

    std::unordered_map<RequestNumber, Entry> entries_;
    std::map<Key, RequestNumber> order_;
    // Streams that could begin in time when they were last looked at, by the end of that.
    std::multimap<TimePoint, RequestNumber> startDeadlines_;
};

} // namespace seamarch
