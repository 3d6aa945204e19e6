// What a request costs an upstream, as one number for queueing, shares and load.
//
// The unit is one generated token. A prompt token costs far less: an engine reads a prompt in
// parallel but generates token by token. Counting both alike makes long prompts look like long
// work; docs/design/routing.md has the measurement.
#pragma once

#include "seamarch/units.h"

namespace seamarch {

// Cost of one prompt token, in generated tokens.
constexpr double kPromptTokenCost = 0.01;

// Returns the cost of a prompt and an answer, at least 1.
inline Tokens requestCost(Tokens promptTokens, Tokens answerTokens)
{
    const double prompt = kPromptTokenCost * static_cast<double>(promptTokens);
    return answerTokens + static_cast<Tokens>(prompt) + 1;
}

} // namespace seamarch
