#include "decision/gateway/streamqueue.h"

#include <algorithm>
#include <cmath>

namespace seamarch {
namespace {

// The least share of a class, as a part of its part of the waiting streams.
constexpr double kLeastShare = 0.25;
// Starts of a least share that may be overdue: one, and one while another class has its own.
constexpr double kMaxStartsDue = 2.0;

} // namespace

AccountOrder &StreamQueue::UrgencyClass::order(Timeliness timeliness)
{
    return orders.at(static_cast<std::size_t>(timeliness));
}

std::size_t StreamQueue::UrgencyClass::waitingOf(const AccountId &account) const
{
    std::size_t waiting = 0;
    for (const AccountOrder &order : orders) {
        waiting += order.waitingOf(account);
    }
    return waiting;
}

std::optional<RequestNumber> StreamQueue::UrgencyClass::first() const
{
    const auto order = std::find_if(orders.begin(), orders.end(),
                                    [](const AccountOrder &each) { return each.size() > 0; });
    return order == orders.end() ? std::nullopt : order->first();
}

std::optional<RequestNumber> StreamQueue::UrgencyClass::last() const
{
    const auto order = std::find_if(orders.rbegin(), orders.rend(),
                                    [](const AccountOrder &each) { return each.size() > 0; });
    return order == orders.rend() ? std::nullopt : order->last();
}

// Charges the account of a stream. An account without waiting streams is charged from the virtual
// time of the service on: it has no credit from before.
void StreamQueue::UrgencyClass::charge(const Entry &entry)
{
    const bool waits = waitingOf(entry.account) > 0;
    if (!waits) {
        times.activate(entry.account);
    }
    times.charge(entry.account, entry.cost);
    for (AccountOrder &order : orders) {
        order.setTime(entry.account, times.of(entry.account));
    }
    if (!waits) {
        times.deactivate(entry.account);
    }
    if (times.size() > maxAccounts) {
        times.removeIdle();
        maxAccounts = 2 * times.size() + kMinAccountsKept;
    }
}

StreamQueue::Timeliness StreamQueue::timelinessOf(const Entry &entry, TimePoint now)
{
    if (now <= entry.startDeadline) {
        return Timeliness::InTime;
    }
    return entry.isRetry ? Timeliness::LateRetry : Timeliness::Late;
}

// Moves the streams whose start deadline has passed behind those that are still in time.
void StreamQueue::demoteLate(TimePoint now)
{
    for (auto &[urgency, urgencyClass] : classes_) {
        demoteLate(urgencyClass, now);
    }
}

void StreamQueue::demoteLate(UrgencyClass &urgencyClass, TimePoint now)
{
    auto &deadlines = urgencyClass.startDeadlines;
    while (!deadlines.empty() && deadlines.begin()->first < now) {
        const RequestNumber number = deadlines.begin()->second;
        deadlines.erase(deadlines.begin());
        Waiting &waiting = entries_.at(number);
        const AccountId &account = waiting.entry.account;
        urgencyClass.order(waiting.timeliness).remove(account, number);
        waiting.timeliness = timelinessOf(waiting.entry, now);
        urgencyClass.order(waiting.timeliness).add(account, number, urgencyClass.times.of(account));
    }
}

void StreamQueue::add(const Entry &entry, TimePoint now)
{
    const Waiting waiting{entry, timelinessOf(entry, now)};
    if (!entries_.emplace(entry.number, waiting).second) {
        return;
    }
    UrgencyClass &urgencyClass = classes_[entry.urgency];
    if (urgencyClass.waitingOf(entry.account) == 0) {
        urgencyClass.times.activate(entry.account);
    }
    urgencyClass.order(waiting.timeliness)
        .add(entry.account, entry.number, urgencyClass.times.of(entry.account));
    ++urgencyClass.size;
    urgencyClass.totalCost += entry.cost;
    if (waiting.timeliness == Timeliness::InTime) {
        urgencyClass.startDeadlines.emplace(entry.startDeadline, entry.number);
    }
}

void StreamQueue::remove(RequestNumber number)
{
    const auto found = entries_.find(number);
    if (found == entries_.end()) {
        return;
    }
    const Entry &entry = found->second.entry;
    UrgencyClass &urgencyClass = classes_.at(entry.urgency);
    urgencyClass.order(found->second.timeliness).remove(entry.account, number);
    if (urgencyClass.waitingOf(entry.account) == 0) {
        urgencyClass.times.deactivate(entry.account);
    }
    --urgencyClass.size;
    urgencyClass.totalCost -= entry.cost;
    urgencyClass.startDeadlines.erase({entry.startDeadline, number});
    entries_.erase(found);
}

void StreamQueue::start(RequestNumber number)
{
    const auto found = entries_.find(number);
    if (found == entries_.end()) {
        return;
    }
    const Entry entry = found->second.entry;
    UrgencyClass &urgencyClass = classes_.at(entry.urgency);
    accountForStart(urgencyClass);
    urgencyClass.times.onServed(entry.account);
    urgencyClass.charge(entry);
    remove(number);
}

void StreamQueue::chargeDirectStart(const Entry &entry)
{
    if (empty()) {
        return;
    }
    UrgencyClass &urgencyClass = classes_[entry.urgency];
    accountForStart(urgencyClass);
    urgencyClass.charge(entry);
}

// Adds to the starts that are due to each waiting class, and counts the one that `started` has.
void StreamQueue::accountForStart(UrgencyClass &started)
{
    const auto total = static_cast<double>(entries_.size());
    for (auto &[urgency, each] : classes_) {
        const double part = static_cast<double>(each.size) / total;
        each.startsDue = std::min(kMaxStartsDue, each.startsDue + kLeastShare * part);
    }
    started.startsDue = std::max(0.0, started.startsDue - 1.0);
}

// Returns the waiting class to which a start of its least share is due, the most urgent if there
// are several; nullptr if there is none.
StreamQueue::UrgencyClass *StreamQueue::classDue()
{
    const auto found = std::find_if(classes_.begin(), classes_.end(), [](const auto &each) {
        return each.second.size > 0 && each.second.startsDue >= 1.0;
    });
    return found == classes_.end() ? nullptr : &found->second;
}

// Returns the most urgent class that waits; nullptr if the queue is empty.
StreamQueue::UrgencyClass *StreamQueue::mostUrgentClass()
{
    const auto found = std::find_if(classes_.begin(), classes_.end(),
                                    [](const auto &each) { return each.second.size > 0; });
    return found == classes_.end() ? nullptr : &found->second;
}

std::optional<StreamQueue::Entry> StreamQueue::next(TimePoint now)
{
    demoteLate(now);
    const UrgencyClass *due = classDue();
    const UrgencyClass *chosen = due == nullptr ? mostUrgentClass() : due;
    return chosen == nullptr ? std::nullopt : std::optional(entries_.at(*chosen->first()).entry);
}

std::vector<StreamQueue::Entry> StreamQueue::candidates(TimePoint now)
{
    std::vector<Entry> candidates;
    if (const auto nextEntry = next(now)) {
        candidates.push_back(*nextEntry);
        const UrgencyClass &urgent = *mostUrgentClass();
        candidates.push_back(entries_.at(*urgent.first()).entry);
        if (!urgent.startDeadlines.empty()) {
            candidates.push_back(entries_.at(urgent.startDeadlines.begin()->second).entry);
        }
    }
    return candidates;
}

std::optional<StreamQueue::Entry> StreamQueue::last(TimePoint now)
{
    demoteLate(now);
    for (auto each = classes_.rbegin(); each != classes_.rend(); ++each) {
        if (const auto last = each->second.last()) {
            return entries_.at(*last).entry;
        }
    }
    return std::nullopt;
}

std::optional<RequestNumber> StreamQueue::takeNext(TimePoint now)
{
    const std::optional<Entry> entry = next(now);
    if (!entry) {
        return std::nullopt;
    }
    start(entry->number);
    return entry->number;
}

// Estimates how many of the equally urgent streams in `order` go before `entry`: those of its own
// account, and of each other account as many as cost what the account is ahead of the lowest one,
// plus one for each of its own.
std::size_t StreamQueue::countAheadInOrder(const Entry &entry, const UrgencyClass &urgencyClass,
                                           const AccountOrder &order)
{
    if (order.size() == 0) {
        return 0;
    }
    const std::size_t own = order.olderOf(entry.account, entry.number);
    const std::size_t others = order.accounts() - (order.waitingOf(entry.account) > 0 ? 1 : 0);
    const double time =
        std::max(urgencyClass.times.of(entry.account), urgencyClass.times.serviceTime());
    const double ahead = time - order.lowestTime();
    const double meanCost = urgencyClass.totalCost / static_cast<double>(urgencyClass.size);
    // An account at the lowest virtual time comes after the older streams of the others.
    const double rounds = ahead < 0.0 ? 0.0 : std::floor(ahead / meanCost) + 1.0;
    const double estimate = static_cast<double>(own)
                            + static_cast<double>(others) * (static_cast<double>(own) + rounds);
    return static_cast<std::size_t>(std::min(static_cast<double>(order.size()), estimate));
}

std::size_t StreamQueue::countAhead(const Entry &entry, TimePoint now)
{
    demoteLate(now);
    std::size_t ahead = 0;
    auto each = classes_.begin();
    for (; each != classes_.end() && each->first < entry.urgency; ++each) {
        ahead += each->second.size;
    }
    if (each == classes_.end() || each->first != entry.urgency) {
        return ahead;
    }
    UrgencyClass &urgencyClass = each->second;
    const Timeliness timeliness = timelinessOf(entry, now);
    for (const Timeliness earlier : {Timeliness::InTime, Timeliness::LateRetry}) {
        ahead += earlier < timeliness ? urgencyClass.order(earlier).size() : 0;
    }
    return ahead + countAheadInOrder(entry, urgencyClass, urgencyClass.order(timeliness));
}

} // namespace seamarch
