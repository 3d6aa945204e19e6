// The part of GatewayPeers that carries statements of demand (DemandExchange) in polls and answers.
#include "gateway/gatewaypeers.h"
#include "gateway/gatewaywire.h"

namespace seamarch {

wire::GatewayPeer::ExchangeParams::Builder
GatewayPeers::initPoll(capnp::Request<capnp::AnyPointer, capnp::AnyPointer> &request,
                       const Link &link)
{
    std::vector<std::uint8_t> statement;
    const GatewayRecord *record = directory_.find(link.id);
    if (demand_ != nullptr && record != nullptr) {
        statement = demand_->takeStatement({record->id, record->hall}, loop_.now());
    }
    return initWithDemand<wire::GatewayPeer::ExchangeParams>(request, statement);
}

wire::GatewayNews::Builder
GatewayPeers::initNews(wire::GatewayPeer::ExchangeResults::Builder results,
                       const GatewayRecord &poller)
{
    std::vector<std::uint8_t> statement;
    if (demand_ != nullptr) {
        statement = demand_->takeStatement({poller.id, poller.hall}, loop_.now());
    }
    auto news = results.initNews();
    writeDemand(news, statement);
    return news;
}

void GatewayPeers::applyDemand(const GatewayRecord &from,
                               wire::GatewayPeer::ExchangeParams::Reader params)
{
    if (demand_ != nullptr) {
        demand_->onMessage({from.id, from.hall}, readDemand(params), loop_.now());
    }
}

// The statement was true when the other gateway answered, which is its hold time after it received
// the poll.
void GatewayPeers::applyDemand(const Link &link, TimePoint sentAt, wire::GatewayNews::Reader news)
{
    const GatewayRecord *record = directory_.find(link.id);
    if (demand_ != nullptr && record != nullptr) {
        demand_->onMessage({record->id, record->hall}, readDemand(news),
                           sentAt + Duration(news.getHeldMicros()));
    }
}

} // namespace seamarch
