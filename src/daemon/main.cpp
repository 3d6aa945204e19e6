// seamarchd: runs one service of the load balancer: an entry, agent, gateway or expert agent.
#include "agent/agentservice.h"
#include "base/log.h"
#include "base/settings.h"
#include "callerheaders.h"
#include "daemon/options.h"
#include "enginehttp.h"
#include "entry/entryservice.h"
#include "gateway/gatewayservice.h"
#include "net/eventloop.h"
#include "storehttp.h"

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fmt/format.h>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <type_traits>
#include <utility>

namespace seamarch {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitSettings = 2;
constexpr int kExitStart = 3;

// How long a start waits for addresses that are in use: at least until an instance that the
// platform replaces has stopped.
constexpr Duration kAddressTimeout = std::chrono::seconds(30);
constexpr Duration kAddressRetryDelay = std::chrono::milliseconds(100);

// How long a start rereads settings that have faults: the platform may be writing the file.
constexpr Duration kSettingsTimeout = std::chrono::seconds(1);
constexpr Duration kSettingsRetryDelay = std::chrono::milliseconds(50);

// How often the settings file is checked for changes, because it may change without a signal.
constexpr Duration kSettingsPollInterval = std::chrono::seconds(1);

// State shared with the signal handlers, which only set flags and wake the loop.
EventLoop *signalledLoop = nullptr;
volatile std::sig_atomic_t stopRequested = 0;
volatile std::sig_atomic_t reloadRequested = 0;

void onStopSignal(int /*signal*/)
{
    stopRequested = 1;
    if (signalledLoop != nullptr) {
        signalledLoop->interrupt();
    }
}

void onReloadSignal(int /*signal*/)
{
    reloadRequested = 1;
    if (signalledLoop != nullptr) {
        signalledLoop->interrupt();
    }
}

// Writes to the log why an exception ends the process, with the lines that are still queued.
[[noreturn]] void onUncaughtException()
{
    std::string message = "no exception";
    try {
        if (const std::exception_ptr current = std::current_exception()) {
            std::rethrow_exception(current);
        }
    } catch (const std::exception &exception) {
        message = exception.what();
    } catch (...) {
        message = "an exception of another type";
    }
    logLine(LogLevel::Error, "process.failed", {{"message", message}});
    flushLog();
    std::abort();
}

void installSignalHandlers()
{
    std::signal(SIGTERM, onStopSignal);
    std::signal(SIGINT, onStopSignal);
    std::signal(SIGHUP, onReloadSignal);
    std::signal(SIGPIPE, SIG_IGN);
}

// Reads the settings for a start.
DaemonOptions readOptions(const std::vector<std::string> &arguments)
{
    DaemonOptions options = readDaemonOptions(arguments);
    for (Duration waited{}; !options.faults.empty() && !options.checkOnly
                            && !options.settingsFile.empty() && waited < kSettingsTimeout;
         waited += kSettingsRetryDelay) {
        std::this_thread::sleep_for(kSettingsRetryDelay);
        options = readDaemonOptions(arguments);
    }
    return options;
}

// Prints all faults on standard error and returns the exit code to end with.
int printSettingFaults(const std::vector<SettingFault> &faults)
{
    for (const SettingFault &fault : faults) {
        fmt::print(stderr, "seamarchd: --{}: {}\n", fault.name, fault.message);
    }
    return kExitSettings;
}

// Rereads the settings periodically and on request, and passes them to `apply` when they have
// changed or a reload was requested. Settings with faults are logged and leave those in force
// unchanged.
class SettingsReloader
{
public:
    using Apply = std::function<void(const DaemonOptions &)>;

    SettingsReloader(EventLoop &loop, const DaemonOptions &options, Apply apply)
        : arguments_(options.arguments)
        , values_(options.values)
        , apply_(std::move(apply))
        , timer_(loop, kSettingsPollInterval, [this] { reload(false); })
    {}

