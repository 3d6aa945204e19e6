// Measured slopes for docs/CAPACITY.md: the time and memory that each additional entity (account,
// agent, request and the like) costs on this machine.
//
// The values are wall-clock times and heap sizes, which vary between runs and machines. They are
// printed and never checked against bounds.
#pragma once

namespace seamarch::bench {

// Measures the slopes and prints them as one JSON object. Returns the exit code, which is always 0.
int printSlopes();

} // namespace seamarch::bench
