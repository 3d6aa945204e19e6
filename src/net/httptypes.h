// Header types and functions that the HTTP server and the HTTP client share.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace seamarch {

struct HttpHeader
{
    std::string name; // As sent; compared case-insensitively.
    std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

// Returns what of a request cannot be written, since it would be read as something else: "target",
// or the name of a header.
std::optional<std::string> findUnwritable(std::string_view target, const HttpHeaders &headers);

// Compares two header names or tokens case-insensitively, in ASCII.
bool equalsIgnoreCase(std::string_view left, std::string_view right);

// Returns the value of the first header named `name`, or an empty string if there is none.
const std::string &findHeader(const HttpHeaders &headers, std::string_view name);

// Returns whether a comma-separated list, such as the value of `Connection`, contains `token`.
bool listContains(std::string_view list, std::string_view token);

// Returns the headers that are forwarded to the next hop: all except hop-by-hop headers and those
// that frame the body.
HttpHeaders endToEndHeaders(const HttpHeaders &headers);

} // namespace seamarch
