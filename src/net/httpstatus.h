// Reason phrases and properties of HTTP status codes.
#pragma once

#include <string_view>

namespace seamarch {

// Returns the standard reason phrase of `status`, or a placeholder for an unknown status.
std::string_view reasonPhrase(int status);

// Returns whether responses with `status` never have a body (RFC 9110 section 6.4.1).
bool statusHasNoBody(int status);

} // namespace seamarch
