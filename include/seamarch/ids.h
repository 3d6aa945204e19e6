// Strong types for identifiers.
//
// Each kind of identifier is a distinct instantiation of `StrongId`, so that one kind cannot be
// passed where another is expected. Identifiers are values: they can be copied, compared with the
// usual operators, and used as keys of ordered and hashed containers.
//
// This header is public. Its names follow the compatibility promise in docs/reference.md.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace seamarch {

// An identifier of the kind `Tag` that is represented as a `Rep`.
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

// A client account, the unit to which shares, limits and metrics apply.
using AccountId = StrongId<struct AccountTag, std::string>;
// A data hall.
using HallId = StrongId<struct HallTag, std::string>;
// A region, a set of halls. Requests can be restricted to the halls of a region.
using RegionId = StrongId<struct RegionTag, std::string>;
// A process of the system, an entry or an agent, under its id in the platform's instance list.
using InstanceId = StrongId<struct InstanceTag, std::string>;
// The target of a request: the name of a model or of a plain service.
using TargetName = StrongId<struct TargetTag, std::string>;
// One run of a process. It is drawn at random at start, so that a restarted process has another
// one.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
// The version of a configuration document; 0 means that none is known.
using ConfigVersion = StrongId<struct ConfigVersionTag, std::uint64_t>;
// The version of an instance list.
using ListVersion = StrongId<struct ListVersionTag, std::uint64_t>;
// A group of engines that run their passes together, under the name that the engines report. A
// service may have several groups, and a restarted engine may join another one.
using GroupId = StrongId<struct GroupTag, std::string>;
// The epoch of a group's expert map.
using MapEpoch = StrongId<struct MapEpochTag, std::uint64_t>;
// A digest of a request's content. Requests that are identical to an upstream have the same digest,
// but different request ids.
using RequestDigest = StrongId<struct RequestDigestTag, std::uint64_t>;
// A hash of the name of a prompt part, such as a system prompt or a document, that requests share.
using PromptPartId = StrongId<struct PromptPartTag, std::uint64_t>;
// The start time that an upstream's process reports, in Unix milliseconds by its host's clock; 0 if
// it reports none. It distinguishes a restarted upstream from an earlier process with the same id.
using UpstreamStart = StrongId<struct UpstreamStartTag, std::int64_t>;
// The index of a rank in its group.
using RankIndex = StrongId<struct RankTag, std::uint32_t>;

// Identifies a request uniquely over the lifetime of the fleet, by the incarnation of the entry
// that accepted it and a counter of that entry.
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
