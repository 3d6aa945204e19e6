// The timeline of one request, built from the logs of several processes.
//
// A timeline holds the log lines with the request's id, in order of time. Between them it holds the
// state changes of the request's gateway and of the expert agents shortly before or during the
// request: loss of the store, an applied configuration, a removed upstream, a new group. The cause
// of the outcome is derived from the lines with the request's id and given as text.
//
// The functions have no side effects and copy log lines unchanged.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace seamarch {

// The log lines that concern one request, and the cause of its outcome.
struct RequestTimeline
{
    std::string id;
    std::vector<nlohmann::json> lines; // In order of time.
    std::string cause;                 // Empty if no line has the id.
    std::size_t unreadableLines = 0;   // Input lines that were skipped.
    bool found() const { return !cause.empty(); }
};

// Builds the timeline of request `id` from the contents of log files. Ignores text before the first
// brace of a line, where log collectors put a prefix. Skips and counts lines that are not complete
// log lines.
RequestTimeline readRequestTimeline(const std::string &id, const std::vector<std::string> &texts);

// Formats a log line of a timeline as one line of text: time, instance and event, then the other
// fields except id, level and role.
std::string describeLine(const nlohmann::json &line);

} // namespace seamarch
