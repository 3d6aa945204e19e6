#include "base/log.h"

#include <array>
#include <chrono>
#include <cstdlib>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <iterator>
#include <poll.h>
#include <string>
#include <unistd.h>

namespace seamarch {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info", "warning", "error"};
// Limit of the lines that wait for a slow reader. Further lines are dropped and counted.
constexpr std::size_t kMaxQueuedBytes = std::size_t{256} * 1024;
// Above this rate, lines below the level of a warning are dropped and counted, so that a flood of
// lines about successes leaves room for failures.
constexpr std::uint64_t kMaxLinesPerSecond = 2000;
// A pipe that poll() reports as writable accepts this many bytes without blocking (POSIX PIPE_BUF).
constexpr std::size_t kMaxWriteBytes = 4096;
// Queued lines are written as soon as they reach this size. Smaller amounts wait, which saves
// system calls.
constexpr std::size_t kFlushThresholdBytes = 4096;

// The log state of the process. It is not thread-safe: the process has a single thread.
struct LogSink
{
    LogLevel minLevel = LogLevel::Info;
    std::string context; // Fields of every line, without braces.
    std::string queue;
    std::int64_t currentSecond = 0; // In Unix time; linesThisSecond refers to it.
    std::uint64_t linesThisSecond = 0;
    std::uint64_t dropped = 0; // Lines dropped since the last report.
};

LogSink &sink()
{
    static LogSink instance;
    return instance;
}

std::int64_t nowMillis()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// Returns the JSON text of a value, with invalid UTF-8 replaced.
std::string toText(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Returns the JSON text of an object's fields without braces and with a leading comma.
std::string innerFields(const nlohmann::json &fields)
{
    if (!fields.is_object() || fields.empty()) {
        return {};
    }
    std::string text = toText(fields);
    text.front() = ',';
    text.pop_back();
    return text;
}

void appendLine(LogLevel level, std::string_view event, const nlohmann::json &fields,
                std::int64_t millis)
{
    constexpr std::int64_t kMillis = 1000;
    const std::time_t seconds = millis / kMillis;
    fmt::format_to(std::back_inserter(sink().queue),
                   R"({{"time":"{:%Y-%m-%dT%H:%M:%S}.{:03}Z","level":"{}","event":"{}"{}{}}})"
                   "\n",
                   fmt::gmtime(seconds), millis % kMillis,
                   kLevelNames.at(static_cast<std::size_t>(level)), event, sink().context,
                   innerFields(fields));
}

// Returns whether a line is within the limits, and counts it as written or dropped.
bool admitLine(LogLevel level, std::int64_t millis)
{
    constexpr std::int64_t kMillis = 1000;
    LogSink &state = sink();
    if (state.currentSecond != millis / kMillis) {
        state.currentSecond = millis / kMillis;
        state.linesThisSecond = 0;
    }
    const bool rateExceeded =
        state.linesThisSecond >= kMaxLinesPerSecond && level < LogLevel::Warning;
    if (rateExceeded || state.queue.size() >= kMaxQueuedBytes) {
        ++state.dropped;
        return false;
    }
    ++state.linesThisSecond;
    return true;
}

// Queues a line with the number of dropped lines once the queue is less than half full.
void reportDroppedLines(std::int64_t millis)
{
    LogSink &state = sink();
    if (state.dropped == 0 || state.queue.size() >= kMaxQueuedBytes / 2) {
        return;
    }
    const std::uint64_t count = std::exchange(state.dropped, 0);
    appendLine(LogLevel::Warning, "log.dropped", {{"lines", count}}, millis);
}

} // namespace

void setLogLevel(LogLevel level)
{
    sink().minLevel = level;
}

void setLogContext(const nlohmann::json &fields)
{
    sink().context = innerFields(fields);
}

void logLine(LogLevel level, std::string_view event, const nlohmann::json &fields)
{
    if (level < sink().minLevel) {
        return;
    }
    const std::int64_t millis = nowMillis();
    if (!admitLine(level, millis)) {
        return;
    }
    reportDroppedLines(millis);
    appendLine(level, event, fields, millis);
    if (sink().queue.size() >= kFlushThresholdBytes) {
        flushLog();
    }
}

void flushLog()
{
    std::string &queue = sink().queue;
    std::size_t written = 0;
    while (written < queue.size()) {
        pollfd target{STDOUT_FILENO, POLLOUT, 0};
        if (poll(&target, 1, 0) != 1 || (target.revents & POLLOUT) == 0) {
            break;
        }
        const std::size_t size = std::min(kMaxWriteBytes, queue.size() - written);
        const ssize_t bytesWritten = ::write(STDOUT_FILENO, queue.data() + written, size);
        if (bytesWritten <= 0) {
            break;
        }
        written += static_cast<std::size_t>(bytesWritten);
    }
    queue.erase(0, written);
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
