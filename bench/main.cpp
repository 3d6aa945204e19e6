// seamarch-bench: runs the deterministic benchmarks, the cost measurements and the load generator.
#include "benchmarkresult.h"
#include "loadgenerator.h"
#include "slopes.h"

#include <algorithm>
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <sstream>

namespace {

constexpr const char *kUsage = R"(seamarch-bench - measurements of seamarch

Usage:
  seamarch-bench --json [--only PART]
  seamarch-bench slopes
  seamarch-bench load --addresses LIST [--keys LIST] [--model NAME] [--service PATH]
                 [--callers N] [--seconds S] [--tokens N] [--stream]

Options:
  --json            Print the deterministic results; exit 1 when one exceeds its bound.
  --only PART       Only the results of one part: placement, routing, fairness, proof or config.
  --addresses LIST  IP:PORT of entries, separated by commas.
  --keys LIST       Bearer keys, separated by commas.
  --model NAME      Model to send completions to.
  --service PATH    Service and path to call, for example portal/status.
  --callers N       Concurrent callers, each in a closed loop [default: 16].
  --seconds S       Duration of the load in seconds [default: 2].
  --tokens N        Tokens of each answer [default: 8].
  --stream          Ask for streamed answers.
)";

std::vector<std::string> splitAtCommas(const docopt::value &value)
{
    std::vector<std::string> parts;
    if (!value.isString()) {
        return parts;
    }
    std::istringstream stream(value.asString());
    std::string part;
    while (std::getline(stream, part, ',')) {
        parts.push_back(part);
    }
    return parts;
}

std::string stringOrEmpty(const docopt::value &value)
{
    return value.isString() ? value.asString() : std::string();
}

int printResults(const std::string &only)
{
    using namespace seamarch::bench;
    constexpr std::pair<const char *, void (*)(BenchmarkResults &)> kSuites[] = {
        {"placement", addPlacementResults}, {"routing", addRoutingResults},
        {"fairness", addFairnessResults},   {"config", addConfigResults},
        {"proof", addProofResults},
    };
    BenchmarkResults results;
    for (const auto &[name, appendResults] : kSuites) {
        if (only.empty() || only == name) {
            appendResults(results);
        }
    }
    fmt::print("{}\n", toJson(results).dump(2));
    const bool allWithinBounds =
        std::all_of(results.begin(), results.end(),
                    [](const BenchmarkResult &result) { return result.isWithinBound(); });
    return allWithinBounds && !results.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
    if (arguments.at("slopes").asBool()) {
        return seamarch::bench::printSlopes();
    }
    if (arguments.at("--json").asBool()) {
        return printResults(stringOrEmpty(arguments.at("--only")));
    }
    seamarch::bench::LoadOptions options;
    options.addresses = splitAtCommas(arguments.at("--addresses"));
    options.keys = splitAtCommas(arguments.at("--keys"));
    options.model = stringOrEmpty(arguments.at("--model"));
    options.service = stringOrEmpty(arguments.at("--service"));
    options.callers = static_cast<int>(arguments.at("--callers").asLong());
    options.seconds = std::stod(arguments.at("--seconds").asString());
    options.answerTokens = static_cast<int>(arguments.at("--tokens").asLong());
    options.streamed = arguments.at("--stream").asBool();
    return seamarch::bench::runLoad(options);
}
