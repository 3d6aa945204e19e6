#include "names.h"
#include "standin.h"

#include <cstdlib>
#include <fmt/format.h>
#include <set>
#include <thread>
#include <utility>
#include <vector>

namespace seamarch::standin {
namespace {

using nlohmann::json;
namespace names = seamarch::platform;

// An upstream of the platform. Responds with its signature; streams 10 events if the path contains
// `/stream`, and answers with 512 KB if it contains `/large`.
//
// Control settings:
//   {"id": ID}              its instance id; answers 421 to requests for another instance
//   {"delayMs": N}          time before the answer and between events
//   {"eventBytes": N}       makes each event this much longer
//   {"full": true}          refuses requests with 503, marked as not executed
//   {"rest": TEXT}          seconds to wait (retry-after) that a refusal names; empty: none
//   {"fail": true}          answers 500
//   {"dropAnswers": true}   runs requests, then aborts the connection
//   {"breakAfter": N}       aborts each stream in the middle of event N + 1
//   {"foreignId": true}     answers with the id of another request
//   {"lies": true}          runs every request but marks every third as not executed
//   {"endsOn": TEXT}        ends the process while it runs a request whose body contains TEXT
//   {"endsOnPart": TEXT}    ends the process as it begins to answer a request with this prompt
//   part;
//                           the head of a stream is sent before
//   {"lingerMs": N}         a process that ends closes its connections N ms before its listening
//                           socket, and answers nothing in between
//   {"leaving": true}       announces in all answers that it is leaving
//   {"weights": TEXT}       answers 421 to requests that expect another version of its weights
//   {"limit": TEXT}         announces this rate limit in all answers; empty: none
//
// The control response lists each arrival as {"id": ID, "ms": N, "refused": BOOL, "rest": TEXT};
// its times are those of the stand-in's own clock.
class Replica final : public StandIn
{
public:
    using StandIn::StandIn;

private:
    static constexpr int kEventsPerStream = 10;
    static constexpr std::size_t kLargeAnswerBytes = std::size_t{512} * 1024;
    static constexpr std::size_t kMaxReportedBody = 4096; // Longer bodies are cut in the report.
    // Exit code when a request ends the process.
    static constexpr int kExitEndedByRequest = 70;

    static json headerNames(const HttpRequest &request)
    {
        json list = json::array();
        for (const HttpHeader &header : request.headers) {
            list.push_back(header.name);
        }
        return list;
    }

    void serve(ExchangeId exchange, const HttpRequest &request) override
    {
        if (exiting_) {
            return;
        }
        const std::string requestId = request.header(names::kRequestId);
        HttpResponseHead head;
        head.headers.push_back({std::string(names::kRequestId), requestId});
        if (leaving_) {
            head.headers.push_back({std::string(names::kLeaving), "1"});
        }
        if (!limit_.empty()) {
            head.headers.push_back({std::string(names::kRateLimit), limit_});
        }
        if (request.header(names::kExpectedInstance) != id_) {
            head.status = 421;
            server().respond(exchange, head, "{}");
            return;
        }
        if (requestId.empty()) {
            head.status = 400;
            head.headers.push_back({std::string(names::kNotExecuted), "1"});
            server().respond(exchange, head, "{}");
            return;
        }
        const std::string expected = request.header(names::kExpectedVersion);
        if (!expected.empty() && expected != weightsVersion_) {
            head.status = 421;
            server().respond(exchange, head, "{}");
            return;
        }
        arrivals_.push_back({{"id", requestId},
                             {"ms", toMillis(loop().now().time_since_epoch())},
                             {"refused", refuse_},
                             {"rest", refuse_ ? retryAfter_ : std::string()}});
        if (refuse_) {
            head.status = 503;
            head.headers.push_back({std::string(names::kNotExecuted), "1"});
            if (!retryAfter_.empty()) {
                head.headers.push_back({std::string(names::kRetryAfter), retryAfter_});
            }
            server().respond(exchange, head, "{}");
            return;
        }
        runs_.push_back({{"id", requestId},
                         {"account", request.header(names::kAccount)},
                         {"key", request.header(names::kAuthorization)},
                         {"body", request.body.substr(0, kMaxReportedBody)},
                         {"resumeAfter", request.header(names::kResumeAfter)},
                         {"headers", headerNames(request)}});
        head.headers.push_back({std::string(names::kReplicaSignature), "proof-of-" + id_});
        if (foreignId_) {
            head.headers.front().value = "another";
        }
        if (claimNotExecuted_ && runs_.size() % 3 == 0) {
            head.status = 503;
            head.headers.push_back({std::string(names::kNotExecuted), "1"});
            server().respond(exchange, head, "{}");
            return;
        }
        head.status = fail_ ? 500 : 200;
        const bool streams = request.path.find("/stream") != std::string::npos;
        const bool large = request.path.find("/large") != std::string::npos;
        const std::size_t padding = large ? kLargeAnswerBytes : 0;
        const int firstEvent = request.header(names::kResumeAfter).empty()
                                   ? 1
                                   : std::stoi(request.header(names::kResumeAfter)) + 1;
        const bool exits =
            !exitOnBodyText_.empty() && request.body.find(exitOnBodyText_) != std::string::npos;
        const bool exitsOnAnswer =
            !exitOnPromptPart_.empty()
            && request.header(names::kPromptParts).find(exitOnPromptPart_) != std::string::npos;
        openExchanges_.insert(exchange);
        loop().schedule(std::chrono::milliseconds(delayMs_),
                        [this, exchange, head, streams, firstEvent, padding, exits, exitsOnAnswer] {
                            if (exits) {
                                exit();
                                return;
                            }
                            if (exitsOnAnswer) {
                                exitWhileAnswering(exchange, head, streams);
                                return;
                            }
                            answer(exchange, head, streams, firstEvent, padding);
                        });
    }

