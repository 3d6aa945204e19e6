// Temporarily ejects upstreams that keep failing from the candidates for new requests.
//
// An upstream is ejected after a number of consecutive failures, for a time that doubles with each
// ejection. After it returns, a single failure ejects it again; a success resets its state. At most
// a fraction of the candidates is ejected at any time. Beyond that, those whose ejection ends first
// are readmitted, because when the whole fleet fails, trying every upstream serves best.
//
// The class performs no I/O, reads no clock, and is not thread-safe.
#pragma once

#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace seamarch {

class OutlierDetector
{
public:
    struct Settings
    {
        std::uint32_t consecutiveFailures = 3; // Failures before the first ejection.
        Duration baseEjectionTime = std::chrono::seconds(2);
        Duration maxEjectionTime = std::chrono::seconds(60);
        double maxEjectedFraction = 0.5;
    };

    OutlierDetector() = default;
    explicit OutlierDetector(Settings settings)
        : settings_(settings)
    {}

    void onSuccess(const InstanceId &agent);
    void onFailure(const InstanceId &agent, TimePoint now);
    // Discards the state of an agent that has a new incarnation.
    void reset(const InstanceId &agent);

    bool isEjected(const InstanceId &agent, TimePoint now) const;
    // Returns the candidates that are not ejected, but at least (1 - maxEjectedFraction) of all
    // candidates, rounded up.
    std::vector<InstanceId> filterCandidates(const std::vector<InstanceId> &candidates,
                                             TimePoint now) const;

private:
    struct State
    {
        std::uint32_t failures = 0;
        std::uint32_t ejections = 0;
        TimePoint ejectedUntil{};
    };

    Settings settings_;
    std::unordered_map<InstanceId, State> states_;
};

} // namespace seamarch
