// SHA-256 digests and random identifiers.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace seamarch {

// Returns the SHA-256 of `text` as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view text);

// Returns the first 64 bits of the SHA-256 over all `parts`. The length of each part is hashed too,
// so that another split of the same text gives another digest.
std::uint64_t sha256Prefix(std::initializer_list<std::string_view> parts);

// Returns a random 64-bit number from the operating system's random source. It is never zero.
std::uint64_t randomNonzeroId();

} // namespace seamarch
