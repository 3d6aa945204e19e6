// Bounds the memory that a gateway holds for callers and upstreams that read or write slowly.
//
// Answers the load of callers that upload large bodies slowly or leave answers unread: every byte
// of them is kept here, and a process that exceeds the memory of its machine is killed together
// with all its requests. The budget harms few callers, and as little as possible. First, answers of
// slow readers are read from their upstreams only as fast as they are taken. Then only the oldest
// upload continues, so that one of them completes. Last, requests with a body that would not fit
// are rejected before they run; requests with a small one are always admitted.
//
// A body is held once, also while it is sent and kept for a second attempt. The budget bounds what
// the process will hold, not only what it holds: the rest of an upload that goes on, and the share
// of the limit that answers may use.
//
// Pure and single-threaded.
#pragma once

#include <cstddef>

namespace seamarch {

// Bytes that a process holds for others.
struct HeldMemory
{
    std::size_t uploads = 0;  // Parts of request bodies that are not complete yet.
    std::size_t requests = 0; // Bodies of requests in progress.
    std::size_t answers = 0;  // Parts of answers that are incomplete or not taken yet.

    std::size_t sum() const { return uploads + requests + answers; }
};

// How much incomplete request bodies may use beside everything else.
struct UploadBudget
{
    std::size_t maxBytes = 0;           // Beyond it, only the oldest upload continues.
    std::size_t maxBytesWithOldest = 0; // It continues only if all of it fits into this.
};

class MemoryBudget
{
public:
    // `limit` is the number of bytes that may be held; zero: no limit.
    explicit MemoryBudget(std::size_t limit = 0)
        : limit_(limit)
    {}

    std::size_t limit() const { return limit_; }
    // Returns the size of the largest body that can ever be admitted.
    std::size_t maxBody() const;
    // Returns whether a request with a body of this size may be admitted.
    bool admits(const HeldMemory &held, std::size_t bodyBytes) const;
    UploadBudget uploads(const HeldMemory &held) const;
    // Returns how many bytes of one answer may be unsent before it is no longer read from its
    // upstream, while `answers` of them are in progress.
    std::size_t maxUnsent(std::size_t answers) const;
    // Returns how many bytes of an event that is not complete may be kept, while `answers` answers
    // are in progress. An upstream that sends more is taken for one that never ends its event.
    std::size_t maxPartialEvent(std::size_t answers) const;

private:
    // Returns how much answers may use.
    std::size_t maxAnswers() const { return limit_ / 4; }
    // Returns an even share of it.
    std::size_t shareOfAnswer(std::size_t answers) const;

    std::size_t limit_;
};

} // namespace seamarch
