#include "tool/requesttimeline.h"

#include "base/untrustedjson.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <set>

namespace seamarch {
namespace {

using nlohmann::json;

// How long before a request's first line a state change may affect the request. A gateway treats
// its copy of the store as stale after about 5 s.
constexpr long long kStateChangeLookbackMillis = 5000;

// Returns the events that change the state on which a gateway or an expert agent decides.
const std::set<std::string, std::less<>> &stateChangeEvents()
{
    static const std::set<std::string, std::less<>> events = {
        "store.lost",        "store.reached",   "store.followed",  "store.left",
        "config.applied",    "upstream.gone",   "upstream.listed", "upstreams.adopted",
        "group.formed",      "decider.taken",   "map.cleared",     "gateway.stopping",
        "gateway.stopped",   "process.started", "process.ended",   "settings.reloaded",
        "gateway.unanswered"};
    return events;
}

// Returns a string field of a log line, or an empty string if there is none.
std::string stringField(const json &line, const char *name)
{
    const auto found = line.find(name);
    return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
}

// Returns the time of a log line, such as "2026-12-02T16:01:02.345Z", in milliseconds since the
// start of its month's day 0; 0 if the time is malformed. Times of different months do not compare.
long long timestampMillis(const json &line)
{
    const std::string time = stringField(line, "time");
    int day = 0;
    int hour = 0;
    int minute = 0;
    int second = 0;
    int millis = 0;
    constexpr int kParsedFields = 5;
    if (std::sscanf(time.c_str(), "%*d-%*d-%dT%d:%d:%d.%dZ", &day, &hour, &minute, &second, &millis)
        != kParsedFields) {
        return 0;
    }
    return (((day * 24LL + hour) * 60 + minute) * 60 + second) * 1000 + millis;
}

// Returns the cause that an error code in a refusal stands for.
std::string refusalCause(const std::string &code)
{
    static const std::map<std::string, std::string, std::less<>> causes = {
        {"knowledge_stale",
         "the gateway had not heard from the store for too long to judge keys and "
         "paths; look for store.lost before"},
        {"entry_not_ready", "the gateway had no configuration yet"},
        {"entry_stopping", "the gateway was stopping"},
        {"unauthorized", "the key is not in the configuration in force"},
        {"not_found", "no route of the configuration in force fits"},
        {"request_ends_upstreams",
         "upstreams have ended, one after the other, while they ran this very request under other "
         "ids; grep its digest (request.stopped) in upstream.probed of all gateways"},
        {"upstream_unreachable",
         "the connection to the upstream broke, and whether the request ran is "
         "not known"},
        {"upstream_failed", "the upstream failed or its answer was not the request's own"},
        {"upstream_timed_out", "the request's time was over"}};
    const auto found = causes.find(code);
    return found == causes.end() ? fmt::format("refused with {}", code) : found->second;
}

// Returns the cause of a request's outcome, derived from its own log lines in order of time.
std::string requestCause(const std::vector<json> &requestLines)
{
    bool wasSent = false;
    bool wasFull = false;
    std::string lossText;
    std::string refusalCode;
    std::string result;
    for (const json &line : requestLines) {
        const std::string event = stringField(line, "event");
        wasSent = wasSent || event == "attempt.started";
        wasFull = wasFull || (event == "attempt.refused" && stringField(line, "kind") == "full");
        if (event == "upstream.probed" && stringField(line, "state") == "ended") {
            lossText = fmt::format("{} ended under it", stringField(line, "upstream"));
        } else if (event == "attempt.lost") {
            lossText = fmt::format("{} lost the answer ({})", stringField(line, "upstream"),
                                   stringField(line, "end"));
        } else if (event == "request.refused") {
            refusalCode = stringField(line, "code");
        } else if (event == "request.ended") {
            result = stringField(line, "result");
        }
    }
    const std::string lossSuffix =
        lossText.empty() ? std::string() : fmt::format(", after {}", lossText);
    if (refusalCode == "no_upstream") {
        return wasSent
                   ? (wasFull
                          ? "the upstreams that were asked had no room; if all of a service say "
                            "so, its "
                            "group stands still or is overloaded"
                          : "no upstream was left to ask")
                         + lossSuffix
                   : "not sent: the wait for a place would have been too long";
    }
    if (!refusalCode.empty()) {
        return refusalCause(refusalCode) + lossSuffix;
    }
    if (result == "served") {
        return "served" + lossSuffix;
    }
    if (result == "caller gone") {
        return (wasSent ? "the caller left while an upstream was at it"
                        : "the caller left before it was sent")
               + lossSuffix;
    }
    return result.empty() ? "its end is not in these logs" + lossSuffix : result + lossSuffix;
}

// Appends the log lines in `text` to `lines`. Returns the number of other lines that are not empty.
std::size_t readLines(std::string_view text, std::vector<json> &lines)
{
    std::size_t unreadableLines = 0;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        std::string_view line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        const std::size_t brace = line.find('{');
        if (brace == std::string_view::npos) {
            unreadableLines += line.empty() ? 0 : 1;
            continue;
        }
        auto value = parseUntrustedJson(line.substr(brace));
        if (value && value->is_object() && value->contains("event")) {
            lines.push_back(std::move(*value));
        } else {
            ++unreadableLines;
        }
    }
    return unreadableLines;
}

} // namespace

RequestTimeline readRequestTimeline(const std::string &id, const std::vector<std::string> &texts)
{
    RequestTimeline timeline;
    timeline.id = id;
    std::vector<json> all;
    for (const std::string &text : texts) {
        timeline.unreadableLines += readLines(text, all);
    }
    std::stable_sort(all.begin(), all.end(), [](const json &left, const json &right) {
        return stringField(left, "time") < stringField(right, "time");
    });
    std::vector<json> requestLines;
    std::copy_if(all.begin(), all.end(), std::back_inserter(requestLines),
                 [&id](const json &line) { return stringField(line, "id") == id; });
    if (requestLines.empty()) {
        return timeline;
    }
    const long long windowStart =
        timestampMillis(requestLines.front()) - kStateChangeLookbackMillis;
    const long long windowEnd = timestampMillis(requestLines.back());
    const std::string gateway = stringField(requestLines.front(), "instance");
    for (const json &line : all) {
        const long long lineMillis = timestampMillis(line);
        const bool isStateChange = stateChangeEvents().contains(stringField(line, "event"))
                                   && lineMillis >= windowStart && lineMillis <= windowEnd
                                   && (stringField(line, "instance") == gateway
                                       || stringField(line, "role") == "expertagent");
        if (isStateChange || stringField(line, "id") == id) {
            timeline.lines.push_back(line);
        }
    }
    timeline.cause = requestCause(requestLines);
    return timeline;
}

std::string describeLine(const json &line)
{
    static const std::set<std::string, std::less<>> kOmittedFields = {"time", "event", "instance",
                                                                      "id",   "level", "role"};
    std::string text = fmt::format("{}  {:<24} {:<18}", stringField(line, "time"),
                                   stringField(line, "instance"), stringField(line, "event"));
    for (const auto &[name, value] : line.items()) {
        if (!kOmittedFields.contains(name)) {
            text += fmt::format(" {}={}", name,
                                value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return text;
}

} // namespace seamarch
