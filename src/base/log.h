// Structured logging: one JSON object per line on standard output.
//
// Writing never blocks: lines wait in a bounded queue, and lines are dropped when the reader of
// standard output does not keep up. Above a maximum number of lines per second, lines below the
// level of a warning are dropped too. A `log.dropped` line reports how many were dropped.
//
// Fields are passed as a nlohmann JSON object. They must not contain secrets; the process knows the
// keys of client accounts only by their digests.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace seamarch {

enum class LogLevel { Debug, Info, Warning, Error };

// Sets the minimum level that is written. The default is Info.
void setLogLevel(LogLevel level);

// Sets the fields that are added to every line, such as the role and the instance.
void setLogContext(const nlohmann::json &fields);

// Queues one line with the time, the level, `event`, the context and `fields`. Drops it if the rate
// limit or the limit of the queue is reached.
void logLine(LogLevel level, std::string_view event, const nlohmann::json &fields = {});

// Writes queued lines until standard output would block. The event loop calls it at intervals and
// when it ends.
void flushLog();

// Parses "debug", "info", "warning" or "error". Returns false and leaves `level` unchanged for any
// other word.
bool parseLogLevel(std::string_view word, LogLevel &level);

} // namespace seamarch
