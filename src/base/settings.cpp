#include "base/settings.h"

#include <arpa/inet.h>
#include <charconv>
#include <cstdlib>
#include <fmt/format.h>

namespace seamarch {
namespace {

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (text.empty() || error != std::errc() || stop != end) {
        return std::nullopt;
    }
    return value;
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view kBlanks = " \t\r";
    const std::size_t first = text.find_first_not_of(kBlanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

} // namespace

std::optional<HostPort> parseHostPort(std::string_view text)
{
    constexpr std::uint64_t kMaxPort = 65535;
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto port = parseNumber(text.substr(colon + 1));
    if (!port || *port == 0 || *port > kMaxPort) {
        return std::nullopt;
    }
    std::string host(text.substr(0, colon));
    in_addr parsed{};
    if (inet_pton(AF_INET, host.c_str(), &parsed) != 1) {
        return std::nullopt;
    }
    return HostPort{std::move(host), static_cast<int>(*port)};
}

SettingsMap parseSettingsFile(std::string_view text, std::vector<SettingFault> &faults)
{
    SettingsMap settings;
    std::size_t number = 0;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        const std::string_view line = trim(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        ++number;
        if (line.empty() || line.front() == '#') {
            continue;
        }
        const std::size_t equals = line.find('=');
        if (equals == std::string_view::npos || equals == 0) {
            faults.push_back({fmt::format("settings-file line {}", number),
                              fmt::format("expected NAME = VALUE, found '{}'", line)});
            continue;
        }
        const std::string_view value = trim(line.substr(equals + 1));
        if (!value.empty()) {
            settings[std::string(trim(line.substr(0, equals)))] = std::string(value);
        }
    }
    return settings;
}

std::string SettingsReader::environmentName(std::string_view name)
{
    std::string variable = "SEAMARCH_";
    for (const char letter : name) {
        variable += letter == '-' ? '_' : static_cast<char>(std::toupper(letter));
    }
    return variable;
}

std::optional<std::string> SettingsReader::lookUp(std::string_view name) const
{
    if (auto flag = flags_(name)) {
        return flag;
    }
    const char *value = std::getenv(environmentName(name).c_str());
    if (value != nullptr) {
        return std::string(value);
    }
    const auto found = file_.find(std::string(name));
    if (found == file_.end()) {
        return std::nullopt;
    }
    return found->second;
}

void SettingsReader::fault(std::string_view name, std::string message)
{
    faults_.push_back({std::string(name), std::move(message)});
}

std::string SettingsReader::text(std::string_view name, std::optional<std::string> fallback)
{
    auto value = lookUp(name);
    if (!value) {
        value = std::move(fallback);
    }
    if (!value || value->empty()) {
        fault(name, fmt::format("expected a value, found none; set --{} or {}", name,
                                environmentName(name)));
        return {};
    }
    values_[std::string(name)] = *value;
    return *value;
}

HostPort SettingsReader::address(std::string_view name, std::optional<std::string> fallback)
{
    const std::string value = text(name, std::move(fallback));
    return value.empty() ? HostPort() : readAddress(name, value);
}

std::vector<HostPort> SettingsReader::addresses(std::string_view name)
{
    const std::string value = text(name);
    std::vector<HostPort> addresses;
    std::string_view rest = value;
    while (!rest.empty()) {
        const std::size_t comma = rest.find(',');
        addresses.push_back(readAddress(name, trim(rest.substr(0, comma))));
        rest.remove_prefix(comma == std::string_view::npos ? rest.size() : comma + 1);
    }
    return addresses;
}

std::map<std::string, std::string> SettingsReader::pairs(std::string_view name)
{
    const std::string value = text(name);
    std::map<std::string, std::string> pairs;
    std::string_view rest = value;
    while (!rest.empty()) {
        const std::size_t comma = rest.find(',');
        const std::string_view pair = trim(rest.substr(0, comma));
        const std::size_t colon = pair.find(':');
        const bool wellFormed =
            colon != std::string_view::npos && colon > 0 && colon + 1 < pair.size();
        if (!wellFormed || !pairs.emplace(pair.substr(0, colon), pair.substr(colon + 1)).second) {
            fault(name, fmt::format("expected NAME:VALUE, each name once, found '{}'", pair));
        }
        rest.remove_prefix(comma == std::string_view::npos ? rest.size() : comma + 1);
    }
    return pairs;
}

HostPort SettingsReader::readAddress(std::string_view name, std::string_view value)
{
    auto parsed = parseHostPort(value);
    if (!parsed) {
        fault(name,
              fmt::format("expected IP:PORT, found '{}'; host names are not accepted", value));
        return {};
    }
    return *parsed;
}

std::uint64_t SettingsReader::integer(std::string_view name, std::uint64_t low, std::uint64_t high,
                                      std::uint64_t fallback)
{
    const std::string value = text(name, std::to_string(fallback));
    const auto parsed = parseNumber(value);
    if (!parsed || *parsed < low || *parsed > high) {
        fault(name,
              fmt::format("expected a whole number from {} to {}, found '{}'", low, high, value));
        return fallback;
    }
    return *parsed;
}

double SettingsReader::number(std::string_view name, double low, double high, double fallback)
{
    const auto found = lookUp(name);
    double value = fallback;
    if (found) {
        const auto [end, error] =
            std::from_chars(found->data(), found->data() + found->size(), value);
        const bool wellFormed = error == std::errc() && end == found->data() + found->size();
        if (!wellFormed || !(value >= low && value <= high)) {
            fault(name,
                  fmt::format("expected a number from {} to {}, found '{}'", low, high, *found));
            value = fallback;
        }
    }
    values_[std::string(name)] = fmt::format("{}", value);
    return value;
}

Duration SettingsReader::milliseconds(std::string_view name, std::uint64_t low, std::uint64_t high,
                                      std::uint64_t fallback)
{
    using Millis = std::chrono::duration<double, std::milli>;
    return std::chrono::duration_cast<Duration>(Millis(number(
        name, static_cast<double>(low), static_cast<double>(high), static_cast<double>(fallback))));
}

} // namespace seamarch
