// A queue of the streams of one service that wait for a slot, ordered by urgency, deadline and
// client account.
//
// The load that it answers: callers who compete for too few slots, less urgent ones in bursts
// before urgent ones, accounts that ask for many times their share, and callers that repeat a
// request at once.
//
// More urgent streams go first. Among equals, a stream that can still start in time for its caller
// goes before one that is late: a slot is worth more to a stream that can use it in time, and the
// other one is late in any case. Among late streams, retries of callers that were rejected before
// go first, because such callers do not try a third time. Then the account with the lowest virtual
// time goes first, so that each account gets its share however much it asks for or repeats; then
// the oldest stream.
//
// Each class of urgency keeps a least share of the starts while it waits: a quarter of its part of
// the waiting streams. Callers of a kind that is served less than a quarter as often as all others
// find it unusable, and a share of at most a quarter in sum delays an urgent stream by at most one
// start in four.
//
// Pure and single-threaded. All operations take O(log n) for n streams, plus the number of classes.
#pragma once

#include "decision/fairness/accountorder.h"
#include "decision/fairness/virtualtimes.h"
#include "decision/gateway/urgency.h"
#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace seamarch {

// Identifies a request within one run of a gateway process.
using RequestNumber = std::uint64_t;

class StreamQueue
{
public:
    struct Entry
    {
        RequestNumber number = 0; // Increases in order of arrival.
        Urgency urgency;
        bool isRetry = false;      // Its caller was rejected before.
        TimePoint startDeadline{}; // A later start misses the route's latency target.
        // A later start cannot serve the caller at all: it disconnects before the first event.
        TimePoint latestStart = TimePoint::max();
        AccountId account;
        double cost = 1.0; // Expected work, in the unit of requestcost.h.
    };

    void add(const Entry &entry, TimePoint now);
    // Removes a stream that does not start.
    void remove(RequestNumber number);
    // Removes a stream that starts and charges its account and its class.
    void start(RequestNumber number);
    // Charges a stream that starts without having been queued. Only starts while others wait are
    // charged: unused capacity is free.
    void chargeDirectStart(const Entry &entry);
    // Returns the next stream without removing it; nullopt if the queue is empty.
    std::optional<Entry> next(TimePoint now);
    // Returns the streams that may start next, in order of preference and without removing them:
    // the next one, the next one of the most urgent class, and that class's next one to become
    // late. A later one is for when the earlier ones are held back.
    std::vector<Entry> candidates(TimePoint now);
    // Returns the last stream of the least urgent class; nullopt if the queue is empty.
    std::optional<Entry> last(TimePoint now);
    // Removes the next stream as `start` does and returns its number; nullopt if the queue is
    // empty.
    std::optional<RequestNumber> takeNext(TimePoint now);
    // Returns the number of streams that would go before `entry`. Among streams of several accounts
    // that are otherwise equal, this is an estimate.
    std::size_t countAhead(const Entry &entry, TimePoint now);
    std::size_t size() const { return entries_.size(); }
    bool empty() const { return entries_.empty(); }

private:
    // Whether a stream can still start in time; in the order of service.
    enum class Timeliness : std::uint8_t { InTime, LateRetry, Late };

    struct Waiting
    {
        Entry entry;
        Timeliness timeliness = Timeliness::InTime;
    };

    // The streams of equal urgency.
    struct UrgencyClass
    {
        static constexpr std::size_t kMinAccountsKept = 64;

        VirtualTimes times;
        // Idle accounts are removed from `times` when it has more. Doubled with those that stay, so
        // that the cost of removing them is constant on average.
        std::size_t maxAccounts = kMinAccountsKept;
        std::array<AccountOrder, 3> orders; // By timeliness.
        std::size_t size = 0;
        double totalCost = 0.0;
        double startsDue = 0.0; // Starts of its least share that it has not had yet.
        // Streams that are still in time, by start deadline.
        std::set<std::pair<TimePoint, RequestNumber>> startDeadlines;

        AccountOrder &order(Timeliness timeliness);
        std::size_t waitingOf(const AccountId &account) const;
        std::optional<RequestNumber> first() const;
        std::optional<RequestNumber> last() const;
        void charge(const Entry &entry);
    };

    static Timeliness timelinessOf(const Entry &entry, TimePoint now);
    static std::size_t countAheadInOrder(const Entry &entry, const UrgencyClass &urgencyClass,
                                         const AccountOrder &order);
    void demoteLate(TimePoint now);
    void demoteLate(UrgencyClass &urgencyClass, TimePoint now);
    void accountForStart(UrgencyClass &started);
    UrgencyClass *classDue();
    UrgencyClass *mostUrgentClass();

    std::unordered_map<RequestNumber, Waiting> entries_;
    std::map<Urgency, UrgencyClass> classes_;
};

} // namespace seamarch
