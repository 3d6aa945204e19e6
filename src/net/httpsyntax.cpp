#include "net/httpsyntax.h"

#include <cctype>
#include <string_view>

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

} // namespace seamarch
