#include "experts/rankserver.h"

#include "base/log.h"
#include "experts/rankwire.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace seamarch {
namespace {

// One object per connection.
class RankServer final : public wire::RankAgent::Server
{
public:
    RankServer(RankService &service, std::string peerHost)
        : service_(service)
        , peerHost_(std::move(peerHost))
    {}

    kj::Promise<void> state(StateContext context) override
    {
        auto pending = kj::newPromiseAndFulfiller<void>();
        auto fulfiller =
            std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(pending.fulfiller));
        const auto params = context.getParams();
        const GroupId deciderGroup(params.getAskerGroup().cStr());
        service_.onDeciderQuery(deciderGroup, params.getAskerRank(), peerHost_);
        const bool ownGroup = deciderGroup == service_.ownGroup();
        const RankQuery query{ownGroup && params.getCounts(), ownGroup && params.getExperts(),
                              params.getCountsSince()};
        service_.fetchOwnFacts(query, [context, fulfiller](std::optional<RankFacts> facts) mutable {
            if (facts) {
                writeFacts(*facts, context.getResults().initState());
            }
            (*fulfiller)->fulfill();
        });
        return kj::mv(pending.promise);
    }

    kj::Promise<void> order(OrderContext context) override
    {
        auto pending = kj::newPromiseAndFulfiller<void>();
        auto fulfiller =
            std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(pending.fulfiller));
        const auto order = readOrder(context.getParams().getOrder());
        if (!order) {
            logLine(LogLevel::Warning, "order.unreadable", {});
            context.getResults().setStatus(static_cast<std::uint16_t>(MapOrderAnswer::Refused));
            return kj::READY_NOW;
        }
        service_.sendToOwnEngine(*order, [context, fulfiller](MapOrderAnswer answer) mutable {
            context.getResults().setStatus(static_cast<std::uint16_t>(answer));
            (*fulfiller)->fulfill();
        });
        return kj::mv(pending.promise);
    }

    kj::Promise<void> relay(RelayContext context) override
    {
        auto pending = kj::newPromiseAndFulfiller<void>();
        auto fulfiller =
            std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(pending.fulfiller));
        const auto order = readOrder(context.getParams().getOrder());
        if (!order || order->kind != MapOrderKind::Prepare) {
            logLine(LogLevel::Warning, "order.unreadable", {{"relayed", true}});
            return kj::READY_NOW;
        }
        std::vector<RelayTarget> targets;
        for (const auto target : context.getParams().getTargets()) {
            targets.push_back({target.getRank(), target.getHost().cStr()});
        }
        const auto done = [context, fulfiller](const std::vector<RelayedAnswer> &answers) mutable {
            auto list =
                context.getResults().initAnswers(static_cast<std::uint32_t>(answers.size()));
            for (std::uint32_t index = 0; index < list.size(); ++index) {
                list[index].setRank(answers[index].rank);
                list[index].setStatus(static_cast<std::uint16_t>(answers[index].answer));
            }
            (*fulfiller)->fulfill();
        };
        service_.relay(*order, targets, done);
        return kj::mv(pending.promise);
    }

    kj::Promise<void> group(GroupContext context) override
    {
        return service_.answerGroupQuery(context);
    }

private:
    RankService &service_;
    std::string peerHost_; // Host of the calling agent or gateway.
};

} // namespace

kj::Own<wire::RankAgent::Server> makeRankServer(RankService &service, std::string peerHost)
{
    return kj::heap<RankServer>(service, std::move(peerHost));
}

} // namespace seamarch
