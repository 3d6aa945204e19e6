#include "daemon/options.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

namespace seamarch {
namespace {

constexpr const char *kUsage = R"(seamarchd - load balancer for expert-parallel model groups

Usage:
  seamarchd entry [options]
  seamarchd agent [options]
  seamarchd (-h | --help)
  seamarchd --version

Each option can also be given as an environment variable: --stop-delay-ms is
SEAMARCH_STOP_DELAY_MS. A flag goes before the environment. Addresses are IP:PORT.

Common options:
  --instance NAME            Name of this instance, as the platform lists it.
  --hall NAME                Data hall of this instance.
  --listen ADDRESS           Where callers connect; for an agent: where entries connect.
  --operator-listen ADDRESS  Where /healthz, /readyz, /metrics and /status are served.
  --lease-ms N               How long a heartbeat's answer is good for (default 5000 for
                             an entry, 3000 for an agent).
  --stop-deadline-ms N       When a planned stop gives up waiting (default 120000).
  --max-account-series N     Client accounts with metrics of their own (default 300).
  --log-level LEVEL          debug, info, warning or error (default info).
  --check-settings           Check the settings, print those in force, and exit.

Entry options:
  --peer-listen ADDRESS      Where other entries connect; the platform lists this one.
  --platform ADDRESS         The platform's service.
  --max-body-bytes N         Largest request body (default 8388608).
  --heartbeat-ms N           Pause between heartbeats (default 500).
  --stop-delay-ms N          How long a planned stop goes on taking requests (default 2000).

Agent options:
  --upstream ADDRESS         The upstream that this agent stands before.
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

} // namespace

DaemonOptions readDaemonOptions(const std::vector<std::string> &arguments)
{
    const auto parsed = docopt::docopt(kUsage, arguments, true, "seamarchd " SEAMARCH_VERSION);
    SettingsReader reader([&parsed](std::string_view name) -> std::optional<std::string> {
        const auto found = parsed.find("--" + std::string(name));
        if (found == parsed.end() || !found->second.isString()) {
            return std::nullopt;
        }
        return found->second.asString();
    });
    DaemonOptions options;
    options.checkOnly = parsed.at("--check-settings").asBool();
    if (parsed.at("entry").asBool()) {
        options.entry = readEntry(reader);
    } else {
        options.agent = readAgent(reader);
    }
    const std::string level = reader.text("log-level", "info");
    options.faults = reader.faults();
    if (!parseLogLevel(level, options.logLevel)) {
        options.faults.push_back(
            {"log-level",
             fmt::format("expected debug, info, warning or error, found '{}'", level)});
    }
    options.values = reader.values();
    return options;
}

} // namespace seamarch
