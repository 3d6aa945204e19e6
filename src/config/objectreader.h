// Strict reading of JSON objects, with all faults of a document reported together.
//
// A caller creates an ObjectReader for one object, reads each field of the schema, and calls
// reportUnknownFields(), which reports every field that was not read. All faults of a document are
// collected in one list, so that an operator can correct them in one pass.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace seamarch {

// A validation error in a document.
struct ConfigFault
{
    std::string path; // For example `accounts[3].share`; empty for the document itself.
    std::string message;

    friend bool operator==(const ConfigFault &, const ConfigFault &) = default;
};

using ConfigFaults = std::vector<ConfigFault>;

// Formats the faults as one line of `path: message` each.
std::string describe(const ConfigFaults &faults);

// Whether a field must be present.
enum class Presence { Required, Optional };

// Reads the fields of one JSON object by name and type, and reports faults to a list.
//
// A field that is missing, of the wrong type or out of range reads as `fallback`; it is a fault
// unless it is optional and missing. The JSON value and the list of faults must outlive the reader.
class ObjectReader
{
public:
    // Reads `value`, whose path in the document is `path`. Reports a fault if it is not an
    // object; every field then reads as its fallback.
    ObjectReader(const nlohmann::json &value, std::string path, ConfigFaults &faults);
    ObjectReader(const ObjectReader &) = delete;
    ObjectReader &operator=(const ObjectReader &) = delete;

    // Returns a string. An empty one is a fault.
    std::string text(std::string_view name, Presence presence, std::string fallback = {});
    // Returns a number in the range [low, high].
    double number(std::string_view name, Presence presence, double low, double high,
                  double fallback = 0.0);
    // Returns an unsigned integer in the range [low, high].
    std::uint64_t integer(std::string_view name, Presence presence, std::uint64_t low,
                          std::uint64_t high, std::uint64_t fallback = 0);
    bool boolean(std::string_view name, Presence presence, bool fallback = false);
    // Returns an array, or an empty one if the field is missing or not an array.
    const nlohmann::json &array(std::string_view name, Presence presence);
    // Returns an object, or an empty one if the field is missing or not an object.
    const nlohmann::json &object(std::string_view name, Presence presence);

    // Returns the path of the field `name` in the document.
    std::string pathOf(std::string_view name) const;
    // Reports a fault in the field `name`.
    void fault(std::string_view name, std::string message);
    // Reports a fault for each field of the object that has not been read.
    void reportUnknownFields();

private:
    // Returns the field, or null if it is missing. Reports a fault if it is required.
    const nlohmann::json *field(std::string_view name, Presence presence);

    const nlohmann::json &value_;
    std::string path_;
    ConfigFaults &faults_;
    std::set<std::string, std::less<>> requestedFields_;
};

// Returns the path of the element `index` of the array at `path`, such as `accounts[3]`.
std::string elementPath(const std::string &path, std::size_t index);

} // namespace seamarch
