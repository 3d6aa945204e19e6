// Requests that came before this gateway knew a configuration.
//
// A gateway that has just started hears the configuration within a second, from another gateway or
// from the store. Its callers are better served late than sent away: after the loss of all
// instances most have used up their first try already, and come no third time. So their requests
// wait for a moment, within bounds of time, number and memory, and are refused when the
// configuration does not come.
//
// Single-threaded.
#pragma once

#include "net/httpserver.h"
#include "seamarch/units.h"

#include <cstddef>
#include <map>
#include <vector>

namespace seamarch {

class StartupRequestQueue
{
public:
    struct Settings
    {
        // How long a request waits at most: a site that starts anew knows its configuration within
        // a second of its gateways' start.
        Duration maxWait = std::chrono::milliseconds(1000);
        // And no longer than this part of what its caller waits, so that it can still be served.
        double maxDeadlineFraction = 0.5;
        std::size_t maxRequests = 300;
        std::size_t maxBytes = std::size_t{8} * 1024 * 1024; // Of bodies.
    };

    struct QueuedRequest
    {
        ExchangeId exchange = 0;
        HttpRequest request;
        TimePoint arrivedAt{};
    };

    StartupRequestQueue() = default;
    explicit StartupRequestQueue(const Settings &settings)
        : settings_(settings)
    {}

    // Keeps a request whose caller waits for `deadline`; zero: it does not say. Returns false, and
    // leaves the request as it is, when there are too many.
    bool push(ExchangeId exchange, HttpRequest &request, Duration deadline, TimePoint now);
    // The caller has left. Returns false when nothing was kept for it.
    bool remove(ExchangeId exchange);
    // Hands out the first requests, in the order in which they came. Not all at once: after the
    // loss of all instances the engines refuse until their groups have formed, and what the first
    // of the requests finds out saves the others an attempt.
    std::vector<QueuedRequest> popFront(std::size_t count);
    // Hands out those that have waited long enough.
    std::vector<QueuedRequest> popExpired(TimePoint now);
    std::size_t size() const { return queued_.size(); }

private:
    struct Entry
    {
        HttpRequest request;
        TimePoint arrivedAt{};
        TimePoint expiresAt{};
    };

    QueuedRequest take(std::map<ExchangeId, Entry>::iterator entry);

    Settings settings_;
    std::map<ExchangeId, Entry> queued_; // Numbers of exchanges rise.
    std::size_t bytes_ = 0;
};

} // namespace seamarch
