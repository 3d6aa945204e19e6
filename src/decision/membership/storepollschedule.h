// When a gateway seeks knowledge of the platform's store elsewhere, and when it asks the store
// itself.
//
// The gateways of a hall follow the one that follows the store. When the store turns that one away,
// or it dies, the knowledge of all the others grows old in the same moment, and if each asked the
// store then, a hall of thirty would make thirty lists and as many watches. So the others first ask
// gateways elsewhere, most of which are not concerned, and only then the store: in the hall's
// order, one after the other, since one that succeeds tells the rest. How long all that may take
// follows from how old knowledge may be for keys and for routes that are refused; where those are
// short, all ask at once. Only some of a hall have a turn at all, however many it has: the store
// hardly turns away so many and serves others, and while it is down for everybody each call is in
// vain.
//
// Pure.
#pragma once

#include "seamarch/units.h"

#include <cstddef>

namespace seamarch {

struct StalenessLimits
{
    Duration keyMaxAge{};  // A key is judged by knowledge no older than this.
    Duration denyMaxAge{}; // A route is refused by knowledge no older than this.
};

struct StorePollSchedule
{
    // A watch on the store waits this long. Each answer is a call, which has a price.
    Duration watchTimeout{};
    // Knowledge older than this is sought from any gateway: while all is well, what is followed is
    // at most as old as a watch, a follower's question and the way take.
    Duration staleAge{};
    // At this age at the latest the store is asked, also by one that hears no other gateway.
    Duration maxStorePollAge{};
};

StorePollSchedule makeStorePollSchedule(const StalenessLimits &limits);

// Tells whether a gateway at `place` among those of its hall that answer asks the store at all
// while others do; zero is the first.
bool mayPollStore(std::size_t place);
// Returns from which age of its knowledge on a gateway at `place` asks the store.
Duration storePollAge(const StorePollSchedule &schedule, std::size_t place);

} // namespace seamarch
