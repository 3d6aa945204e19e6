// Classes that ensure that a request with a client-chosen idempotency key runs at most once,
// without shared state.
//
// A request that carries an `Idempotency-Key` runs only at the home of the key: the agent with the
// highest rendezvous hash among the agents of its service in the account's home hall. Two processes
// may have different member sets and would then compute different homes. An agent therefore acts as
// a home only while it holds a grant, which is a lease, from *every* member of its set for exactly
// that set. A member grants one set at a time and grants another set only after all its earlier
// grants have expired. Two sets that share a member can therefore never be active at the same time.
// No majority is involved: if one member cannot be reached, the homes refuse requests.
//
// The requester measures a grant on its monotonic clock from the time of the request; the granter
// measures it on its own clock from the time of the answer. The requester's lease therefore expires
// first.
//
// Two sets that share no member could be active at the same time if a whole pool is replaced while
// a network partition keeps its old members running. An agent therefore acts as a home only while
// the platform has confirmed its member list within `maxMembersAge`, and operators must not replace
// a whole pool within that time.
//
// When the set changes, the new homes have no record of the keys that the old homes accepted. A
// home accepts only keys created after it obtained the grants for its set, plus a margin for the
// clocks of the clients. It refuses older keys, since it cannot prove that they were not used.
//
// The classes are pure: time is passed as an argument. Single-threaded.
#pragma once

#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace seamarch {

// Milliseconds since the Unix epoch, the resolution of the time in a version 7 UUID.
using UnixMillis = std::chrono::milliseconds;

// A set of agents, identified by a hash of its sorted ids.
struct MemberSet
{
    std::vector<InstanceId> members; // Sorted.
    std::uint64_t hash = 0;
};

// Returns the member set of `members`, which may be unsorted and contain duplicates.
MemberSet makeMemberSet(std::vector<InstanceId> members);

// Returns the member with the highest rendezvous hash for `key`, or nullopt if the set is empty.
std::optional<InstanceId> rendezvousHome(const MemberSet &set, std::string_view key);

// Returns the timestamp of a key that is an RFC 9562 version 7 UUID, or nullopt for any other key.
std::optional<UnixMillis> uuidV7Time(std::string_view key);

// Issues grants for one member set at a time; the granter's side of the protocol above.
class GrantIssuer
{
public:
    explicit GrantIssuer(Duration lease)
        : lease_(lease)
    {}

    // Grants or renews `set`, given by its hash, for the lease time. Returns false and grants
    // nothing while a grant for another set is in force.
    bool grant(std::uint64_t set, TimePoint now);
    // Refuses all grants until `until`. Called at start, since a process does not know the grants
    // that its previous incarnation issued.
    void refuseUntil(TimePoint until) { exclusiveUntil_ = std::max(exclusiveUntil_, until); }

private:
    Duration lease_;
    std::uint64_t grantedSet_ = 0;
    TimePoint exclusiveUntil_{}; // Other sets are refused before this time.
};

// Returns `key` prefixed with the account, since two accounts may use the same key.
std::string scopedKey(const AccountId &account, std::string_view key);

// The decision on a request with an idempotency key.
enum class KeyVerdict {
    Accept,     // This agent is the home and the key is new; the request may run.
    SeenBefore, // This agent has already accepted a request with the key.
    NotHome,    // Another agent is the home according to this agent's member set.
    Unsure,     // This agent cannot prove that it is the home, or that the key is new.
};

// The home's side of the protocol above: decides whether this agent may run a request with an
// idempotency key. Holds the grants obtained for the member set and the keys accepted so far.
class KeyHome
{
public:
    struct Settings
    {
        Duration lease = std::chrono::seconds(3); // Lifetime of a grant.
        // Maximum time since the platform last confirmed the member list.
        Duration maxMembersAge = std::chrono::minutes(10);
        UnixMillis clockMargin = std::chrono::seconds(2); // Tolerated skew of client clocks.
        std::size_t maxKeys = 100'000;                    // Accepted keys that are kept.
    };

    KeyHome(InstanceId self, Settings settings);

    // Replaces the member set and drops the grants for the previous set. Does nothing if the set is
    // unchanged.
    void setMembers(MemberSet set);
    // Records that `member` granted `set` in answer to a request sent at `requestedAt`. Ignores
    // grants for sets other than the current one. `wall` is the current Unix time.
    void onGrant(const InstanceId &member, std::uint64_t set, TimePoint requestedAt, TimePoint now,
                 UnixMillis wall);

    // Records that the platform confirmed the member list in answer to a request sent at `at` or
    // later.
    void confirmMembers(TimePoint at) { membersConfirmedAt_ = std::max(membersConfirmedAt_, at); }

    // Returns whether the grants of all members are in force.
    bool holdsAllGrants(TimePoint now) const;
    // Decides on a request with `key` and records the key if it is accepted. `wall` is the current
    // Unix time.
    KeyVerdict accept(const AccountId &account, std::string_view key, TimePoint now,
                      UnixMillis wall);
    // Removes an accepted key whose request was refused before it started, so that the client can
    // retry it.
    void withdraw(const AccountId &account, std::string_view key);

    const MemberSet &members() const { return set_; }
    // Returns the number of accepted keys that are kept.
    std::size_t size() const { return acceptedKeys_.size(); }

private:
    void record(std::string scoped, UnixMillis time);

    InstanceId self_;
    Settings settings_;
    MemberSet set_;
    std::map<InstanceId, TimePoint> grantedUntil_; // Expiry of each member's grant.
    TimePoint membersConfirmedAt_{};
    bool active_ = false;     // Set once all grants are held; cleared when one lapses.
    UnixMillis minKeyTime_{}; // Keys created at or before this time are refused.
    std::unordered_set<std::string> acceptedKeys_;
    std::deque<std::pair<UnixMillis, std::string>> insertionOrder_; // Oldest first.
};

} // namespace seamarch
