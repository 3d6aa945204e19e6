#include "daemon/options.h"

#include <cstdlib>
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace seamarch {
namespace {

// docopt reads options only from sections whose heading ends in "options:", and reports an option
// that is listed twice as ambiguous.
constexpr const char *kUsage = R"(seamarchd - load balancer for expert-parallel model groups

Usage:
  seamarchd entry [options]
  seamarchd agent [options]
  seamarchd gateway [options]
  seamarchd expertagent [options]
  seamarchd (-h | --help)
  seamarchd --version

A gateway sends requests directly to the upstreams listed in the platform's store. An expertagent
runs next to one rank of a group of engines and manages its expert map.

Each option can also be set as an environment variable: --stop-delay-ms is
SEAMARCH_STOP_DELAY_MS. A flag overrides the environment, which overrides the settings
file. Addresses are IP:PORT.

Common options:
  --config FILE              Settings file with one NAME = VALUE per line; names have no
                             leading dashes. Reloaded on SIGHUP and when it changes.
  --instance NAME            Name of this instance in the platform's list.
  --hall NAME                Data hall of this instance.
  --listen ADDRESS           Address for callers; for an agent: for entries; for an expert
                             agent: for other expert agents.
  --operator-listen ADDRESS  Address that serves /healthz, /readyz, /metrics and /status.
  --metrics-listen ADDRESS   Gateway, expert agent: additional address that serves /metrics
                             and /status (default: none).
  --peer-listen ADDRESS      Address for peers. Entry: for other entries. Gateway: for other
                             gateways (default: none; the gateway reads from the store
                             itself).
  --platform ADDRESS         Entry: the platform's service. Gateway, expert agent: the
                             platform's store.
  --upstream ADDRESS         Agent: the upstream that it serves. Expert agent: the rank that
                             it runs next to.
  --lease-ms N               How long the response to a heartbeat stays valid (default 5000
                             for an entry, 3000 for an agent).
  --stop-delay-ms N          How long requests are still accepted after a planned stop has
                             begun (default 2000 for an entry; for a gateway derived from
                             the stop limit).
  --stop-deadline-ms N       How long a planned stop waits for requests in flight (default
                             120000; for a gateway derived from the stop limit).
  --max-account-series N     Maximum number of client accounts with metric series of their
                             own (default 300).
  --log-level LEVEL          Lowest level that is logged: debug, info, warning or error
                             (default info).
  --check-settings           Check the settings, print the values in force, and exit.

Entry options:
  --max-body-bytes N         Maximum size of a request body in bytes (default 8388608).
  --heartbeat-ms N           Interval between heartbeats (default 500).

Gateway options:
  --seeds LIST               Peer addresses of some other gateways, separated by commas.
  --hall-regions LIST        The region of each hall, as HALL:REGION, separated by commas.
                             Routes and client accounts that name regions are served only
                             there.
  --agent-port N             Port of the agents, which run at the addresses of their model
                             engines; without it the gateway has no information on groups.
  --demand-exchange MODE     on: gateways tell each other the demand for groups of engines and
                             share their streams by it; off: each gateway keeps to what it
                             observes (default off).
  --adaptive-room MODE       on: the streams at a group are bounded by recurring surges of pauses,
                             and at a group that is degraded by what callers can bear; off: by
                             the last pauses alone (default off).
  --crash-memory-s N         How long the gateway keeps the record that an upstream ended
                             while it ran a request (default 3600; 0 disables the record).
  --key-life-ms N            Maximum time for which a key is accepted after the store
                             recorded its removal (default 5000).
  --config-spread-ms N       Maximum time until a change of routes is in force (default
                             2000).
  --leaving-limit-ms N       Maximum time for which a leaving upstream receives requests
                             after the store recorded that it leaves (default 2000).
  --stop-limit-s N           Time from the signal to stop until the platform kills the
                             process (default 8).
  --retry-ratio N            Second attempts that all gateways together may make per request
                             (default 0.2).
  --retry-slack N            Second attempts that all gateways together may make in addition
                             (default 88).
  --warm-up-factor N         Maximum number of requests per second that all gateways together
                             send to an upstream that is warming up, as a multiple of the
                             configured rate of its service (default 1.5).
  --warm-up-slack N          Requests per second in addition to that maximum (default 5).
  --memory-mb N              Memory of the process in MB, of which half may be held for callers
                             and upstreams that are slow (default 0: no bound).
  --key-freshness-ms N       Maximum age of the store's last confirmation to accept a key
                             (default: the value of key-life-ms less 300).
  --deny-freshness-ms N      Maximum age of the store's last confirmation to answer 401 or
                             404 (default: the value of config-spread-ms less 100).

Expert agent options:
  --service NAME             The service whose replicas form the group.
  --link-mbps N              Capacity of the machine's network link in Mbit/s; limits the
                             rate of queries and orders to the group (default 20).

Agent options:
  --slots N                  Maximum number of concurrent requests until the configuration
                             sets one (default 8).

Other options:
  -h --help                  Show this text.
  --version                  Show the version.
)";

constexpr std::uint64_t kMaxMillis = 24ULL * 3600 * 1000;

SocketAddress toAddress(const HostPort &value)
{
    return {value.host, value.port};
}

EntrySettings readEntry(SettingsReader &reader)
{
    EntrySettings settings;
    settings.instance = InstanceId(reader.text("instance"));
    settings.hall = HallId(reader.text("hall"));
    settings.listen = toAddress(reader.address("listen"));
    settings.peerListen = toAddress(reader.address("peer-listen"));
    settings.operatorListen = toAddress(reader.address("operator-listen"));
    settings.platform = toAddress(reader.address("platform"));
    settings.maxBodyBytes = reader.integer("max-body-bytes", 1, 1ULL << 30U, settings.maxBodyBytes);
    settings.maxAccountSeries = reader.integer("max-account-series", 0, 100'000, 300);
    settings.heartbeat = reader.milliseconds("heartbeat-ms", 10, kMaxMillis, 500);
    settings.lease = reader.milliseconds("lease-ms", 50, kMaxMillis, 5000);
    settings.stopDelay = reader.milliseconds("stop-delay-ms", 0, kMaxMillis, 2000);
    settings.stopDeadline = reader.milliseconds("stop-deadline-ms", 1, kMaxMillis, 120'000);
    return settings;
}

std::uint64_t millisOf(Duration duration)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

// Returns the bytes that a process with this memory may hold for others. The other half is for the
// process itself.
std::size_t maxHeldBytes(double memoryMegabytes)
{
    constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;
    return static_cast<std::size_t>(memoryMegabytes * kBytesPerMegabyte / 2);
}

GatewayBounds readBounds(SettingsReader &reader)
{
    // Largest value of the settings that have no unit and no smaller limit.
    constexpr double kMaxBoundValue = 1e6;
    const GatewayBounds defaults;
    const auto millis = [&reader](std::string_view name, Duration fallback) {
        return reader.milliseconds(name, 1, kMaxMillis, millisOf(fallback));
    };
    GatewayBounds bounds;
    bounds.keyRevocationLimit = millis("key-life-ms", defaults.keyRevocationLimit);
    bounds.configPropagationLimit = millis("config-spread-ms", defaults.configPropagationLimit);
    bounds.leavingLimit = millis("leaving-limit-ms", defaults.leavingLimit);
    bounds.stopLimit = fromSeconds(
        reader.number("stop-limit-s", 0.1, kMaxMillis / 1e3, toSeconds(defaults.stopLimit)));
    bounds.retryRatio = reader.number("retry-ratio", 0.0, 1.0, defaults.retryRatio);
    bounds.retrySlack = reader.number("retry-slack", 0.0, kMaxBoundValue, defaults.retrySlack);
    bounds.warmUp.factor =
        reader.number("warm-up-factor", 0.0, kMaxBoundValue, defaults.warmUp.factor);
    bounds.warmUp.slack =
        reader.number("warm-up-slack", 0.0, kMaxBoundValue, defaults.warmUp.slack);
    return bounds;
}

// Returns `timings`, which are derived from the bounds, with the values that are set explicitly in
// place of the derived ones.
GatewayTimings readTimings(SettingsReader &reader, GatewayTimings timings)
{
    const auto readIfGiven = [&reader](std::string_view name, std::uint64_t minimum,
                                       Duration &time) {
        time = reader.milliseconds(name, minimum, kMaxMillis, millisOf(time));
    };
    readIfGiven("key-freshness-ms", 1, timings.freshness.keys);
    readIfGiven("deny-freshness-ms", 1, timings.freshness.deny);
    readIfGiven("stop-delay-ms", 0, timings.stopDelay);
    readIfGiven("stop-deadline-ms", 1, timings.stopDeadline);
    return timings;
}

// Reads a setting that is on or off.
bool readSwitch(SettingsReader &reader, const std::string &name, bool fallback,
                std::vector<SettingFault> &faults)
{
    const std::string value = reader.text(name, fallback ? "on" : "off");
    if (value != "on" && value != "off") {
        faults.push_back({name, fmt::format("expected on or off, found '{}'", value)});
    }
    return value == "on";
}

GatewaySettings readGateway(SettingsReader &reader, std::vector<SettingFault> &faults)
{
    constexpr double kMaxCrashRetentionSeconds = 24.0 * 3600;
    constexpr double kMaxMemoryMegabytes = 1e6;
    GatewaySettings settings;
    settings.instance = InstanceId(reader.text("instance"));
    settings.hall = HallId(reader.text("hall"));
    settings.listen = toAddress(reader.address("listen"));
    settings.operatorListen = toAddress(reader.address("operator-listen"));
    settings.store = toAddress(reader.address("platform"));
    if (reader.isSet("metrics-listen")) {
        settings.metricsListen = toAddress(reader.address("metrics-listen"));
    }
    if (reader.isSet("peer-listen")) {
        settings.peerListen = toAddress(reader.address("peer-listen"));
    }
    if (reader.isSet("seeds")) {
        for (const HostPort &seed : reader.addresses("seeds")) {
            settings.seeds.push_back(toAddress(seed));
        }
    }
    if (reader.isSet("hall-regions")) {
        for (const auto &[hall, region] : reader.pairs("hall-regions")) {
            settings.regions.emplace(HallId(hall), RegionId(region));
        }
    }
    if (reader.isSet("agent-port")) {
        constexpr std::uint64_t kMaxPort = 65'535;
        settings.agentPort = static_cast<int>(reader.integer("agent-port", 1, kMaxPort, 1));
    }
    settings.demandExchange =
        readSwitch(reader, "demand-exchange", settings.demandExchange, faults);
    settings.adaptiveRoom = readSwitch(reader, "adaptive-room", settings.adaptiveRoom, faults);
    settings.maxAccountSeries = reader.integer("max-account-series", 0, 100'000, 300);
    settings.crashRetention = fromSeconds(reader.number(
        "crash-memory-s", 0.0, kMaxCrashRetentionSeconds, toSeconds(settings.crashRetention)));
    settings.maxHeldBytes = maxHeldBytes(reader.number("memory-mb", 0.0, kMaxMemoryMegabytes, 0.0));
    settings.bounds = readBounds(reader);
    settings.timings = readTimings(reader, deriveTimings(settings.bounds));
    return settings;
}

ExpertAgentSettings readExpertAgent(SettingsReader &reader)
{
    constexpr double kBytesPerMegabit = 125'000.0;
    constexpr double kMaxLinkMegabits = 1e6;
    ExpertAgentSettings settings;
    settings.instance = InstanceId(reader.text("instance"));
    settings.hall = HallId(reader.text("hall"));
    settings.service = TargetName(reader.text("service"));
    settings.listen = toAddress(reader.address("listen"));
    settings.engine = toAddress(reader.address("upstream"));
    settings.store = toAddress(reader.address("platform"));
    settings.linkBytesPerSecond = kBytesPerMegabit
                                  * reader.number("link-mbps", 0.1, kMaxLinkMegabits,
                                                  settings.linkBytesPerSecond / kBytesPerMegabit);
    if (reader.isSet("metrics-listen")) {
        settings.metricsListen = toAddress(reader.address("metrics-listen"));
    }
    return settings;
}

AgentSettings readAgent(SettingsReader &reader)
{
    constexpr std::uint64_t kMaxSlots = 100'000;
    AgentSettings settings;
    settings.instance = InstanceId(reader.text("instance"));
    settings.hall = HallId(reader.text("hall"));
    settings.listen = toAddress(reader.address("listen"));
    settings.operatorListen = toAddress(reader.address("operator-listen"));
    settings.upstream = toAddress(reader.address("upstream"));
    settings.slots = static_cast<std::uint32_t>(reader.integer("slots", 1, kMaxSlots, 8));
    settings.maxAccountSeries = reader.integer("max-account-series", 0, 100'000, 300);
    settings.lease = reader.milliseconds("lease-ms", 50, kMaxMillis, 3000);
    settings.stopDeadline = reader.milliseconds("stop-deadline-ms", 1, kMaxMillis, 120'000);
    return settings;
}

// Reads the settings file at `path`; an empty path stands for no file. Appends to `faults` if the
// file cannot be read or has malformed lines.
SettingsMap readSettingsFile(const std::string &path, std::vector<SettingFault> &faults)
{
    if (path.empty()) {
        return {};
    }
    std::ifstream file(path);
    if (!file) {
        faults.push_back({"config", fmt::format("cannot read the settings file '{}'", path)});
        return {};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseSettingsFile(text.str(), faults);
}

} // namespace

DaemonOptions readDaemonOptions(const std::vector<std::string> &arguments)
{
    const auto parsed = docopt::docopt(kUsage, arguments, true, "seamarchd " SEAMARCH_VERSION);
    const auto flagValue = [&parsed](std::string_view name) -> std::optional<std::string> {
        const auto found = parsed.find("--" + std::string(name));
        if (found == parsed.end() || !found->second.isString()) {
            return std::nullopt;
        }
        return found->second.asString();
    };
    DaemonOptions options;
    options.arguments = arguments;
    const char *environmentPath = std::getenv("SEAMARCH_CONFIG");
    options.settingsFile =
        flagValue("config").value_or(environmentPath == nullptr ? "" : environmentPath);
    std::vector<SettingFault> moreFaults;
    SettingsReader reader(flagValue, readSettingsFile(options.settingsFile, moreFaults));
    options.checkOnly = parsed.at("--check-settings").asBool();
    if (parsed.at("entry").asBool()) {
        options.entry = readEntry(reader);
    } else if (parsed.at("gateway").asBool()) {
        options.gateway = readGateway(reader, moreFaults);
    } else if (parsed.at("expertagent").asBool()) {
        options.expertAgent = readExpertAgent(reader);
    } else {
        options.agent = readAgent(reader);
    }
    const std::string level = reader.text("log-level", "info");
    options.faults = reader.faults();
    options.faults.insert(options.faults.end(), moreFaults.begin(), moreFaults.end());
    if (!parseLogLevel(level, options.logLevel)) {
        options.faults.push_back(
            {"log-level",
             fmt::format("expected debug, info, warning or error, found '{}'", level)});
    }
    options.values = reader.values();
    return options;
}

} // namespace seamarch
