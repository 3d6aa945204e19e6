// One gateway's view of the gateways of its site, maintained by gossip, and the election of the
// gateway that follows the platform's store.
//
// Calls to the store are billed, and a change of the store completes every call that waits there.
// Therefore one gateway per hall follows the store, and the other gateways of the hall follow that
// gateway, because traffic within a hall is free. Gateways are ordered by a hash of their ids, so
// all compute the same order; the first that answers is the store follower. Gateways with different
// views may elect two store followers, which only costs additional calls.
//
// A gateway that neither this gateway nor its peers have seen within the time to live is evicted.
// Gateways therefore repeatedly exchange when they last saw each other. If both sides know the same
// set of gateways, which is the usual case, a message carries only one byte of age per gateway.
//
// Performs no I/O, reads no clock, and is not thread-safe.
#pragma once

#include "decision/gateway/hallposition.h"
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
    std::string host; // An IP address.
    int port = 0;     // The port on which it listens for other gateways.

    bool operator==(const GatewayRecord &) const = default;
};

class GatewayDirectory
{
public:
    struct Settings
    {
        // How long a gateway that did not answer is skipped.
        Duration failureCooldown = std::chrono::seconds(2);
        // How long a gateway is kept after it was last seen. A running gateway sends requests
        // several times a second.
        Duration timeToLive = std::chrono::seconds(10);
    };

    // A gateway and when it was last seen by any gateway.
    struct KnownPeer
    {
        GatewayRecord record;
        TimePoint lastSeen{};
    };

    // A gossip message: the gateways that the sender knows, in full or as ages only.
    struct GossipUpdate
    {
        std::uint64_t digest = 0; // Digest of all gateways that the sender knows, itself included.
        std::vector<KnownPeer> peers; // All but the sender; empty if the digests match.
        // If the digests match: the time since each gateway was last seen, the sender included, in
        // units of `kAgeStep` and ordered by id.
        std::vector<std::uint8_t> ages;
    };

    static constexpr Duration kAgeStep = std::chrono::milliseconds(50);

    GatewayDirectory(GatewayRecord self, const Settings &settings)
        : self_(std::move(self))
        , settings_(settings)
    {}

    const GatewayRecord &self() const { return self_; }

    // Records that a gateway was seen at `lastSeen`. Ignored if it was seen later already.
    void recordSeen(const GatewayRecord &record, TimePoint lastSeen);
    // Records that the gateway answered, which ends its cooldown, or that it failed to answer,
    // which starts one. Ignored for unknown gateways.
    void onAnswered(const InstanceId &id, TimePoint now);
    void onFailed(const InstanceId &id, TimePoint now);
    // Evicts gateways that were not seen within the time to live.
    void expire(TimePoint now);

    // Returns a nonzero digest of the ids, halls and addresses of all known gateways, this one
    // included.
    std::uint64_t digest() const;
    // Returns the message for a gateway whose directory has the digest `receiverDigest`.
    GossipUpdate gossipFor(std::uint64_t receiverDigest, TimePoint now) const;
    // Merges a message that was received at `now`. Returns false if it carries ages for a set of
    // gateways that differs from the one known at present.
    bool applyGossip(const GossipUpdate &gossip, TimePoint now);

    // Returns the gateway of this hall that follows the store: the first in hash order that is not
    // in cooldown. May be this gateway.
    InstanceId localStoreFollower(TimePoint now) const;
    // Returns the store follower of another hall; nullopt if all its gateways are in cooldown.
    std::optional<InstanceId> storeFollowerOf(const HallId &hall, TimePoint now) const;
    // Returns the gateway that issues send permits for an upstream in `hall`. All gateways with the
    // same view compute the same one. A gateway of that hall is preferred, because its gateways
    // send most of the requests and still reach each other when the hall is partitioned.
    InstanceId permitIssuerFor(const InstanceId &upstream, const HallId &hall, TimePoint now) const;
    // Returns the halls of the other gateways, which may include this gateway's own.
    std::set<HallId> peerHalls() const;
    // Returns this gateway's position in the hash order of its hall, and the hall's gateway count.
    HallPosition hallPosition() const;
    // Returns the next of the other gateways except `excluded`, in round-robin order; gateways in
    // cooldown come last. Returns nullopt if there is no other gateway.
    std::optional<InstanceId> nextPeer(const InstanceId &excluded, TimePoint now);

    const GatewayRecord *find(const InstanceId &id) const;
    // Returns all gateways but this one, ordered by id.
    std::vector<KnownPeer> knownPeers() const;
    // Returns the number of known gateways, this one included.
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
    std::map<InstanceId, Member> members_; // Excludes this gateway.
    mutable std::uint64_t digest_ = 0;     // Zero if it has to be recomputed.
    InstanceId lastNextPeer_;              // The last result of `nextPeer`.
};

} // namespace seamarch
