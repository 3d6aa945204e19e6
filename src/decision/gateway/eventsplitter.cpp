#include "decision/gateway/eventsplitter.h"

namespace seamarch {
namespace {

// Returns the size of the first complete event of `text`, including its empty line; zero if there
// is none.
std::size_t firstEventSize(std::string_view text)
{
    std::size_t at = 0;
    for (;;) {
        const std::size_t end = text.find('\n', at);
        if (end == std::string_view::npos) {
            return 0;
        }
        const std::string_view line = text.substr(at, end - at);
        at = end + 1;
        if (line.empty() || line == "\r") {
            return at;
        }
    }
}

} // namespace

std::string EventSplitter::feed(std::string_view bytes)
{
    partial_.append(bytes);
    std::size_t consumed = 0;
    const std::string_view text(partial_);
    for (;;) {
        const std::size_t size = firstEventSize(text.substr(consumed));
        if (size == 0) {
            break;
        }
        parseEvent(text.substr(consumed, size));
        consumed += size;
    }
    std::string whole = partial_.substr(0, consumed);
    partial_.erase(0, consumed);
    return whole;
}

void EventSplitter::parseEvent(std::string_view event)
{
    constexpr std::string_view kId = "id:";
    ++eventCount_;
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with(kId)) {
            continue;
        }
        line.remove_prefix(kId.size());
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        while (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        lastId_ = std::string(line);
    }
}

} // namespace seamarch
