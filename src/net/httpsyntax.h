// The grammar of HTTP messages (RFC 9110 section 5) and of the URLs in them (RFC 3986).
#pragma once

#include <string>
#include <string_view>

namespace seamarch {

// Returns whether `character` may occur in a token, such as the name of a field.
bool isTokenChar(char character);
// Returns whether `character` may occur in the value of a field or in a reason phrase.
bool isFieldChar(char character);
// Returns whether `text` can be the value of a field as it is: it holds no other characters, and
// readers strip nothing from its ends.
bool isFieldValue(std::string_view text);
// Returns whether a request with `text` as its target has this target for all readers: it is not
// empty and holds neither blanks nor control bytes.
bool isRequestTarget(std::string_view text);

// Returns `text`, which may hold any bytes, as the value of a parameter in the query of a URL
// (RFC 3986 section 3.4): all bytes except unreserved characters and slashes are percent-encoded.
std::string encodeQueryValue(std::string_view text);

} // namespace seamarch
