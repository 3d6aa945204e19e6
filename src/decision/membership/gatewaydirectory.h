// The gateways of a site, as one of them knows them, and which of them asks the platform's store.
//
// Every call to the store has a price, and a change of the store wakes every call that waits there.
// So one gateway of each hall follows the store, and the others of the hall follow that one: within
// a hall, bytes cost nothing. The gateways of a hall stand in an order that all compute alike, a
// hash of their ids; the first that answers is the one to follow. Two gateways with different views
// may both follow the store, which only costs calls.
//
// A gateway that was not heard of for a while, by any of those it hears from, is forgotten. So the
// gateways tell each other again and again whom they have heard of. Where asker and teller know the
// same gateways, which is nearly always, ages are all that is told: a byte for each.
//
// Pure and single-threaded.
#pragma once

#include "decision/gateway/upstreamturn.h"
#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace seamarch {

struct GatewayRecord
{
    InstanceId id;
    HallId hall;
    std::string host; // An IP number.
    int port = 0;     // Where it listens for other gateways.

    bool operator==(const GatewayRecord &) const = default;
};

class GatewayDirectory
{
public:
    struct Settings
    {
        // How long a gateway that did not answer is passed over.
        Duration failureCooldown = std::chrono::seconds(2);
        // How long a gateway is known after it was last heard of: it asks several times a second.
        Duration timeToLive = std::chrono::seconds(10);
    };

    // A gateway and when it was last heard of, by anyone.
    struct KnownPeer
    {
        GatewayRecord record;
        TimePoint lastSeen{};
    };

    // What one gateway tells another of those that it knows.
    struct GossipUpdate
    {
        std::uint64_t digest =
            0; // Names the set of gateways that the teller knows, itself included.
        std::vector<KnownPeer> peers; // All but the teller, where the asker knows another set.
        // Else how long ago each was heard of, in the order of their ids, the teller among them; in
        // steps of `kAgeStep`.
        std::vector<std::uint8_t> ages;
    };

    static constexpr Duration kAgeStep = std::chrono::milliseconds(50);

    GatewayDirectory(GatewayRecord self, const Settings &settings)
        : self_(std::move(self))
        , settings_(settings)
    {}

    const GatewayRecord &self() const { return self_; }

    // Hears of a gateway, as of `lastSeen`.
    void recordSeen(const GatewayRecord &record, TimePoint lastSeen);
    // The gateway has answered, or has failed to.
    void onAnswered(const InstanceId &id, TimePoint now);
    void onFailed(const InstanceId &id, TimePoint now);
    // Forgets those that were not heard of for too long.
    void expire(TimePoint now);

    // Returns a number that names the set of gateways that are known, this one included, and where
    // they listen; not zero.
    std::uint64_t digest() const;
    // Returns what to tell one that knows the set named `receiverDigest`.
    GossipUpdate gossipFor(std::uint64_t receiverDigest, TimePoint now) const;
    // Takes what another gateway tells at `now`. Returns false when ages came for another set than
    // the one that is known by now.
    bool applyGossip(const GossipUpdate &gossip, TimePoint now);

    // Returns the gateway of the own hall that follows the store: the first in the hall's order
    // that is not passed over. That may be this one.
    InstanceId localStoreFollower(TimePoint now) const;
    // Returns the first in the order of another hall that is not passed over; nothing when all are.
    std::optional<InstanceId> storeFollowerOf(const HallId &hall, TimePoint now) const;
    // Returns the gateway that hands out permits for an upstream in `hall`: all compute it alike.
    // One of that hall is taken, if there is any: its gateways send most of what goes there, and
    // they still reach each other when their hall is cut off.
    InstanceId permitIssuerFor(const InstanceId &upstream, const HallId &hall, TimePoint now) const;
    // Returns the halls that other gateways are in.
    std::set<HallId> peerHalls() const;
    // Returns how many gateways of the own hall come before this one, and how many there are.
    HallPlace hallPlace() const;
    // Returns another gateway than this one and `besides`, a different one with each call, those
    // that are passed over last.
    std::optional<InstanceId> nextPeer(const InstanceId &excluded, TimePoint now);

    const GatewayRecord *find(const InstanceId &id) const;
    // Returns all but this one, in the order of their ids.
    std::vector<KnownPeer> knownPeers() const;
    std::size_t size() const { return members_.size() + 1; }

private:
    struct Member
    {
        GatewayRecord record;
        TimePoint lastSeen{};
        TimePoint cooldownUntil{};
    };

    std::vector<KnownPeer> sortedWithSelf(TimePoint now) const;

    GatewayRecord self_;
    Settings settings_;
    std::map<InstanceId, Member> members_; // Without this one.
    mutable std::uint64_t digest_ = 0;     // Zero: to be computed.
    InstanceId lastNextPeer_;              // That `another` returned last.
};

} // namespace seamarch
