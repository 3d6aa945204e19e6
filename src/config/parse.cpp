#include "config/parse.h"

#include "base/untrustedjson.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <string>

namespace seamarch {
namespace {

using nlohmann::json;

constexpr double kMaxShare = 1e6;
constexpr double kMaxRate = 1e9;
constexpr double kMaxGigabytes = 1e6;
constexpr std::uint64_t kMaxCount = 1'000'000;
constexpr std::uint64_t kMaxPriority = 9;
constexpr std::uint64_t kMaxDeadlineMs = 24ULL * 3600 * 1000;
constexpr std::uint64_t kMaxDistanceUs = 10'000'000;
constexpr std::uint64_t kMaxVersion = (1ULL << 53U) - 1;
constexpr std::size_t kSha256HexLength = 64;
constexpr std::uint64_t kMaxPort = 65535;

bool isSha256Hex(const std::string &text)
{
    const auto isHex = [](char letter) {
        return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f');
    };
    return text.size() == kSha256HexLength && std::all_of(text.begin(), text.end(), isHex);
}

bool isIpv4Address(const std::string &text)
{
    int parts = 0;
    std::size_t start = 0;
    while (start <= text.size()) {
        const std::size_t dot = std::min(text.find('.', start), text.size());
        const std::string part = text.substr(start, dot - start);
        const bool digits =
            !part.empty() && part.size() <= 3
            && std::all_of(part.begin(), part.end(), [](char c) { return c >= '0' && c <= '9'; });
        if (!digits || std::stoi(part) > 255) {
            return false;
        }
        ++parts;
        start = dot + 1;
    }
    return parts == 4;
}

// Reports a fault for each name that is added more than once. Ignores empty names.
class DuplicateNameCheck
{
public:
    explicit DuplicateNameCheck(ConfigFaults &faults)
        : faults_(faults)
    {}

