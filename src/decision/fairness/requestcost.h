// The cost of a request at an upstream, used for queueing, fair shares and load estimates.
//
// The unit is one generated token. A prompt token costs far less, because an engine processes the
// prompt in parallel but generates the answer token by token. Equal weights would overestimate the
// cost of long prompts; docs/design/routing.md has the measurement.
#pragma once

#include "seamarch/units.h"

namespace seamarch {

// Cost of one prompt token, in generated tokens.
constexpr double kPromptTokenCost = 0.01;

// Returns the cost of a request with the given number of prompt and answer tokens; at least 1.
inline Tokens requestCost(Tokens promptTokens, Tokens answerTokens)
{
    const double prompt = kPromptTokenCost * static_cast<double>(promptTokens);
    return answerTokens + static_cast<Tokens>(prompt) + 1;
}

} // namespace seamarch
