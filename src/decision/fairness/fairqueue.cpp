#include "decision/fairness/fairqueue.h"

#include <algorithm>
#include <utility>

namespace seamarch {

void FairQueue::setPolicy(const AccountId &account, const AccountPolicy &policy)
{
    Account &accountState = accounts_[account];
    accountState.policy = policy;
    accountState.configured = true;
    times_.setShare(account, policy.share);
}

bool FairQueue::push(QueuedRequest request)
{
    Account &account = accounts_[request.account];
    if (account.waiting.size() >= account.policy.maxQueued) {
        return false;
    }
    if (account.waiting.empty()) {
        times_.activate(request.account);
        backlog_.emplace(times_.of(request.account), request.account);
    }
    const OrderKey orderKey{request.priority, nextSequence_++};
    account.queuedTokens += request.expectedCost;
    queuedTokens_ += request.expectedCost;
    positions_.emplace(request.id, Position{request.account, orderKey});
    account.waiting.emplace(orderKey, std::move(request));
    return true;
}

QueuedRequest FairQueue::extract(Account &account,
                                 std::map<OrderKey, QueuedRequest>::iterator request)
{
    QueuedRequest result = std::move(request->second);
    account.waiting.erase(request);
    account.queuedTokens -= result.expectedCost;
    queuedTokens_ -= result.expectedCost;
    positions_.erase(result.id);
    return result;
}

void FairQueue::removeFromBacklog(const AccountId &id)
{
    backlog_.erase({times_.of(id), id});
}

std::optional<QueuedRequest> FairQueue::pop()
{
    if (backlog_.empty()) {
        return std::nullopt;
    }
    const AccountId id = backlog_.begin()->second;
    Account &account = accounts_.at(id);
    removeFromBacklog(id);
    times_.onServed(id);
    QueuedRequest result = extract(account, account.waiting.begin());
    times_.charge(id, static_cast<double>(result.expectedCost));
    if (account.waiting.empty()) {
        times_.deactivate(id);
    } else {
        backlog_.emplace(times_.of(id), id);
    }
    return result;
}

bool FairQueue::remove(RequestId id)
{
    const auto position = positions_.find(id);
    if (position == positions_.end()) {
        return false;
    }
    const AccountId accountId = position->second.account;
    Account &account = accounts_.at(accountId);
    extract(account, account.waiting.find(position->second.orderKey));
    if (account.waiting.empty()) {
        removeFromBacklog(accountId);
        times_.deactivate(accountId);
    }
    return true;
}

std::vector<QueuedRequest> FairQueue::popExpired(TimePoint now)
{
    std::vector<QueuedRequest> expired;
    for (const auto &[virtualTime, id] : backlog_) {
        for (const auto &[orderKey, request] : accounts_.at(id).waiting) {
            if (request.deadline <= now) {
                expired.push_back(request);
            }
        }
    }
    for (const QueuedRequest &request : expired) {
        remove(request.id);
    }
    return expired;
}

std::vector<QueuedRequest> FairQueue::popAll()
{
    return popExpired(TimePoint::max());
}

void FairQueue::adjustCharge(const AccountId &account, double delta)
{
    const auto found = accounts_.find(account);
    if (found == accounts_.end()) {
        return;
    }
    const bool waits = !found->second.waiting.empty();
    if (waits) {
        removeFromBacklog(account);
    }
    times_.charge(account, delta);
    if (waits) {
        backlog_.emplace(times_.of(account), account);
    }
}

double FairQueue::tokensAhead(const AccountId &account) const
{
    // Until the account's own backlog is served, each other backlogged account is served its fair
    // share plus at most one request, but no more than it has queued.
    const auto own = accounts_.find(account);
    const double ownShare = own == accounts_.end() ? 1.0 : own->second.policy.share;
    const double ownQueued =
        own == accounts_.end() ? 0.0 : static_cast<double>(own->second.queuedTokens);
    const double start = std::max(times_.of(account), times_.serviceTime());
    const double finish = start + ownQueued / ownShare;
    double ahead = ownQueued;
    for (const auto &[virtualTime, id] : backlog_) {
        if (id == account) {
            continue;
        }
        const Account &other = accounts_.at(id);
        const double fairShare = std::max(0.0, finish - virtualTime) * other.policy.share;
        const double nextCost = static_cast<double>(other.waiting.begin()->second.expectedCost);
        ahead += std::min(static_cast<double>(other.queuedTokens), fairShare + nextCost);
    }
    return ahead;
}

void FairQueue::removeIdleAccounts()
{
    std::erase_if(accounts_, [this](const auto &entry) {
        const auto &[id, account] = entry;
        return account.waiting.empty() && !account.configured
               && times_.of(id) <= times_.serviceTime();
    });
    times_.removeIdle();
}

} // namespace seamarch
