#include "net/httptypes.h"

#include "net/httpsyntax.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace seamarch {
namespace {

// The hop-by-hop headers (RFC 9110 section 7.6.1) and those that frame a body, which each hop sets.
constexpr std::array<std::string_view, 10> kHopByHopHeaders = {"connection",
                                                               "keep-alive",
                                                               "proxy-connection",
                                                               "proxy-authenticate",
                                                               "proxy-authorization",
                                                               "te",
                                                               "trailer",
                                                               "transfer-encoding",
                                                               "upgrade",
                                                               "content-length"};

std::string_view trim(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

} // namespace

std::optional<std::string> findUnwritable(std::string_view target, const HttpHeaders &headers)
{
    if (!isRequestTarget(target)) {
        return "target";
    }
    const auto found = std::find_if(headers.begin(), headers.end(), [](const HttpHeader &header) {
        return header.name.empty()
               || !std::all_of(header.name.begin(), header.name.end(), isTokenChar)
               || !std::all_of(header.value.begin(), header.value.end(), isFieldChar);
    });
    return found == headers.end() ? std::nullopt : std::optional(found->name);
}

bool equalsIgnoreCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
           && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) {
                  return std::tolower(static_cast<unsigned char>(a))
                         == std::tolower(static_cast<unsigned char>(b));
              });
}

const std::string &findHeader(const HttpHeaders &headers, std::string_view name)
{
    static const std::string kEmpty;
    const auto found =
        std::find_if(headers.begin(), headers.end(), [name](const HttpHeader &header) {
            return equalsIgnoreCase(header.name, name);
        });
    return found == headers.end() ? kEmpty : found->value;
}

bool listContains(std::string_view list, std::string_view token)
{
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        if (equalsIgnoreCase(trim(list.substr(0, comma)), token)) {
            return true;
        }
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return false;
}

HttpHeaders endToEndHeaders(const HttpHeaders &headers)
{
    HttpHeaders forwarded;
    forwarded.reserve(headers.size());
    const std::string &connectionOptions = findHeader(headers, "connection");
    for (const HttpHeader &header : headers) {
        const bool hopByHop = std::any_of(
            kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
            [&header](std::string_view name) { return equalsIgnoreCase(name, header.name); });
        if (!hopByHop && !listContains(connectionOptions, header.name)) {
            forwarded.push_back(header);
        }
    }
    return forwarded;
}

} // namespace seamarch
