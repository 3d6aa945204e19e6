#include "decision/expertmap/deciderfence.h"

#include <algorithm>

namespace seamarch {

void DeciderFence::raise(std::uint64_t highestKnown, bool overtaken)
{
    std::uint64_t highest = std::max({value_, floor_ * kStride, highestKnown});
    if (overtaken) {
        highest += backoffStrides_ * kStride;
        backoffStrides_ *= 2;
    }
    value_ = (highest / kStride + 1) * kStride + suffix_;
}

std::uint64_t DeciderFence::nextFloor() const
{
    return std::max(floor_, value_ / kStride + 1);
}

} // namespace seamarch
