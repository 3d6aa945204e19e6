// Limits retries to a part of recent successes, so that a failing fleet is not asked twice as much.
//
// The class is pure and single-threaded.
#pragma once

#include "seamarch/units.h"

#include <algorithm>

namespace seamarch {

class RetryBudget
{
public:
    struct Settings
    {
        double permitsPerSuccess = 0.1; // Permits that each first attempt that succeeds earns.
        double maxPermits = 20.0;
        double initialPermits = 5.0;
    };

    RetryBudget() = default;
    explicit RetryBudget(Settings settings)
        : settings_(settings)
        , permits_(settings.initialPermits)
    {}

    // Changes what is earned from now on; permits over the new most are lost.
    void reconfigure(const Settings &settings)
    {
        settings_ = settings;
        permits_ = std::min(permits_, settings_.maxPermits);
    }
    void onSuccess();
    bool hasPermit() const { return permits_ >= 1.0; }
    // Takes a permit. Returns false when none is left.
    bool tryAcquire();

private:
    Settings settings_;
    double permits_ = Settings().initialPermits;
};

} // namespace seamarch