    void add(const std::string &name, const std::string &path)
    {
        if (!name.empty() && !names_.insert(name).second) {
            faults_.push_back({path, fmt::format("'{}' is listed more than once; keep one", name)});
        }
    }

private:
    ConfigFaults &faults_;
    std::set<std::string> names_;
};

Duration readMilliseconds(ObjectReader &reader, std::string_view name, Duration fallback)
{
    const auto millis = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count());
    return std::chrono::milliseconds(
        reader.integer(name, Presence::Optional, 1, kMaxDeadlineMs, millis));
}

std::vector<std::string> readStrings(const json &list, const std::string &path,
                                     ConfigFaults &faults)
{
    std::vector<std::string> strings;
    for (std::size_t index = 0; index < list.size(); ++index) {
        if (!list[index].is_string() || list[index].get<std::string>().empty()) {
            faults.push_back({elementPath(path, index), "expected a non-empty string"});
            continue;
        }
        strings.push_back(list[index].get<std::string>());
    }
    return strings;
}

AccountConfig readAccount(const json &value, const std::string &path, ConfigFaults &faults)
{
    ObjectReader reader(value, path, faults);
    AccountConfig account;
    account.id = AccountId(reader.text("id", Presence::Required));
    account.keyDigests = readStrings(reader.array("keySha256", Presence::Optional),
                                     reader.pathOf("keySha256"), faults);
    for (std::size_t index = 0; index < account.keyDigests.size(); ++index) {
        if (!isSha256Hex(account.keyDigests[index])) {
            faults.push_back({elementPath(reader.pathOf("keySha256"), index),
                              "expected 64 lower-case hexadecimal digits; see 'seamarch digest'"});
        }
    }
    account.share = reader.number("share", Presence::Optional, 1e-6, kMaxShare, account.share);
    account.priority = static_cast<std::uint8_t>(
        reader.integer("priority", Presence::Optional, 0, kMaxPriority, account.priority));
    account.maxQueued = static_cast<std::uint32_t>(
        reader.integer("maxQueued", Presence::Optional, 1, kMaxCount, account.maxQueued));
    account.requestsPerSecond =
        reader.number("requestsPerSecond", Presence::Optional, 0.0, kMaxRate, 0.0);
    account.homeHall = HallId(reader.text("homeHall", Presence::Optional));
    reader.reportUnknownFields();
    return account;
}

RouteConfig readRoute(const json &value, const std::string &path, ConfigFaults &faults)
{
    ObjectReader reader(value, path, faults);
    RouteConfig route;
    route.method = reader.text("method", Presence::Required);
    route.path = reader.text("path", Presence::Required);
    if (!route.path.empty() && route.path.front() != '/') {
        reader.fault("path",
                     fmt::format("expected a path that starts with '/', found '{}'", route.path));
    }
    route.repeatable = reader.boolean("repeatable", Presence::Required);
    reader.reportUnknownFields();
    return route;
}

ServiceConfig readService(const json &value, const std::string &path, ConfigFaults &faults)
{
    ObjectReader reader(value, path, faults);
    ServiceConfig service;
    service.name = TargetName(reader.text("name", Presence::Required));
    service.deadline = readMilliseconds(reader, "deadlineMs", service.deadline);
    const json &routes = reader.array("routes", Presence::Required);
    for (std::size_t index = 0; index < routes.size(); ++index) {
        service.routes.push_back(
            readRoute(routes[index], elementPath(reader.pathOf("routes"), index), faults));
    }
    reader.reportUnknownFields();
    return service;
}

ModelConfig readModel(const json &value, const std::string &path, ConfigFaults &faults)
{
    ObjectReader reader(value, path, faults);
    ModelConfig model;
    model.name = TargetName(reader.text("name", Presence::Required));
    model.version = reader.text("version", Presence::Required);
    model.weightGigabytes = reader.number("weightGb", Presence::Optional, 0.0, kMaxGigabytes, 0.0);
    const auto count = [&reader](std::string_view name, std::uint64_t fallback) {
        return static_cast<std::uint32_t>(
            reader.integer(name, Presence::Optional, 0, kMaxCount, fallback));
    };
    model.expertsPerLayer = count("expertsPerLayer", 0);
    model.layers = count("layers", 0);
    model.minServing = count("minServing", model.minServing);
    model.deadline = readMilliseconds(reader, "deadlineMs", model.deadline);
    reader.reportUnknownFields();
    return model;
}

HallConfig readHall(const json &value, const std::string &path, ConfigFaults &faults)
{
    ObjectReader reader(value, path, faults);
    HallConfig hall;
    hall.id = HallId(reader.text("id", Presence::Required));
    hall.region = reader.text("region", Presence::Required);
    hall.draining = reader.boolean("draining", Presence::Optional);
    const json &distances = reader.object("distanceUs", Presence::Optional);
    ObjectReader distanceReader(distances, reader.pathOf("distanceUs"), faults);
    for (const auto &[name, unused] : distances.items()) {
        hall.distance[HallId(name)] = std::chrono::microseconds(
            distanceReader.integer(name, Presence::Required, 0, kMaxDistanceUs));
    }
    reader.reportUnknownFields();
    return hall;
}

UpstreamConfig readUpstream(const json &value, const std::string &path, ConfigFaults &faults)
{
    ObjectReader reader(value, path, faults);
    UpstreamConfig upstream;
    upstream.agent = InstanceId(reader.text("agent", Presence::Required));
    upstream.checksFence = reader.boolean("checksFence", Presence::Required);
    upstream.slots = static_cast<std::uint32_t>(
        reader.integer("slots", Presence::Optional, 1, kMaxCount, upstream.slots));
    upstream.draining = reader.boolean("draining", Presence::Optional);
    reader.reportUnknownFields();
    return upstream;
}

ObjectiveConfig readObjective(const json &value, const std::string &path, ConfigFaults &faults)
{
    ObjectReader reader(value, path, faults);
    ObjectiveConfig objective;
    objective.skewWeight =
        reader.number("skewWeight", Presence::Optional, 0.0, kMaxShare, objective.skewWeight);
    objective.moveWeight =
        reader.number("moveWeight", Presence::Optional, 0.0, kMaxShare, objective.moveWeight);
    reader.reportUnknownFields();
    return objective;
}

template <typename Element, typename Read>
std::vector<Element> readList(ObjectReader &reader, std::string_view name, ConfigFaults &faults,
                              Read read)
{
    std::vector<Element> elements;
    const json &list = reader.array(name, Presence::Optional);
    for (std::size_t index = 0; index < list.size(); ++index) {
        elements.push_back(read(list[index], elementPath(reader.pathOf(name), index), faults));
    }
    return elements;
}

// Checks that names and key digests are unique and that each home hall is listed in `halls`.
void checkReferences(const ConfigDocument &document, ConfigFaults &faults)
{
    std::set<HallId> halls;
    DuplicateNameCheck hallNames(faults);
    for (std::size_t index = 0; index < document.halls.size(); ++index) {
        halls.insert(document.halls[index].id);
        hallNames.add(document.halls[index].id.value(), elementPath("halls", index) + ".id");
    }
    DuplicateNameCheck accountNames(faults);
    DuplicateNameCheck digests(faults);
    for (std::size_t index = 0; index < document.accounts.size(); ++index) {
        const AccountConfig &account = document.accounts[index];
        const std::string path = elementPath("accounts", index);
        accountNames.add(account.id.value(), path + ".id");
        for (const std::string &digest : account.keyDigests) {
            digests.add(digest, path + ".keySha256");
        }
        if (!account.homeHall.value().empty() && !halls.contains(account.homeHall)) {
            faults.push_back({path + ".homeHall", fmt::format("no hall '{}' is listed in halls",
                                                              account.homeHall.value())});
        }
    }
    DuplicateNameCheck targets(faults);
    for (std::size_t index = 0; index < document.services.size(); ++index) {
        targets.add(document.services[index].name.value(),
                    elementPath("services", index) + ".name");
    }
    for (std::size_t index = 0; index < document.models.size(); ++index) {
        targets.add(document.models[index].name.value(), elementPath("models", index) + ".name");
    }
    DuplicateNameCheck agents(faults);
    for (std::size_t index = 0; index < document.upstreams.size(); ++index) {
        agents.add(document.upstreams[index].agent.value(),
                   elementPath("upstreams", index) + ".agent");
    }
}

InstanceRecord readInstance(const json &value, const std::string &path, ConfigFaults &faults)
{
    ObjectReader reader(value, path, faults);
    InstanceRecord record;
    record.id = InstanceId(reader.text("id", Presence::Required));
    const std::string role = reader.text("role", Presence::Required);
    if (role != "entry" && role != "agent") {
        reader.fault("role", fmt::format("expected 'entry' or 'agent', found '{}'", role));
    }
    record.role = role == "entry" ? InstanceRole::Entry : InstanceRole::Agent;
    record.hall = HallId(reader.text("hall", Presence::Required));
    record.address = reader.text("address", Presence::Required);
    if (!isIpv4Address(record.address)) {
        reader.fault("address",
                     fmt::format("expected an IPv4 address, found '{}'", record.address));
    }
    record.port = static_cast<int>(reader.integer("port", Presence::Required, 1, kMaxPort));
    const std::string state = reader.text("state", Presence::Optional, "live");
    if (state != "live" && state != "leaving") {
        reader.fault("state", fmt::format("expected 'live' or 'leaving', found '{}'", state));
    }
    record.state = state == "leaving" ? InstanceState::Leaving : InstanceState::Live;
    for (std::string &target :
         readStrings(reader.array("serves", Presence::Optional), reader.pathOf("serves"), faults)) {
        record.serves.emplace_back(std::move(target));
    }
    reader.reportUnknownFields();
    return record;
}

} // namespace

