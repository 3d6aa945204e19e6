#include "decision/gateway/eventsplitter.h"

#include <algorithm>

namespace seamarch {
namespace {

// Returns whether `text` holds a byte that the header which resumes a stream can't hold.
bool hasControlBytes(std::string_view text)
{
    constexpr unsigned char kDelete = 0x7f;
    return std::any_of(text.begin(), text.end(), [](char character) {
        const auto code = static_cast<unsigned char>(character);
        return character != '\t' && (code < ' ' || code == kDelete);
    });
}

} // namespace

std::string EventSplitter::feed(std::string_view bytes)
{
    std::size_t searchStart = partial_.size();
    partial_.append(bytes);
    const std::string_view text(partial_);
    std::size_t eventStart = 0;
    for (;;) {
        const std::size_t end = text.find('\n', searchStart);
        if (end == std::string_view::npos) {
            break;
        }
        const std::string_view line = text.substr(lineStart_, end - lineStart_);
        lineStart_ = end + 1;
        searchStart = lineStart_;
        if (line.empty() || line == "\r") {
            parseEvent(text.substr(eventStart, lineStart_ - eventStart));
            eventStart = lineStart_;
        }
    }
    std::string whole = partial_.substr(0, eventStart);
    partial_.erase(0, eventStart);
    lineStart_ -= eventStart;
    return whole;
}

void EventSplitter::discardPartial()
{
    partial_.clear();
    lineStart_ = 0;
}

void EventSplitter::parseEvent(std::string_view event)
{
    constexpr std::string_view kId = "id:";
    ++eventCount_;
    while (!event.empty()) {
        const std::size_t end = event.find_first_of("\r\n");
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with(kId)) {
            continue;
        }
        line.remove_prefix(kId.size());
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        if (!hasControlBytes(line)) {
            lastId_ = std::string(line);
        }
    }
}

} // namespace seamarch
