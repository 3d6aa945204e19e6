// Measured slopes for docs/CAPACITY.md: time and memory for each entity, on this machine.
//
// These figures are wall-clock and resident-memory readings. They are printed, never asserted.
#pragma once

namespace seamarch::bench {

// Prints one JSON object of slopes.
int printSlopes();

} // namespace seamarch::bench