    // Ends the process after the head of a stream, or before any other answer.
    void exitWhileAnswering(ExchangeId exchange, HttpResponseHead head, bool streams)
    {
        constexpr Duration kHeadSendTime = std::chrono::milliseconds(20);
        if (streams) {
            head.contentType = "text/event-stream";
            server().begin(exchange, head);
        }
        loop().schedule(streams ? kHeadSendTime : Duration{}, [this] { exit(); });
    }

    // Ends the process. If it lingers, it closes its connections first, and the kernel still
    // accepts new ones for the time.
    void exit()
    {
        constexpr Duration kCloseTime = std::chrono::milliseconds(5);
        if (lingerMs_ == 0) {
            std::_Exit(kExitEndedByRequest);
        }
        exiting_ = true;
        for (const ExchangeId exchange : std::exchange(openExchanges_, {})) {
            server().abort(exchange);
        }
        server().closeIdleConnections();
        loop().schedule(kCloseTime, [this] {
            std::this_thread::sleep_for(std::chrono::milliseconds(lingerMs_));
            std::_Exit(kExitEndedByRequest);
        });
    }

    // Answers a request that has run. A stream begins with event `firstEvent`; any other answer
    // ends with `padding` spaces.
    void answer(ExchangeId exchange, HttpResponseHead head, bool streams, int firstEvent,
                std::size_t padding)
    {
        if (dropAnswers_) {
            server().abort(exchange);
            return;
        }
        if (!streams) {
            openExchanges_.erase(exchange);
            server().respond(exchange, head, R"({"served":true})" + std::string(padding, ' '));
            return;
        }
        head.contentType = "text/event-stream";
        server().begin(exchange, head);
        sendEvent(exchange, firstEvent);
    }

    // Sends event `number` of a stream and schedules the next.
    void sendEvent(ExchangeId exchange, int number)
    {
        if (!openExchanges_.contains(exchange)) {
            return;
        }
        if (number > kEventsPerStream) { // Resumed after the last event, whose end was lost.
            openExchanges_.erase(exchange);
            server().finish(exchange);
            return;
        }
        if (breakAfter_ > 0 && number > breakAfter_) {
            server().write(exchange, fmt::format("id: {}\ndata: to", number));
            server().abort(exchange);
            return;
        }
        server().write(exchange, fmt::format("id: {0}\ndata: token {0}{1}\n\n", number,
                                             std::string(eventBytes_, ' ')));
        if (number == kEventsPerStream) {
            openExchanges_.erase(exchange);
            server().finish(exchange);
            return;
        }
        loop().schedule(std::chrono::milliseconds(std::max(1, delayMs_)),
                        [this, exchange, number] { sendEvent(exchange, number + 1); });
    }

    void onCallerGone(ExchangeId exchange) override
    {
        if (openExchanges_.erase(exchange) > 0) {
            ++callersGone_;
        }
    }

    json control(const json &change) override
    {
        id_ = change.value("id", id_);
        delayMs_ = change.value("delayMs", delayMs_);
        eventBytes_ = change.value("eventBytes", eventBytes_);
        refuse_ = change.value("full", refuse_);
        fail_ = change.value("fail", fail_);
        dropAnswers_ = change.value("dropAnswers", dropAnswers_);
        breakAfter_ = change.value("breakAfter", breakAfter_);
        foreignId_ = change.value("foreignId", foreignId_);
        claimNotExecuted_ = change.value("lies", claimNotExecuted_);
        exitOnBodyText_ = change.value("endsOn", exitOnBodyText_);
        exitOnPromptPart_ = change.value("endsOnPart", exitOnPromptPart_);
        retryAfter_ = change.value("rest", retryAfter_);
        lingerMs_ = change.value("lingerMs", lingerMs_);
        leaving_ = change.value("leaving", leaving_);
        limit_ = change.value("limit", limit_);
        weightsVersion_ = change.value("weights", weightsVersion_);
        return {{"runs", runs_},
                {"left", callersGone_},
                {"open", openExchanges_.size()},
                {"arrivals", arrivals_},
                {"nowMs", toMillis(loop().now().time_since_epoch())}};
    }

    std::string id_;
    std::vector<json> runs_;
    std::vector<json> arrivals_;
    std::set<ExchangeId> openExchanges_;
    int delayMs_ = 1;
    int lingerMs_ = 0;
    bool exiting_ = false; // Closes its connections and answers nothing any more.
    std::size_t eventBytes_ = 0;
    int breakAfter_ = 0;
    int callersGone_ = 0; // Callers that left before the end of their answer.
    bool refuse_ = false;
    bool fail_ = false;
    bool dropAnswers_ = false;
    bool foreignId_ = false;
    bool claimNotExecuted_ = false;
    bool leaving_ = false;
    std::string exitOnBodyText_;
    std::string exitOnPromptPart_;
    std::string retryAfter_;
    std::string limit_;
    std::string weightsVersion_;
};

} // namespace

std::unique_ptr<StandIn> makeReplica(EventLoop &loop)
{
    return std::make_unique<Replica>(loop);
}

} // namespace seamarch::standin
