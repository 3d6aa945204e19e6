// The prompt parts that upstreams have answered, with the time of the last answer.
//
// A part that was answered before is a less likely cause of a crash than a new one. Bounded: when
// it is full, it forgets the part that was answered least recently.
//
// Performs no I/O, reads no clock, and is not thread-safe.
#pragma once

#include "decision/retry/suspectkey.h"
#include "seamarch/units.h"

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>

namespace seamarch {

class AnsweredParts
{
public:
    explicit AnsweredParts(std::size_t capacity);

    // Records that an upstream answered a request with the part.
    void record(const SuspectKey &part, TimePoint now);
    // Returns the last time that was recorded, or nullopt if there is none.
    std::optional<TimePoint> lastAnsweredAt(const SuspectKey &part) const;
    std::size_t size() const { return entries_.size(); }

private:
    struct Entry
    {
        SuspectKey part;
        TimePoint answeredAt{};
    };

    std::size_t capacity_;
    std::list<Entry> entries_; // The most recently answered part first.
    std::unordered_map<SuspectKey, std::list<Entry>::iterator> positions_;
};

} // namespace seamarch
