#include "standin.h"

#include <vector>

namespace seamarch::standin {
namespace {

using nlohmann::json;

// A plain service that records every run by the body it was given. Control: {"delayMs": N},
// {"dropAnswers": true} runs and then breaks the connection, {"list": true} lists the runs.
class Service final : public StandIn
{
public:
    using StandIn::StandIn;

private:
    void serve(ExchangeId exchange, const HttpRequest &request) override
    {
        runs_.push_back(request.body);
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
        json state = {{"runs", runs_.size()}};
        if (change.value("list", false)) {
            state["bodies"] = runs_;
        }
        return state;
    }

    std::vector<std::string> runs_;
    int delayMs_ = 1;
    bool dropAnswers_ = false;
};

} // namespace

std::unique_ptr<StandIn> makeService(EventLoop &loop)
{
    return std::make_unique<Service>(loop);
}

} // namespace seamarch::standin
