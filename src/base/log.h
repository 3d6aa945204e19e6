// Structured logs: one JSON object a line on standard output.
//
// Writing never blocks: lines wait in a bounded queue, and a reader that does not read loses lines.
// Volume is bounded: beyond a rate of lines a second those below a warning are dropped. How many
// were dropped is said in a line of its own.
//
// Fields are passed as a nlohmann JSON object. Secrets never go into a field: keys of client
// accounts are known to the process only by their digests.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace seamarch {

enum class LogLevel { Debug, Info, Warning, Error };

// Sets the lowest level that is written. The default is Info.
void setLogLevel(LogLevel level);

// Sets the fields that every line carries, such as the role and the instance.
void setLogContext(const nlohmann::json &fields);

// Writes one line with the time, the level, `event` and `fields`.
void logLine(LogLevel level, std::string_view event, const nlohmann::json &fields = {});

// Writes what waits, as far as the reader takes it. The loop calls it on its turns.
void flushLog();

// Reads "debug", "info", "warning" or "error"; returns false for any other word.
bool parseLogLevel(std::string_view word, LogLevel &level);

} // namespace seamarch
