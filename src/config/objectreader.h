// Reads JSON objects strictly and reports every fault with its path.
//
// An ObjectReader is made for one object, asked for each field it may have, and told to finish:
// fields that were never asked for are faults. All faults of a document go into one list, so that
// an operator corrects them in one round.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace seamarch {

// One thing that is wrong with a document.
struct ConfigFault
{
    std::string path; // Such as `accounts[3].share`; empty for the document itself.
    std::string message;

    friend bool operator==(const ConfigFault &, const ConfigFault &) = default;
};

using ConfigFaults = std::vector<ConfigFault>;

// Returns the faults as lines of `path: message`.
std::string describe(const ConfigFaults &faults);

// Whether a field may be left out.
enum class Presence { Required, Optional };

// Reads one object. It refers to the JSON and to the list of faults, which outlive it.
class ObjectReader
{
public:
    // A value that is not an object is reported as a fault; every field then reads as its default.
    ObjectReader(const nlohmann::json &value, std::string path, ConfigFaults &faults);
    ObjectReader(const ObjectReader &) = delete;
    ObjectReader &operator=(const ObjectReader &) = delete;

    std::string text(std::string_view name, Presence presence, std::string fallback = {});
    // Returns a number in [low, high].
    double number(std::string_view name, Presence presence, double low, double high,
                  double fallback = 0.0);
    std::uint64_t integer(std::string_view name, Presence presence, std::uint64_t low,
                          std::uint64_t high, std::uint64_t fallback = 0);
    bool boolean(std::string_view name, Presence presence, bool fallback = false);
    // Returns the elements of an array; the empty list when the field is missing or at fault.
    const nlohmann::json &array(std::string_view name, Presence presence);
    const nlohmann::json &object(std::string_view name, Presence presence);

    // Returns the path of the field `name`.
    std::string pathOf(std::string_view name) const;
    // Adds a fault at the field `name`.
    void fault(std::string_view name, std::string message);
    // Reports the fields that were never asked for.
    void reportUnknownFields();

private:
    const nlohmann::json *field(std::string_view name, Presence presence);

    const nlohmann::json &value_;
    std::string path_;
    ConfigFaults &faults_;
    std::set<std::string, std::less<>> requestedFields_;
};

// Returns the path of element `index` of the array at `path`.
std::string elementPath(const std::string &path, std::size_t index);

} // namespace seamarch
