// Notifies pending remote calls of a change (long polling).
#pragma once

#include "net/eventloop.h"

#include <cstdint>
#include <kj/async.h>
#include <map>

namespace seamarch {

// Holds the promises of calls that wait for a change. Each kind of change has its own notifier.
// Must outlive the RPC servers whose calls wait on it. Single-threaded.
class ChangeNotifier
{
public:
    explicit ChangeNotifier(EventLoop &loop)
        : loop_(loop)
    {}
    ChangeNotifier(const ChangeNotifier &) = delete;
    ChangeNotifier &operator=(const ChangeNotifier &) = delete;

    // Returns a promise that resolves at the next notifyAll() or after `timeout`.
    kj::Promise<void> wait(Duration timeout);
    // Resolves all pending promises.
    void notifyAll();

private:
    EventLoop &loop_;
    std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<void>>> waiting_;
    std::uint64_t nextId_ = 1;
};

} // namespace seamarch
