// Splits a stream of server-sent events into whole events.
//
// An upstream may break off inside an event. Only whole events go on to the caller, so that another
// upstream can take the stream up after the last of them without a gap, a repetition or a torn
// piece. Events without an id are passed on, but cannot be resumed from.
//
// Pure and single-threaded; one object for each answer.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace seamarch {

class EventSplitter
{
public:
    // Takes bytes and returns the whole events that they complete, as they were written.
    std::string feed(std::string_view bytes);
    // The upstream broke off: forgets the event that was begun.
    void discardPartial() { partial_.clear(); }

    // Returns the id of the last whole event; empty when there was none.
    const std::string &lastId() const { return lastId_; }
    std::uint64_t events() const { return events_; }
    bool hasPartial() const { return !partial_.empty(); }

private:
    void parseEvent(std::string_view event);

    std::string partial_;
    std::string lastId_;
    std::uint64_t events_ = 0;
};

} // namespace seamarch
