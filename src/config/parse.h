// Reads and validates configuration documents and instance lists.
#pragma once

#include "config/objectreader.h"
#include "seamarch/configdocument.h"

#include <nlohmann/json.hpp>
#include <string_view>
#include <tl/expected.hpp>

namespace seamarch {

// The largest document that the platform's service holds.
constexpr std::size_t kMaxDocumentBytes = 1024 * 1024;

// Parses JSON text without throwing. Fails with one fault that names the byte.
tl::expected<nlohmann::json, ConfigFaults> parseJson(std::string_view text);

// Reads a configuration document. Fails with all of its faults at once.
tl::expected<ConfigDocument, ConfigFaults> readConfig(const nlohmann::json &value);
tl::expected<ConfigDocument, ConfigFaults> parseConfig(std::string_view text);

// Reads an instance list. Fails with all of its faults at once.
tl::expected<InstanceList, ConfigFaults> readInstances(const nlohmann::json &value);

} // namespace seamarch
