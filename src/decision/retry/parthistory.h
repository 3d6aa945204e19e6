// The prompt parts of recent requests: how many requests had them, and when an upstream last
// answered one of these.
//
// A part that was answered lately is no likely cause of a crash, and of two new parts the rarer one
// is. Bounded: when it is full, it forgets the part that was used least recently.
//
// Performs no I/O, reads no clock, and is not thread-safe.
#pragma once

#include "decision/retry/suspectkey.h"
#include "seamarch/units.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace seamarch {

class PartHistory
{
public:
    explicit PartHistory(std::size_t capacity);

    // Counts a request with the part.
    void recordRequest(const SuspectKey &part);
    // Records that an upstream answered a request with the part.
    void recordAnswer(const SuspectKey &part, TimePoint now);
    // Returns the number of requests with the part.
    std::uint64_t requests(const SuspectKey &part) const;
    // Returns whether the part has at least half as many requests as the most common one.
    bool isCommon(const SuspectKey &part) const { return 2 * requests(part) >= mostRequests_; }
    // Returns the time of the last answer, or nullopt if there is none.
    std::optional<TimePoint> lastAnsweredAt(const SuspectKey &part) const;
    std::size_t size() const { return entries_.size(); }

private:
    struct Entry
    {
        SuspectKey part;
        std::uint64_t requests = 0;
        std::optional<TimePoint> answeredAt;
    };

    Entry &use(const SuspectKey &part);
    const Entry *find(const SuspectKey &part) const;

    std::size_t capacity_;
    std::uint64_t mostRequests_ = 0; // Of any part.
    std::list<Entry> entries_;       // The most recently used part first.
    std::unordered_map<SuspectKey, std::list<Entry>::iterator> positions_;
};

} // namespace seamarch
