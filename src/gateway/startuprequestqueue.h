// A bounded queue of requests that arrive before the gateway has a configuration.
//
// A gateway that has just started receives the configuration within a second, from another gateway
// or from the store. Serving the requests late is better than rejecting them: after the loss of all
// instances most callers have already used their first attempt and do not retry a third time.
// Requests are therefore queued for a short time, with limits on time, count and memory, and
// rejected if the configuration does not arrive.
//
// Once the configuration has arrived, no further request may be queued, and the queue is drained in
// batches that double in size. After the loss of all instances the engines refuse requests until
// their groups have formed, and what the first requests learn saves the others a failed attempt.
// The doubling bounds the number of batches, however many requests wait and at whatever rate others
// arrive.
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
        // Maximum time in the queue. After a restart of a whole site, gateways have their
        // configuration within a second of their start.
        Duration maxWait = std::chrono::milliseconds(1000);
        // Maximum time in the queue as a fraction of the caller's deadline, so that enough time
        // remains to serve the request.
        double maxDeadlineFraction = 0.5;
        std::size_t maxRequests = 300;
        std::size_t maxBytes = std::size_t{8} * 1024 * 1024; // Of request bodies, in total.
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

    // Queues a request whose caller waits for `deadline`; zero means that the caller states none.
    // Returns false and leaves `request` unchanged if the queue is full.
    bool push(ExchangeId exchange, HttpRequest &request, Duration deadline, TimePoint now);
    // Removes the request of a caller that has disconnected. Returns false if it is not queued.
    bool remove(ExchangeId exchange);
    // Removes and returns the next batch, in order of arrival: one request, then twice as many each
    // time.
    std::vector<QueuedRequest> popBatch();
    // Removes and returns all requests, in order of arrival.
    std::vector<QueuedRequest> popAll();
    // Removes and returns the requests whose time in the queue has expired.
    std::vector<QueuedRequest> popExpired(TimePoint now);
    std::size_t size() const { return queued_.size(); }
    // Returns the size of the queued requests' bodies.
    std::size_t bytes() const { return bytes_; }

private:
    struct Entry
    {
        HttpRequest request;
        TimePoint arrivedAt{};
        TimePoint expiresAt{};
    };

    QueuedRequest extract(std::map<ExchangeId, Entry>::iterator entry);
    std::vector<QueuedRequest> popFront(std::size_t count);

    Settings settings_;
    std::map<ExchangeId, Entry> queued_; // Ordered by arrival, because exchange ids increase.
    std::size_t bytes_ = 0;
    std::size_t batchSize_ = 1; // Of the next batch.
};

} // namespace seamarch
