// Identifies what is suspected of crashing upstreams: a whole request, or a part of its prompt.
#pragma once

#include "seamarch/ids.h"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace seamarch {

enum class SuspectKind : std::uint8_t {
    Request,    // A request with this content, of one account.
    PromptPart, // All requests to a service whose prompt has this part.
};

struct SuspectKey
{
    SuspectKind kind = SuspectKind::Request;
    std::uint64_t value = 0; // A hash; only keys of the same kind are comparable.

    SuspectKey() = default;
    SuspectKey(SuspectKind keyKind, std::uint64_t hash)
        : kind(keyKind)
        , value(hash)
    {}
    explicit SuspectKey(const RequestDigest &digest)
        : value(digest.value())
    {}
    // A part that crashes the upstreams of one service may be harmless to those of another.
    SuspectKey(const TargetName &service, const PromptPartId &part);

    friend bool operator==(const SuspectKey &, const SuspectKey &) = default;
};

} // namespace seamarch

template <>
struct std::hash<seamarch::SuspectKey>
{
    std::size_t operator()(const seamarch::SuspectKey &key) const noexcept
    {
        return std::hash<std::uint64_t>()(key.value + static_cast<std::uint64_t>(key.kind));
    }
};
