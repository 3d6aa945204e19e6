#include "experts/ownengine.h"

#include "base/digest.h"
#include "base/log.h"
#include "experts/maplognames.h"

#include <algorithm>
#include <utility>

namespace seamarch {
namespace {

// How often and for how long the engine is polled for the end of a copy. The decider learns of
// longer copies from reports; an answer that waited for them would count as lost.
constexpr Duration kCopyPollInterval = std::chrono::milliseconds(25);
constexpr Duration kCopyTimeout = std::chrono::milliseconds(250);

} // namespace

OwnEngine::OwnEngine(EventLoop &loop, EngineClient &engineClient, SocketAddress engine)
    : loop_(loop)
    , engineClient_(engineClient)
    , engine_(std::move(engine))
    , countHistory_(randomNonzeroId())
{}

OwnEngine::~OwnEngine()
{
    *alive_ = false;
}

void OwnEngine::fetchFacts(RankQuery query, FactsDone done)
{
    engineClient_.fetchFacts(
        engine_, query,
        [this, query, done = std::move(done), alive = alive_](std::optional<EngineFacts> engine) {
            if (!*alive) {
                return;
            }
            if (!engine) {
                done(std::nullopt);
                return;
            }
            RankFacts facts{engine->report, std::nullopt, std::move(engine->experts)};
            forwardedOrders_.recordReport(facts.report.epoch, facts.report.prepared,
                                          facts.report.map);
            facts.report.fence = forwardedOrders_.highestFence();
            facts.report.unarmedVersion = forwardedOrders_.unarmedVersion(facts.report.epoch);
            if (!engine->counts.empty()) {
                facts.choices = countHistory_.record(std::move(engine->counts), query.countsSince);
            }
            done(std::move(facts));
        });
}

void OwnEngine::sendOrder(const MapOrder &order, OrderDone done)
{
    if (!forwardedOrders_.admit(order)) {
        logLine(LogLevel::Info, "order.fenced",
                {{"kind", logName(order.kind)},
                 {"version", order.version},
                 {"fence", order.fence},
                 {"highest", forwardedOrders_.highestFence()}});
        done(MapOrderAnswer::Fenced);
        return;
    }
    logLine(LogLevel::Info, "order.handed",
            {{"kind", logName(order.kind)},
             {"version", order.version},
             {"step", order.step},
             {"epoch", order.epoch},
             {"fence", order.fence}});
    if (order.kind != MapOrderKind::Prepare) {
        engineClient_.sendOrder(engine_, order, std::move(done));
        return;
    }
    const auto onAnswer = [this, order, done = std::move(done),
                           alive = alive_](MapOrderAnswer answer) {
        if (*alive && answer == MapOrderAnswer::Done) {
            awaitCopy(order, loop_.now() + kCopyTimeout, done);
        } else {
            done(answer);
        }
    };
    engineClient_.sendOrder(engine_, order, onAnswer);
}

void OwnEngine::awaitCopy(const MapOrder &order, TimePoint deadline, const OrderDone &done)
{
    const auto onFacts = [this, order, deadline, done,
                          alive = alive_](const std::optional<EngineFacts> &facts) {
        if (!*alive) {
            return;
        }
        const bool copied = facts && facts->report.epoch == order.epoch
                            && facts->report.group == order.group
                            && facts->report.prepared == order.version;
        if (copied || loop_.now() >= deadline) {
            done(copied ? MapOrderAnswer::Copied : MapOrderAnswer::Done);
            return;
        }
        loop_.schedule(kCopyPollInterval, [this, order, deadline, done, alive] {
            if (*alive) {
                awaitCopy(order, deadline, done);
            }
        });
    };
    engineClient_.fetchFacts(engine_, {}, onFacts);
}

} // namespace seamarch
