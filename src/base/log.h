// Structured logs: one JSON object a line on standard error.
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

// Reads "debug", "info", "warning" or "error"; returns false for any other word.
bool parseLogLevel(std::string_view word, LogLevel &level);

} // namespace seamarch
