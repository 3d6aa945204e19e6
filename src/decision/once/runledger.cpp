#include "decision/once/runledger.h"

#include <algorithm>

namespace seamarch {

RunLedger::RunLedger(std::size_t capacity)
    : capacity_(capacity)
{}

RunState RunLedger::state(RequestId id) const
{
    const auto found = states_.find(id);
    if (found != states_.end()) {
        return found->second;
    }
    const auto floor = evictedUpTo_.find(id.entry);
    const bool evicted = floor != evictedUpTo_.end() && id.counter <= floor->second;
    return evicted ? RunState::Evicted : RunState::Unknown;
}

bool RunLedger::enqueue(RequestId id)
{
    if (state(id) != RunState::Unknown) {
        return false;
    }
    states_.emplace(id, RunState::Queued);
    return true;
}

bool RunLedger::start(RequestId id)
{
    const auto found = states_.find(id);
    if (found == states_.end() || found->second != RunState::Queued) {
        return false;
    }
    found->second = RunState::Started;
    return true;
}

void RunLedger::finish(RequestId id)
{
    close(id, RunState::Finished);
}

void RunLedger::withdraw(RequestId id)
{
    close(id, RunState::Tombstone);
}

bool RunLedger::cancel(RequestId id)
{
    switch (state(id)) {
    case RunState::Unknown:
    case RunState::Queued:
        close(id, RunState::Tombstone);
        return true;
    case RunState::Tombstone:
        return true;
    case RunState::Started:
    case RunState::Finished:
    case RunState::Evicted:
        // An evicted request may have run.
        return false;
    }
    return false;
}

void RunLedger::close(RequestId id, RunState state)
{
    states_[id] = state;
    closedOrder_.push_back(id);
    while (closedOrder_.size() > capacity_) {
        evictOldest();
    }
}

void RunLedger::evictOldest()
{
    const RequestId oldest = closedOrder_.front();
    closedOrder_.pop_front();
    states_.erase(oldest);
    const auto [floor, added] = evictedUpTo_.try_emplace(oldest.entry, oldest.counter);
    floor->second = std::max(floor->second, oldest.counter);
}

} // namespace seamarch
