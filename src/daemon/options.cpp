#include "daemon/options.h"

#include <cstdlib>
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace seamarch {
namespace {

// docopt reads only sections whose heading ends in "options:", and takes an option that stands
// twice for one that cannot be told from itself.
constexpr const char *kUsage = R"(seamarchd - load balancer for expert-parallel model groups

Usage:
  seamarchd entry [options]
  seamarchd agent [options]
  seamarchd gateway [options]
  seamarchd expertagent [options]
  seamarchd (-h | --help)
  seamarchd --version

A gateway sends requests straight to the upstreams of the platform's store. An expertagent
stands beside one rank of a group of engines and looks after its expert map.

Each option can also be given as an environment variable: --stop-delay-ms is
SEAMARCH_STOP_DELAY_MS. A flag goes before the environment, and that before the settings
file. Addresses are IP:PORT.

Common options:
  --config FILE              Settings file with one NAME = VALUE a line, without dashes.
                             Read again on SIGHUP and when it changes.
  --instance NAME            Name of this instance, as the platform lists it.
  --hall NAME                Data hall of this instance.
  --listen ADDRESS           Where callers connect; for an agent: where entries connect; for
                             an expert agent: where other expert agents connect.
  --operator-listen ADDRESS  Where /healthz, /readyz, /metrics and /status are served.
  --metrics-listen ADDRESS   Gateway, expert agent: where /metrics and /status are served
                             besides (default: nowhere).
  --peer-listen ADDRESS      Entry: where other entries connect. Gateway: where other
                             gateways connect (default: none do, and it asks the store
                             itself).
  --platform ADDRESS         Entry: the platform's service. Gateway, expert agent: the
                             platform's store.
  --upstream ADDRESS         Agent: the upstream that it stands before. Expert agent: the
                             rank beside it.
  --lease-ms N               How long a heartbeat's answer is good for (default 5000 for
                             an entry, 3000 for an agent).
  --stop-delay-ms N          How long a planned stop goes on taking requests (default 2000
                             for an entry; for a gateway as the stop's limit allows).
  --stop-deadline-ms N       When a planned stop gives up waiting (default 120000; for a
                             gateway as the stop's limit allows).
  --max-account-series N     Client accounts with metrics of their own (default 300).
  --log-level LEVEL          debug, info, warning or error (default info).
  --check-settings           Check the settings, print those in force, and exit.

Entry options:
  --max-body-bytes N         Largest request body (default 8388608).
  --heartbeat-ms N           Pause between heartbeats (default 500).

Gateway options:
  --seeds LIST               Where some of the other gateways listen, parted by commas.
  --hall-regions LIST        The region of each hall, as HALL:REGION, parted by commas. Routes and
                             client accounts that name regions are served in these alone.
  --agent-port N             Where the agents beside model engines listen, at their engines'
                             addresses; without it nothing is known of groups.
  --crash-memory-s N         How long it is remembered that an upstream ended under a request
                             (default 3600; 0: not at all).
  --key-life-ms N            A key that was taken away is not used later than this after the
                             store took the change (default 5000).
  --config-spread-ms N       A change of routes is in force within this (default 2000).
  --leaving-limit-ms N       An upstream that leaves gets nothing later than this after the
                             store knew (default 2000).
  --stop-limit-s N           A process is killed this long after it was told to stop
                             (default 8).
  --retry-ratio N            Second attempts of all gateways, for each request (default 0.2).
  --retry-slack N            Second attempts of all gateways besides (default 88).
  --warm-up-factor N         An upstream that warms up gets in one second, from all gateways, at
                             most this times what its service bears (default 1.5),
  --warm-up-slack N          and so many requests besides (default 5).
  --key-freshness-ms N       A key is good under a confirmation this young (default:
                             the key's life less 300).
  --deny-freshness-ms N      401 and 404 are given under a confirmation this young (default:
                             the configuration's spread less 100).

Expert agent options:
  --service NAME             The service whose replicas form the group.
  --link-mbps N              What the machine's link carries, in Mbit/s; questions and orders
                             to the group are fitted to it (default 20).

Agent options:
  --slots N                  Requests run at once until the configuration says (default 8).

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

GatewayBounds readBounds(SettingsReader &reader)
{
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

// A time that is given goes before the one that follows from the bounds.
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

GatewaySettings readGateway(SettingsReader &reader)
{
    constexpr double kMaxCrashRetentionSeconds = 24.0 * 3600;
    GatewaySettings settings;
    settings.instance = InstanceId(reader.text("instance"));
    settings.hall = HallId(reader.text("hall"));
    settings.listen = toAddress(reader.address("listen"));
    settings.operatorListen = toAddress(reader.address("operator-listen"));
    settings.store = toAddress(reader.address("platform"));
    if (reader.given("metrics-listen")) {
        settings.metricsListen = toAddress(reader.address("metrics-listen"));
    }
    if (reader.given("peer-listen")) {
        settings.peerListen = toAddress(reader.address("peer-listen"));
    }
    if (reader.given("seeds")) {
        for (const HostPort &seed : reader.addresses("seeds")) {
            settings.seeds.push_back(toAddress(seed));
        }
    }
    if (reader.given("hall-regions")) {
        for (const auto &[hall, region] : reader.pairs("hall-regions")) {
            settings.regions.emplace(HallId(hall), RegionId(region));
        }
    }
    if (reader.given("agent-port")) {
        constexpr std::uint64_t kMaxPort = 65'535;
        settings.agentPort = static_cast<int>(reader.integer("agent-port", 1, kMaxPort, 1));
    }
    settings.maxAccountSeries = reader.integer("max-account-series", 0, 100'000, 300);
    settings.crashRetention = fromSeconds(reader.number(
        "crash-memory-s", 0.0, kMaxCrashRetentionSeconds, toSeconds(settings.crashRetention)));
    settings.bounds = readBounds(reader);
    settings.times = readTimings(reader, deriveTimings(settings.bounds));
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
    if (reader.given("metrics-listen")) {
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
    std::vector<SettingFault> fileFaults;
    SettingsReader reader(flagValue, readSettingsFile(options.settingsFile, fileFaults));
    options.checkOnly = parsed.at("--check-settings").asBool();
    if (parsed.at("entry").asBool()) {
        options.entry = readEntry(reader);
    } else if (parsed.at("gateway").asBool()) {
        options.gateway = readGateway(reader);
    } else if (parsed.at("expertagent").asBool()) {
        options.expertAgent = readExpertAgent(reader);
    } else {
        options.agent = readAgent(reader);
    }
    const std::string level = reader.text("log-level", "info");
    options.faults = reader.faults();
    options.faults.insert(options.faults.end(), fileFaults.begin(), fileFaults.end());
    if (!parseLogLevel(level, options.logLevel)) {
        options.faults.push_back(
            {"log-level",
             fmt::format("expected debug, info, warning or error, found '{}'", level)});
    }
    options.values = reader.values();
    return options;
}

} // namespace seamarch
