// Digests of secrets and random identities.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace seamarch {

// Returns the SHA-256 of `text` in lower-case hexadecimal digits.
std::string sha256Hex(std::string_view text);

// Returns the first 64 bits of the SHA-256 of all `parts` with their lengths, so that no other way
// to part the same text gives the same digest.
std::uint64_t sha256Prefix(std::initializer_list<std::string_view> parts);

// Returns 64 bits from the operating system's random source, never zero.
std::uint64_t randomNonzeroId();

} // namespace seamarch
