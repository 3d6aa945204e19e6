// A load tool: callers in a closed loop that check that every answer is whole and their own.
#pragma once

#include <string>
#include <vector>

namespace seamarch::bench {

// What the load is.
struct LoadOptions
{
    std::vector<std::string> addresses; // IP:PORT of entries, or of stand-ins for a direct load.
    std::vector<std::string> keys;      // Bearer keys, used in turn.
    std::string model;                  // Empty: no completions.
    std::string service;                // `name/path`; empty: no service calls.
    int callers = 16;
    double seconds = 2.0;
    int answerTokens = 8;
    bool streamed = false;
};

// Runs the load and prints one JSON object. Returns the exit code: 0 unless an answer was wrong.
int runLoad(const LoadOptions &options);

} // namespace seamarch::bench
