// Splits a stream of server-sent events into complete events.
//
// An upstream may disconnect in the middle of an event. Only complete events are forwarded to the
// caller, so that another upstream can resume the stream after the last of them without a gap, a
// repetition or a partial event. Events without an id are forwarded, but a stream cannot be resumed
// from them.
//
// The caller bounds the size of a partial event, as an upstream may never end one. The time that
// feed() takes is linear in the size of its input and of what it returns.
//
// Pure and single-threaded; one object for each answer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace seamarch {

class EventSplitter
{
public:
    // Appends `bytes` and returns the events that are now complete, byte for byte.
    std::string feed(std::string_view bytes);
    // Discards a partial event, after the upstream disconnected.
    void discardPartial();

    // Returns the last id that a complete event had; empty if there was none. Ids with control
    // bytes are ignored.
    const std::string &lastId() const { return lastId_; }
    // Returns the number of complete events.
    std::uint64_t eventCount() const { return eventCount_; }
    bool hasPartial() const { return !partial_.empty(); }
    std::size_t partialBytes() const { return partial_.size(); }

private:
    void parseEvent(std::string_view event);

    std::string partial_;
    std::size_t lineStart_ = 0; // Of the incomplete line at the end of partial_.
    std::string lastId_;
    std::uint64_t eventCount_ = 0;
};

} // namespace seamarch
