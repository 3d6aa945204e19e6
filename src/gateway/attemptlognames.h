// The names in log lines of what ends an attempt.
#pragma once

#include "decision/gateway/gatewaycore.h"
#include "net/httpclient.h"

#include <string_view>

namespace seamarch {

std::string_view logName(HttpCallEnd end);
std::string_view logName(AnswerKind kind);

} // namespace seamarch
