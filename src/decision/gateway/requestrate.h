// How many requests a second somebody takes.
#pragma once

#include <compare>

namespace seamarch {

class RequestRate
{
public:
    constexpr RequestRate() = default;
    // `perSecond` is finite and not negative.
    constexpr explicit RequestRate(double perSecond)
        : perSecond_(perSecond)
    {}

    constexpr double perSecond() const { return perSecond_; }

    constexpr auto operator<=>(const RequestRate &) const = default;

private:
    double perSecond_ = 0.0;
};

} // namespace seamarch
