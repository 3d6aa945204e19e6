// The bytes that wait to be sent on one socket, in order.
//
// Short texts are copied into the queue. A SharedText is held beside its other holders and freed as
// soon as its last byte has been sent. An empty queue keeps no memory, because most connections are
// idle. Single-threaded.
#pragma once

#include "net/sharedtext.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace seamarch {

class SendQueue
{
public:
    void append(std::string_view bytes);
    void append(SharedText text);

    bool empty() const { return size_ == 0; }
    // Returns the number of bytes that wait.
    std::size_t size() const { return size_; }
    // Returns the number of bytes that the queue alone holds: without shared texts.
    std::size_t copiedSize() const { return copiedSize_; }
    // Returns the next bytes to send. Empty only if the queue is.
    std::string_view front() const;
    // Returns whether more bytes follow those of front().
    bool hasMore() const { return segments_.size() > 1; }
    // Removes the first `size` bytes of front(), which has at least as many.
    void removeFront(std::size_t size);
    void clear();

private:
    // Either copied bytes or a shared text.
    struct Segment
    {
        std::string copied;
        SharedText shared;
        std::size_t sent = 0; // From the start of the shared text.

        std::string_view rest() const;
    };

    std::vector<Segment> segments_;
    std::size_t size_ = 0;
    std::size_t copiedSize_ = 0;
};

} // namespace seamarch
