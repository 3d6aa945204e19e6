#include "base/untrustedjson.h"

#include <algorithm>
#include <fmt/format.h>

namespace seamarch {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxMessageBytes = 200;

// Returns the position after the string whose opening quote is at `start`.
std::size_t endOfString(std::string_view text, std::size_t start)
{
    std::size_t at = start + 1;
    while (at < text.size() && text[at] != '"') {
        at += text[at] == '\\' ? 2 : 1;
    }
    return at + 1;
}

// Returns whether `text` is nested too deeply. For text that is not JSON, the result holds for the
// part before the first error, which is all that a parser reads.
bool isNestedTooDeeply(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t at = 0;
    while (at < text.size()) {
        const char character = text[at];
        if (character == '"') {
            at = endOfString(text, at);
            continue;
        }
        if ((character == '[' || character == '{') && ++depth > kMaxJsonDepth) {
            return true;
        }
        if ((character == ']' || character == '}') && depth > 0) {
            --depth;
        }
        ++at;
    }
    return false;
}

// Recurses no deeper than `levels`.
bool isDeeperThan(const json &value, std::size_t levels)
{
    if (!value.is_structured()) {
        return false;
    }
    return levels == 0 || std::any_of(value.begin(), value.end(), [levels](const json &element) {
               return isDeeperThan(element, levels - 1);
           });
}

} // namespace

tl::expected<json, std::string> parseUntrustedJson(std::string_view text)
{
    if (isNestedTooDeeply(text)) {
        return tl::unexpected(
            fmt::format("arrays and objects are nested deeper than {} levels", kMaxJsonDepth));
    }
    try {
        return json::parse(text);
    } catch (const json::exception &error) {
        const std::string_view message = error.what(); // May quote a string of any length.
        return tl::unexpected(fmt::format("not JSON: {}", message.substr(0, kMaxMessageBytes)));
    }
}

bool exceedsMaxJsonDepth(const json &value)
{
    return isDeeperThan(value, kMaxJsonDepth);
}

} // namespace seamarch
