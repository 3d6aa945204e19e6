#include "decision/membership/gatewaydirectory.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <xxhash.h>

namespace seamarch {
namespace {

using OrderKey = std::pair<std::uint64_t, InstanceId>;

// Returns the sort key of a gateway in its hall's order, which is the same at all gateways.
OrderKey orderKeyOf(const InstanceId &id)
{
    return {XXH3_64bits(id.value().data(), id.value().size()), id};
}

} // namespace

void GatewayDirectory::recordSeen(const GatewayRecord &record, TimePoint lastSeen)
{
    if (record.id == self_.id || record.id == InstanceId()) {
        return;
    }
    Member &member = members_[record.id];
    if (member.lastSeen != TimePoint{} && lastSeen <= member.lastSeen) {
        return;
    }
    if (member.record != record) {
        member.record = record;
        digest_ = 0;
    }
    member.lastSeen = lastSeen;
}

// Returns all gateways, this one included, ordered by id.
std::vector<GatewayDirectory::KnownPeer> GatewayDirectory::sortedWithSelf(TimePoint now) const
{
    std::vector<KnownPeer> peers = knownPeers();
    const auto insertionPoint = std::lower_bound(
        peers.begin(), peers.end(), self_.id,
        [](const KnownPeer &peer, const InstanceId &id) { return peer.record.id < id; });
    peers.insert(insertionPoint, {self_, now});
    return peers;
}

std::uint64_t GatewayDirectory::digest() const
{
    if (digest_ == 0) {
        std::string text;
        for (const KnownPeer &peer : sortedWithSelf(TimePoint{})) {
            const GatewayRecord &record = peer.record;
            text += record.id.value() + '|' + record.hall.value() + '|' + record.host + '|'
                    + std::to_string(record.port) + '\n';
        }
        digest_ = std::max<std::uint64_t>(1, XXH3_64bits(text.data(), text.size()));
    }
    return digest_;
}

GatewayDirectory::GossipUpdate GatewayDirectory::gossipFor(std::uint64_t receiverDigest,
                                                           TimePoint now) const
{
    GossipUpdate gossip;
    gossip.digest = digest();
    if (receiverDigest != gossip.digest) {
        gossip.peers = knownPeers();
        return gossip;
    }
    constexpr Duration::rep kMaxAgeSteps = 255;
    for (const KnownPeer &peer : sortedWithSelf(now)) {
        const Duration age = std::max(Duration{}, now - peer.lastSeen);
        const Duration::rep steps = (age + kAgeStep - Duration(1)) / kAgeStep; // Rounded up.
        gossip.ages.push_back(static_cast<std::uint8_t>(std::min(steps, kMaxAgeSteps)));
    }
    return gossip;
}

bool GatewayDirectory::applyGossip(const GossipUpdate &gossip, TimePoint now)
{
    for (const KnownPeer &peer : gossip.peers) {
        recordSeen(peer.record, peer.lastSeen);
    }
    if (gossip.ages.empty()) {
        return true;
    }
    if (gossip.digest != digest() || gossip.ages.size() != size()) {
        return false;
    }
    const std::vector<KnownPeer> peers = sortedWithSelf(now);
    for (std::size_t index = 0; index < peers.size(); ++index) {
        recordSeen(peers[index].record,
                   now - kAgeStep * static_cast<Duration::rep>(gossip.ages[index]));
    }
    return true;
}

void GatewayDirectory::onAnswered(const InstanceId &id, TimePoint now)
{
    const auto found = members_.find(id);
    if (found != members_.end()) {
        found->second.lastSeen = std::max(found->second.lastSeen, now);
        found->second.cooldownUntil = {};
    }
}

void GatewayDirectory::onFailed(const InstanceId &id, TimePoint now)
{
    const auto found = members_.find(id);
    if (found != members_.end()) {
        found->second.cooldownUntil = now + settings_.failureCooldown;
    }
}

void GatewayDirectory::expire(TimePoint now)
{
    const std::size_t expired = std::erase_if(members_, [&](const auto &entry) {
        return now - entry.second.lastSeen > settings_.timeToLive;
    });
    digest_ = expired > 0 ? 0 : digest_;
}

InstanceId GatewayDirectory::localStoreFollower(TimePoint now) const
{
    OrderKey best = orderKeyOf(self_.id);
    for (const auto &[id, member] : members_) {
        if (member.record.hall == self_.hall && member.cooldownUntil <= now) {
            best = std::min(best, orderKeyOf(id));
        }
    }
    return best.second;
}

std::optional<InstanceId> GatewayDirectory::storeFollowerOf(const HallId &hall, TimePoint now) const
{
    std::optional<OrderKey> best;
    for (const auto &[id, member] : members_) {
        const bool fits = member.record.hall == hall && member.cooldownUntil <= now;
        if (fits && (!best || orderKeyOf(id) < *best)) {
            best = orderKeyOf(id);
        }
    }
    return best ? std::optional(best->second) : std::nullopt;
}

InstanceId GatewayDirectory::permitIssuerFor(const InstanceId &upstream, const HallId &hall,
                                             TimePoint now) const
{
    const auto preferenceOf = [&](const GatewayRecord &record) {
        const std::string combined = upstream.value() + '/' + record.id.value();
        return std::tuple(record.hall != hall, XXH3_64bits(combined.data(), combined.size()),
                          record.id);
    };
    auto best = preferenceOf(self_);
    for (const auto &[id, member] : members_) {
        if (member.cooldownUntil <= now) {
            best = std::min(best, preferenceOf(member.record));
        }
    }
    return std::get<InstanceId>(best);
}

std::set<HallId> GatewayDirectory::peerHalls() const
{
    std::set<HallId> halls;
    for (const auto &[id, member] : members_) {
        halls.insert(member.record.hall);
    }
    return halls;
}

HallPosition GatewayDirectory::hallPosition() const
{
    const OrderKey own = orderKeyOf(self_.id);
    HallPosition position;
    for (const auto &[id, member] : members_) {
        if (member.record.hall == self_.hall) {
            ++position.gateways;
            position.index += orderKeyOf(id) < own ? 1 : 0;
        }
    }
    return position;
}

std::optional<InstanceId> GatewayDirectory::nextPeer(const InstanceId &excluded, TimePoint now)
{
    std::optional<InstanceId> best;
    std::pair<bool, bool> bestRank{true, true};
    for (const auto &[id, member] : members_) {
        // Ids after the last one returned come first.
        const std::pair<bool, bool> rank{member.cooldownUntil > now, id <= lastNextPeer_};
        if (id != excluded && (!best || rank < bestRank)) {
            best = id;
            bestRank = rank;
        }
    }
    if (best) {
        lastNextPeer_ = *best;
    }
    return best;
}

const GatewayRecord *GatewayDirectory::find(const InstanceId &id) const
{
    const auto found = members_.find(id);
    return found == members_.end() ? nullptr : &found->second.record;
}

std::vector<GatewayDirectory::KnownPeer> GatewayDirectory::knownPeers() const
{
    std::vector<KnownPeer> peers;
    peers.reserve(members_.size());
    for (const auto &[id, member] : members_) {
        peers.push_back({member.record, member.lastSeen});
    }
    return peers;
}

} // namespace seamarch
