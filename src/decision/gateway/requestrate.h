// A rate of requests.
#pragma once

#include <compare>

namespace seamarch {

// A number of requests per second, as a type of its own.
class RequestRate
{
public:
    constexpr RequestRate() = default;
    // `perSecond` must be finite and not negative.
    constexpr explicit RequestRate(double perSecond)
        : perSecond_(perSecond)
    {}

    constexpr double perSecond() const { return perSecond_; }

    constexpr auto operator<=>(const RequestRate &) const = default;

private:
    double perSecond_ = 0.0;
};

} // namespace seamarch
