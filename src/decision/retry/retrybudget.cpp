#include "decision/retry/retrybudget.h"

#include <algorithm>

namespace seamarch {

void RetryBudget::onSuccess()
{
    permits_ = std::min(settings_.maxPermits, permits_ + settings_.permitsPerSuccess);
}

bool RetryBudget::tryAcquire()
{
    if (permits_ < 1.0) {
        return false;
    }
    permits_ -= 1.0;
    return true;
}

} // namespace seamarch
