// Takes upstreams that keep failing out of the choice for a while, and never too many.
//
// An upstream is ejected after a number of failures in a row, for a time that doubles with each
// ejection. When it returns it has one trial: one more failure ejects it again. At most a part of
// the candidates is ejected at any time; beyond that, those whose ejection ends first are let back
// in, because a fleet in which everything fails is served best by trying everything.
//
// The class is pure and single-threaded.
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
        std::uint32_t consecutiveFailures = 3;
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
    // The agent is a new incarnation: what the old one did does not count.
    void reset(const InstanceId &agent);

    bool isEjected(const InstanceId &agent, TimePoint now) const;
    // Returns the candidates that remain; at least (1 - maxEjectedFraction) of them, rounded up.
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
