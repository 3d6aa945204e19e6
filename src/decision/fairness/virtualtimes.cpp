#include "decision/fairness/virtualtimes.h"

#include <algorithm>

namespace seamarch {

VirtualTimes::Account &VirtualTimes::stateOf(const AccountId &account)
{
    const auto [found, added] = accounts_.try_emplace(account);
    if (added) {
        found->second.time = serviceTime_;
    }
    return found->second;
}

void VirtualTimes::setShare(const AccountId &account, double share)
{
    Account &state = stateOf(account);
    state.share = share;
    state.configured = true;
}

void VirtualTimes::activate(const AccountId &account)
{
    Account &state = stateOf(account);
    state.time = std::max(state.time, serviceTime_);
    state.active = true;
}

void VirtualTimes::deactivate(const AccountId &account)
{
    const auto found = accounts_.find(account);
    if (found != accounts_.end()) {
        found->second.active = false;
    }
}

void VirtualTimes::charge(const AccountId &account, double cost)
{
    Account &state = stateOf(account);
    state.time += cost / state.share;
}

double VirtualTimes::of(const AccountId &account) const
{
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? serviceTime_ : found->second.time;
}

void VirtualTimes::onServed(const AccountId &account)
{
    serviceTime_ = std::max(serviceTime_, of(account));
}

void VirtualTimes::removeIdle()
{
    std::erase_if(accounts_, [this](const auto &entry) {
        const Account &account = entry.second;
        return !account.active && !account.configured && account.time <= serviceTime_;
    });
}

} // namespace seamarch
