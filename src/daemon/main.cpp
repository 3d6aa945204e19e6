// seamarchd: the daemon, in the role of an entry or of an agent.
#include "agent/agentservice.h"
#include "base/log.h"
#include "base/settings.h"
#include "daemon/options.h"
#include "callerheaders.h"
#include "enginecalls.h"
#include "entry/entryservice.h"
#include "gateway/gatewayservice.h"
#include "net/eventloop.h"
#include "storeitems.h"

#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <functional>
#include <memory>

namespace seamarch {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitSettings = 2;
constexpr int kExitStart = 3;

EventLoop *signalledLoop = nullptr;

void onStopSignal(int /*signal*/)
{
    if (signalledLoop != nullptr) {
        signalledLoop->interrupt();
    }
}

void installSignals(EventLoop &loop)
{
    signalledLoop = &loop;
    std::signal(SIGTERM, onStopSignal);
    std::signal(SIGINT, onStopSignal);
    std::signal(SIGPIPE, SIG_IGN);
}

int printFaults(const std::vector<SettingFault> &faults)
{
    for (const SettingFault &fault : faults) {
        fmt::print(stderr, "seamarchd: --{}: {}\n", fault.name, fault.message);
    }
    return kExitSettings;
}

// Runs a service until it has stopped. `create` makes it on the loop that it is given.
template <typename Create>
int serve(Create create)
{
    auto loop = EventLoop::create();
    if (!loop) {
        logLine(LogLevel::Error, "start.failed", {{"message", loop.error().message}});
        return kExitStart;
    }
    auto service = create(**loop);
    if (!service) {
        logLine(LogLevel::Error, "start.failed", {{"message", service.error().message}});
        return kExitStart;
    }
    installSignals(**loop);
    (*loop)->onInterrupt([&service] { (*service)->stop(); });
    logLine(LogLevel::Info, "process.started", {{"version", SEAMARCH_VERSION}});
    (*loop)->run();
    signalledLoop = nullptr;
    (*loop)->shutDown();
    logLine(LogLevel::Info, "process.ended");
    flushLog();
    return kExitOk;
}

int serveGateway(const GatewaySettings &settings)
{
    const platform::CallerHeaders protocol;
    const platform::StoreItemsReader store(settings.store);
    return serve([&](EventLoop &loop) {
        return GatewayService::create(loop, settings, protocol, store);
    });
}

int serveExpertAgent(const ExpertAgentSettings &settings)
{
    const platform::EngineHttp engines;
    const platform::StoreItemsReader store(settings.store);
    return serve([&](EventLoop &loop) {
        return ExpertAgent::create(loop, settings, store, engines);
    });
}

int run(const DaemonOptions &options)
{
    if (!options.faults.empty()) {
        return printFaults(options.faults);
    }
    setLogLevel(options.logLevel);
    if (options.checkOnly) {
        for (const auto &[name, value] : options.values) {
            fmt::print("{}={}\n", name, value);
        }
        return kExitOk;
    }
    if (options.entry) {
        setLogContext({{"role", "entry"}, {"instance", options.entry->instance.value()}});
        return serve(
            [&options](EventLoop &loop) { return EntryService::create(loop, *options.entry); });
    }
    if (options.gateway) {
        setLogContext({{"role", "gateway"}, {"instance", options.gateway->instance.value()}});
        return serveGateway(*options.gateway);
    }
    if (options.expertAgent) {
        setLogContext(
            {{"role", "expertagent"}, {"instance", options.expertAgent->instance.value()}});
        return serveExpertAgent(*options.expertAgent);
    }
    setLogContext({{"role", "agent"}, {"instance", options.agent->instance.value()}});
    return serve([&options](EventLoop &loop) { return AgentService::create(loop, *options.agent); });
}

} // namespace
} // namespace seamarch

int main(int argc, char **argv)
{
    return seamarch::run(seamarch::readDaemonOptions({argv + 1, argv + argc}));
}
