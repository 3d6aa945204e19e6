// A closed-loop load generator: each caller waits for its answer before it sends the next request,
// and checks that the answer is complete and belongs to its own request.
#pragma once

#include <string>
#include <vector>

namespace seamarch::bench {

// Target, mix and size of the load.
struct LoadOptions
{
    std::vector<std::string> addresses; // IP:PORT of entries, or of stand-in upstreams.
    std::vector<std::string> keys;      // Bearer keys, used in rotation; may be empty.
    std::string model;                  // Model of completion calls; empty for none.
    std::string service;                // `name/path` of service calls; empty for none.
    int callers = 16;
    double seconds = 2.0;
    int answerTokens = 8;
    bool streamed = false;
};

// Runs the load and prints one JSON object. Returns the exit code: 1 if an answer was wrong, 3 if
// the event loop or the HTTP client cannot be created, otherwise 0, even if requests failed.
int runLoad(const LoadOptions &options);

} // namespace seamarch::bench
