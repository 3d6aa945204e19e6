// Parsing of JSON text that another process wrote.
//
// The JSON library parses and destroys values iteratively, but it copies, compares, patches and
// writes them recursively, with a stack frame for each level. Text of some hundred kilobytes can
// nest its arrays deeply enough to overflow the stack. All text from a store, an upstream, a peer,
// a caller or a file is therefore parsed here, and what is parsed here is safe to recurse into.
//
// The functions have no state.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace seamarch {

// The number of levels of arrays and objects up to which a document is accepted. A scalar has none.
inline constexpr std::size_t kMaxJsonDepth = 128;

// Parses `text`. Returns what is wrong with it if it is not JSON or is nested too deeply; this
// message is short, and may quote bytes that are not UTF-8.
tl::expected<nlohmann::json, std::string> parseUntrustedJson(std::string_view text);

// Returns whether `value` is nested deeper than kMaxJsonDepth, for values that were assembled from
// several documents.
bool exceedsMaxJsonDepth(const nlohmann::json &value);

} // namespace seamarch
