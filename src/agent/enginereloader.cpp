#include "agent/enginereloader.h"

#include "base/log.h"
#include "base/untrustedjson.h"
#include "config/objectreader.h"
#include "net/httpfetch.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace seamarch {
namespace {

using nlohmann::json;

constexpr int kStatusOk = 200;
// If not all permits are collected within this time, they are released and collected anew.
constexpr Duration kPermitCollectTimeout = std::chrono::seconds(30);
// An engine answers at once, as it loads weights in the background.
constexpr Duration kEngineCallTimeout = std::chrono::seconds(10);
constexpr std::size_t kMaxStateBytes = std::size_t{64} * 1024;
constexpr int kStatusNotFound = 404;
constexpr const char *kOrdersPath = "/v1/orders";

std::optional<EngineState> parseEngineState(const std::string &body)
{
    const auto value = parseUntrustedJson(body);
    if (!value || !value->is_object()) {
        return std::nullopt;
    }
    const auto version = value->find("version");
    if (version == value->end() || !version->is_string()) {
        return std::nullopt;
    }
    ConfigFaults faults;
    ObjectReader reader(*value, "", faults);
    EngineState state;
    state.version = version->get<std::string>(); // Empty if no version is loaded.
    state.fence =
        reader.integer("fence", Presence::Optional, 0, std::numeric_limits<std::uint64_t>::max());
    state.loading = reader.boolean("loading", Presence::Optional);
    if (!faults.empty()) {
        logLine(LogLevel::Warning, "engine.state_unreadable", {{"faults", describe(faults)}});
        return std::nullopt;
    }
    return state;
}

} // namespace

EngineReloader::EngineReloader(EventLoop &loop, HttpClient &client, EngineReloaderHost &host,
                               InstanceId self, SocketAddress engine)
    : loop_(loop)
    , client_(client)
    , host_(host)
    , self_(std::move(self))
    , engineAddress_(std::move(engine))
{}

void EngineReloader::setTarget(std::string version, ConfigVersion config)
{
    targetVersion_ = std::move(version);
    configVersion_ = config;
}

// Sends a query or an order. The engine answers both with its state.
void EngineReloader::fetchState(HttpCallRequest request)
{
    inFlight_ = true;
    fetchText(
        loop_, client_, std::move(request), kEngineCallTimeout,
        [this](const HttpTextResponse &text) {
            inFlight_ = false;
            ordersUnsupported_ = text.status == kStatusNotFound;
            const bool succeeded = text.complete && text.status == kStatusOk;
            onEngineState(succeeded ? parseEngineState(text.body) : std::nullopt);
        },
        kMaxStateBytes);
}

void EngineReloader::queryState()
{
    HttpCallRequest request;
    request.address = engineAddress_;
    request.path = kOrdersPath;
    fetchState(std::move(request));
}

void EngineReloader::sendOrder()
{
    HttpCallRequest request;
    request.address = engineAddress_;
    request.method = "POST";
    request.path = kOrdersPath;
    request.contentType = "application/json";
    request.body =
        SharedText(json{{"fence", configVersion_.value()}, {"version", targetVersion_}}.dump());
    fetchState(std::move(request));
    logLine(LogLevel::Info, "order.given",
            {{"version", targetVersion_}, {"fence", configVersion_.value()}});
}

void EngineReloader::onEngineState(const std::optional<EngineState> &state)
{
    if (!state) {
        return;
    }
    const bool first = !stateKnown_;
    stateKnown_ = true;
    engine_ = *state;
    if (first && engine_.loading) {
        // The previous incarnation of this agent sent the order and ended. This one takes over its
        // permit and completes the reload.
        permits_.startCollecting();
        permits_.onIssued(self_);
        host_.setServing(false);
        step_ = Step::Loading;
    }
}

void EngineReloader::tick()
{
    if (inFlight_ || ordersUnsupported_ || targetVersion_.empty()) {
        return;
    }
    if (!stateKnown_ || step_ == Step::Ordering || step_ == Step::Loading) {
        if (stateKnown_) {
            advance();
        }
        if (!inFlight_) {
            queryState();
        }
        return;
    }
    advance();
}

void EngineReloader::advance()
{
    const bool reloadDue =
        engine_.version != targetVersion_ && engine_.fence < configVersion_.value();
    switch (step_) {
    case Step::Idle:
        if (reloadDue) {
            collectPermits();
        }
        return;
    case Step::Collecting:
        if (!reloadDue) {
            finishReload();
        } else if (permits_.holdsAll()) {
            host_.setServing(false);
            step_ = Step::Draining;
        } else if (loop_.now() - collectingSince_ > kPermitCollectTimeout) {
            releasePermits();
            collectPermits();
        }
        return;
    case Step::Draining:
        if (host_.upstreamIdle()) {
            // tick() queries the state once more right before the order, to compare the fence.
            step_ = Step::Ordering;
        }
        return;
    case Step::Ordering:
        if (reloadDue) {
            sendOrder();
            step_ = Step::Loading;
        } else {
            finishReload();
        }
        return;
    case Step::Loading:
        if (!engine_.loading && !reloadDue) {
            finishReload();
        }
        return;
    }
}

void EngineReloader::collectPermits()
{
    permits_.startCollecting();
    collectingSince_ = loop_.now();
    step_ = Step::Collecting;
}

void EngineReloader::releasePermits()
{
    for (const InstanceId &member : permits_.releaseAll()) {
        host_.releasePermit(member);
    }
}

void EngineReloader::finishReload()
{
    step_ = Step::Idle;
    host_.setServing(true);
    releasePermits();
    logLine(LogLevel::Info, "order.done", {{"version", engine_.version}});
}

} // namespace seamarch
