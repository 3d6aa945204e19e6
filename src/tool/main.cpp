// seamarch: the operators' command-line tool. It only reads, plans and prints; it never publishes a
// configuration.
#include "base/digest.h"
#include "base/settings.h"
#include "base/untrustedjson.h"
#include "config/configplan.h"
#include "config/parse.h"
#include "config/versioneddocument.h"
#include "tool/fetch.h"
#include "tool/requesttimeline.h"

#include <docopt/docopt.h>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <iterator>
#include <set>
#include <sstream>

namespace seamarch {
namespace {

using nlohmann::json;
using Arguments = std::map<std::string, docopt::value>;

constexpr int kExitOk = 0;
constexpr int kExitRefused = 1;
constexpr int kExitUsage = 2;
constexpr int kExitUnreachable = 3;
constexpr int kExitConflict = 4;

constexpr const char *kUsage = R"(seamarch - the operators' tool

Usage:
  seamarch status --operators=LIST [--json]
  seamarch validate FILE [--json]
  seamarch diff FROM TO [--json]
  seamarch plan share ACCOUNT SHARE [--json] [options]
  seamarch plan drain-hall HALL [--undo] [--json] [options]
  seamarch plan drain-instance AGENT [--undo] [--json] [options]
  seamarch plan model MODEL VERSION [--json] [options]
  seamarch confirm PLAN DIGEST [--json] [options]
  seamarch digest [--json]
  seamarch explain ID LOG... [--json]
  seamarch version [--json]
  seamarch (-h | --help)

The current configuration comes from the platform's service or from a file. A plan changes nothing;
'confirm' checks that the configuration has not changed since the plan was made and prints the
document to publish. 'digest' reads a bearer key from standard input and prints the value for
keySha256. 'explain' reads the logs of processes and prints the log lines that concern one request,
in order of time, and the cause of its outcome.

Options:
  --platform=ADDRESS  IP:PORT of the platform's service.
  --base=FILE         Read the current configuration from FILE, not from the platform.
  --instances=FILE    Read the instance list from FILE, not from the platform.
  --out=FILE          Write the plan to FILE, for use with 'confirm'.
  --undo              End a drain instead of starting it.
  --operators=LIST    Operator addresses of the processes, IP:PORT, separated by commas.
  --json              Print JSON.
  -h --help           Show this text.

Exit status: 0 success; 1 refused, with the reason; 2 usage error; 3 not reachable; 4 the
configuration has changed since the plan was made.
)";

// Prints `message` on standard error and returns `code`.
int failWith(int code, const std::string &message)
{
    fmt::print(stderr, "seamarch: {}\n", message);
    return code;
}

// Returns the value of an option that takes one, or nothing if it is not given.
std::optional<std::string> optionText(const Arguments &arguments, const char *name)
{
    const auto found = arguments.find(name);
    if (found == arguments.end() || !found->second.isString()) {
        return std::nullopt;
    }
    return found->second.asString();
}

bool isSet(const Arguments &arguments, const char *name)
{
    const auto found = arguments.find(name);
    return found != arguments.end() && found->second.isBool() && found->second.asBool();
}

// The reason why an input could not be read, and the exit status to report.
struct ReadError
{
    int exitCode = kExitRefused;
    std::string message;
};

tl::expected<std::string, ReadError> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return tl::unexpected(ReadError{kExitRefused, fmt::format("cannot read '{}'", path)});
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

tl::expected<json, ReadError> readJsonFile(const std::string &path)
{
    const auto text = readFile(path);
    if (!text) {
        return tl::unexpected(text.error());
    }
    auto value = parseJson(*text);
    if (!value) {
        return tl::unexpected(ReadError{kExitRefused, path + ": " + describe(value.error())});
    }
    return *value;
}

// Reads a document from the file that `fileOption` names, or from `path` of the platform's service
// if that option is not given.
tl::expected<json, ReadError> readDocument(const Arguments &arguments, const char *fileOption,
                                           const std::string &path)
{
    if (const auto file = optionText(arguments, fileOption)) {
        return readJsonFile(*file);
    }
    const auto platform = optionText(arguments, "--platform");
    const auto address = platform ? parseHostPort(*platform) : std::nullopt;
    if (!address) {
        return tl::unexpected(ReadError{
            kExitUsage, fmt::format("expected --platform=IP:PORT or {}=FILE", fileOption)});
    }
    const auto text = fetch({address->host, address->port}, path + "?after=0");
    if (!text) {
        return tl::unexpected(ReadError{kExitUnreachable, text.error().message});
    }
    auto value = parseJson(*text);
    if (!value) {
        return tl::unexpected(ReadError{kExitRefused, describe(value.error())});
    }
    return *value;
}

int runValidate(const Arguments &arguments)
{
    const auto value = readJsonFile(arguments.at("FILE").asString());
    if (!value) {
        return failWith(value.error().exitCode, value.error().message);
    }
    const auto document = readConfig(*value);
    if (isSet(arguments, "--json")) {
        json faults = json::array();
        if (!document) {
            for (const ConfigFault &fault : document.error()) {
                faults.push_back({{"path", fault.path}, {"message", fault.message}});
            }
        }
        fmt::print("{}\n", json{{"valid", document.has_value()}, {"faults", faults}}.dump());
    } else if (document) {
        fmt::print("valid: version {}, {} client accounts, {} models, {} services\n",
                   document->version.value(), document->accounts.size(), document->models.size(),
                   document->services.size());
    } else {
        fmt::print("{}", describe(document.error()));
    }
    return document ? kExitOk : kExitRefused;
}

int runDiff(const Arguments &arguments)
{
    const auto from = readJsonFile(arguments.at("FROM").asString());
    const auto to = readJsonFile(arguments.at("TO").asString());
    if (!from || !to) {
        return failWith(kExitRefused, (from ? to : from).error().message);
    }
    const json patch = json::diff(*from, *to);
    ConfigFaults faults;
    const auto before = readConfig(*from);
    const auto after = readConfig(*to);
    if (before && after) {
        faults = transitionFaults(*before, *after);
    }
    if (isSet(arguments, "--json")) {
        fmt::print("{}\n", json{{"patch", patch}, {"allowed", faults.empty()}}.dump());
    } else {
        for (const json &step : patch) {
            fmt::print("{} {} {}\n", step.value("op", ""), step.value("path", ""),
                       step.contains("value") ? step["value"].dump() : "");
        }
        fmt::print("{}", describe(faults));
    }
    return faults.empty() ? kExitOk : kExitRefused;
}

// Returns whether `text` is UTF-8, as all texts of JSON documents are.
bool isUtf8(const std::string &text)
{
    const auto written = [value = json(text)](json::error_handler_t handler) {
        return value.dump(-1, ' ', false, handler);
    };
    return written(json::error_handler_t::replace) == written(json::error_handler_t::ignore);
}

tl::expected<ConfigIntent, ReadError> readIntent(const Arguments &arguments)
{
    for (const char *name : {"ACCOUNT", "HALL", "AGENT", "MODEL", "VERSION"}) {
        if (const auto text = optionText(arguments, name); text && !isUtf8(*text)) {
            return tl::unexpected(ReadError{
                kExitUsage, fmt::format("expected UTF-8 as {}, found other bytes", name)});
        }
    }
    const bool undo = isSet(arguments, "--undo");
    if (isSet(arguments, "share")) {
        const std::string text = arguments.at("SHARE").asString();
        char *end = nullptr;
        const double share = std::strtod(text.c_str(), &end);
        if (text.empty() || *end != '\0') {
            return tl::unexpected(
                ReadError{kExitUsage, fmt::format("expected a number as SHARE, found '{}'", text)});
        }
        return ShareIntent{AccountId(arguments.at("ACCOUNT").asString()), share};
    }
    if (isSet(arguments, "drain-hall")) {
        return DrainHallIntent{HallId(arguments.at("HALL").asString()), !undo};
    }
    if (isSet(arguments, "drain-instance")) {
        return DrainInstanceIntent{InstanceId(arguments.at("AGENT").asString()), !undo};
    }
    return ModelVersionIntent{TargetName(arguments.at("MODEL").asString()),
                              arguments.at("VERSION").asString()};
}

void printPlan(const ConfigPlan &plan)
{
    fmt::print("plan on version {} for version {}\n", plan.baseVersion, plan.baseVersion + 1);
    for (const std::string &change : plan.changes) {
        fmt::print("  {}\n", change);
    }
    fmt::print("cost: {} replicas, {:.1f} GB of weights, {:.0f} s of the weight store, {:.0f}% of "
               "capacity lost at the worst moment\n",
               plan.cost.replicas, plan.cost.movedGigabytes, plan.cost.weightStoreSeconds,
               plan.cost.capacityLostPart * 100.0);
    fmt::print("digest: {}\n", formatDigest(plan.digest));
}

int runPlan(const Arguments &arguments)
{
    const auto intent = readIntent(arguments);
    if (!intent) {
        return failWith(intent.error().exitCode, intent.error().message);
    }
    const auto base = readDocument(arguments, "--base", "/config");
    if (!base) {
        return failWith(base.error().exitCode, base.error().message);
    }
    std::optional<InstanceList> instances;
    if (optionText(arguments, "--instances") || optionText(arguments, "--platform")) {
        const auto value = readDocument(arguments, "--instances", "/instances");
        auto list = value ? readInstances(*value) : tl::unexpected(ConfigFaults{});
        if (!list) {
            return failWith(kExitRefused,
                            "cannot read the instance list, which the cost is computed from");
        }
        instances = std::move(*list);
    }
    const auto plan = makePlan(*base, *intent, instances);
    if (!plan) {
        return failWith(kExitRefused, plan.error().message);
    }
    if (const auto out = optionText(arguments, "--out")) {
        std::ofstream file(*out, std::ios::binary);
        file << planToJson(*plan).dump(2) << '\n';
        if (!file.flush()) {
            return failWith(kExitRefused, fmt::format("cannot write '{}'", *out));
        }
    }
    if (isSet(arguments, "--json")) {
        fmt::print("{}\n", planToJson(*plan).dump());
    } else {
        printPlan(*plan);
    }
    return kExitOk;
}

int runConfirm(const Arguments &arguments)
{
    const auto value = readJsonFile(arguments.at("PLAN").asString());
    if (!value) {
        return failWith(value.error().exitCode, value.error().message);
    }
    const auto plan = planFromJson(*value);
    if (!plan) {
        return failWith(kExitRefused, plan.error().message);
    }
    const auto digest = parseDigest(arguments.at("DIGEST").asString());
    if (!digest) {
        return failWith(kExitUsage, "expected DIGEST as 16 hexadecimal digits");
    }
    const auto current = readDocument(arguments, "--base", "/config");
    if (!current) {
        return failWith(current.error().exitCode, current.error().message);
    }
    const auto document = confirmPlan(*plan, *digest, *current);
    if (!document) {
        const bool baseMoved = document.error().kind == PlanError::Kind::BaseChanged;
        return failWith(baseMoved ? kExitConflict : kExitRefused, document.error().message);
    }
    fmt::print("{}\n", document->dump(2));
    return kExitOk;
}

int runStatus(const Arguments &arguments)
{
    std::istringstream addresses(arguments.at("--operators").asString());
    json processes = json::array();
    std::set<std::uint64_t> versions;
    int unreachable = 0;
    std::string addressText;
    while (std::getline(addresses, addressText, ',')) {
        const auto address = parseHostPort(addressText);
        if (!address) {
            return failWith(kExitUsage, fmt::format("expected IP:PORT, found '{}'", addressText));
        }
        const auto text = fetch({address->host, address->port}, "/status");
        const json status = text ? parseUntrustedJson(*text).value_or(json()) : json();
        if (!status.is_object()) {
            ++unreachable;
            processes.push_back({{"address", addressText}, {"reachable", false}});
            continue;
        }
        versions.insert(status.value("configVersion", 0ULL));
        processes.push_back(status);
    }
    const std::uint64_t highest = versions.empty() ? 0 : *versions.rbegin();
    const bool inForceEverywhere = versions.size() == 1 && unreachable == 0;
    if (isSet(arguments, "--json")) {
        fmt::print("{}\n", json{{"processes", processes},
                                {"configVersion", highest},
                                {"inForceEverywhere", inForceEverywhere}}
                               .dump());
    } else {
        for (const json &status : processes) {
            fmt::print("{:<8} {:<20} ready={} config={} list={}\n", status.value("role", "?"),
                       status.value("instance", status.value("address", "?")),
                       status.value("ready", false), status.value("configVersion", 0ULL),
                       status.value("listVersion", 0ULL));
        }
        fmt::print("configuration {} is {}in force everywhere; {} not reachable\n", highest,
                   inForceEverywhere ? "" : "not ", unreachable);
    }
    return unreachable == 0 ? kExitOk : kExitUnreachable;
}

int runDigest(const Arguments &arguments)
{
    std::string key;
    std::getline(std::cin, key);
    if (key.empty()) {
        return failWith(kExitUsage, "expected a bearer key on standard input, found none");
    }
    const std::string digest = sha256Hex(key);
    fmt::print("{}\n", isSet(arguments, "--json") ? json{{"keySha256", digest}}.dump() : digest);
    return kExitOk;
}

int runExplain(const Arguments &arguments)
{
    std::vector<std::string> texts;
    for (const std::string &path : arguments.at("LOG").asStringList()) {
        auto text = readFile(path);
        if (!text) {
            return failWith(text.error().exitCode, text.error().message);
        }
        texts.push_back(std::move(*text));
    }
    const RequestTimeline timeline = readRequestTimeline(arguments.at("ID").asString(), texts);
    if (timeline.unreadableLines > 0) {
        fmt::print(stderr, "seamarch: skipped {} lines that are not log lines\n",
                   timeline.unreadableLines);
    }
    if (!timeline.found()) {
        return failWith(kExitRefused,
                        fmt::format("no line of these files has the id '{}'; give the "
                                    "logs of all gateways",
                                    timeline.id));
    }
    if (isSet(arguments, "--json")) {
        fmt::print(
            "{}\n",
            json{{"id", timeline.id}, {"cause", timeline.cause}, {"lines", timeline.lines}}.dump());
        return kExitOk;
    }
    for (const json &line : timeline.lines) {
        fmt::print("{}\n", describeLine(line));
    }
    fmt::print("cause: {}\n", timeline.cause);
    return kExitOk;
}

int runVersion(const Arguments &arguments)
{
    const std::string version = SEAMARCH_VERSION;
    fmt::print("{}\n", isSet(arguments, "--json") ? json{{"version", version}}.dump() : version);
    return kExitOk;
}

int run(const std::vector<std::string> &words)
{
    constexpr std::pair<const char *, int (*)(const Arguments &)> kCommands[] = {
        {"status", runStatus},   {"validate", runValidate}, {"diff", runDiff},
        {"plan", runPlan},       {"confirm", runConfirm},   {"digest", runDigest},
        {"version", runVersion}, {"explain", runExplain},
    };
    Arguments arguments;
    try {
        arguments = docopt::docopt_parse(kUsage, words, true, false);
    } catch (const docopt::DocoptExitHelp &) {
        fmt::print("{}", kUsage);
        return kExitOk;
    } catch (const std::exception &error) {
        return failWith(kExitUsage, fmt::format("{}; see 'seamarch --help'", error.what()));
    }
    for (const auto &[name, command] : kCommands) {
        if (isSet(arguments, name)) {
            return command(arguments);
        }
    }
    return kExitUsage;
}

} // namespace
} // namespace seamarch

int main(int argc, char **argv)
{
    return seamarch::run({argv + 1, argv + argc});
}
