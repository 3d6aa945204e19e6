// Types that the HTTP server and the HTTP client share.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace seamarch {

struct HttpHeader
{
    std::string name; // As it was written; compared without regard to case.
    std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

// Tells whether two header names or tokens are the same without regard to case.
bool equalsIgnoreCase(std::string_view left, std::string_view right);

// Returns the value of the first header `name`, or an empty string.
const std::string &findHeader(const HttpHeaders &headers, std::string_view name);

// Tells whether a list of tokens such as the value of `Connection` holds `token`.
bool listContains(std::string_view list, std::string_view token);

// Returns the headers that go on to the next hop: all but those that speak of one connection or of
// how the body is framed on it.
HttpHeaders endToEndHeaders(const HttpHeaders &headers);

} // namespace seamarch