    // Rereads the settings, and applies or rejects them. Without `requested`, does nothing if the
    // settings or faults are the same as at the last reload.
    void reload(bool requested)
    {
        const DaemonOptions newOptions = readDaemonOptions(arguments_);
        const bool differs =
            newOptions.faults.empty() ? newOptions.values != values_ : newOptions.faults != faults_;
        if (!requested && !differs) {
            return;
        }
        faults_ = newOptions.faults;
        if (!newOptions.faults.empty()) {
            const SettingFault &fault = newOptions.faults.front();
            logLine(LogLevel::Warning, "settings.rejected",
                    {{"name", fault.name}, {"fault", fault.message}});
            return;
        }
        logLine(LogLevel::Info, "settings.reloaded",
                {{"asked", requested}, {"changed", newOptions.values != values_}});
        values_ = newOptions.values;
        setLogLevel(newOptions.logLevel);
        apply_(newOptions);
    }

private:
    std::vector<std::string> arguments_;
    std::map<std::string, std::string> values_;
    std::vector<SettingFault>
        faults_; // Found at the last reload; kept so that the same faults are not logged again.
    Apply apply_;
    PeriodicTimer timer_;
};

// A service with the loop that it runs on. Destroyed in the order in which a service needs it.
template <typename Service>
struct RunningService
{
    std::unique_ptr<EventLoop> loop;
    std::unique_ptr<Service> service;
};

template <typename Create>
using ServiceOf = typename std::invoke_result_t<Create, EventLoop &>::value_type::element_type;

template <typename Create>
tl::expected<RunningService<ServiceOf<Create>>, NetError> createOnLoop(Create create)
{
    auto loop = EventLoop::create();
    if (!loop) {
        return tl::unexpected(loop.error());
    }
    auto service = create(**loop);
    if (!service) {
        return tl::unexpected(service.error());
    }
    return RunningService<ServiceOf<Create>>{std::move(*loop), std::move(*service)};
}

// Starts a service. While one of its addresses is in use, tries again until kAddressTimeout is over
// or a stop is requested: the address of an instance that was killed a moment ago may still be
// held, by the instance or by an outgoing connection.
template <typename Create>
tl::expected<RunningService<ServiceOf<Create>>, NetError> start(Create create)
{
    std::string lastMessage;
    for (Duration waited{};; waited += kAddressRetryDelay) {
        auto running = createOnLoop(create);
        if (running || running.error().kind != NetError::Kind::ListenFailed || stopRequested != 0
            || waited >= kAddressTimeout) {
            return running;
        }
        if (running.error().message != std::exchange(lastMessage, running.error().message)) {
            logLine(LogLevel::Warning, "start.postponed", {{"message", lastMessage}});
            flushLog();
        }
        std::this_thread::sleep_for(kAddressRetryDelay);
    }
}

// Runs a service until it has stopped, and returns the exit code. `create` constructs the service
// on the given loop; `apply` passes reloaded settings to it.
template <typename Create, typename ApplySettings>
int serve(const DaemonOptions &options, Create create, ApplySettings apply)
{
    auto running = start(create);
    if (!running) {
        logLine(LogLevel::Error, "start.failed", {{"message", running.error().message}});
        flushLog();
        return stopRequested != 0 ? kExitOk : kExitStart;
    }
    auto &loop = running->loop;
    auto &service = running->service;
    SettingsReloader reloader(
        *loop, options, [&](const DaemonOptions &newOptions) { apply(*service, newOptions); });
    loop->setInterruptHandler([&] {
        if (stopRequested != 0) {
            service->stop();
        }
        if (reloadRequested != 0) {
            reloadRequested = 0;
            reloader.reload(true);
        }
    });
    signalledLoop = loop.get();
    if (stopRequested != 0 || reloadRequested != 0) {
        loop->interrupt(); // They came before the loop could be told.
    }
    logLine(LogLevel::Info, "process.started", {{"version", SEAMARCH_VERSION}});
    loop->run();
    signalledLoop = nullptr;
    loop->shutDown();
    logLine(LogLevel::Info, "process.ended");
    flushLog();
    return kExitOk;
}

// For roles whose settings cannot change at run time.
constexpr auto kIgnoreNewSettings = [](auto & /*service*/, const DaemonOptions & /*newOptions*/) {};

int serveGateway(const DaemonOptions &options)
{
    const GatewaySettings &settings = *options.gateway;
    const platform::CallerHeaders protocol;
    const platform::StoreHttp store(settings.store);
    return serve(
        options,
        [&](EventLoop &loop) { return GatewayService::create(loop, settings, protocol, store); },
        [](GatewayService &service, const DaemonOptions &newOptions) {
            service.applySettings(*newOptions.gateway);
        });
}

int serveExpertAgent(const DaemonOptions &options)
{
    const ExpertAgentSettings &settings = *options.expertAgent;
    const platform::EngineHttp engines;
    const platform::StoreHttp store(settings.store);
    return serve(
        options,
        [&](EventLoop &loop) { return ExpertAgent::create(loop, settings, store, engines); },
        kIgnoreNewSettings);
}

int run(const DaemonOptions &options)
{
    if (!options.faults.empty()) {
        return printSettingFaults(options.faults);
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
            options,
            [&options](EventLoop &loop) { return EntryService::create(loop, *options.entry); },
            kIgnoreNewSettings);
    }
    if (options.gateway) {
        setLogContext({{"role", "gateway"}, {"instance", options.gateway->instance.value()}});
        return serveGateway(options);
    }
    if (options.expertAgent) {
        setLogContext(
            {{"role", "expertagent"}, {"instance", options.expertAgent->instance.value()}});
        return serveExpertAgent(options);
    }
    setLogContext({{"role", "agent"}, {"instance", options.agent->instance.value()}});
    return serve(
        options, [&options](EventLoop &loop) { return AgentService::create(loop, *options.agent); },
        kIgnoreNewSettings);
}

} // namespace
} // namespace seamarch

int main(int argc, char **argv)
{
    std::set_terminate(seamarch::onUncaughtException);
    seamarch::installSignalHandlers(); // Before anything that a signal must not interrupt.
    return seamarch::run(seamarch::readOptions({argv + 1, argv + argc}));
}
