#include "experts/engineclient.h"

#include "base/log.h"
#include "net/httpfetch.h"

#include <memory>
#include <utility>

namespace seamarch {
namespace {

// A healthy engine answers these calls immediately; one that does not is dead, partitioned or
// losing responses.
constexpr Duration kCallTimeout = std::chrono::milliseconds(300);
// Far above the counts of any group. An agent may have calls to hundreds of engines in progress.
constexpr std::size_t kMaxAnswerBytes = std::size_t{256} * 1024;
constexpr int kOk = 200;

} // namespace

// A query in progress, which makes up to three calls in turn: report, counts, experts.
struct EngineClient::PendingQuery
{
    SocketAddress engine;
    RankQuery query;
    EngineFacts facts;
    std::function<void(std::optional<EngineFacts>)> done;
};

void EngineClient::fetchFacts(const SocketAddress &engine, RankQuery query,
                              std::function<void(std::optional<EngineFacts>)> done)
{
    auto pending = std::make_shared<PendingQuery>(PendingQuery{engine, query, {}, std::move(done)});
    fetchText(
        loop_, client_, protocol_.reportCall(engine), kCallTimeout,
        [this, pending](const HttpTextResponse &text) {
            if (!text.complete || text.status != kOk) {
                pending->done(std::nullopt);
                return;
            }
            auto report = protocol_.readReport(text.body);
            if (!report) {
                logLine(LogLevel::Debug, "rank.report_unreadable", {{"fault", report.error()}});
                pending->done(std::nullopt);
                return;
            }
            pending->facts.report = *report;
            fetchCounts(pending);
        },
        kMaxAnswerBytes);
}

void EngineClient::fetchCounts(const std::shared_ptr<PendingQuery> &pending)
{
    if (!pending->query.counts) {
        fetchExperts(pending);
        return;
    }
    fetchText(
        loop_, client_, protocol_.countsCall(pending->engine), kCallTimeout,
        [this, pending](const HttpTextResponse &text) {
            auto counts = protocol_.readCounts(text.body);
            if (text.complete && text.status == kOk && counts) {
                pending->facts.counts = std::move(*counts);
            }
            fetchExperts(pending);
        },
        kMaxAnswerBytes);
}

void EngineClient::fetchExperts(const std::shared_ptr<PendingQuery> &pending)
{
    if (!pending->query.experts) {
        pending->done(std::move(pending->facts));
        return;
    }
    fetchText(
        loop_, client_, protocol_.expertsCall(pending->engine), kCallTimeout,
        [this, pending](const HttpTextResponse &text) {
            auto experts = protocol_.readExperts(text.body);
            if (text.complete && text.status == kOk && experts) {
                pending->facts.experts = std::move(*experts);
            }
            pending->done(std::move(pending->facts));
        },
        kMaxAnswerBytes);
}

void EngineClient::sendOrder(const SocketAddress &engine, const MapOrder &order,
                             std::function<void(MapOrderAnswer)> done)
{
    fetchText(
        loop_, client_, protocol_.orderCall(engine, order), kCallTimeout,
        [this, done = std::move(done)](const HttpTextResponse &text) {
            done(text.complete ? protocol_.readOrderAnswer(text.status) : MapOrderAnswer::Lost);
        },
        kMaxAnswerBytes);
}

} // namespace seamarch