tl::expected<json, ConfigFaults> parseJson(std::string_view text)
{
    if (text.size() > kMaxDocumentBytes) {
        return tl::unexpected(ConfigFaults{{"", fmt::format("expected at most {} bytes, found {}",
                                                            kMaxDocumentBytes, text.size())}});
    }
    return parseUntrustedJson(text).map_error([](std::string message) {
        return ConfigFaults{{"", std::move(message)}};
    });
}

tl::expected<ConfigDocument, ConfigFaults> readConfig(const json &value)
{
    ConfigFaults faults;
    ObjectReader reader(value, "", faults);
    ConfigDocument document;
    document.version = ConfigVersion(reader.integer("version", Presence::Required, 1, kMaxVersion));
    document.base = ConfigVersion(reader.integer("base", Presence::Optional, 0, kMaxVersion));
    // Requires version == base + 1. Otherwise two documents planned on the same version could both
    // be accepted, and the later one would silently revert the earlier one. The rule depends on the
    // document alone, so that every process decides alike, whichever version it holds.
    if (document.version.value() != 0 && document.version.value() != document.base.value() + 1) {
        reader.fault("base", fmt::format("expected {}, one below the version, found {}; plan the "
                                         "change anew on the current version",
                                         document.version.value() - 1, document.base.value()));
    }
    document.accounts = readList<AccountConfig>(reader, "accounts", faults, readAccount);
    document.services = readList<ServiceConfig>(reader, "services", faults, readService);
    document.models = readList<ModelConfig>(reader, "models", faults, readModel);
    document.halls = readList<HallConfig>(reader, "halls", faults, readHall);
    document.upstreams = readList<UpstreamConfig>(reader, "upstreams", faults, readUpstream);
    document.objective = readObjective(reader.object("objective", Presence::Optional),
                                       reader.pathOf("objective"), faults);
    document.weightStoreGigabytesPerSecond =
        reader.number("weightStoreGbPerSecond", Presence::Optional, 1e-3, kMaxGigabytes, 1.0);
    reader.reportUnknownFields();
    checkReferences(document, faults);
    if (!faults.empty()) {
        return tl::unexpected(std::move(faults));
    }
    return document;
}

tl::expected<ConfigDocument, ConfigFaults> parseConfig(std::string_view text)
{
    return parseJson(text).and_then([](const json &value) { return readConfig(value); });
}

tl::expected<InstanceList, ConfigFaults> readInstances(const json &value)
{
    ConfigFaults faults;
    ObjectReader reader(value, "", faults);
    InstanceList list;
    list.version = ListVersion(reader.integer("version", Presence::Required, 1, kMaxVersion));
    list.instances = readList<InstanceRecord>(reader, "instances", faults, readInstance);
    reader.reportUnknownFields();
    DuplicateNameCheck names(faults);
    for (std::size_t index = 0; index < list.instances.size(); ++index) {
        names.add(list.instances[index].id.value(), elementPath("instances", index) + ".id");
    }
    if (!faults.empty()) {
        return tl::unexpected(std::move(faults));
    }
    return list;
}

} // namespace seamarch
