#include "standin.h"

#include <cstdlib>
#include <vector>

namespace seamarch::standin {
namespace {

using nlohmann::json;

// A plain service that records every run by the body it was given. Control: {"delayMs": N},
// {"dropAnswers": true} runs and then breaks the connection, {"endsOn": TEXT} ends the process when
// it runs a request whose body has TEXT, {"rest": TEXT} refuses everything and asks for that many
// seconds of rest (empty: takes requests again), {"list": true} lists the runs and, under
// "refusedMs", when it refused, by its own clock.
class Service final : public StandIn
{
public:
    using StandIn::StandIn;

private:
    void serve(ExchangeId exchange, const HttpRequest &request) override
    {
        if (!retryAfter_.empty()) {
            refusedMs_.push_back(toMillis(loop().now().time_since_epoch()));
            HttpResponseHead head;
            head.status = 503;
            head.headers.push_back({"Retry-After", retryAfter_});
            server().respond(exchange, head, "{}");
            return;
        }
        runs_.push_back(request.body);
        if (!exitOnBodyText_.empty() && request.body.find(exitOnBodyText_) != std::string::npos) {
            std::_Exit(kExitEndedByRequest);
        }
        const json answer = {{"echo", request.body}, {"run", runs_.size()}};
        loop().schedule(std::chrono::milliseconds(std::max(1, delayMs_)), [this, exchange, answer] {
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
