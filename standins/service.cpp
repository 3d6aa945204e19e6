#include "standin.h"

#include <cstdlib>
#include <vector>

namespace seamarch::standin {
namespace {

using nlohmann::json;

// A plain service that records the body of each request that it runs.
//
// Control settings:
//   {"delayMs": N}          time before the answer or the end of the process
//   {"dropAnswers": true}   runs requests, then aborts the connection
//   {"endsOn": TEXT}        ends the process when it runs a request whose body contains TEXT
//   {"rest": TEXT}          refuses all requests with 503 and asks the caller to wait for that many
//                           seconds (retry-after); empty: accepts requests again
//   {"list": true}          adds to this response the bodies of all runs and, as "refusedMs", the
//                           times of all refusals by the stand-in's own clock
class Service final : public StandIn
{
public:
    using StandIn::StandIn;

private:
    void serve(ExchangeId exchange, const HttpRequest &request) override
    {
        if (request.path == "/health") {
            respondJson(exchange, 200, json::object());
            return;
        }
        if (!retryAfter_.empty()) {
            refusedMs_.push_back(toMillis(loop().now().time_since_epoch()));
            HttpResponseHead head;
            head.status = 503;
            head.headers.push_back({"Retry-After", retryAfter_});
            server().respond(exchange, head, "{}");
            return;
        }
        runs_.push_back(request.body);
        const bool exits =
            !exitOnBodyText_.empty() && request.body.find(exitOnBodyText_) != std::string::npos;
        const json answer = {{"echo", request.body}, {"run", runs_.size()}};
        loop().schedule(std::chrono::milliseconds(std::max(1, delayMs_)),
                        [this, exchange, answer, exits] {
                            if (exits) {
                                std::_Exit(kExitEndedByRequest);
                            }
                            if (dropAnswers_) {
                                server().abort(exchange);
                                return;
                            }
                            respondJson(exchange, 200, answer);
                        });
    }

    json control(const json &change) override
    {
        delayMs_ = change.value("delayMs", delayMs_);
        dropAnswers_ = change.value("dropAnswers", dropAnswers_);
        exitOnBodyText_ = change.value("endsOn", exitOnBodyText_);
        retryAfter_ = change.value("rest", retryAfter_);
        json state = {{"runs", runs_.size()}};
        if (change.value("list", false)) {
            state["bodies"] = runs_;
            state["refusedMs"] = refusedMs_;
        }
        return state;
    }

    // Exit code when a request ends the process.
    static constexpr int kExitEndedByRequest = 70;

    std::vector<std::string> runs_;
    std::vector<std::int64_t> refusedMs_;
    std::string retryAfter_;
    std::string exitOnBodyText_;
    int delayMs_ = 1;
    bool dropAnswers_ = false;
};

} // namespace

std::unique_ptr<StandIn> makeService(EventLoop &loop)
{
    return std::make_unique<Service>(loop);
}

} // namespace seamarch::standin
