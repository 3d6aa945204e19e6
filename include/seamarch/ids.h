// Strong types for identifiers.
//
// An identifier of one kind cannot be passed where another kind is expected, because each kind is
// a distinct instantiation of `StrongId`. Identifiers are values: they are copied freely, compared
// with the usual operators and usable as keys of ordered and hashed containers.
//
// This header is public. Its names follow the compatibility promise in docs/reference.md.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace seamarch {

// An identifier whose kind is `Tag` and whose representation is `Rep`.
template <typename Tag, typename Rep>
class StrongId
{
public:
    using Representation = Rep;

    StrongId() = default;
    explicit StrongId(Rep value)
        : value_(std::move(value))
    {}

    const Rep &value() const { return value_; }

    friend bool operator==(const StrongId &, const StrongId &) = default;
    friend auto operator<=>(const StrongId &, const StrongId &) = default;

private:
    Rep value_{};
};

// A client account: the unit that shares, limits and metrics are kept for.
using AccountId = StrongId<struct AccountTag, std::string>;
// A data hall.
using HallId = StrongId<struct HallTag, std::string>;
// A region: halls whose requests may be bound to stay there.
using RegionId = StrongId<struct RegionTag, std::string>;
// A process of the system: an entry or an agent, as the platform lists it.
using InstanceId = StrongId<struct InstanceTag, std::string>;
// What a request asks for: the name of a model or of a plain service.
using TargetName = StrongId<struct TargetTag, std::string>;
// One life of a process. It is drawn at random at start, so a replaced process never repeats it.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
// The version of a configuration document; zero means that none is known.
using ConfigVersion = StrongId<struct ConfigVersionTag, std::uint64_t>;
// The version of an instance list.
using ListVersion = StrongId<struct ListVersionTag, std::uint64_t>;
// A group of engines that make their passes together, as its engines name it. A service may have
// several; an engine that starts anew may come back in another one.
using GroupId = StrongId<struct GroupTag, std::string>;
// The epoch of an expert map of one group.
using MapEpoch = StrongId<struct MapEpochTag, std::uint64_t>;
// What a request asks, as a digest: requests that are alike to an upstream have the same one,
// though each of them has an id of its own.
using RequestDigest = StrongId<struct RequestDigestTag, std::uint64_t>;
// When an upstream's process started, as it says itself: Unix milliseconds by the clock of its
// host; zero: it does not say. An upstream that starts again under its id differs in it.
using UpstreamStart = StrongId<struct UpstreamStartTag, std::int64_t>;
// The position of a rank in its group.
using RankIndex = StrongId<struct RankTag, std::uint32_t>;

// Names one request for the whole life of the fleet: the entry's incarnation and its own counter.
struct RequestId
{
    Incarnation entry;
    std::uint64_t counter = 0;

    friend bool operator==(const RequestId &, const RequestId &) = default;
    friend auto operator<=>(const RequestId &, const RequestId &) = default;
};

} // namespace seamarch

template <typename Tag, typename Rep>
struct std::hash<seamarch::StrongId<Tag, Rep>>
{
    std::size_t operator()(const seamarch::StrongId<Tag, Rep> &id) const
    {
        return std::hash<Rep>{}(id.value());
    }
};

template <>
struct std::hash<seamarch::RequestId>
{
    std::size_t operator()(const seamarch::RequestId &id) const
    {
        constexpr std::uint64_t kOddMultiplier = 0x9e3779b97f4a7c15ULL;
        return id.entry.value() ^ (id.counter * kOddMultiplier);
    }
};
