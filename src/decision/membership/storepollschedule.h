// Schedules when a gateway with stale data refreshes it from its peers, and when from the
// platform's store.
//
// The gateways of a hall follow one of them, the store follower. When the store rejects that
// gateway or it fails, the data of all others goes stale at the same moment. If each then polled
// the store, a hall of thirty gateways would make thirty list calls and as many watches. So the
// others first poll gateways of other halls, most of which are unaffected, and then the store, one
// after the other in the hall's order, because the first to succeed passes the data on. The time
// available follows from the freshness limits for keys and for denied routes; with short limits,
// all poll at nearly the same time. Only the first few gateways of a hall poll the store at all: it
// is unlikely to reject all of these and still serve others, and while it is down for everybody
// each call is wasted.
//
// Pure functions.
#pragma once

#include "seamarch/units.h"

#include <cstddef>

namespace seamarch {

// The freshness bounds of the platform (see FreshnessBounds) from which the schedule is derived.
struct FreshnessLimits
{
    Duration keyMaxAge{};  // The maximum age of data that keys are checked against.
    Duration denyMaxAge{}; // The maximum age of data on which a route is denied.
};

struct StorePollSchedule
{
    // How long a watch on the store waits for changes. Each answer is a call, and calls are billed.
    Duration longPollWait{};
    // The age from which data is requested from any gateway. In normal operation the age of a
    // follower's data is at most the time of a watch, of a follower's long poll and of
    // transmission.
    Duration staleAge{};
    // The maximum age at which the store is polled, also by a gateway that reaches no peer.
    Duration maxStorePollAge{};
};

// Derives the schedule from the freshness limits.
StorePollSchedule makeStorePollSchedule(const FreshnessLimits &limits);

// Returns whether a gateway polls the store in addition to the others of its hall. `hallIndex` is
// its zero-based position in the order of the hall's gateways.
bool mayPollStore(std::size_t hallIndex);
// Returns the age of its data from which a gateway at `hallIndex` polls the store.
Duration storePollAge(const StorePollSchedule &schedule, std::size_t hallIndex);

} // namespace seamarch
