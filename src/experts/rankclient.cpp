#include "experts/rankclient.h"

#include "base/log.h"
#include "net/httpfetch.h"

#include <memory>
#include <utility>

namespace seamarch {
namespace {

// An engine answers such calls at once; one that does not is dead, cut off or losing answers.
constexpr Duration kPatience = std::chrono::milliseconds(300);
constexpr int kOk = 200;

} // namespace

// One question on its way through up to three calls.
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
    auto asking = std::make_shared<PendingQuery>(PendingQuery{engine, query, {}, std::move(done)});
    fetchText(
        loop_, client_, protocol_.reportCall(engine), kPatience,
        [this, asking](const HttpText &text) {
            if (!text.complete || text.status != kOk) {
                asking->done(std::nullopt);
                return;
            }
            auto report = protocol_.readReport(text.body);
            if (!report) {
                logLine(LogLevel::Debug, "rank.report_unreadable", {{"fault", report.error()}});
                asking->done(std::nullopt);
                return;
            }
            asking->facts.report = *report;
            askCounts(asking);
        });
}

void EngineClient::askCounts(const std::shared_ptr<PendingQuery> &asking)
{
    if (!asking->query.counts) {
        askExperts(asking);
        return;
    }
    fetchText(loop_, client_, protocol_.countsCall(asking->engine), kPatience,
              [this, asking](const HttpText &text) {
                  auto counts = protocol_.readCounts(text.body);
                  if (text.complete && text.status == kOk && counts) {
                      asking->facts.counts = std::move(*counts);
                  }
                  askExperts(asking);
              });
}

void EngineClient::askExperts(const std::shared_ptr<PendingQuery> &asking)
{
    if (!asking->query.experts) {
        asking->done(std::move(asking->facts));
        return;
    }
    fetchText(loop_, client_, protocol_.expertsCall(asking->engine), kPatience,
              [this, asking](const HttpText &text) {
                  auto experts = protocol_.readExperts(text.body);
                  if (text.complete && text.status == kOk && experts) {
                      asking->facts.experts = std::move(*experts);
                  }
                  asking->done(std::move(asking->facts));
              });
}

void EngineClient::sendOrder(const SocketAddress &engine, const MapOrder &order,
                             std::function<void(MapOrderAnswer)> done)
{
    fetchText(loop_, client_, protocol_.orderCall(engine, order), kPatience,
              [this, done = std::move(done)](const HttpText &text) {
                  done(text.complete ? protocol_.readOrderAnswer(text.status)
                                     : MapOrderAnswer::Lost);
              });
}

} // namespace seamarch
