#include "config/objectreader.h"

#include <fmt/format.h>
#include <utility>

namespace seamarch {

using nlohmann::json;

std::string describe(const ConfigFaults &faults)
{
    std::string text;
    for (const ConfigFault &fault : faults) {
        text +=
            fmt::format("{}: {}\n", fault.path.empty() ? "document" : fault.path, fault.message);
    }
    return text;
}

std::string elementPath(const std::string &path, std::size_t index)
{
    return fmt::format("{}[{}]", path, index);
}

ObjectReader::ObjectReader(const json &value, std::string path, ConfigFaults &faults)
    : value_(value)
    , path_(std::move(path))
    , faults_(faults)
{
    if (!value_.is_object()) {
        faults_.push_back({path_, fmt::format("expected an object, found {}", value_.type_name())});
    }
}

std::string ObjectReader::pathOf(std::string_view name) const
{
    return path_.empty() ? std::string(name) : fmt::format("{}.{}", path_, name);
}

void ObjectReader::fault(std::string_view name, std::string message)
{
    faults_.push_back({pathOf(name), std::move(message)});
}

const json *ObjectReader::field(std::string_view name, Presence presence)
{
    requestedFields_.emplace(name);
    if (!value_.is_object()) {
        return nullptr;
    }
    const auto found = value_.find(name);
    if (found != value_.end()) {
        return &*found;
    }
    if (presence == Presence::Required) {
        fault(name, "required field is missing; add it");
    }
    return nullptr;
}

std::string ObjectReader::text(std::string_view name, Presence presence, std::string fallback)
{
    const json *found = field(name, presence);
    if (found == nullptr) {
        return fallback;
    }
    if (!found->is_string()) {
        fault(name, fmt::format("expected a string, found {}", found->type_name()));
        return fallback;
    }
    auto value = found->get<std::string>();
    if (value.empty()) {
        fault(name, "expected a non-empty string");
    }
    return value;
}

double ObjectReader::number(std::string_view name, Presence presence, double low, double high,
                            double fallback)
{
    const json *found = field(name, presence);
    if (found == nullptr) {
        return fallback;
    }
    if (!found->is_number()) {
        fault(name, fmt::format("expected a number, found {}", found->type_name()));
        return fallback;
    }
    const auto value = found->get<double>();
    if (!(value >= low && value <= high)) {
        fault(name, fmt::format("expected a number from {} to {}, found {}", low, high, value));
        return fallback;
    }
    return value;
}

std::uint64_t ObjectReader::integer(std::string_view name, Presence presence, std::uint64_t low,
                                    std::uint64_t high, std::uint64_t fallback)
{
    const json *found = field(name, presence);
    if (found == nullptr) {
        return fallback;
    }
    if (!found->is_number_unsigned()) {
        fault(name, fmt::format("expected a whole number from {} to {}, found {}", low, high,
                                found->is_number() ? found->dump() : found->type_name()));
        return fallback;
    }
    const auto value = found->get<std::uint64_t>();
    if (value < low || value > high) {
        fault(name,
              fmt::format("expected a whole number from {} to {}, found {}", low, high, value));
        return fallback;
    }
    return value;
}

bool ObjectReader::boolean(std::string_view name, Presence presence, bool fallback)
{
    const json *found = field(name, presence);
    if (found == nullptr) {
        return fallback;
    }
    if (!found->is_boolean()) {
        fault(name, fmt::format("expected true or false, found {}", found->type_name()));
        return fallback;
    }
    return found->get<bool>();
}

const json &ObjectReader::array(std::string_view name, Presence presence)
{
    static const json kEmpty = json::array();
    const json *found = field(name, presence);
    if (found == nullptr) {
        return kEmpty;
    }
    if (!found->is_array()) {
        fault(name, fmt::format("expected an array, found {}", found->type_name()));
        return kEmpty;
    }
    return *found;
}

const json &ObjectReader::object(std::string_view name, Presence presence)
{
    static const json kEmpty = json::object();
    const json *found = field(name, presence);
    if (found == nullptr) {
        return kEmpty;
    }
    if (!found->is_object()) {
        fault(name, fmt::format("expected an object, found {}", found->type_name()));
        return kEmpty;
    }
    return *found;
}

void ObjectReader::reportUnknownFields()
{
    if (!value_.is_object()) {
        return;
    }
    for (const auto &[name, unused] : value_.items()) {
        if (!requestedFields_.contains(name)) {
            fault(name, "unknown field; remove it or correct its name");
        }
    }
}

} // namespace seamarch
