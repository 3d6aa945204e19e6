// Limits retries to a fraction of recent successes, so that retries do not double the load on a
// fleet that is failing.
//
// The class is not thread-safe.
#pragma once

#include "seamarch/units.h"

#include <algorithm>

namespace seamarch {

class RetryBudget
{
public:
    struct Settings
    {
        double permitsPerSuccess = 0.1; // Retry permits earned per successful first attempt.
        double maxPermits = 20.0;
        double initialPermits = 5.0;
    };

    RetryBudget() = default;
    explicit RetryBudget(Settings settings)
        : settings_(settings)
        , permits_(settings.initialPermits)
    {}

    // Replaces the settings. Permits beyond the new maximum are dropped.
    void reconfigure(const Settings &settings)
    {
        settings_ = settings;
        permits_ = std::min(permits_, settings_.maxPermits);
    }
    // Records that a first attempt succeeded.
    void onSuccess();
    double permits() const { return permits_; }
    bool hasPermit() const { return permits_ >= 1.0; }
    // Consumes one permit. Returns false if none is available.
    bool tryAcquire();

private:
    Settings settings_;
    double permits_ = Settings().initialPermits;
};

} // namespace seamarch
