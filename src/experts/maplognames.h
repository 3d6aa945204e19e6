// Names that log lines use for the phases, obstacles, orders and answers of expert map changes.
#pragma once

#include "decision/expertmap/groupdecider.h"

#include <string_view>

namespace seamarch {

// Logged in place of an obstacle when a change may start.
constexpr std::string_view kNoObstacleName = "none";

std::string_view logName(GroupDecider::Phase phase);
std::string_view logName(GroupDecider::Obstacle obstacle);
std::string_view logName(MapOrderKind kind);
std::string_view logName(MapOrderAnswer answer);

} // namespace seamarch
