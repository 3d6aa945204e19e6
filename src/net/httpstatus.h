// Names and properties of HTTP status codes.
#pragma once

#include <string_view>

namespace seamarch {

// Returns the usual reason phrase of a status, or an unspecific one.
std::string_view reasonPhrase(int status);

// Tells whether answers with `status` never carry a body (RFC 9110 section 6.4.1).
bool statusHasNoBody(int status);

} // namespace seamarch
