#include "net/httpsyntax.h"

#include <algorithm>
#include <cctype>
#include <fmt/format.h>
#include <iterator>

namespace seamarch {

bool isTokenChar(char character)
{
    constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";
    return std::isalnum(static_cast<unsigned char>(character)) != 0
           || kTokenPunctuation.find(character) != std::string_view::npos;
}

bool isFieldChar(char character)
{
    constexpr unsigned char kDelete = 0x7f;
    const auto code = static_cast<unsigned char>(character);
    return character == '\t' || (code >= ' ' && code != kDelete);
}

bool isFieldValue(std::string_view text)
{
    const auto isBlank = [](char character) { return character == ' ' || character == '\t'; };
    return std::all_of(text.begin(), text.end(), isFieldChar)
           && (text.empty() || !(isBlank(text.front()) || isBlank(text.back())));
}

bool isRequestTarget(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char character) {
        return isFieldChar(character) && character != ' ' && character != '\t';
    });
}

std::string encodeQueryValue(std::string_view text)
{
    constexpr std::string_view kPlainPunctuation = "-._~/";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0
            || kPlainPunctuation.find(character) != std::string_view::npos) {
            encoded += character;
        } else {
            fmt::format_to(std::back_inserter(encoded), "%{:02X}", byte);
        }
    }
    return encoded;
}

} // namespace seamarch
