// Calls of other processes that wait for a change here.
#pragma once

#include "net/eventloop.h"

#include <cstdint>
#include <kj/async.h>
#include <map>

namespace seamarch {

// One for each matter that calls wait for; it outlives the serving ends. Single-threaded.
class ChangeNotifier
{
public:
    explicit ChangeNotifier(EventLoop &loop)
        : loop_(loop)
    {}
    ChangeNotifier(const ChangeNotifier &) = delete;
    ChangeNotifier &operator=(const ChangeNotifier &) = delete;

    // Resolves at the next change, or after `longest`.
    kj::Promise<void> wait(Duration timeout);
    // Something has changed.
    void notifyAll();

private:
    EventLoop &loop_;
    std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<void>>> waiting_;
    std::uint64_t nextId_ = 1;
};

} // namespace seamarch
