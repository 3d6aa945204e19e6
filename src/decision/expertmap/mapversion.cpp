#include "decision/expertmap/mapversion.h"

namespace seamarch {
namespace {

// Number of codes that the low digits of a version can hold. Code 0 stands for no rank, and code
// `rank + 1` for a rank. Higher ranks cannot be encoded; changes that they decide on cannot be
// cleared without them.
constexpr std::uint64_t kRankCodes = 1024;

} // namespace

std::uint64_t mapVersionAbove(std::uint64_t lowest, std::optional<std::uint32_t> armedLast)
{
    const bool encodable = armedLast && *armedLast + 1 < kRankCodes;
    const std::uint64_t rankCode = encodable ? *armedLast + 1 : 0;
    return (lowest / kRankCodes + 1) * kRankCodes + rankCode;
}

std::optional<std::uint32_t> rankArmedLast(std::uint64_t version)
{
    const std::uint64_t rankCode = version % kRankCodes;
    return rankCode == 0 ? std::nullopt : std::optional(static_cast<std::uint32_t>(rankCode - 1));
}

} // namespace seamarch
