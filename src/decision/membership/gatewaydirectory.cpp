#include "decision/membership/gatewaydirectory.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <xxhash.h>

namespace seamarch {
namespace {

using Place = std::pair<std::uint64_t, InstanceId>;

// The place in the order of a hall, which all gateways compute alike.
Place placeOf(const InstanceId &id)
{
    return {XXH3_64bits(id.value().data(), id.value().size()), id};
}

} // namespace

void GatewayDirectory::hear(const GatewayRecord &record, TimePoint heardAt)
{
    if (record.id == self_.id || record.id == InstanceId()) {
        return;
    }
    Member &member = members_[record.id];
    if (member.heardAt != TimePoint{} && heardAt <= member.heardAt) {
        return;
    }
    member.record = record;
    member.heardAt = heardAt;
}

void GatewayDirectory::onAnswered(const InstanceId &id, TimePoint now)
{
    const auto found = members_.find(id);
    if (found != members_.end()) {
        found->second.heardAt = std::max(found->second.heardAt, now);
        found->second.avoidUntil = {};
    }
}

void GatewayDirectory::onFailed(const InstanceId &id, TimePoint now)
{
    const auto found = members_.find(id);
    if (found != members_.end()) {
        found->second.avoidUntil = now + settings_.avoidance;
    }
}

void GatewayDirectory::expire(TimePoint now)
{
    std::erase_if(members_,
                  [&](const auto &entry) { return now - entry.second.heardAt > settings_.life; });
}

InstanceId GatewayDirectory::follower(TimePoint now) const
{
    Place best = placeOf(self_.id);
    for (const auto &[id, member] : members_) {
        if (member.record.hall == self_.hall && member.avoidUntil <= now) {
            best = std::min(best, placeOf(id));
        }
    }
    return best.second;
}

std::optional<InstanceId> GatewayDirectory::firstOf(const HallId &hall, TimePoint now) const
{
    std::optional<Place> best;
    for (const auto &[id, member] : members_) {
        const bool fits = member.record.hall == hall && member.avoidUntil <= now;
        if (fits && (!best || placeOf(id) < *best)) {
            best = placeOf(id);
        }
    }
    return best ? std::optional(best->second) : std::nullopt;
}

InstanceId GatewayDirectory::issuerOf(const InstanceId &upstream, const HallId &hall,
                                      TimePoint now) const
{
    const auto rankOf = [&](const GatewayRecord &record) {
        const std::string both = upstream.value() + '/' + record.id.value();
        return std::tuple(record.hall != hall, XXH3_64bits(both.data(), both.size()), record.id);
    };
    auto best = rankOf(self_);
    for (const auto &[id, member] : members_) {
        if (member.avoidUntil <= now) {
            best = std::min(best, rankOf(member.record));
        }
    }
    return std::get<InstanceId>(best);
}

std::set<HallId> GatewayDirectory::halls() const
{
    std::set<HallId> halls;
    for (const auto &[id, member] : members_) {
        halls.insert(member.record.hall);
    }
    return halls;
}

HallPlace GatewayDirectory::place() const
{
    const Place own = placeOf(self_.id);
    HallPlace place;
    for (const auto &[id, member] : members_) {
        if (member.record.hall == self_.hall) {
            ++place.gateways;
            place.index += placeOf(id) < own ? 1 : 0;
        }
    }
    return place;
}

// Returns the next member after the last turn that fits; one that is passed over only when no other
// fits.
template <typename Fits>
std::optional<InstanceId> GatewayDirectory::nextThat(Fits fits, TimePoint now)
{
    std::optional<InstanceId> best;
    std::pair<bool, bool> bestRank{true, true};
    for (const auto &[id, member] : members_) {
        // Those after the last turn come before those up to it.
        const std::pair<bool, bool> rank{member.avoidUntil > now, id <= lastTurn_};
        if (fits(member.record) && (!best || rank < bestRank)) {
            best = id;
            bestRank = rank;
        }
    }
    if (best) {
        lastTurn_ = *best;
    }
    return best;
}

std::optional<InstanceId> GatewayDirectory::another(const InstanceId &besides, TimePoint now)
{
    return nextThat([&besides](const GatewayRecord &record) { return record.id != besides; }, now);
}

std::optional<InstanceId> GatewayDirectory::farOne(TimePoint now)
{
    return nextThat([this](const GatewayRecord &record) { return record.hall != self_.hall; }, now);
}

const GatewayRecord *GatewayDirectory::find(const InstanceId &id) const
{
    const auto found = members_.find(id);
    return found == members_.end() ? nullptr : &found->second.record;
}

std::vector<GatewayDirectory::Known> GatewayDirectory::known() const
{
    std::vector<Known> all;
    all.reserve(members_.size());
    for (const auto &[id, member] : members_) {
        all.push_back({member.record, member.heardAt});
    }
    return all;
}

} // namespace seamarch
