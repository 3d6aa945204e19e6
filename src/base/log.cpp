#include "base/log.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace seamarch {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info", "warning", "error"};

LogLevel lowestLevel = LogLevel::Info;
nlohmann::json contextFields = nlohmann::json::object();

std::string timestamp()
{
    const auto now = std::chrono::system_clock::now();
    const auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()) % 1000;
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis.count());
}

} // namespace

void setLogLevel(LogLevel level)
{
    lowestLevel = level;
}

void setLogContext(const nlohmann::json &fields)
{
    contextFields = fields;
}

void logLine(LogLevel level, std::string_view event, const nlohmann::json &fields)
{
    if (level < lowestLevel) {
        return;
    }
    nlohmann::json line = contextFields;
    line["time"] = timestamp();
    line["level"] = kLevelNames.at(static_cast<std::size_t>(level));
    line["event"] = event;
    if (fields.is_object()) {
        line.update(fields);
    }
    fmt::print(stderr, "{}\n", line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

bool parseLogLevel(std::string_view word, LogLevel &level)
{
    for (std::size_t index = 0; index < kLevelNames.size(); ++index) {
        if (kLevelNames.at(index) == word) {
            level = static_cast<LogLevel>(index);
            return true;
        }
    }
    return false;
}

} // namespace seamarch
