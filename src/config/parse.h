// Parsing and validation of configuration documents and instance lists.
#pragma once

#include "config/objectreader.h"
#include "seamarch/configdocument.h"

#include <nlohmann/json.hpp>
#include <string_view>
#include <tl/expected.hpp>

namespace seamarch {

// The maximum document size that the platform's service stores.
constexpr std::size_t kMaxDocumentBytes = 1024 * 1024;

// Parses JSON text of at most kMaxDocumentBytes. Does not throw; a syntax error is returned as one
// fault whose message gives the byte offset.
tl::expected<nlohmann::json, ConfigFaults> parseJson(std::string_view text);

// Reads and validates a configuration document. Returns all of its faults if it is invalid.
tl::expected<ConfigDocument, ConfigFaults> readConfig(const nlohmann::json &value);
// Parses, reads and validates the JSON text of a configuration document.
tl::expected<ConfigDocument, ConfigFaults> parseConfig(std::string_view text);

// Reads and validates an instance list. Returns all of its faults if it is invalid.
tl::expected<InstanceList, ConfigFaults> readInstances(const nlohmann::json &value);

} // namespace seamarch
