// The story of one request, read from the logs of several processes.
//
// The log lines that carry the request's id are put in the order of their time, and among them the
// lines in which a process changed what it believes shortly before or meanwhile: the store lost, a
// configuration applied, an upstream gone, a group formed anew. From the last of them follows the
// cause, in words.
//
// Pure; no line is changed.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace seamarch {

struct RequestTimeline
{
    std::string id;
    std::vector<nlohmann::json> lines; // In the order of their time.
    std::string cause;                 // Empty when no line carries the id.
    std::size_t unreadableLines = 0;   // Lines that are no whole log line.
    bool found() const { return !cause.empty(); }
};

// Reads the story of `id` from texts of log lines, one for each file. Text before the first brace
// of a line, as collectors put there, is passed over.
RequestTimeline readRequestTimeline(const std::string &id, const std::vector<std::string> &texts);

// Returns one line of text for a line of a story.
std::string describeLine(const nlohmann::json &line);

} // namespace seamarch
