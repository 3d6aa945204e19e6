// Digests of secrets and random identities.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace seamarch {

// Returns the SHA-256 of `text` in lower-case hexadecimal digits.
std::string sha256Hex(std::string_view text);

// Returns 64 bits from the operating system's random source, never zero.
std::uint64_t randomIdentity();

} // namespace seamarch
