#include "experts/maplognames.h"

namespace seamarch {

std::string_view logName(GroupDecider::Phase phase)
{
    switch (phase) {
    case GroupDecider::Phase::Idle:
        return "idle";
    case GroupDecider::Phase::Preparing:
        return "preparing";
    case GroupDecider::Phase::Holding:
        return "holding";
    case GroupDecider::Phase::Arming:
        return "arming";
    case GroupDecider::Phase::Clearing:
        return "clearing";
    case GroupDecider::Phase::Releasing:
        return "releasing";
    }
    return "unknown";
}

std::string_view logName(GroupDecider::Obstacle obstacle)
{
    switch (obstacle) {
    case GroupDecider::Obstacle::None:
        return kNoObstacleName;
    case GroupDecider::Obstacle::ChangeUnderWay:
        return "change in progress";
    case GroupDecider::Obstacle::RanksUnknown:
        return "ranks unknown";
    case GroupDecider::Obstacle::GroupBroken:
        return "group accepts no requests";
    case GroupDecider::Obstacle::ReportsOld:
        return "reports outdated";
    case GroupDecider::Obstacle::MapsDiffer:
        return "maps differ";
    case GroupDecider::Obstacle::ArmPending:
        return "armed map not in use yet";
    case GroupDecider::Obstacle::Foreign:
        return "arm or hold of another decider";
    }
    return "unknown";
}

std::string_view logName(MapOrderKind kind)
{
    switch (kind) {
    case MapOrderKind::Prepare:
        return "prepare";
    case MapOrderKind::Arm:
        return "arm";
    case MapOrderKind::Disarm:
        return "disarm";
    case MapOrderKind::Hold:
        return "hold";
    case MapOrderKind::Go:
        return "go";
    }
    return "unknown";
}

std::string_view logName(MapOrderAnswer answer)
{
    switch (answer) {
    case MapOrderAnswer::Done:
        return "done";
    case MapOrderAnswer::Refused:
        return "refused";
    case MapOrderAnswer::Fenced:
        return "fenced";
    case MapOrderAnswer::Lost:
        return "lost";
    case MapOrderAnswer::Copied:
        return "copied";
    }
    return "unknown";
}

} // namespace seamarch
