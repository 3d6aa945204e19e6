// How logs name the states, orders and answers of a change of map.
#pragma once

#include "decision/expertmap/groupdecider.h"

#include <string_view>

namespace seamarch {

// What an obstacle is called when there is none: a change may start.
constexpr std::string_view kNoObstacleName = "none";

std::string_view logName(GroupDecider::Phase phase);
std::string_view logName(GroupDecider::Obstacle obstacle);
std::string_view logName(MapOrderKind kind);
std::string_view logName(MapOrderAnswer answer);

} // namespace seamarch
