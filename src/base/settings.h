// Settings of a process. In order of precedence, they come from flags, `SEAMARCH_*` environment
// variables, the settings file, and defaults.
//
// The file holds one setting per line as `name = value`, under the names of the flags. Lines that
// begin with `#` are comments.
//
// Each setting is read by name, validated, and recorded for `--check-settings`. All faults are
// collected, so that an operator can correct them in one pass. Settings never hold secrets.
#pragma once

#include "seamarch/units.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace seamarch {

// A validation error in one setting.
struct SettingFault
{
    std::string name;
    std::string message;

    friend bool operator==(const SettingFault &, const SettingFault &) = default;
};

// An IPv4 address and a port, written as `127.0.0.1:8080`.
struct HostPort
{
    std::string host;
    int port = 0;
};

// Parses `IP:PORT`. Returns nullopt for any other text, including host names.
std::optional<HostPort> parseHostPort(std::string_view text);

// The values of a settings file by setting name.
using SettingsMap = std::map<std::string, std::string>;

// Parses the text of a settings file. Reports lines that are not settings as faults, and ignores
// settings with an empty value.
SettingsMap parseSettingsFile(std::string_view text, std::vector<SettingFault> &faults);

// Reads settings by name and type, and collects faults and the values in force.
//
// A value that is invalid is a fault. `fallback` is the default; a text or address without a
// default is required.
class SettingsReader
{
public:
    // Returns the value of the flag with this name (without leading dashes), or nullopt.
    using FlagLookup = std::function<std::optional<std::string>(std::string_view)>;

    explicit SettingsReader(FlagLookup flags, SettingsMap file = {})
        : flags_(std::move(flags))
        , file_(std::move(file))
    {}

    // Returns whether a flag, the environment or the file sets a value.
    bool isSet(std::string_view name) const { return lookUp(name).has_value(); }
    // Reads a non-empty text.
    std::string text(std::string_view name, std::optional<std::string> fallback = {});
    // Reads an address in the form `IP:PORT`.
    HostPort address(std::string_view name, std::optional<std::string> fallback = {});
    // Reads a required comma-separated list of addresses.
    std::vector<HostPort> addresses(std::string_view name);
    // Reads a required comma-separated list of `NAME:VALUE` pairs with unique names.
    std::map<std::string, std::string> pairs(std::string_view name);
    // Reads an unsigned integer in the range [low, high].
    std::uint64_t integer(std::string_view name, std::uint64_t low, std::uint64_t high,
                          std::uint64_t fallback);
    // Reads a floating-point number in the range [low, high].
    double number(std::string_view name, double low, double high, double fallback);
    // Reads a duration in milliseconds, which may have a fraction, in the range [low, high].
    Duration milliseconds(std::string_view name, std::uint64_t low, std::uint64_t high,
                          std::uint64_t fallback);

    const std::vector<SettingFault> &faults() const { return faults_; }
    // Returns the values in force of all settings that were read, by name.
    const std::map<std::string, std::string> &values() const { return values_; }

    // Returns the environment variable of a setting, such as `SEAMARCH_STOP_DELAY_MS` for
    // `stop-delay-ms`.
    static std::string environmentName(std::string_view name);

private:
    // Returns the value with the highest precedence, or nullopt if none is set.
    std::optional<std::string> lookUp(std::string_view name) const;
    void fault(std::string_view name, std::string message);
    HostPort readAddress(std::string_view name, std::string_view value);

    FlagLookup flags_;
    SettingsMap file_;
    std::vector<SettingFault> faults_;
    std::map<std::string, std::string> values_;
};

} // namespace seamarch
