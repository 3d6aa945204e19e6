#include "gateway/startuprequestqueue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace seamarch {

bool StartupRequestQueue::push(ExchangeId exchange, HttpRequest &request, Duration deadline,
                               TimePoint now)
{
    const std::size_t size = request.body.size();
    if (queued_.size() >= settings_.maxRequests || bytes_ + size > settings_.maxBytes) {
        return false;
    }
    const Duration deadlineShare = fromSeconds(toSeconds(deadline) * settings_.maxDeadlineFraction);
    const Duration wait =
        deadline > Duration{} ? std::min(deadlineShare, settings_.maxWait) : settings_.maxWait;
    bytes_ += size;
    queued_.emplace(exchange, Entry{std::move(request), now, now + wait});
    return true;
}

bool StartupRequestQueue::remove(ExchangeId exchange)
{
    const auto found = queued_.find(exchange);
    if (found == queued_.end()) {
        return false;
    }
    bytes_ -= found->second.request.body.size();
    queued_.erase(found);
    return true;
}

StartupRequestQueue::QueuedRequest
StartupRequestQueue::extract(std::map<ExchangeId, Entry>::iterator entry)
{
    bytes_ -= entry->second.request.body.size();
    QueuedRequest queued{entry->first, std::move(entry->second.request), entry->second.arrivedAt};
    queued_.erase(entry);
    return queued;
}

std::vector<StartupRequestQueue::QueuedRequest> StartupRequestQueue::popFront(std::size_t count)
{
    std::vector<QueuedRequest> first;
    while (first.size() < count && !queued_.empty()) {
        first.push_back(extract(queued_.begin()));
    }
    return first;
}

std::vector<StartupRequestQueue::QueuedRequest> StartupRequestQueue::popBatch()
{
    std::vector<QueuedRequest> batch = popFront(batchSize_);
    batchSize_ = std::min(2 * batchSize_, settings_.maxRequests);
    return batch;
}

std::vector<StartupRequestQueue::QueuedRequest> StartupRequestQueue::popAll()
{
    return popFront(queued_.size());
}

std::vector<StartupRequestQueue::QueuedRequest> StartupRequestQueue::popExpired(TimePoint now)
{
    std::vector<QueuedRequest> expired;
    for (auto entry = queued_.begin(); entry != queued_.end();) {
        const auto next = std::next(entry);
        if (entry->second.expiresAt <= now) {
            expired.push_back(extract(entry));
        }
        entry = next;
    }
    return expired;
}

} // namespace seamarch
