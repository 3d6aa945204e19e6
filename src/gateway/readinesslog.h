// Logs when a gateway becomes ready and when it stops being ready, with the reason, so that the log
// alone tells since when and why a gateway gets no callers.
//
// Single-threaded. The metrics must outlive the object.
#pragma once

#include "observe/metrics.h"
#include "seamarch/units.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace seamarch {

// The answer to "is the gateway ready?". `reason` is empty if it is.
struct Readiness
{
    bool ready = false;
    std::string reason;

    bool operator==(const Readiness &) const = default;
};

class ReadinessLog
{
public:
    explicit ReadinessLog(Metrics &metrics)
        : metrics_(metrics)
    {}

    // Writes one line if `current` differs from the state of the previous call, and for the first
    // call. `inputs` are the facts that the state follows from; they become fields of the line.
    // Returns whether a line was written.
    bool update(const Readiness &current, const nlohmann::json &inputs, TimePoint now);

private:
    Metrics &metrics_;
    std::optional<Readiness> previous_;
    TimePoint since_{}; // When `previous_` began.
};

} // namespace seamarch
