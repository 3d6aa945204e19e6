#include "decision/fairness/accountorder.h"

namespace seamarch {

AccountOrder::Position AccountOrder::positionOf(const AccountId &id, const Account &account)
{
    return {account.time, *account.numbers.begin(), id};
}

void AccountOrder::add(const AccountId &account, Number number, double time)
{
    Account &state = accounts_[account];
    if (!state.numbers.empty()) {
        order_.erase(positionOf(account, state));
    }
    state.time = time;
    size_ += state.numbers.insert(number).second ? 1 : 0;
    order_.insert(positionOf(account, state));
}

void AccountOrder::remove(const AccountId &account, Number number)
{
    const auto found = accounts_.find(account);
    if (found == accounts_.end()
        || found->second.numbers.find(number) == found->second.numbers.end()) {
        return;
    }
    Account &state = found->second;
    order_.erase(positionOf(account, state));
    state.numbers.erase(number);
    --size_;
    if (state.numbers.empty()) {
        accounts_.erase(found);
    } else {
        order_.insert(positionOf(account, state));
    }
}

void AccountOrder::setTime(const AccountId &account, double time)
{
    const auto found = accounts_.find(account);
    if (found != accounts_.end()) {
        order_.erase(positionOf(account, found->second));
        found->second.time = time;
        order_.insert(positionOf(account, found->second));
    }
}

std::optional<AccountOrder::Number> AccountOrder::first() const
{
    return order_.empty() ? std::nullopt : std::optional(order_.begin()->oldest);
}

std::optional<AccountOrder::Number> AccountOrder::last() const
{
    if (order_.empty()) {
        return std::nullopt;
    }
    return *accounts_.at(order_.rbegin()->account).numbers.rbegin();
}

std::size_t AccountOrder::waitingOf(const AccountId &account) const
{
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? 0 : found->second.numbers.size();
}

std::size_t AccountOrder::olderOf(const AccountId &account, Number number) const
{
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? 0 : found->second.numbers.order_of_key(number);
}

} // namespace seamarch
