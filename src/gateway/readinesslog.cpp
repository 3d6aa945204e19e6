#include "gateway/readinesslog.h"

#include "base/log.h"

namespace seamarch {

bool ReadinessLog::update(const Readiness &current, const nlohmann::json &inputs, TimePoint now)
{
    if (previous_ == current) {
        return false;
    }
    nlohmann::json fields = inputs;
    fields["reason"] = current.reason;
    fields["before"] = previous_ ? previous_->reason : "started";
    fields["beforeMs"] = previous_ ? toMillis(now - since_) : 0;
    logLine(LogLevel::Info, current.ready ? "gateway.ready" : "gateway.not_ready", fields);
    metrics_.set("seamarch_ready", current.ready ? 1.0 : 0.0);
    previous_ = current;
    since_ = now;
    return true;
}

} // namespace seamarch
