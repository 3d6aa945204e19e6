// The fences of one decider: numbers that order its orders after those of earlier deciders.
//
// Each decider draws the low digits of its fences at random, so that no two deciders use the same
// fence, including an earlier decider at the same rank. With a floor in tenths of a second since
// 1970, fences stay below 2^53, up to which JSON parsers represent integers exactly.
//
// Performs no I/O; not thread-safe.
#pragma once

#include <cstdint>

namespace seamarch {

class DeciderFence
{
public:
    // `floor` is a lower bound of the fences, in units of 2^18.
    DeciderFence(std::uint64_t floor, std::uint64_t random)
        : floor_(floor)
        , suffix_(random % kStride)
    {}

    std::uint64_t value() const { return value_; }
    // Raises the fence above itself and `highestKnown`. If another decider has overtaken it, the
    // increment doubles each time, because the distance to the higher fence is unknown.
    void raise(std::uint64_t highestKnown, bool overtaken);
    // Returns a floor above all fences up to now.
    std::uint64_t nextFloor() const;

private:
    static constexpr std::uint64_t kStride = 1U << 18U;

    std::uint64_t floor_;
    std::uint64_t suffix_; // The low digits of all fences.
    std::uint64_t value_ = 0;
    std::uint64_t backoffStrides_ = 1; // Strides added when the fence was overtaken.
};

} // namespace seamarch
