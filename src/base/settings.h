// Settings of a process: flags first, then `SEAMARCH_*` environment variables, then the settings
// file, then defaults.
//
// The file has one setting a line, `name = value` with the names of the flags; `#` begins a comment
// line.
//
// Each setting is read by name, checked, and remembered for `--check-settings`. All faults are
// collected, so that an operator corrects them in one round. Values of settings are never secrets.
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

// What is wrong with one setting.
struct SettingFault
{
    std::string name;
    std::string message;

    friend bool operator==(const SettingFault &, const SettingFault &) = default;
};

// An IP number and a port as text, for example `127.0.0.1:8080`.
struct HostPort
{
    std::string host;
    int port = 0;
};

// Reads `IP:PORT`; returns nothing for anything else, host names included.
std::optional<HostPort> parseHostPort(std::string_view text);

// Settings by name, as a settings file holds them.
using SettingsMap = std::map<std::string, std::string>;

// Reads the text of a settings file. Lines that are no setting are reported as faults.
SettingsMap parseSettingsFile(std::string_view text, std::vector<SettingFault> &faults);

class SettingsReader
{
public:
    // Looks up a flag by its name without dashes.
    using FlagLookup = std::function<std::optional<std::string>(std::string_view)>;

    explicit SettingsReader(FlagLookup flags, SettingsMap file = {})
        : flags_(std::move(flags))
        , file_(std::move(file))
    {}

    // Tells whether a setting has a value anywhere.
    bool isSet(std::string_view name) const { return lookUp(name).has_value(); }
    std::string text(std::string_view name, std::optional<std::string> fallback = {});
    HostPort address(std::string_view name, std::optional<std::string> fallback = {});
    // Reads addresses that commas part.
    std::vector<HostPort> addresses(std::string_view name);
    // Reads pairs `NAME:VALUE` that commas part; each name stands once.
    std::map<std::string, std::string> pairs(std::string_view name);
    std::uint64_t integer(std::string_view name, std::uint64_t low, std::uint64_t high,
                          std::uint64_t fallback);
    // Reads a number that may have a fraction.
    double number(std::string_view name, double low, double high, double fallback);
    // Reads a number of milliseconds.
    Duration milliseconds(std::string_view name, std::uint64_t low, std::uint64_t high,
                          std::uint64_t fallback);

    const std::vector<SettingFault> &faults() const { return faults_; }
    // Returns every setting that was read, with the value in force.
    const std::map<std::string, std::string> &values() const { return values_; }

    // Returns the environment variable of a setting: `stop-delay-ms` is `SEAMARCH_STOP_DELAY_MS`.
    static std::string environmentName(std::string_view name);

private:
    std::optional<std::string> lookUp(std::string_view name) const;
    void fault(std::string_view name, std::string message);
    HostPort readAddress(std::string_view name, std::string_view value);

    FlagLookup flags_;
    SettingsMap file_;
    std::vector<SettingFault> faults_;
    std::map<std::string, std::string> values_;
};

} // namespace seamarch
