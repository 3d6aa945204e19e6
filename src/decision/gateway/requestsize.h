// The work that a request asks of an engine, as its caller states it.
#pragma once

#include "seamarch/units.h"

namespace seamarch {

// Zero stands for a value that is not stated.
struct RequestSize
{
    Tokens prompt = 0;
    Tokens answer = 0; // Expected length; correct at the median, but often far off.
};

} // namespace seamarch
