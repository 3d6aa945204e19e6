// Which agent is the home of a caller's own key, without shared state and without guessing.
//
// A request that carries an `Idempotency-Key` runs only at the key's home: the agent with the
// highest rendezvous hash among the agents of its service in the account's home hall. Two processes
// may see two member sets and would then name two homes, so an agent acts as a home only while it
// holds a grant from *every* member of its set, for exactly that set. A member grants one set at a
// time and does not grant another until all that it granted before has run out. Two sets that share
// a member can therefore never be in use at the same time, and no majority is involved: every
// member must agree, and one that cannot be reached makes the homes refuse.
//
// A grant is measured from when it was asked for, on the asker's monotonic clock, and is promised
// from when it was answered, on the granter's; the asker's lease therefore ends first.
//
// Two sets that share no member could be in use at once when a whole pool is replaced while its old
// members live on behind a cut. An agent therefore acts as a home only under a list that the
// platform has confirmed within `maxMembersAge`, and operators do not replace a whole pool within
// that time.
//
// When the set changes, the new homes have no record of the old ones' keys. A home accepts only
// keys that were made after it got its set (`tenure`), with a margin for the callers' clocks; older
// keys are refused as not provable.
//
// The classes are pure: time comes in as an argument. Single-threaded.
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

// Milliseconds since the Unix epoch, as a key carries them.
using UnixMillis = std::chrono::milliseconds;

// A set of members, named by the hash of its sorted ids.
struct MemberSet
{
    std::vector<InstanceId> members; // Sorted.
    std::uint64_t hash = 0;
};

// Makes a member set out of ids in any order.
MemberSet makeMemberSet(std::vector<InstanceId> members);

// Returns the member with the highest rendezvous hash for `key`; nothing when the set is empty.
std::optional<InstanceId> rendezvousHome(const MemberSet &set, std::string_view key);

// Returns the time inside a key that is an RFC 9562 version 7 UUID; nothing for any other key.
std::optional<UnixMillis> uuidV7Time(std::string_view key);

// The granter's side: promises one member set at a time.
class GrantIssuer
{
public:
    explicit GrantIssuer(Duration lease)
        : lease_(lease)
    {}

    // Asks for a grant on `set`. Returns false while another set is promised.
    bool grant(std::uint64_t set, TimePoint now);
    // Refuses all grants until `until`: a process that has just started cannot know what the
    // incarnation before it promised.
    void refuseUntil(TimePoint until) { exclusiveUntil_ = std::max(exclusiveUntil_, until); }

private:
    Duration lease_;
    std::uint64_t grantedSet_ = 0;
    TimePoint exclusiveUntil_{};
};

// Returns the name of a key among all accounts' keys: two accounts may use the same one.
std::string scopedKey(const AccountId &account, std::string_view key);

// Why a key was refused, or that it may run.
enum class KeyVerdict {
    Accept,     // This agent is the home and has never seen the key.
    SeenBefore, // A request with this key was accepted here.
    NotHome,    // Another agent is the home in this agent's view.
    Unsure,     // The home cannot be proved now.
};

// The asker's side: holds grants for its set, and the keys that it has accepted.
class KeyHome
{
public:
    struct Settings
    {
        Duration lease = std::chrono::seconds(3);
        Duration maxMembersAge = std::chrono::minutes(10);
        UnixMillis clockMargin = std::chrono::seconds(2);
        std::size_t maxKeys = 100'000;
    };

    KeyHome(InstanceId self, Settings settings);

    // Takes a new member set. Grants for another set are dropped at once.
    void setMembers(MemberSet set);
    // A member granted `set`; the request for it was sent at `askedAt`.
    void onGrant(const InstanceId &member, std::uint64_t set, TimePoint askedAt, TimePoint now,
                 UnixMillis wall);

    // The platform was asked at `at` or later and confirmed the list that the set was made from.
    void confirmMembers(TimePoint at) { membersConfirmedAt_ = std::max(membersConfirmedAt_, at); }

    // Tells whether every member's grant is in force.
    bool holdsAllGrants(TimePoint now) const;
    // Decides on a request with `key`, and records the key if it is accepted.
    KeyVerdict accept(const AccountId &account, std::string_view key, TimePoint now,
                      UnixMillis wall);
    // Takes back an accepted key, because its request was refused before it started.
    void withdraw(const AccountId &account, std::string_view key);

    const MemberSet &members() const { return set_; }
    std::size_t size() const { return acceptedKeys_.size(); }

private:
    void record(std::string scoped, UnixMillis time);

    InstanceId self_;
    Settings settings_;
    MemberSet set_;
    std::map<InstanceId, TimePoint> grantedUntil_;
    TimePoint membersConfirmedAt_{};
    bool active_ = false;
    UnixMillis minKeyTime_{}; // Keys at or before this time are refused.
    std::unordered_set<std::string> acceptedKeys_;
    std::deque<std::pair<UnixMillis, std::string>> insertionOrder_;
};

} // namespace seamarch
