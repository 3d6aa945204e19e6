// The characters of HTTP's grammar (RFC 9110 section 5).
#pragma once

namespace seamarch {

// Returns whether `character` may occur in a token, such as the name of a field.
bool isTokenChar(char character);
// Returns whether `character` may occur in the value of a field or in a reason phrase.
bool isFieldChar(char character);

} // namespace seamarch
