#include "decision/expertmap/forwardedorders.h"

#include <algorithm>

namespace seamarch {

// Discards the state of an earlier epoch, because versions restart in every epoch.
void ForwardedOrders::enterEpoch(std::uint64_t epoch)
{
    if (epoch > epoch_) {
        epoch_ = epoch;
        highestPrepared_ = 0;
        mapInUse_ = 0;
        engineReported_ = false;
        unarmedVersion_ = 0;
    }
}

void ForwardedOrders::recordReport(std::uint64_t epoch, std::uint64_t prepared, std::uint64_t map)
{
    enterEpoch(epoch);
    if (epoch == epoch_) {
        engineReported_ = true;
        mapInUse_ = map;
        highestPrepared_ = std::max(highestPrepared_, prepared);
    }
}

bool ForwardedOrders::admit(const MapOrder &order)
{
    if (order.fence < fence_) {
        return false;
    }
    fence_ = order.fence;
    enterEpoch(order.epoch);
    if (order.epoch < epoch_) {
        return true; // The engine refuses it, and it does not affect the recorded state.
    }
    // A repeated prepare is ignored, because an arm may have been forwarded in between.
    if (order.kind == MapOrderKind::Prepare && order.version > highestPrepared_) {
        const bool previousInUse = engineReported_ && highestPrepared_ <= mapInUse_;
        highestPrepared_ = order.version;
        unarmedVersion_ = previousInUse ? order.version : 0;
    } else if (order.kind == MapOrderKind::Arm && order.version == unarmedVersion_) {
        unarmedVersion_ = 0;
    }
    return true;
}

} // namespace seamarch
